package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/outcome"
)

var lifeStart = time.Unix(5000, 0)

func plenty() *Allowance {
	return NewAllowance(AllowanceTerms{Ratio: 0.2, Extra: 1000, Window: 10 * time.Second}, 1, lifeStart)
}

func TestLifeVerdicts(t *testing.T) {
	for _, test := range []struct {
		name       string
		repetition catalog.Repetition
		runs       int
		endings    []Ending
		want       Verdict
	}{
		{"once, lost", catalog.Once, 2, []Ending{Lost}, TellUnknown},
		{"once, failed", catalog.Once, 2, []Ending{Failed}, PassOn},
		{"once, rejected", catalog.Once, 1, []Ending{Rejected}, TryAgain},
		{"once, unreached", catalog.Once, 1, []Ending{Unreached}, TryAgain},
		{"once, rejected everywhere", catalog.Once, 1, []Ending{Rejected, Rejected, Rejected, Rejected}, RefuseNotRun},
		{"repeatable, lost", catalog.Repeatable, 2, []Ending{Lost}, TryAgain},
		{"repeatable, lost twice", catalog.Repeatable, 2, []Ending{Lost, Lost}, TellUnknown},
		{"repeatable, failed twice", catalog.Repeatable, 2, []Ending{Failed, Failed}, PassOn},
		{"repeatable, one run", catalog.Repeatable, 1, []Ending{Lost}, TellUnknown},
		{"repeatable, lost then rejected everywhere", catalog.Repeatable, 3, []Ending{Lost, Rejected, Rejected, Rejected, Rejected}, TellUnknown},
		{"resumable, lost", catalog.Resumable, 2, []Ending{Lost}, TryAgain},
		{"unreached everywhere", catalog.Repeatable, 2, []Ending{Unreached, Unreached, Unreached, Unreached, Unreached}, RefuseNotRun},
	} {
		l := Life{Repetition: test.repetition, MaxRuns: test.runs, Budget: plenty()}
		var got Verdict
		for _, e := range test.endings {
			got, _ = l.Next(e, time.Second, lifeStart)
		}
		if got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

func TestLifeWithoutTimeOrBudget(t *testing.T) {
	l := Life{Repetition: catalog.Repeatable, MaxRuns: 2, Budget: plenty()}
	if v, _ := l.Next(Lost, 10*time.Millisecond, lifeStart); v != TellUnknown {
		t.Errorf("no time is left: %v", v)
	}
	empty := NewAllowance(AllowanceTerms{}, 1, lifeStart)
	empty.Take(lifeStart)
	l = Life{Repetition: catalog.Repeatable, MaxRuns: 2, Budget: empty}
	if v, _ := l.Next(Rejected, time.Second, lifeStart); v != RefuseNotRun {
		t.Errorf("no repeat is left: %v", v)
	}
}

// TestLifeNeverBreaksItsPromises plays random endings: a request that may run
// once is not tried again after it may have run, none runs more often than its
// route allows, and none is called not run after it may have run.
func TestLifeNeverBreaksItsPromises(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := Life{
			Repetition: rapid.SampledFrom([]catalog.Repetition{catalog.Once, catalog.Repeatable, catalog.Resumable}).Draw(r, "repetition"),
			MaxRuns:    rapid.IntRange(1, 4).Draw(r, "runs"), Budget: plenty(),
		}
		ran := 0
		for range 20 {
			e := rapid.SampledFrom([]Ending{Unreached, Rejected, Lost, Failed}).Draw(r, "ending")
			if e == Lost || e == Failed {
				ran++
			}
			left := time.Duration(rapid.IntRange(0, 200).Draw(r, "left")) * time.Millisecond
			v, _ := l.Next(e, left, lifeStart)
			switch {
			case v == TryAgain && ran > 0 && l.Repetition == catalog.Once:
				r.Fatal("a request that may run once is tried again after it may have run")
			case v == TryAgain && ran >= l.MaxRuns:
				r.Fatal("more runs than the route allows")
			case v == RefuseNotRun && ran > 0:
				r.Fatal("called not run after it may have run")
			case v == PassOn && e != Failed:
				r.Fatal("no answer to pass on")
			}
			if v != TryAgain {
				if exhausted := l.Exhausted(); (exhausted == RefuseNotRun) != (l.Outcome() == outcome.NotDispatched) {
					r.Fatal("exhausted against the outcome")
				}
				return
			}
		}
	})
}

// TestAllowanceHoldsOverAllRouters plays a burst of failures at every router of a
// fleet: in no window are there more repeats than the terms allow.
func TestAllowanceHoldsOverAllRouters(t *testing.T) {
	const step = 100 * time.Millisecond
	terms := AllowanceTerms{Ratio: 0.2, Extra: 58, Window: 10 * time.Second}
	rapid.Check(t, func(r *rapid.T) {
		routers := rapid.IntRange(1, 20).Draw(r, "routers")
		fleet := make([]*Allowance, routers)
		for i := range fleet {
			fleet[i] = NewAllowance(terms, routers, lifeStart)
		}
		steps := 300
		requests := make([]int, steps)
		repeats := make([]int, steps)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1))
		for i := range steps {
			now := lifeStart.Add(time.Duration(i) * step)
			for _, a := range fleet {
				for range random.IntN(3) {
					a.Deposit(now)
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
	a := NewAllowance(AllowanceTerms{Ratio: 0.2, Extra: 58, Window: 10 * time.Second}, 500, lifeStart)
	if !a.Take(lifeStart) || a.Take(lifeStart) {
		t.Error("a router of a large fleet has one repeat at its start")
	}
	for range 10 {
		a.Deposit(lifeStart)
	}
	if !a.Take(lifeStart) {
		t.Error("its requests earn no repeat")
	}
}
