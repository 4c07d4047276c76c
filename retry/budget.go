package retry

import (
	"sync"
	"time"
)

// BudgetConfig is the fleet-wide configuration of a service's retry budget.
type BudgetConfig struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Extra is the number of additional retries allowed in each window.
	Extra float64
	// Window is the period over which retries are counted. The extra retries refill
	// over it; zero means that they do not refill.
	Window time.Duration
	// AccrualFactor caps the retries accrued from requests, as a multiple of the
	// reserve; zero means 2.
	AccrualFactor float64
}

// PerRequest returns the fraction of a retry that each request adds to its router's
// budget.
func (t BudgetConfig) PerRequest() float64 {
	return t.Ratio * ratioShare
}

// Safety margins of a router's share.
const (
	// ratioShare is the fraction of the ratio that is used. The rest covers requests
	// that other routers count at other times.
	ratioShare = 0.8
	// extraShare is the fraction of the extra retries that is divided between routers.
	extraShare = 0.6
	// minDepth lets a router of a large fleet retry at all.
	minDepth = 1
)

// Budget is one router's share of a service's retry budget. Each request adds a
// fraction of a retry, and a reserve that depends on the number of routers refills
// over one window. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	terms      BudgetConfig
	routers    int
	tokens     float64
	refilledAt time.Time
}

// InitialReserve is the number of retries that a budget made by NewStandaloneBudget
// holds initially, so that a router that has seen few requests can retry some.
const InitialReserve = 10

// NewStandaloneBudget returns the retry budget of a router that shares its budget with no
// other router. It starts with InitialReserve retries and accrues the shares of
// its requests up to ten times as many, for bursts of failures.
func NewStandaloneBudget(now time.Time) *Budget {
	a := NewBudget(BudgetConfig{Extra: 2 * InitialReserve / extraShare, AccrualFactor: 10}, 1, now)
	a.tokens = a.depth()
	return a
}

// NewBudget returns an empty budget for one of the given number of routers.
// It starts empty because a previous process of the router may have spent its
// share of the same window.
func NewBudget(terms BudgetConfig, routers int, now time.Time) *Budget {
	return &Budget{terms: terms, routers: max(routers, 1), refilledAt: now}
}

// SetRouters sets the number of routers between which the reserve is divided.
func (a *Budget) SetRouters(routers int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.routers = max(routers, 1)
	a.tokens = min(a.tokens, a.maxTokens())
}

// depth returns the size of the reserve: half of the router's share of the extra
// retries, since the other half refills within a window.
func (a *Budget) depth() float64 {
	return max(a.terms.Extra*extraShare/float64(a.routers)/2, minDepth)
}

// maxTokens returns the maximum number of retries that the budget holds:
// AccrualFactor times the reserve, which limits the retries accrued from requests to
// about what they add in a window.
func (a *Budget) maxTokens() float64 {
	factor := a.terms.AccrualFactor
	if factor == 0 {
		factor = 2
	}
	return factor * a.depth()
}

// Deposit adds one request's share, a fraction of a retry.
func (a *Budget) Deposit(now time.Time, share float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now)
	a.tokens = min(a.tokens+share, a.maxTokens())
}

// Withdraw takes back the share of a request that another router serves after all.
func (a *Budget) Withdraw(share float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens = max(a.tokens-share, 0)
}

// Take takes one retry from the retry budget and reports whether there was one.
func (a *Budget) Take(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// Allows reports whether Take would take a retry.
func (a *Budget) Allows(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now)
	return a.tokens >= 1
}

// putBack returns a retry that was taken and not used.
func (a *Budget) putBack() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens = min(a.tokens+1, a.maxTokens())
}

// refill refills the reserve up to its depth.
func (a *Budget) refill(now time.Time) {
	elapsed := now.Sub(a.refilledAt)
	if elapsed <= 0 {
		return
	}
	a.refilledAt = now
	if a.tokens < a.depth() && a.terms.Window > 0 {
		a.tokens = min(a.depth(), a.tokens+a.depth()*elapsed.Seconds()/a.terms.Window.Seconds())
	}
}
