package targetnotice

import (
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

var start = time.Unix(1000, 0)

func TestLongestQuietHolds(t *testing.T) {
	tracker := NewTracker()
	if got := tracker.Remaining("t", start); got != 0 {
		t.Errorf("got %v without a notice, want 0", got)
	}
	if !tracker.RecordQuiet("t", 2*time.Second, start) || tracker.RecordQuiet("t", time.Second, start) || tracker.RecordQuiet("t", -time.Second, start) {
		t.Error("a shorter or negative time must not change the notice")
	}
	if got := tracker.Remaining("t", start.Add(500*time.Millisecond)); got != 1500*time.Millisecond {
		t.Errorf("got %v, want 1.5s", got)
	}
	if got := tracker.Remaining("t", start.Add(3*time.Second)); got != 0 {
		t.Errorf("got %v after the end, want 0", got)
	}
	tracker.RecordQuiet("u", 100*time.Hour, start)
	if got := tracker.Remaining("u", start); got != maxQuiet {
		t.Errorf("got %v, want %v at most", got, maxQuiet)
	}
}

func TestLeavingTargetIsUnavailableUntilItsProcessIsRestarted(t *testing.T) {
	tracker := NewTracker()
	if tracker.Unavailable("t", start) {
		t.Error("got unavailable without a notice")
	}
	tracker.RecordQuiet("t", time.Second, start)
	if !tracker.Unavailable("t", start) || tracker.Unavailable("t", start.Add(time.Second)) {
		t.Error("want unavailable for the time that the target asked for")
	}
	if !tracker.RecordLeaving("t") || tracker.RecordLeaving("t") {
		t.Error("only the first notice is new")
	}
	if !tracker.Unavailable("t", start.Add(time.Hour)) || tracker.Remaining("t", start) != 0 {
		t.Error("want a leaving target unavailable without an end")
	}
	tracker.Retain(func(fleet.TargetID) bool { return true }, start.Add(time.Hour))
	if !tracker.Unavailable("t", start) {
		t.Error("want a listed target's notice kept")
	}
	if tracker.Reset("t"); tracker.Unavailable("t", start) {
		t.Error("got unavailable after the restart")
	}
	tracker.RecordLeaving("gone")
	if tracker.Retain(func(fleet.TargetID) bool { return false }, start); tracker.known.Load() != 0 {
		t.Error("got a notice kept of a target that is not listed")
	}
}

func TestRestartAndRemovalEndQuiet(t *testing.T) {
	tracker := NewTracker()
	for _, id := range []fleet.TargetID{"restarted", "gone", "listed"} {
		tracker.RecordQuiet(id, time.Minute, start)
	}
	tracker.Reset("restarted")
	tracker.Retain(func(id fleet.TargetID) bool { return id == "listed" }, start)
	for id, want := range map[fleet.TargetID]time.Duration{"restarted": 0, "gone": 0, "listed": time.Minute} {
		if got := tracker.Remaining(id, start); got != want {
			t.Errorf("%s: got %v, want %v", id, got, want)
		}
	}
	tracker.Retain(func(fleet.TargetID) bool { return true }, start.Add(time.Hour))
	if got := tracker.known.Load(); got != 0 {
		t.Errorf("got %d notices kept after their end, want 0", got)
	}
}
