package admission

import (
	"flag"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/reason"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "100")
	os.Exit(m.Run())
}

var epoch = time.UnixMilli(1_700_000_000_000)

// limiterFleet is a fleet of limiters that exchange their usage with a delay.
type limiterFleet struct {
	now            time.Time
	limiters       []*Limiter
	exchangedUsage []map[Scope]Usage
	fresh          bool
}

func newLimiterFleet(n int) *limiterFleet {
	f := &limiterFleet{now: epoch, exchangedUsage: make([]map[Scope]Usage, n)}
	for i := range n {
		f.limiters = append(f.limiters, NewLimiter(func(scope Scope) PeerUsage { return f.peers(i, scope) }))
	}
	return f
}

func (f *limiterFleet) peers(self int, scope Scope) PeerUsage {
	p := PeerUsage{Routers: len(f.limiters), Current: f.fresh}
	for i, usage := range f.exchangedUsage {
		if i != self {
			p.Demand += usage[scope].Demand
			p.InFlight += float64(usage[scope].InFlight)
		}
	}
	return p
}

func (f *limiterFleet) exchange() {
	f.fresh = true
	for i, l := range f.limiters {
		f.exchangedUsage[i] = map[Scope]Usage{}
		for _, u := range l.Usage(f.now) {
			f.exchangedUsage[i][u.Scope] = u
		}
	}
}

// offer sends requests at the given rates per router for a duration and returns
// the number admitted. Limiters exchange usage every 1.5 s.
func (f *limiterFleet) offer(rates []float64, limits []Limit, d time.Duration) int {
	const tick = 5 * time.Millisecond
	due := make([]float64, len(rates))
	admitted := 0
	for i := range int(d / tick) {
		f.now = f.now.Add(tick)
		if i%300 == 0 {
			f.exchange()
		}
		for r, rate := range rates {
			due[r] += rate * tick.Seconds()
			for ; due[r] >= 1; due[r]-- {
				if f.limiters[r].Admit(f.now, limits) == nil {
					f.limiters[r].Release(f.now, limits)
					admitted++
				}
			}
		}
	}
	return admitted
}

// TestFleetRateLimitHoldsAcrossRouters checks that 6 routers with uneven and
// shifting traffic together admit the limit within 10%, or all of a lower demand.
func TestFleetRateLimitHoldsAcrossRouters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(30, 300).Draw(t, "limit")
		limits := []Limit{{Scope: AccountScope("a"), PerSecond: limit, Burst: int(limit / 5)}}
		f := newLimiterFleet(6)
		rates := make([]float64, 6)
		for range 2 {
			total := 0.0
			for i := range rates {
				rates[i] = rapid.SampledFrom([]float64{0, 5, 20, 50, 400}).Draw(t, "rate")
				total += rates[i]
			}
			f.offer(rates, limits, 5*time.Second)
			const window = 10
			got := float64(f.offer(rates, limits, window*time.Second)) / window
			want := min(limit, total)
			if math.Abs(got-want) > 0.1*want+0.5 {
				t.Fatalf("rates %v, limit %.0f: got %.1f admitted per second, want %.1f", rates, limit, got, want)
			}
		}
	})
}

func TestLimitDividedEvenlyWithoutPeerDemand(t *testing.T) {
	limits := []Limit{{Scope: FleetScope(), PerSecond: 60, Burst: 6}}
	l := NewLimiter(func(Scope) PeerUsage { return PeerUsage{Routers: 6} })
	admitted := 0
	for i := range 10_000 {
		if l.Admit(epoch.Add(time.Duration(i)*time.Millisecond), limits) == nil {
			admitted++
		}
	}
	if admitted < 95 || admitted > 105 {
		t.Errorf("admitted in 10 s: got %d, want about 100", admitted)
	}
}

