package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/reason"
)

var testLimits = Limits{Multiple: 1.25, ReuseWeight: 1}

func TestDecide(t *testing.T) {
	service := ServiceLoad{Requests: 191, Weight: 12}
	inFlight := func(n float64) TargetLoad { return TargetLoad{InFlight: n, Weight: 1} }
	contextHere := Attempt{HasContext: true, Context: ContextLocation{Target: "a"}, PromptTokens: 1000, MaxWait: time.Minute}
	contextElsewhere := Attempt{HasContext: true, Context: ContextLocation{Target: "b"}}
	for name, c := range map[string]struct {
		load    TargetLoad
		attempt Attempt
		verdict Verdict
		reason  reason.Code
	}{
		"room":                                {inFlight(0), Attempt{}, Admit, reason.None},
		"room above the mean for the context": {inFlight(16), contextHere, Admit, reason.None},
		"no room above the mean for others":   {inFlight(16), Attempt{}, Refuse, reason.LoadBound},
		"full":                                {inFlight(18), contextHere, Queue, reason.LoadBound},
		"full, all candidates tried":          {inFlight(18), Attempt{MayQueue: true}, Queue, reason.LoadBound},
		"external load":                       {TargetLoad{InFlight: 8, ExternalLoad: 8}, Attempt{}, Refuse, reason.LoadBound},
		"leaving":                             {TargetLoad{Leaving: true}, contextHere, Refuse, reason.TargetLeaving},
		"context elsewhere":                   {inFlight(0), contextElsewhere, Refuse, reason.ContextElsewhere},
		"context unknown":                     {inFlight(0), Attempt{ContextOnly: true}, Refuse, reason.ContextElsewhere},
		"redirected":                          {inFlight(0), Attempt{ContextOnly: true, Redirected: true}, Admit, reason.None},
	} {
		d := Decide("a", c.load, service, c.attempt, testLimits)
		if d.Verdict != c.verdict || d.Reason != c.reason {
			t.Errorf("%s: got verdict %v and reason %q, want %v and %q", name, d.Verdict, d.Reason, c.verdict, c.reason)
		}
	}
	if d := Decide("a", inFlight(0), service, contextElsewhere, testLimits); d.ContextTarget != "b" {
		t.Errorf("got ContextTarget %q, want b", d.ContextTarget)
	}
}

// TestDecideEnforcesLimitAndKeepsRoom admits and ends attempts at random with
// exact loads. No admission may exceed the target's limit, and some target must
// always admit.
func TestDecideEnforcesLimitAndKeepsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 15).Draw(t, "targets")
		limits := Limits{Multiple: rapid.Float64Range(1.05, 3).Draw(t, "multiple"), ReuseWeight: rapid.Float64Range(0, 1).Draw(t, "reuse")}
		loads := make([]float64, n)
		service := ServiceLoad{Weight: float64(n)}
		admit := func(t *rapid.T, i int) bool {
			d := Decide("a", TargetLoad{InFlight: loads[i], Weight: 1}, service, Attempt{Redirected: rapid.Bool().Draw(t, "here")}, limits)
			if d.Verdict != Admit {
				return false
			}
			loads[i]++
			service.Requests++
			if limit := service.Limit(limits.Multiple, 1); loads[i] > limit {
				t.Fatalf("target %d: got load %v, want at most %v", i, loads[i], limit)
			}
			return true
		}
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				first := rapid.IntRange(0, n-1).Draw(t, "first")
				for i := range n {
					if admit(t, (first+i)%n) {
						return
					}
				}
				t.Fatalf("no target admits a request with loads %v", loads)
			},
			"end": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "target")
				if loads[i] > 0 {
					loads[i]--
					service.Requests--
				}
			},
		})
	})
}

func TestLoadLedgerComparesReportWithOwnLoadAtReportTime(t *testing.T) {
	var l LoadLedger
	start := at(0)
	l.RecordOwnLoad(8, start)
	l.RecordOwnLoad(2, start.Add(2*time.Second))
	l.RecordReport(8, start.Add(100*time.Millisecond))
	if got := l.ExternalLoad(start.Add(2 * time.Second)); got != 0 {
		t.Errorf("late report of own load: got %v external, want 0", got)
	}
	now := start.Add(2600 * time.Millisecond)
	l.RecordReport(9, now)
	if got := l.ExternalLoad(now); got != 7 {
		t.Errorf("9 reported and 2 sent: got %v external, want 7", got)
	}
	if got := l.ExternalLoad(now.Add(reportLifetime / 2)); got != 3.5 {
		t.Errorf("at half the report lifetime: got %v external, want 3.5", got)
	}
	if got := l.ExternalLoad(now.Add(reportLifetime)); got != 0 {
		t.Errorf("after the report lifetime: got %v external, want 0", got)
	}
}

func TestLoadLedgerAssumedLoadDecaysLinearly(t *testing.T) {
	var l LoadLedger
	l.AssumeLoad(10, at(0), 2*time.Second)
	for second, want := range []float64{10, 5, 0, 0} {
		if got := l.ExternalLoad(at(second)); got != want {
			t.Errorf("after %d s: got assumed load %v, want %v", second, got, want)
		}
	}
}
