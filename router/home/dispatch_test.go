package home

import (
	"context"
	"testing"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
)

// A caller that disconnects before its attempt is sent must not mark the target
// as down, which would exclude the target for all other callers.
func TestCancelledAttemptDoesNotMarkTargetDown(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	if end := chatEnd(cancelled, engine.ErrNotSent); end.Reason == reason.TargetDown || end.Outcome != outcome.NotDispatched {
		t.Errorf("cancelled before it was sent: got %+v, want not dispatched and not %q", end, reason.TargetDown)
	}
	if end := chatEnd(context.Background(), engine.ErrNotSent); end.Reason != reason.TargetDown {
		t.Errorf("not sent: got %+v, want reason %q", end, reason.TargetDown)
	}
}
