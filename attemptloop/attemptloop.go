// Package attemptloop runs the attempts of one request until its caller has the complete
// answer or no attempt follows. Direct dispatch and dispatch through home routers
// share it: an Attempter decides where an attempt goes and how it gets there.
package attemptloop

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

// Attempter makes the attempts of one request. It is used by one goroutine.
type Attempter interface {
	// Attempt makes the attempt that step describes and returns how it ended, or
	// false if no target is left to try.
	Attempt(ctx context.Context, step retry.Step) (retry.AttemptResult, bool)
	// Log starts a log line about the request and its current attempt.
	Log(e event.Event) *zerolog.Event
}

// Run makes the attempts of a request and returns the final step. ctx must end at
// the request's deadline and when its caller disconnects.
func Run(ctx context.Context, req *retry.Request, attempter Attempter, m *metrics.Set) retry.Step {
	step := req.First()
	for ctx.Err() == nil {
		end, ok := attempter.Attempt(ctx, step)
		if !ok {
			return req.Exhausted()
		}
		step = req.Next(time.Now(), end, rand.Float64())
		if step.Final() {
			return step
		}
		m.CountRetry(step.Reason)
		logRetry(ctx, attempter, step, end)
		if step.Delay > 0 {
			// The error is ignored: the loop condition checks ctx.
			_ = sleep.For(ctx, step.Delay)
		}
	}
	return req.Expired()
}

// logRetry logs that another attempt follows.
func logRetry(ctx context.Context, attempter Attempter, step retry.Step, end retry.AttemptResult) {
	kind := event.RequestRetried
	if !step.Charged && step.Action == retry.NextTarget {
		kind = event.RequestRedirected
	}
	line := attempter.Log(kind).Str("action", step.Action.String()).Str("reason", string(step.Reason)).
		Str("outcome", end.Outcome.String()).Int("status", end.Status).AnErr("error", end.Err).
		Uint64("events", end.Events).Dur("wait", step.Delay)
	if deadline, ok := ctx.Deadline(); ok {
		line = line.Dur("left", time.Until(deadline))
	}
	line.Send()
}
