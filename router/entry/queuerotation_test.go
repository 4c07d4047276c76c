package entry

import (
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/router/wire"
)

func candidateFor(id fleet.TargetID) candidate {
	return candidate{Step: placement.Step{Target: &fleet.Target{ID: id}}}
}

func TestQueueRotationOrdersByUtilization(t *testing.T) {
	var rotation queueRotation
	rotation.add(candidateFor("full"), wire.Hint{Load: 10, Bound: 10}, 0)
	rotation.add(candidateFor("fuller"), wire.Hint{Load: 15, Bound: 10}, 0)
	rotation.add(candidateFor("roomy"), wire.Hint{Load: 8, Bound: 10}, 9)
	withContext := candidateFor("context")
	withContext.ContextOnly = true
	rotation.add(withContext, wire.Hint{Load: 30, Bound: 10}, 9)
	now := time.Unix(0, 0)
	for i, want := range []fleet.TargetID{"context", "roomy", "full", "fuller", "context"} {
		s, ok := rotation.next(now, time.Minute)
		if !ok || s.Target.ID != want || s.wait != initialQueueWait<<i || s.ContextOnly {
			t.Fatalf("got queue candidate %+v, want %s", s, want)
		}
	}
}

func TestQueueRotationStopsAfterMaxWait(t *testing.T) {
	var rotation queueRotation
	if _, ok := rotation.next(time.Unix(0, 0), time.Minute); ok {
		t.Error("got a candidate from an empty rotation, want none")
	}
	rotation.add(candidateFor("full"), wire.Hint{}, 0)
	start := time.Unix(10, 0)
	maxWait := initialQueueWait * 5 / 2
	rotation.deadline = time.Time{}
	if s, _ := rotation.next(start, maxWait); s.wait != initialQueueWait {
		t.Errorf("first wait: got %v, want %v", s.wait, initialQueueWait)
	}
	if s, _ := rotation.next(start.Add(initialQueueWait), maxWait); s.wait != initialQueueWait*3/2 {
		t.Errorf("last wait: got %v, want %v", s.wait, initialQueueWait*3/2)
	}
	if _, ok := rotation.next(start.Add(maxWait), maxWait); ok {
		t.Error("got a wait after the maximum wait, want none")
	}
}
