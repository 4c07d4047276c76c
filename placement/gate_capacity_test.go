package placement

import (
	"testing"

	"ragwortpond.example/ragwortpond/reason"
)

// TestCapacityLimitsTargetBelowLoadBound guards against a target receiving more
// requests than its capacity when the load of its service allows more.
func TestCapacityLimitsTargetBelowLoadBound(t *testing.T) {
	service := ServiceLoad{Requests: 1000, Weight: 10}
	limits := Limits{Multiple: 1.25, ReuseWeight: 1, Capacity: 8}
	for load, want := range map[float64]Verdict{7: Admit, 8: Queue} {
		d := Decide("e1", TargetLoad{InFlight: load, Weight: 1}, service, Attempt{MayQueue: true}, limits)
		if d.Verdict != want {
			t.Errorf("%v requests in flight: got verdict %d, want %d", load, d.Verdict, want)
		}
	}
	d := Decide("e1", TargetLoad{InFlight: 8, Weight: 1}, service, Attempt{}, limits)
	if d.Verdict != Refuse || d.Reason != reason.LoadBound || d.Bound != 8 {
		t.Errorf("target at capacity: got %+v, want Refuse for LoadBound with bound 8", d)
	}
}
