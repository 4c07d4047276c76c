package targetpath

import (
	"fmt"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
)

var start = time.Unix(1000, 0)

func newTargets(n int) []*catalog.Target {
	var list []*catalog.Target
	for i := range n {
		list = append(list, &catalog.Target{ID: fleet.TargetID(fmt.Sprint("t", i)), Service: "s"})
	}
	return list
}

// inOrder is a permutation that changes nothing.
func inOrder(n int) []int {
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	return order
}

// play lets one connection fail and then probes as the tracker asks, for a time. reached
// tells which targets can be reached.
func play(tr *Tracker, targets []*catalog.Target, reached func(i int) bool, from time.Time, d time.Duration) (lostAt time.Time, probes int) {
	index := map[fleet.TargetID]int{}
	for i, t := range targets {
		index[t.ID] = i
		if !reached(i) && probes == 0 {
			tr.Record(t, false, targets, from)
			probes++
		}
	}
	for now := from; now.Before(from.Add(d)); now = now.Add(50 * time.Millisecond) {
		for _, t := range tr.DueChecks("s", targets, inOrder, now) {
			probes++
			if _, lost := tr.Record(t, reached(index[t.ID]), targets, now); lost && lostAt.IsZero() {
				lostAt = now
			}
		}
	}
	return lostAt, probes
}

func TestPathsAreLostOnlyIfHardlyAnyTargetIsReached(t *testing.T) {
	for _, test := range []struct {
		name    string
		targets int
		reached func(i int) bool
		want    bool
	}{
		{"all fail", 12, func(int) bool { return false }, true},
		{"all of three fail", 3, func(int) bool { return false }, true},
		{"the only one fails", 1, func(int) bool { return false }, true},
		{"all of many fail", 140, func(int) bool { return false }, true},
		{"all but one fail", 12, func(i int) bool { return i == 5 }, true},
		{"one is dead", 12, func(i int) bool { return i != 3 }, false},
		{"two of three are dead", 3, func(i int) bool { return i == 0 }, false},
		{"only one failure domain of four is reached", 12, func(i int) bool { return i%4 == 0 }, false},
		{"only one failure domain of five is reached", 160, func(i int) bool { return i%5 == 0 }, false},
	} {
		tr := NewTracker()
		lostAt, _ := play(tr, newTargets(test.targets), test.reached, start, 2*time.Second)
		if got := !lostAt.IsZero(); got != test.want {
			t.Errorf("%s: got lost %t, want %t", test.name, got, test.want)
		}
		if took := lostAt.Sub(start); test.want && took > time.Second {
			t.Errorf("%s: noticed after %v, want within a second of probes", test.name, took)
		}
	}
}

func TestDeadTargetCostsFewProbes(t *testing.T) {
	if _, probes := play(NewTracker(), newTargets(12), func(i int) bool { return i != 0 }, start, 3*time.Second); probes > 1+probesPerCheck {
		t.Errorf("got %d connections for one dead target, want at most %d", probes, 1+probesPerCheck)
	}
}

func TestReturnOfPathsIsNoticed(t *testing.T) {
	tr, targets := NewTracker(), newTargets(12)
	play(tr, targets, func(int) bool { return false }, start, 2*time.Second)
	if !tr.Lost("s") {
		t.Fatal("the paths are not lost")
	}
	play(tr, targets, func(int) bool { return true }, start.Add(2*time.Second), 500*time.Millisecond)
	if tr.Lost("s") {
		t.Error("the paths are still lost half a second after their return")
	}
}

func TestAnswersOnOpenConnectionsDoNotHideLostPaths(t *testing.T) {
	tr, targets := NewTracker(), newTargets(3)
	for _, target := range targets {
		tr.Answered("s", start)
		tr.Record(target, false, targets, start)
	}
	if !tr.Lost("s") {
		t.Error("paths on which no connection can be opened are not lost")
	}
	if got := tr.Reports(); len(got) != 1 || !got[0].Lost || !got[0].ReachedAt.Equal(start) {
		t.Errorf("got reports %+v, want one of a lost service that answered", got)
	}
}

func TestOldResultsDoNotCount(t *testing.T) {
	tr, targets := NewTracker(), newTargets(2)
	tr.Record(targets[0], false, targets, start)
	if _, lost := tr.Record(targets[1], false, targets, start.Add(2*resultLifetime)); lost {
		t.Error("the paths are lost by a failure of long ago")
	}
	tr.Prune(start.Add(4 * resultLifetime))
	if n := len(tr.services["s"].results); n != 0 {
		t.Errorf("got %d results kept, want none", n)
	}
}
