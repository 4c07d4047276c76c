package overload

import (
	"math"
	"time"
)

const (
	// recentTime and usualTime are the time constants of what a client account sends now and usually.
	recentTime = 8 * time.Second
	usualTime  = 60 * time.Second
	// minRecent is the number of recent requests below which an account's share shows nothing.
	minRecent = 4
	// maxAccounts bounds the accounts whose requests are counted, maxPriorities the priorities. Others count as
	// usual.
	maxAccounts   = 1024
	maxPriorities = 16
	// forgottenWeight is the usual number of requests below which an account is forgotten.
	forgottenWeight = 0.1
)

// usage counts the recent requests of each client account and priority.
type usage struct {
	accounts map[uint64]*accountUsage
	// recent and usual are the sums of all accounts.
	recent, usual decaying
	// priorities holds the recent requests of each priority, as of countedAt.
	priorities [maxPriorities]float64
	countedAt  time.Time
}

type accountUsage struct{ recent, usual decaying }

// decaying is a count whose older parts weigh less.
type decaying struct {
	weight float64
	at     time.Time
}

func (d *decaying) read(over time.Duration, now time.Time) float64 {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		d.weight *= math.Exp(-elapsed.Seconds() / over.Seconds())
		d.at = now
	}
	return d.weight
}

func (d *decaying) add(over time.Duration, now time.Time) {
	d.read(over, now)
	d.weight++
}

func newUsage() usage {
	return usage{accounts: map[uint64]*accountUsage{}}
}

// add counts a request and returns how many times its usual and its fair share of the requests its account sends
// now, at least 1. The fair share is equal for all accounts.
func (u *usage) add(account uint64, priority int, now time.Time) float64 {
	u.countPriority(priority, now)
	if account == 0 {
		return 1
	}
	a := u.account(account, now)
	if a == nil {
		return 1
	}
	usualShare := a.usual.read(usualTime, now) / max(u.usual.read(usualTime, now), 1)
	for _, d := range []*decaying{&a.recent, &u.recent} {
		d.add(recentTime, now)
	}
	for _, d := range []*decaying{&a.usual, &u.usual} {
		d.add(usualTime, now)
	}
	if a.recent.weight < minRecent {
		return 1
	}
	allowed := max(usualShare, 1/float64(len(u.accounts)))
	return max(a.recent.weight/u.recent.weight/allowed, 1)
}

// account returns the counts of an account, or nil if there are too many accounts.
func (u *usage) account(account uint64, now time.Time) *accountUsage {
	a := u.accounts[account]
	if a != nil {
		return a
	}
	if len(u.accounts) >= maxAccounts {
		for id, other := range u.accounts {
			if other.usual.read(usualTime, now) < forgottenWeight {
				delete(u.accounts, id)
			}
		}
	}
	if len(u.accounts) >= maxAccounts {
		return nil
	}
	a = &accountUsage{}
	u.accounts[account] = a
	return a
}

// urgencyRank returns the part of recent requests that is more urgent than a priority, with half of those of the same
// one: from 0 for the most urgent to 1.
func (u *usage) urgencyRank(priority int) float64 {
	priority = clampPriority(priority)
	before, all := 0.0, 0.0
	for i, n := range u.priorities {
		all += n
		switch {
		case i < priority:
			before += n
		case i == priority:
			before += n / 2
		}
	}
	return before / max(all, math.SmallestNonzeroFloat64)
}

// countPriority counts a request of a priority.
func (u *usage) countPriority(priority int, now time.Time) {
	if elapsed := now.Sub(u.countedAt); elapsed > 0 {
		share := math.Exp(-elapsed.Seconds() / recentTime.Seconds())
		for i := range u.priorities {
			u.priorities[i] *= share
		}
		u.countedAt = now
	}
	u.priorities[clampPriority(priority)]++
}

// clampPriority returns the index of a priority.
func clampPriority(priority int) int {
	return min(max(priority, 0), maxPriorities-1)
}
