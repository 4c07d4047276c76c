package placement

import (
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

var testChurn = ChurnConfig{Ramp: 30 * time.Second, FlapWindow: 60 * time.Second}

func TestTargetHistoryPhases(t *testing.T) {
	h := NewTargetHistory(testChurn)
	ab, a := []fleet.TargetID{"a", "b"}, []fleet.TargetID{"a"}
	h.Observe(at(0), a)
	h.Observe(at(10), ab)
	check := func(second int, id fleet.TargetID, want Stability) {
		t.Helper()
		if got := h.Phase(id, at(second)).Stability; got != want {
			t.Errorf("%s at %d s: got %v, want %v", id, second, got, want)
		}
	}
	check(10, "a", Settled)
	check(39, "b", Joining)
	check(40, "b", Settled)
	h.Observe(at(45), a)
	h.Observe(at(50), ab)
	check(50, "b", Flapping)
	check(109, "b", Flapping)
	check(110, "b", Settled)
}

func TestTargetHistoryIgnoresJoinOutsideFlapWindow(t *testing.T) {
	h := NewTargetHistory(testChurn)
	ab, a := []fleet.TargetID{"a", "b"}, []fleet.TargetID{"a"}
	h.Observe(at(0), a)
	h.Observe(at(10), ab)
	h.Observe(at(100), a)
	h.Observe(at(101), ab)
	if got := h.Phase("b", at(101)).Stability; got != Joining {
		t.Errorf("two joins 91 s apart: got %v, want joining", got)
	}
}

func TestGroupShareDecays(t *testing.T) {
	var g PrefixGroups
	var share float64
	for i := range 300 {
		prefix := fleet.PrefixKey(0)
		if i%3 == 0 {
			prefix = 7
		}
		share = max(share, g.Observe(prefix, at(i/100)))
	}
	if share < 0.3 || share > 0.45 {
		t.Errorf("a third of the requests: got share %v, want 0.3 to 0.45", share)
	}
	for i := range 600 {
		g.Observe(0, at(3+i/10))
	}
	if share = g.Observe(7, at(63)); share != 0 {
		t.Errorf("a minute later: got share %v, want 0", share)
	}
}

func TestGroupsKeepBusiestGroup(t *testing.T) {
	var g PrefixGroups
	var share float64
	for i := range 4000 {
		g.Observe(fleet.PrefixKey(1000+i), at(0))
		share = g.Observe(7, at(0))
	}
	if share < 0.45 || share > 0.55 {
		t.Errorf("half of the requests, with 4000 small groups: got share %v, want 0.45 to 0.55", share)
	}
}

func TestSpread(t *testing.T) {
	for _, c := range []struct {
		share float64
		want  int
	}{{0, 1}, {0.04, 1}, {0.25, 6}, {1, 12}} {
		if got := GroupTargets(c.share, 12); got != c.want {
			t.Errorf("GroupTargets(%v, 12) = %d, want %d", c.share, got, c.want)
		}
	}
}

func TestTargetHistorySettlesFirstTargetsAfterEmptyViews(t *testing.T) {
	h := NewTargetHistory(ChurnConfig{Ramp: time.Minute, FlapWindow: time.Minute})
	now := time.Unix(1_800_000_000, 0)
	h.Observe(now, nil)
	h.Observe(now.Add(time.Second), []fleet.TargetID{"e1"})
	if got := h.Phase("e1", now.Add(2*time.Second)).Stability; got != Settled {
		t.Errorf("target of the first non-empty view: got %s, want settled", got)
	}
}
