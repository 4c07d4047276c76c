package targetlimit

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/fleet"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	os.Exit(m.Run())
}

var start = time.UnixMilli(1_700_000_000_000)

// TestGrantsStayWithinLimit grants permits to random bursts of requests under a limit that
// changes: no window of 4 s may hold more than the largest limit in it allows.
func TestGrantsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now := NewTracker(), start
		limit := 0.0
		type grant struct {
			at    time.Time
			limit float64
		}
		var grants []grant
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			if limit == 0 || rapid.IntRange(0, 5).Draw(t, "change") == 0 {
				limit = rapid.Float64Range(1, 30).Draw(t, "limit")
				tracker.RecordNamed("t", limit, now)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			tracker.RecordNamed("t", limit, now)
			for range rapid.IntRange(1, 20).Draw(t, "burst") {
				if ok, wait := tracker.Grant("t", Home, 1, now); ok {
					grants = append(grants, grant{now, limit})
				} else if wait <= 0 || wait > MaxWait {
					t.Fatalf("denied with a wait of %v, want one up to %v", wait, MaxWait)
				}
			}
		}
		for i, first := range grants {
			n, largest := 0, 0.0
			for _, g := range grants[i:] {
				if g.at.Sub(first.at) < window {
					n++
					largest = max(largest, g.limit)
				}
			}
			if float64(n) > largest*window.Seconds()+1 {
				t.Fatalf("got %d grants in %v, want at most %.1f", n, window, largest*window.Seconds())
			}
		}
	})
}

func TestLimitIsGrantedInFull(t *testing.T) {
	tracker, granted := NewTracker(), 0
	for i := range 2000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		tracker.RecordNamed("t", 5, now)
		if ok, _ := tracker.Grant("t", Home, 1, now); ok {
			granted++
		}
	}
	if granted < 85 || granted > 100 {
		t.Errorf("got %d grants in 20 s at a limit of 5 per second, want 85 to 100", granted)
	}
}

// TestEndOfLimitReturnsLoadGradually checks that the rate rises for some seconds after the
// target has lifted its limit.
func TestEndOfLimitReturnsLoadGradually(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordNamed("t", 4, start)
	grantedIn := func(from, to time.Duration) int {
		n := 0
		for at := from; at < to; at += 5 * time.Millisecond {
			if ok, _ := tracker.Grant("t", Home, 1, start.Add(at)); ok {
				n++
			}
		}
		return n
	}
	before := grantedIn(0, time.Second)
	change, changed := tracker.RecordUnnamed("t", start.Add(time.Second))
	if !changed || change.Limited {
		t.Errorf("got change %+v, %v, want the end of the limit", change, changed)
	}
	first, second := grantedIn(time.Second, 2*time.Second), grantedIn(2*time.Second, 3*time.Second)
	if first < before || first > 3*before+2 || second <= first || second > 3*first {
		t.Errorf("got %d grants in the last second of the limit, then %d and %d, want a gradual rise", before, first, second)
	}
	if tracker.IsLimited("t", start.Add(time.Second+rampPeriod)) {
		t.Error("still limited after the ramp")
	}
}

func TestOlderReportsDoNotUndoNewerOnes(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordNamed("t", 4, start.Add(time.Second))
	if _, changed := tracker.Merge("t", Report{PerSecond: 4, Lifted: true, At: start}, start.Add(time.Second)); changed {
		t.Error("an older lift ended the limit")
	}
	tracker.RecordUnnamed("t", start.Add(2*time.Second))
	later := start.Add(10 * time.Second)
	tracker.Prune(later)
	if _, changed := tracker.Merge("t", Report{PerSecond: 4, At: start.Add(time.Second)}, later); changed {
		t.Error("an older limit came back after its end")
	}
	if tracker.IsLimited("t", later) {
		t.Error("got a limit, want none")
	}
}

// TestLimitEndsWithoutResponses checks that neither a target's limit nor hearsay holds it
// down for good.
func TestLimitEndsWithoutResponses(t *testing.T) {
	tracker := NewTracker()
	tracker.Merge("t", Report{PerSecond: 1, At: start.Add(time.Hour)}, start)
	if !tracker.IsLimited("t", start.Add(reportLifetime)) {
		t.Error("got no limit within its lifetime")
	}
	if tracker.IsLimited("t", start.Add(reportLifetime+rampPeriod)) {
		t.Error("got a limit after its lifetime, want none")
	}
	tracker.Prune(start.Add(reportLifetime + rampPeriod))
	if n := tracker.known.Load(); n != 0 {
		t.Errorf("got %d targets, want none", n)
	}
}

