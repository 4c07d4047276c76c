package targetnotice

import (
	"fmt"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
)

var start = time.Unix(1000, 0)

// process returns the entry of a target's process that started after so many seconds, at a revision of
// the store.
func process(id fleet.TargetID, startedAfter int, revision uint64) *catalog.Target {
	return &catalog.Target{ID: id, StartedAt: start.Add(time.Duration(startedAfter) * time.Second), Revision: revision}
}

// listing returns a store's list of targets.
func listing(targets ...*catalog.Target) func(fleet.TargetID) *catalog.Target {
	return func(id fleet.TargetID) *catalog.Target {
		for _, t := range targets {
			if t.ID == id {
				return t
			}
		}
		return nil
	}
}

func TestLongestQuietHolds(t *testing.T) {
	tracker, target, other := NewTracker(), process("t", 0, 1), process("u", 0, 1)
	if got := tracker.Remaining(target, start); got != 0 {
		t.Errorf("got %v without a notice, want 0", got)
	}
	if !tracker.RecordQuiet(target, 2*time.Second, start) || tracker.RecordQuiet(target, time.Second, start) || tracker.RecordQuiet(target, -time.Second, start) {
		t.Error("a shorter or negative time must not change the notice")
	}
	if got := tracker.Remaining(target, start.Add(500*time.Millisecond)); got != 1500*time.Millisecond {
		t.Errorf("got %v, want 1.5s", got)
	}
	if got := tracker.Remaining(target, start.Add(3*time.Second)); got != 0 {
		t.Errorf("got %v after the end, want 0", got)
	}
	tracker.RecordQuiet(other, 100*time.Hour, start)
	if got := tracker.Remaining(other, start); got != maxQuiet {
		t.Errorf("got %v, want %v at most", got, maxQuiet)
	}
}

func TestLeavingTargetIsUnavailableUntilItsProcessIsReplaced(t *testing.T) {
	tracker, target := NewTracker(), process("t", 0, 1)
	if tracker.Unavailable(target, start) {
		t.Error("got unavailable without a notice")
	}
	tracker.RecordQuiet(target, time.Second, start)
	if !tracker.Unavailable(target, start) || tracker.Unavailable(target, start.Add(time.Second)) {
		t.Error("want unavailable for the time that the target asked for")
	}
	if !tracker.RecordLeaving(target, start) || tracker.RecordLeaving(target, start) {
		t.Error("only the first notice is new")
	}
	if !tracker.Unavailable(target, start.Add(time.Hour)) || tracker.Remaining(target, start) != 0 {
		t.Error("want a leaving target unavailable without an end")
	}
	for name, listed := range map[string]*catalog.Target{"same entry": target, "newer entry": process("t", 0, 5), "no entry": process("other", 0, 5)} {
		tracker.Prune(listing(listed), start.Add(time.Hour))
		if !tracker.Unavailable(process("t", 0, 9), start.Add(time.Hour)) {
			t.Errorf("%s: want the notice kept", name)
		}
	}
	if tracker.DueCheck(target, start) {
		t.Error("got a check of the process that said that it leaves")
	}
	replaced := process("t", 1, 10)
	if !tracker.DueCheck(replaced, start) || tracker.DueCheck(replaced, start.Add(checkInterval-1)) || !tracker.DueCheck(replaced, start.Add(checkInterval)) {
		t.Error("want a check of the new process at once, and again after the interval")
	}
	tracker.Prune(listing(replaced), start)
	if !tracker.Unavailable(replaced, start) {
		t.Error("got the new process available before it was checked")
	}
	tracker.RecordCheck(target, false)
	if !tracker.Unavailable(target, start) {
		t.Error("want the old process unavailable to requests that still see its entry")
	}
	tracker.RecordCheck(replaced, false)
	if tracker.Unavailable(replaced, start) || tracker.known.Load() != 0 {
		t.Error("got the new process unavailable, or its notice kept, after it said that it does not leave")
	}
}

// TestNewProcessThatLeavesTooIsUnavailable guards against the loss of a notice that a process gave before its entry was known.
func TestNewProcessThatLeavesTooIsUnavailable(t *testing.T) {
	for name, tell := range map[string]func(*Tracker, *catalog.Target){
		"check":  func(tracker *Tracker, target *catalog.Target) { tracker.RecordCheck(target, true) },
		"answer": func(tracker *Tracker, target *catalog.Target) { tracker.RecordLeaving(target, start) },
	} {
		tracker, replaced := NewTracker(), process("t", 1, 10)
		tracker.RecordLeaving(process("t", 0, 1), start)
		tell(tracker, replaced)
		if !tracker.Unavailable(replaced, start) || tracker.DueCheck(replaced, start.Add(time.Hour)) {
			t.Errorf("%s: want the new process unavailable and not checked again", name)
		}
		if !tracker.DueCheck(process("t", 2, 11), start.Add(time.Hour)) {
			t.Errorf("%s: want a check of the process after it", name)
		}
	}
}

func TestOnlyReplacementEndsQuietEarly(t *testing.T) {
	tracker := NewTracker()
	for _, id := range []fleet.TargetID{"restarted", "gone", "listed"} {
		tracker.RecordQuiet(process(id, 0, 1), time.Minute, start)
	}
	tracker.Prune(listing(process("restarted", 1, 2), process("listed", 0, 1)), start)
	for target, want := range map[*catalog.Target]time.Duration{
		process("restarted", 1, 2): 0, process("gone", 0, 3): time.Minute, process("listed", 0, 1): time.Minute,
	} {
		if got := tracker.Remaining(target, start); got != want {
			t.Errorf("%s: got %v, want %v", target.ID, got, want)
		}
	}
	tracker.Prune(listing(), start.Add(time.Hour))
	if got := tracker.known.Load(); got != 0 {
		t.Errorf("got %d notices kept after their end, want 0", got)
	}
}

func TestNoticeOfNewProcessReplacesThatOfOld(t *testing.T) {
	tracker, old, replaced := NewTracker(), process("t", 0, 1), process("t", 1, 2)
	tracker.RecordLeaving(old, start)
	tracker.RecordCheck(replaced, false)
	tracker.RecordQuiet(replaced, time.Second, start)
	if !tracker.Unavailable(replaced, start) || tracker.Unavailable(replaced, start.Add(time.Second)) {
		t.Error("want the new process unavailable for its time only")
	}
}

func TestOldestNoticesOfUnlistedTargetsAreDropped(t *testing.T) {
	const excess = 3
	tracker, listed := NewTracker(), process("listed", 0, 1)
	tracker.RecordLeaving(listed, start)
	target := func(i int) *catalog.Target { return process(fleet.TargetID(fmt.Sprint(i)), 0, 1) }
	for i := range maxUnlisted + excess {
		tracker.RecordLeaving(target(i), start.Add(time.Duration(i+1)))
	}
	tracker.Prune(listing(listed), start)
	if got := int(tracker.known.Load()); got != maxUnlisted+1 {
		t.Errorf("got %d notices, want %d", got, maxUnlisted+1)
	}
	if !tracker.Unavailable(listed, start) || tracker.Unavailable(target(excess-1), start) || !tracker.Unavailable(target(excess), start) {
		t.Error("want the oldest notices of targets that are not listed dropped, and no others")
	}
}
