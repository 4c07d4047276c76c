package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
)

var lifeStart = time.Unix(5000, 0)

func plenty() *Allowance {
	return NewAllowance(AllowanceTerms{Ratio: 0.2, Extra: 1000, Window: 10 * time.Second}, 1, lifeStart.Add(-time.Minute))
}

// direct are the terms of direct dispatch.
func direct(repeatable bool, runs int) Config {
	return Config{Repeatable: repeatable, Terms: Terms{
		Runs: runs, Unreached: 4, Rejections: 3, UnreachedFree: true, RejectionsProve: true, Share: 0.16,
	}}
}

// The ends of attempts under direct dispatch.
var (
	unreachedEnd = End{Reason: reason.TargetDown}
	rejectedEnd  = End{Reason: reason.TargetRefused}
	lostEnd      = End{Outcome: outcome.Dispatched, Reason: reason.AnswerTruncated}
	failedEnd    = End{Outcome: outcome.Dispatched, Reason: reason.TargetFailed}
)

func TestDirectDispatch(t *testing.T) {
	again := Step{Action: Elsewhere}
	notRun := Step{Action: GiveUp, Outcome: outcome.NotDispatched}
	unknown := Step{Action: GiveUp, Outcome: outcome.Dispatched}
	for _, test := range []struct {
		name   string
		config Config
		ends   []End
		want   Step
	}{
		{"once, lost", direct(false, 2), []End{lostEnd}, unknown},
		{"once, failed", direct(false, 2), []End{failedEnd}, unknown},
		{"once, rejected", direct(false, 1), []End{rejectedEnd}, again},
		{"once, unreached", direct(false, 1), []End{unreachedEnd}, again},
		{"once, rejected everywhere", direct(false, 1), []End{rejectedEnd, rejectedEnd, rejectedEnd, rejectedEnd}, notRun},
		{"repeatable, lost", direct(true, 2), []End{lostEnd}, again},
		{"repeatable, lost twice", direct(true, 2), []End{lostEnd, lostEnd}, unknown},
		{"repeatable, failed twice", direct(true, 2), []End{failedEnd, failedEnd}, unknown},
		{"repeatable, one run", direct(true, 1), []End{lostEnd}, unknown},
		{"repeatable, lost then rejected everywhere", direct(true, 3), []End{lostEnd, rejectedEnd, rejectedEnd, rejectedEnd, rejectedEnd}, unknown},
		{"unreached everywhere", direct(true, 2), []End{unreachedEnd, unreachedEnd, unreachedEnd, unreachedEnd, unreachedEnd}, notRun},
	} {
		r := New(test.config, plenty(), lifeStart)
		var got Step
		for _, e := range test.ends {
			got = r.Next(lifeStart, e, 0.5)
		}
		if got.Action != test.want.Action || (got.Final() && got.Outcome != test.want.Outcome) {
			t.Errorf("%s: got %+v, want %+v", test.name, got, test.want)
		}
	}
}

func TestNoAttemptWithoutTimeOrAllowance(t *testing.T) {
	config := direct(true, 2)
	config.Deadline = lifeStart.Add(10 * time.Millisecond)
	if s := New(config, plenty(), lifeStart).Next(lifeStart, lostEnd, 0.5); s.Action != GiveUp || s.Outcome != outcome.Dispatched {
		t.Errorf("no time is left: %+v", s)
	}
	empty := NewAllowance(AllowanceTerms{}, 1, lifeStart)
	empty.Take(lifeStart)
	config = direct(true, 2)
	config.Terms.Share = 0
	if s := New(config, empty, lifeStart).Next(lifeStart, rejectedEnd, 0.5); s.Action != GiveUp || s.Outcome != outcome.NotDispatched {
		t.Errorf("no repeat is left: %+v", s)
	}
	if s := New(config, empty, lifeStart).Next(lifeStart, unreachedEnd, 0.5); s.Action != Elsewhere || s.Charged {
		t.Errorf("a target that was not reached needs a repeat: %+v", s)
	}
}

