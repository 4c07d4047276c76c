package targethealth

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
)

// answer records an attempt that was sent and answered at a time.
func (b *Tracker) answer(t *catalog.Target, a Answer, at time.Time) {
	b.RecordAnswer(t, a, at, at)
}

// eject ejects a target beside a sound one, and returns the time of its last attempt.
func eject(b *Tracker, bad, good *catalog.Target) time.Time {
	for i := range 4 {
		b.answer(good, Sound, startPlus(i))
	}
	b.answer(bad, Unsound, startPlus(10))
	b.answer(bad, Unsound, startPlus(11))
	return startPlus(11)
}

func (b *Tracker) usable(t *catalog.Target, p Purpose, at time.Time) bool {
	return b.StateFor(t.ID, t.Domain, p, at) == Healthy
}

// TestFirstAnswerOfStreamNeedsNoOlderRecord guards against a record without the rates of its service.
func TestFirstAnswerOfStreamNeedsNoOlderRecord(t *testing.T) {
	b, a := NewTracker(), newTarget("a", "d")
	b.answer(a, Sound, start)
	if got := b.healthAt(a, start); got != Healthy {
		t.Errorf("got %v, want healthy", got)
	}
}

func TestUnsoundAnswersEjectUntilTrialsSucceed(t *testing.T) {
	b, bad, good := NewTracker(), newTarget("bad", "d"), newTarget("good", "d")
	last := eject(b, bad, good)
	for _, p := range []Purpose{Repeat, Trial, Once} {
		if b.usable(bad, p, last) {
			t.Errorf("purpose %d: an ejected target is used at once", p)
		}
	}
	due := last.Add(minTrialDelay)
	if !b.usable(bad, Trial, due) || b.usable(bad, Once, due) || b.usable(bad, Repeat, due) {
		t.Error("after the first delay: want the target used for a trial only")
	}
	b.BeginTrial(bad.ID, due)
	if b.usable(bad, Trial, due) {
		t.Error("two trials at a time")
	}
	for i := range soundToReadmit {
		if b.usable(bad, Once, due) {
			t.Errorf("requests that may run once are sent after %d sound attempts, want %d", i, soundToReadmit)
		}
		b.answer(bad, Sound, due.Add(time.Millisecond))
	}
	if !b.usable(bad, Once, due.Add(time.Millisecond)) {
		t.Error("the target stays ejected after its trials were sound")
	}
}

func TestFailedTrialsDelayTheNext(t *testing.T) {
	b, bad, good := NewTracker(), newTarget("bad", "d"), newTarget("good", "d")
	now := eject(b, bad, good)
	for _, want := range []time.Duration{1, 2, 4, 8, 8} {
		wait := want * time.Second
		if b.usable(bad, Trial, now.Add(wait-1)) || !b.usable(bad, Trial, now.Add(wait)) {
			t.Fatalf("want the next trial after exactly %v", wait)
		}
		now = now.Add(wait)
		b.BeginTrial(bad.ID, now)
		b.answer(bad, Unsound, now)
	}
}

// TestProbesOnlyForRequestsThatRunOnce guards against probes, which are priced, that no request waits for.
func TestProbesOnlyForRequestsThatRunOnce(t *testing.T) {
	b, bad, good := NewTracker(), newTarget("bad", "d"), newTarget("good", "d")
	due := eject(b, bad, good).Add(minTrialDelay + minProbeDelay)
	b.usable(bad, Trial, due)
	b.usable(bad, Repeat, due)
	if got := b.DueHealthProbes(due); len(got) > 0 {
		t.Errorf("without a request that may run once: got probes of %v, want none", got)
	}
	b.usable(bad, Once, due)
	if got := b.DueHealthProbes(due.Add(-1)); len(got) > 0 {
		t.Errorf("before the delay: got probes of %v, want none", got)
	}
	if got := b.DueHealthProbes(due); len(got) != 1 || got[0] != bad.ID {
		t.Errorf("got probes of %v, want the ejected target's", got)
	}
	if got := b.DueHealthProbes(due); len(got) > 0 {
		t.Errorf("just after a probe: got probes of %v, want none", got)
	}
	b.RecordHealthProbe(bad.ID, Unsound)
	if b.usable(bad, Once, due) {
		t.Error("used for a request that may run once after a probe that failed")
	}
	b.RecordHealthProbe(bad.ID, Sound)
	if !b.usable(bad, Once, due) {
		t.Error("not used for a request that may run once after a probe that was answered")
	}
	b.BeginTrial(bad.ID, due)
	if b.usable(bad, Once, due) {
		t.Error("two requests that may run once are sent after one probe")
	}
	b.answer(bad, Unsound, due)
	if b.usable(bad, Once, due.Add(time.Hour)) {
		t.Error("the probe from before the last unsound attempt still counts")
	}
}

