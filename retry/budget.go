package retry

import "sync"

// Bounds of a budget in retries.
const (
	// Reserve is what a budget holds at its start, so that a router which has
	// seen few requests can still retry.
	Reserve = 10
	// Ceiling bounds what a budget saves up for a burst of failures.
	Ceiling = 100
)

// Budget bounds the retries of a router: every request deposits its share and
// every retry takes one whole. Over any time the retries are therefore at most
// the share of the requests and Reserve. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget that holds Reserve.
func NewBudget() *Budget {
	return &Budget{tokens: Reserve}
}

// Deposit adds the share of one request, a fraction of a retry.
func (b *Budget) Deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+share, Ceiling)
}

// Take takes one retry and reports whether there was one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
