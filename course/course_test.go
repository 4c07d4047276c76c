package course

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/retry"
)

// script is a path whose attempts end as written down.
type script struct {
	ends  []retry.End
	steps []retry.Step
	log   zerolog.Logger
	// during is called in each attempt.
	during func()
}

func (s *script) Attempt(_ context.Context, step retry.Step) (retry.End, bool) {
	if s.during != nil {
		s.during()
	}
	s.steps = append(s.steps, step)
	if len(s.ends) == 0 {
		return retry.End{}, false
	}
	end := s.ends[0]
	s.ends = s.ends[1:]
	return end, true
}

func (s *script) Log(e event.Event) *zerolog.Event {
	return e.Log(s.log)
}

var (
	lost  = retry.End{Outcome: outcome.Dispatched, Reason: reason.AnswerTruncated, Status: 200, Err: errors.New("reset by the target")}
	full  = retry.End{Reason: reason.LoadBound}
	whole = retry.End{Outcome: outcome.Answered, Whole: true}
)

func life(c retry.Config) *retry.Request {
	c.Terms.Attempts = 3
	return retry.New(c, retry.NewReserve(time.Now()), time.Now())
}

func TestRunGoesOnUntilTheAnswerIsWhole(t *testing.T) {
	var out bytes.Buffer
	path := &script{ends: []retry.End{full, lost, whole}, log: zerolog.New(&out)}
	set := metrics.NewSet()
	step := Run(t.Context(), life(retry.Config{Repeatable: true}), path, set)
	if step.Action != retry.Finish || len(path.steps) != 3 {
		t.Errorf("%+v after %d attempts", step, len(path.steps))
	}
	text := out.String()
	if strings.Count(text, "request-redirected") != 1 || strings.Count(text, "request-tried-again") != 1 ||
		!strings.Contains(text, string(reason.AnswerTruncated)) || !strings.Contains(text, "reset by the target") {
		t.Errorf("logged %s", text)
	}
	counted := make(chan prometheus.Metric, 8)
	set.Retries.Collect(counted)
	if len(counted) != 2 {
		t.Errorf("%d reasons counted", len(counted))
	}
}

func TestRunEndsWhenNoTargetIsLeft(t *testing.T) {
	path := &script{ends: []retry.End{full}}
	step := Run(t.Context(), life(retry.Config{}), path, metrics.NewSet())
	if !step.Final() || step.Outcome != outcome.NotDispatched || step.Reason != reason.LoadBound {
		t.Errorf("got %+v", step)
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	path := &script{ends: []retry.End{full, full, full}, during: cancel}
	step := Run(ctx, life(retry.Config{}), path, metrics.NewSet())
	if !step.Final() || len(path.steps) != 1 {
		t.Errorf("%+v after %d attempts", step, len(path.steps))
	}
	if step := Run(ctx, life(retry.Config{}), path, metrics.NewSet()); !step.Final() || len(path.steps) != 1 {
		t.Errorf("an attempt for a caller that has left: %+v", step)
	}
}

// TestRunWaitsNoLongerThanItsCaller leaves in the wait before the second attempt.
func TestRunWaitsNoLongerThanItsCaller(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	path := &script{ends: []retry.End{lost, whole}}
	path.during = func() { time.AfterFunc(10*time.Millisecond, cancel) }
	r := life(retry.Config{Repeatable: true, Terms: retry.Terms{Backoff: time.Hour, BackoffMax: time.Hour}})
	if step := Run(ctx, r, path, metrics.NewSet()); step.Action != retry.GiveUp || step.Outcome != outcome.Dispatched {
		t.Errorf("got %+v", step)
	}
}
