// Package course takes one request through its attempts until its caller has the
// whole answer or none follows. Direct dispatch and dispatch by homes share it:
// where an attempt goes and how it gets there is a Path's matter.
package course

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/retry"
	"ragwortpond.example/ragwortpond/sleep"
)

// Path makes the attempts of one request. It belongs to one goroutine.
type Path interface {
	// Attempt makes the attempt that a step asks for and says how it ended; false
	// means that no target is left to try.
	Attempt(ctx context.Context, step retry.Step) (retry.End, bool)
	// Log begins a line about the request at its present attempt.
	Log(e event.Event) *zerolog.Event
}

// Run takes a request through its attempts and returns the final step. ctx ends
// with the request's deadline and when its caller leaves.
func Run(ctx context.Context, life *retry.Request, path Path, m *metrics.Set) retry.Step {
	step := life.First()
	for ctx.Err() == nil {
		end, ok := path.Attempt(ctx, step)
		if !ok {
			return life.Exhausted()
		}
		step = life.Next(time.Now(), end, rand.Float64())
		if step.Final() {
			return step
		}
		m.Retried(step.Reason)
		note(ctx, path, step, end)
		if step.Wait > 0 {
			// Whether the wait ended early shows in ctx.
			_ = sleep.For(ctx, step.Wait)
		}
	}
	return life.Expired()
}

// note logs that another attempt follows.
func note(ctx context.Context, path Path, step retry.Step, end retry.End) {
	what := event.RequestTriedAgain
	if !step.Charged && step.Action == retry.Elsewhere {
		what = event.RequestRedirected
	}
	line := path.Log(what).Str("action", step.Action.String()).Str("reason", string(step.Reason)).
		Str("outcome", end.Outcome.String()).Int("status", end.Status).AnErr("error", end.Err).
		Uint64("events", end.Events).Dur("wait", step.Wait)
	if deadline, ok := ctx.Deadline(); ok {
		line = line.Dur("left", time.Until(deadline))
	}
	line.Send()
}