// TestUnusableLimits checks limits that no target should name: requests that tell of the
// end of the limit still get through, and nothing overflows.
func TestUnusableLimits(t *testing.T) {
	for _, limit := range []float64{0, 1e-300, 1e300, math.MaxFloat64} {
		tracker, granted := NewTracker(), 0
		for i := range 1000 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			tracker.RecordNamed("t", limit, now)
			if ok, _ := tracker.Grant("t", Home, 1, now); ok {
				granted++
			}
		}
		if granted < 3 {
			t.Errorf("limit %g: got %d grants in 10 s, want some", limit, granted)
		}
		if limit < 1 && granted > 6 {
			t.Errorf("limit %g: got %d grants in 10 s, want a few", limit, granted)
		}
	}
}

// TestOwnPartsOfAllRoutersStayWithinLimit lets the holder fail: what all routers of fleets
// of any size then send by themselves stays within the limit.
func TestOwnPartsOfAllRoutersStayWithinLimit(t *testing.T) {
	for _, routers := range []int{3, 9, 78, 300} {
		const perSecond, seconds = 4, 4
		sent := 0
		for range routers {
			tracker := NewTracker()
			tracker.RecordNamed("t", perSecond, start)
			for i := range seconds * 100 {
				if ok, _ := tracker.TakeOwnPart("t", 1/float64(routers), start.Add(time.Duration(i)*10*time.Millisecond)); ok {
					sent++
				}
			}
		}
		if sent > perSecond*seconds {
			t.Errorf("%d routers: got %d requests in %d s, want at most %d", routers, sent, seconds, perSecond*seconds)
		}
	}
}

func TestOwnPartDoesNotAccrueWhileHolderAnswers(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordNamed("t", 10, start)
	tracker.TakeOwnPart("t", 0.5, start)
	tracker.HolderAnswered("t")
	if ok, _ := tracker.TakeOwnPart("t", 0.5, start.Add(5*time.Second)); ok {
		t.Error("got a send from a part that accrued while the holder answered")
	}
}

func TestResetDropsLimit(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordNamed("t", 10, start)
	tracker.Reset("t")
	if tracker.IsLimited("t", start) {
		t.Error("got a limit after the restart of the target, want none")
	}
}

// TestSendsWithMostToLoseGoFirst offers more sends than the limit allows, of which a part
// has a higher precedence.
func TestSendsWithMostToLoseGoFirst(t *testing.T) {
	const perSecond, seconds = 5, 40
	random := rand.New(rand.NewPCG(1, 1))
	for _, test := range []struct {
		first, last         float64
		minFirst, minGrants float64
	}{{3, 9, 0.6, 0.7}, {9, 3, 0.35, 0.7}, {0, 12, 0, 0.7}} {
		tracker := NewTracker()
		var offered, granted [2]int
		for i := range seconds * 100 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			tracker.RecordNamed("t", perSecond, now)
			for class, rate := range []float64{test.last, test.first} {
				if random.Float64() >= rate/100 {
					continue
				}
				offered[class]++
				if ok, _ := tracker.Grant("t", Precedence(1+8*class), 1, now); ok {
					granted[class]++
				}
			}
		}
		if got := float64(granted[1]); got < test.minFirst*float64(offered[1]) {
			t.Errorf("%+v: got %.0f of %d sends with the higher precedence, want at least %.0f%%", test, got, offered[1], 100*test.minFirst)
		}
		if got, want := float64(granted[0]+granted[1]), test.minGrants*perSecond*seconds; got < want || got > perSecond*seconds {
			t.Errorf("%+v: got %.0f grants, want %.0f to %d", test, got, want, perSecond*seconds)
		}
	}
}

func TestHomePrecedenceRisesWithLoss(t *testing.T) {
	last := Foreign
	for _, tokens := range []int{0, 100, 699, 2041, 10512, math.MaxInt} {
		got := HomePrecedence(tokens)
		if got <= last || got > maxPrecedence {
			t.Errorf("%d tokens: got precedence %d, want more than %d, at most %d", tokens, got, last, maxPrecedence)
		}
		last = got
	}
	if got := HomePrecedence(-5); got != Home {
		t.Errorf("got precedence %d for a negative number of tokens, want %d", got, Home)
	}
}

func TestTrackerIsBounded(t *testing.T) {
	tracker := NewTracker()
	for i := range maxTargets + 100 {
		tracker.RecordNamed(fleet.TargetID(fmt.Sprint(i)), 1, start)
	}
	if n := tracker.Limited(start); n != maxTargets {
		t.Errorf("got %d targets, want %d", n, maxTargets)
	}
}
