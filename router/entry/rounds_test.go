package entry

import (
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/router/wire"
)

func stepTo(id fleet.TargetID) step {
	return step{Step: placement.Step{Target: &fleet.Target{ID: id}}}
}

func TestRoundsGoFromTheLeastFullToTheFullest(t *testing.T) {
	var r rounds
	r.add(stepTo("full"), wire.Hint{Load: 10, Bound: 10}, 0)
	r.add(stepTo("fuller"), wire.Hint{Load: 15, Bound: 10}, 0)
	r.add(stepTo("roomy"), wire.Hint{Load: 8, Bound: 10}, 9)
	held := stepTo("context")
	held.ContextOnly = true
	r.add(held, wire.Hint{Load: 30, Bound: 10}, 9)
	now := time.Unix(0, 0)
	for i, want := range []fleet.TargetID{"context", "roomy", "full", "fuller", "context"} {
		s, ok := r.next(now, time.Minute)
		if !ok || s.Target.ID != want || s.wait != waitSlice<<i || s.ContextOnly {
			t.Fatalf("queue before %+v, want %s", s, want)
		}
	}
}

func TestRoundsEndWithTheLongestWait(t *testing.T) {
	var r rounds
	if _, ok := r.next(time.Unix(0, 0), time.Minute); ok {
		t.Error("a round without a target")
	}
	r.add(stepTo("full"), wire.Hint{}, 0)
	start := time.Unix(10, 0)
	longest := waitSlice * 5 / 2
	r.until = time.Time{}
	if s, _ := r.next(start, longest); s.wait != waitSlice {
		t.Errorf("the first wait is %v", s.wait)
	}
	if s, _ := r.next(start.Add(waitSlice), longest); s.wait != waitSlice*3/2 {
		t.Errorf("the last wait is %v", s.wait)
	}
	if _, ok := r.next(start.Add(longest), longest); ok {
		t.Error("a wait after the longest")
	}
}
