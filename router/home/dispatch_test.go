package home

import (
	"context"
	"testing"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
)

// TestCancelledAttemptDoesNotCallItsTargetDown checks that a caller who goes
// away does not take the target out of everybody's plans.
func TestCancelledAttemptDoesNotCallItsTargetDown(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	if end := chatEnd(cancelled, engine.ErrNotSent); end.Reason == reason.TargetDown || end.Outcome != outcome.NotDispatched {
		t.Errorf("cancelled before it was sent: %+v", end)
	}
	if end := chatEnd(context.Background(), engine.ErrNotSent); end.Reason != reason.TargetDown {
		t.Errorf("not sent: %+v", end)
	}
}
