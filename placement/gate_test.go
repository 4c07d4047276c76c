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
	at := func(n float64) TargetLoad { return TargetLoad{InFlight: n, Weight: 1} }
	here := Attempt{Noted: true, Known: Context{Target: "a"}, PromptTokens: 1000, MaxWait: time.Minute}
	elsewhere := Attempt{Noted: true, Known: Context{Target: "b"}}
	for name, c := range map[string]struct {
		load    TargetLoad
		attempt Attempt
		verdict Verdict
		reason  reason.Code
	}{
		"room":                 {at(0), Attempt{}, Admit, reason.None},
		"room for the context": {at(16), here, Admit, reason.None},
		"no room for others":   {at(16), Attempt{}, Refuse, reason.LoadBound},
		"full":                 {at(18), here, Queue, reason.LoadBound},
		"last resort":          {at(18), Attempt{Wait: true}, Queue, reason.LoadBound},
		"another's load":       {TargetLoad{InFlight: 8, Unaccounted: 8}, Attempt{}, Refuse, reason.LoadBound},
		"leaving":              {TargetLoad{Leaving: true}, here, Refuse, reason.TargetLeaving},
		"context elsewhere":    {at(0), elsewhere, Refuse, reason.ContextElsewhere},
		"context unknown":      {at(0), Attempt{ContextOnly: true}, Refuse, reason.ContextElsewhere},
		"redirected":           {at(0), Attempt{ContextOnly: true, Redirected: true}, Admit, reason.None},
	} {
		d := Decide("a", c.load, service, c.attempt, testLimits)
		if d.Verdict != c.verdict || d.Reason != c.reason {
			t.Errorf("%s: %v %q, want %v %q", name, d.Verdict, d.Reason, c.verdict, c.reason)
		}
	}
	if d := Decide("a", at(0), service, elsewhere, testLimits); d.Elsewhere != "b" {
		t.Errorf("the entry router is sent to %q", d.Elsewhere)
	}
}

// TestAdmitHoldsTheBoundAndAlwaysFindsRoom admits and ends attempts at random
// on exact loads: no target exceeds its limit by an admission, and some target
// always admits.
func TestAdmitHoldsTheBoundAndAlwaysFindsRoom(t *testing.T) {
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
				t.Fatalf("target %d carries %v of at most %v", i, loads[i], limit)
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
				t.Fatalf("no room for a request among %v", loads)
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

func TestLedgerComparesWithTheTimeOfTheReport(t *testing.T) {
	var l Ledger
	start := at(0)
	l.Note(8, start)
	l.Note(2, start.Add(2*time.Second))
	l.Report(8, start.Add(100*time.Millisecond))
	if got := l.Unaccounted(start.Add(2 * time.Second)); got != 0 {
		t.Errorf("a late report of own work leaves %v unaccounted", got)
	}
	now := start.Add(2600 * time.Millisecond)
	l.Report(9, now)
	if got := l.Unaccounted(now); got != 7 {
		t.Errorf("%v unaccounted of 9 reported and 2 sent", got)
	}
	if got := l.Unaccounted(now.Add(reportLife / 2)); got != 3.5 {
		t.Errorf("%v unaccounted halfway through the report's life", got)
	}
	if got := l.Unaccounted(now.Add(reportLife)); got != 0 {
		t.Errorf("%v unaccounted after the report's life", got)
	}
}

func TestLedgerAssumesWhatAFormerHomeLeft(t *testing.T) {
	var l Ledger
	l.Assume(10, at(0), 2*time.Second)
	for second, want := range []float64{10, 5, 0, 0} {
		if got := l.Unaccounted(at(second)); got != want {
			t.Errorf("after %d s %v are assumed, want %v", second, got, want)
		}
	}
}
