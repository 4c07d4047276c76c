package retry

import (
	"sync"
	"time"
)

// AllowanceTerms are a service's terms for repeats, over all routers.
type AllowanceTerms struct {
	// Ratio is the repeats allowed for each request.
	Ratio float64
	// Extra is the repeats allowed on top in each window.
	Extra float64
	// Window is the span over which repeats are counted; the extra ones refill over
	// it. Zero means that they do not refill.
	Window time.Duration
	// Saved is how often over the reserve requests may add up to; zero means twice.
	Saved float64
}

// Share is the part of a repeat that each request adds to its router's allowance.
func (t AllowanceTerms) Share() float64 {
	return t.Ratio * ratioShare
}

// Margins of a router's share.
const (
	// ratioShare is the part of the ratio that is spent; the rest covers
	// requests that other routers count at other times.
	ratioShare = 0.8
	// extraShare is the part of the extra repeats that the routers share.
	extraShare = 0.6
	// leastDepth lets a router of a large fleet repeat a request at all.
	leastDepth = 1
)

// Allowance is one router's share of a service's repeats: each request adds a
// part of a repeat, and a reserve that follows from the number of routers
// refills over one window. It is safe for concurrent use.
type Allowance struct {
	mu      sync.Mutex
	terms   AllowanceTerms
	routers int
	tokens  float64
	filled  time.Time
}

// Reserve is what the allowance of a router of its own holds at its start, so that
// one which has seen few requests can still repeat some.
const Reserve = 10

// NewReserve returns the allowance of a router that shares none with others: its
// requests' parts and Reserve, of which up to ten times as much is saved for a
// burst of failures.
func NewReserve(now time.Time) *Allowance {
	a := NewAllowance(AllowanceTerms{Extra: 2 * Reserve / extraShare, Saved: 10}, 1, now)
	a.tokens = a.depth()
	return a
}

// NewAllowance returns an empty allowance: what the process before it has spent
// counts in the same window.
func NewAllowance(terms AllowanceTerms, routers int, now time.Time) *Allowance {
	return &Allowance{terms: terms, routers: max(routers, 1), filled: now}
}

// Share sets the number of routers among which the reserve is divided.
func (a *Allowance) Share(routers int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.routers = max(routers, 1)
	a.tokens = min(a.tokens, a.ceiling())
}

// depth is half of the router's part of the extra repeats: within a window the
// other half flows in.
func (a *Allowance) depth() float64 {
	return max(a.terms.Extra*extraShare/float64(a.routers)/2, leastDepth)
}

// ceiling bounds what requests add up to: about what they add in a window.
func (a *Allowance) ceiling() float64 {
	saved := a.terms.Saved
	if saved == 0 {
		saved = 2
	}
	return saved * a.depth()
}

// Deposit adds one request's part of a repeat.
func (a *Allowance) Deposit(now time.Time, share float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fill(now)
	a.tokens = min(a.tokens+share, a.ceiling())
}

// Take takes one repeat and reports whether there was one.
func (a *Allowance) Take(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fill(now)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// fill lets the reserve flow in, up to its depth.
func (a *Allowance) fill(now time.Time) {
	elapsed := now.Sub(a.filled)
	if elapsed <= 0 {
		return
	}
	a.filled = now
	if a.tokens < a.depth() && a.terms.Window > 0 {
		a.tokens = min(a.depth(), a.tokens+a.depth()*elapsed.Seconds()/a.terms.Window.Seconds())
	}
}
