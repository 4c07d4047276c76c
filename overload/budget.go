package overload

import "time"

const (
	// budgetTime is how long the longest time that callers of a route wait is remembered.
	budgetTime = time.Minute
	// maxBudgets bounds the routes and client accounts whose callers' times are remembered.
	maxBudgets = 4096
)

// budgets tells how long callers have waited already when a request arrives. A request that comes back after a refusal
// has less time left than callers of its route and client account have at first.
type budgets map[budgetKey]budget

// budgetKey is a route and a client account. Accounts are apart, so that the patience of one caller says nothing of others.
type budgetKey struct{ route, account uint64 }

type budget struct {
	longest time.Duration
	seenAt  time.Time
}

// waited records the time that a request has left and returns how long its caller has probably waited.
func (b budgets) waited(key budgetKey, left time.Duration, now time.Time) time.Duration {
	if left <= 0 {
		return 0
	}
	known, ok := b[key]
	switch {
	case !ok && len(b) >= maxBudgets:
		return 0
	case left >= known.longest, now.Sub(known.seenAt) > budgetTime:
		b[key] = budget{left, now}
		return 0
	}
	return known.longest - left
}