// TestDirectDispatchNeverBreaksItsPromises plays random ends: a request that may
// run once is not tried again after it may have run, none runs more often than its
// route allows, and none is called not run after it may have run.
func TestDirectDispatchNeverBreaksItsPromises(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		config := direct(rapid.Bool().Draw(r, "repeatable"), rapid.IntRange(1, 4).Draw(r, "runs"))
		config.Deadline = lifeStart.Add(time.Second)
		life, now := New(config, plenty(), lifeStart), lifeStart
		ran := 0
		for range 20 {
			e := rapid.SampledFrom([]End{unreachedEnd, rejectedEnd, lostEnd, failedEnd}).Draw(r, "end")
			if e.Outcome == outcome.Dispatched {
				ran++
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(r, "took")) * time.Millisecond)
			s := life.Next(now, e, 0.5)
			switch {
			case !s.Final() && ran > 0 && !config.Repeatable:
				r.Fatal("a request that may run once is tried again after it may have run")
			case !s.Final() && ran >= config.Terms.Runs:
				r.Fatal("more runs than the route allows")
			case !s.Final() && !now.Before(config.Deadline):
				r.Fatal("tried again after the deadline")
			case s.Outcome == outcome.NotDispatched && ran > 0:
				r.Fatal("called not run after it may have run")
			}
			if s.Final() {
				if life.Exhausted().Outcome != s.Outcome || life.Outcome() != s.Outcome {
					r.Fatal("exhausted against the outcome")
				}
				return
			}
		}
	})
}

// TestAllowanceHoldsOverAllRouters plays a burst of failures at every router of a
// fleet, of which some or all start anew now and then: in no window are there more
// repeats than the terms allow.
func TestAllowanceHoldsOverAllRouters(t *testing.T) {
	const step = 100 * time.Millisecond
	terms := AllowanceTerms{Ratio: 0.2, Extra: 58, Window: 10 * time.Second}
	rapid.Check(t, func(r *rapid.T) {
		routers := rapid.IntRange(1, 80).Draw(r, "routers")
		terms.Extra = max(58, 2.5*float64(routers))
		fleet := make([]*Allowance, routers)
		start := func(i int, now time.Time) {
			fleet[i] = NewAllowance(terms, routers, now)
		}
		for i := range fleet {
			start(i, lifeStart)
		}
		steps := 300
		requests := make([]int, steps)
		repeats := make([]int, steps)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1))
		restarts := rapid.SampledFrom([]float64{0, 0.002, 0.02}).Draw(r, "restarts")
		together := rapid.Bool().Draw(r, "together")
		for i := range steps {
			now := lifeStart.Add(time.Duration(i) * step)
			all := together && random.Float64() < restarts
			for k := range fleet {
				if all || (!together && random.Float64() < restarts) {
					start(k, now)
				}
				a := fleet[k]
				for range random.IntN(3) {
					a.Deposit(now, terms.Share())
					requests[i]++
				}
				for range random.IntN(7) {
					if a.Take(now) {
						repeats[i]++
					}
				}
			}
		}
		window := int(terms.Window / step)
		for end := window; end <= steps; end++ {
			asked, again, before := 0, 0, 0
			for i := end - window; i < end; i++ {
				asked += requests[i]
				again += repeats[i]
			}
			for i := max(end-2*window, 0); i < end-window; i++ {
				before += requests[i]
			}
			if bound := terms.Ratio*float64(max(asked, before)) + terms.Extra; float64(again) > bound {
				r.Fatalf("%d repeats in a window that allows %.0f, %d routers", again, bound, routers)
			}
		}
	})
}

func TestAllowanceLetsASmallShareThrough(t *testing.T) {
	terms := AllowanceTerms{Ratio: 0.2, Extra: 58, Window: 10 * time.Second}
	a := NewAllowance(terms, 500, lifeStart)
	if a.Take(lifeStart) {
		t.Error("a router that has just started spends what the process before it may have spent")
	}
	for range 10 {
		a.Deposit(lifeStart, terms.Share())
	}
	if !a.Take(lifeStart) {
		t.Error("its requests earn no repeat")
	}
	if later := lifeStart.Add(2 * terms.Window); !a.Take(later) || a.Take(later) {
		t.Error("a router of a large fleet has one repeat in a window without requests")
	}
}