// TestAttemptsThatEndTogetherCountOnce guards against targets that are ejected for one reset link or crash.
func TestAttemptsThatEndTogetherCountOnce(t *testing.T) {
	b, a, good := NewTracker(), newTarget("a", "d"), newTarget("good", "d")
	b.answer(good, Sound, start)
	for i := range 20 {
		b.RecordAnswer(a, Unsound, startPlus(i), startPlus(100+i))
	}
	if !b.usable(a, Once, startPlus(200)) {
		t.Error("attempts that were in flight together eject their target")
	}
}

// TestOneLostAnswerIsLoadOnly guards against sound targets that lose their keys for one lost answer.
func TestOneLostAnswerIsLoadOnly(t *testing.T) {
	b, a := NewTracker(), newTarget("a", "d")
	b.answer(a, Unsound, start)
	if !b.usable(a, Once, start) || b.UnsoundLoad(a.ID, Once, start) != 1 {
		t.Error("want the target healthy, and its lost answer counted as load")
	}
	if b.UnsoundLoad(a.ID, Once, start.Add(lostAnswerTime)) != 0 {
		t.Error("a lost answer counts as load for too long")
	}
	b.answer(a, Sound, startPlus(1))
	if b.UnsoundLoad(a.ID, Once, startPlus(1)) != 0 {
		t.Error("a lost answer counts as load after a sound one")
	}
}

// TestTargetsThatLoseAnswersAlikeAreKept guards against ejections where the whole service loses answers.
func TestTargetsThatLoseAnswersAlikeAreKept(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := NewTracker()
		targets := make([]*catalog.Target, 4)
		for i := range targets {
			targets[i] = newTarget(fmt.Sprint("t", i), "d")
		}
		// In each round every target answers once, and one of four rounds is lost at all.
		for round := range 40 {
			a := Sound
			if round%4 == 3 {
				a = Unsound
			}
			for i := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(r, "order") {
				b.answer(targets[i], a, startPlus(100*round+i))
			}
		}
		for _, target := range targets {
			if !b.usable(target, Once, startPlus(4000)) {
				r.Fatalf("%s is ejected though all lose as many answers", target.ID)
			}
		}
	})
}

// TestAllTargetsUnsoundIsNoAvoidance guards against a service whose targets are all given up.
func TestAllTargetsUnsoundIsNoAvoidance(t *testing.T) {
	b, targets := NewTracker(), []*catalog.Target{newTarget("a", "d"), newTarget("b", "d")}
	now := start
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		for _, target := range targets {
			b.BeginTrial(target.ID, now)
			b.answer(target, Unsound, now)
		}
	}
	for range soundToReadmit {
		b.answer(targets[0], Sound, now)
	}
	if !b.usable(targets[0], Once, now) {
		t.Error("a target that is sound again stays ejected")
	}
}

func TestRestartEndsEjection(t *testing.T) {
	b, bad, good := NewTracker(), newTarget("bad", "d"), newTarget("good", "d")
	now := eject(b, bad, good)
	b.Reset(bad.ID)
	if !b.usable(bad, Once, now) {
		t.Error("a restarted target stays ejected")
	}
	eject(b, bad, good)
	b.Retain(func(fleet.TargetID) bool { return false })
	if !b.usable(bad, Once, now) {
		t.Error("a target that is listed again is ejected")
	}
}
