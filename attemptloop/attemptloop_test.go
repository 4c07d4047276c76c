package attemptloop

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

// scriptedAttempter is a path whose attempts end in a given order.
type scriptedAttempter struct {
	ends  []retry.AttemptResult
	steps []retry.Step
	log   zerolog.Logger
	// onAttempt is called in each attempt.
	onAttempt func()
}

func (s *scriptedAttempter) Attempt(_ context.Context, step retry.Step) (retry.AttemptResult, bool) {
	if s.onAttempt != nil {
		s.onAttempt()
	}
	s.steps = append(s.steps, step)
	if len(s.ends) == 0 {
		return retry.AttemptResult{}, false
	}
	end := s.ends[0]
	s.ends = s.ends[1:]
	return end, true
}

func (s *scriptedAttempter) Log(e event.Event) *zerolog.Event {
	return e.Log(s.log)
}

var (
	lostEnd     = retry.AttemptResult{Outcome: outcome.Dispatched, Reason: reason.AnswerTruncated, Status: 200, Err: errors.New("reset by the target")}
	refusedEnd  = retry.AttemptResult{Reason: reason.LoadBound}
	completeEnd = retry.AttemptResult{Outcome: outcome.Answered, Complete: true}
)

func newRequest(c retry.Config) *retry.Request {
	c.Policy.MaxAttempts = 3
	return retry.New(c, retry.NewStandaloneBudget(time.Now()), time.Now())
}

func TestRunRetriesUntilAnswerComplete(t *testing.T) {
	var out bytes.Buffer
	attempter := &scriptedAttempter{ends: []retry.AttemptResult{refusedEnd, lostEnd, completeEnd}, log: zerolog.New(&out)}
	set := metrics.NewSet()
	step := Run(t.Context(), newRequest(retry.Config{Repeatable: true}), attempter, set)
	if step.Action != retry.Finish || len(attempter.steps) != 3 {
		t.Errorf("got %+v after %d attempts, want finish after 3", step, len(attempter.steps))
	}
	text := out.String()
	if strings.Count(text, "request-redirected") != 1 || strings.Count(text, "request-tried-again") != 1 ||
		!strings.Contains(text, string(reason.AnswerTruncated)) || !strings.Contains(text, "reset by the target") {
		t.Errorf("got log %s, want one redirect and one retry with reason and error", text)
	}
	counted := make(chan prometheus.Metric, 8)
	set.Retries.Collect(counted)
	if len(counted) != 2 {
		t.Errorf("got %d retry reasons counted, want 2", len(counted))
	}
}

func TestRunGivesUpWithoutTargets(t *testing.T) {
	attempter := &scriptedAttempter{ends: []retry.AttemptResult{refusedEnd}}
	step := Run(t.Context(), newRequest(retry.Config{}), attempter, metrics.NewSet())
	if !step.Final() || step.Outcome != outcome.NotDispatched || step.Reason != reason.LoadBound {
		t.Errorf("got %+v, want a final step with the outcome not dispatched and the reason of the last attempt", step)
	}
}

func TestRunStopsWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	attempter := &scriptedAttempter{ends: []retry.AttemptResult{refusedEnd, refusedEnd, refusedEnd}, onAttempt: cancel}
	step := Run(ctx, newRequest(retry.Config{}), attempter, metrics.NewSet())
	if !step.Final() || len(attempter.steps) != 1 {
		t.Errorf("got %+v after %d attempts, want a final step after 1", step, len(attempter.steps))
	}
	if step := Run(ctx, newRequest(retry.Config{}), attempter, metrics.NewSet()); !step.Final() || len(attempter.steps) != 1 {
		t.Errorf("got %+v after %d attempts, want no attempt for a caller that has disconnected", step, len(attempter.steps))
	}
}

// TestRunBackoffStopsWhenContextEnds checks that Run returns when the caller
// disconnects during the delay before the second attempt.
func TestRunBackoffStopsWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	attempter := &scriptedAttempter{ends: []retry.AttemptResult{lostEnd, completeEnd}}
	attempter.onAttempt = func() { time.AfterFunc(10*time.Millisecond, cancel) }
	r := newRequest(retry.Config{Repeatable: true, Policy: retry.Policy{Backoff: time.Hour, BackoffMax: time.Hour}})
	if step := Run(ctx, r, attempter, metrics.NewSet()); step.Action != retry.GiveUp || step.Outcome != outcome.Dispatched {
		t.Errorf("got %+v, want give-up with the outcome dispatched", step)
	}
}