func TestRetryAfterIsTimeToNextToken(t *testing.T) {
	limits := []Limit{{Scope: ServiceScope("s"), PerSecond: 2, Burst: 1}}
	l := NewLimiter(func(Scope) PeerUsage { return PeerUsage{Routers: 1} })
	if r := l.Admit(epoch, limits); r != nil {
		t.Fatal(r)
	}
	r := l.Admit(epoch, limits)
	if r == nil || r.Reason != reason.ServiceRate || r.RetryAfter != 500*time.Millisecond {
		t.Fatalf("got %v, want service-rate after 500ms", r)
	}
	if r := l.Admit(epoch.Add(r.RetryAfter), limits); r != nil {
		t.Errorf("after RetryAfter: got refusal %v, want none", r)
	}
}

// TestConcurrencyLimitMatchesCounter compares one limiter with a simple counter.
func TestConcurrencyLimitMatchesCounter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(1, 8).Draw(t, "bound")
		limits := []Limit{{Scope: AccountScope("a"), Concurrency: bound}}
		l := NewLimiter(func(Scope) PeerUsage { return PeerUsage{Routers: 1} })
		count := 0
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "end") {
				if count > 0 {
					l.Release(now, limits)
					count--
				}
				continue
			}
			r := l.Admit(now, limits)
			if (r == nil) != (count < bound) {
				t.Fatalf("%d of %d in flight: got refusal %v", count, bound, r)
			}
			if r == nil {
				count++
			}
		}
	})
}

// TestFleetConcurrencyLimitHoldsAcrossRouters checks that with current peer usage
// the fleet exceeds the concurrency limit by at most one request per router.
func TestFleetConcurrencyLimitHoldsAcrossRouters(t *testing.T) {
	limits := []Limit{{Scope: AccountScope("a"), Concurrency: 30}}
	f := newLimiterFleet(6)
	inFlight := 0
	for i := range 600 {
		f.now = f.now.Add(10 * time.Millisecond)
		f.exchange()
		router := min(i%12, 5)
		if f.limiters[router].Admit(f.now, limits) == nil {
			inFlight++
		}
	}
	if inFlight < 24 || inFlight > 36 {
		t.Errorf("in flight: got %d, want about 30", inFlight)
	}
}

// TestSmallConcurrencyLimitIsUsable guards against refusals at one router, whose
// even share is one request, while the fleet uses less than half of the limit.
func TestSmallConcurrencyLimitIsUsable(t *testing.T) {
	limits := []Limit{{Scope: AccountScope("a"), Concurrency: 10}}
	for _, known := range []bool{false, true} {
		f := newLimiterFleet(6)
		for i := range 4 {
			if known {
				f.exchange()
			}
			if r := f.limiters[2].Admit(f.now, limits); r != nil {
				t.Errorf("request %d of 10, peer usage known %t: got refusal %v, want none", i+1, known, r)
			}
		}
	}
}

func TestIdleScopesAreDropped(t *testing.T) {
	l := NewLimiter(func(Scope) PeerUsage { return PeerUsage{Routers: 1} })
	old := []Limit{{Scope: AccountScope("old"), PerSecond: 1, Burst: 1}}
	if r := l.Admit(epoch, old); r != nil {
		t.Fatal(r)
	}
	l.Release(epoch, old)
	later := epoch.Add(2 * scopeIdleTimeout)
	if r := l.Admit(later, []Limit{{Scope: AccountScope("new"), PerSecond: 1, Burst: 1}}); r != nil {
		t.Fatal(r)
	}
	if got := len(l.Usage(later)); got != 1 {
		t.Errorf("scopes: got %d, want 1", got)
	}
}

func TestCheckDeadlineIncludesExpectedWait(t *testing.T) {
	if r := CheckDeadline(epoch, epoch.Add(time.Second), 2*time.Second); r == nil || r.Reason != reason.Deadline {
		t.Errorf("expected wait past the deadline: got %v, want a deadline refusal", r)
	}
	if r := CheckDeadline(epoch, epoch.Add(time.Second), 100*time.Millisecond); r != nil {
		t.Errorf("expected wait within the deadline: got refusal %v, want none", r)
	}
}
