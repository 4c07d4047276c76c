package retry

import (
	"time"

	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/settings"
)

// Terms bound the attempts of a request. A bound of zero is none.
type Terms struct {
	// Attempts is the most attempts given up at a target or on the way there, the
	// first included.
	Attempts int
	// Runs is the most attempts that may have run, the first included.
	Runs int
	// Unreached and Rejections are the most targets that could not be reached, and
	// that refused the request, after which another one is tried.
	Unreached, Rejections int
	// UnreachedFree says that a target which could not be reached takes nothing
	// from the allowance: nothing arrived there.
	UnreachedFree bool
	// RejectionsProve says that a target's refusal proves that the request did not
	// run there, so that one which may run once can go elsewhere.
	RejectionsProve bool
	// Share is the part of a repeat that the request adds to the allowance.
	Share float64
	// Backoff is the mean wait before the second attempt; it doubles up to
	// BackoffMax. Zero waits not at all.
	Backoff, BackoffMax time.Duration
}

// TermsOf returns the terms of the settings.
func TermsOf(s settings.Retry) Terms {
	return Terms{
		Attempts: s.Attempts, Share: s.BudgetRatio,
		Backoff: s.BackoffMS.Duration(), BackoffMax: s.BackoffMaxMS.Duration(),
	}
}

// Wait is the time before the attempt after the given number of failures, 1 or
// more: its mean doubles with each failure up to the limit, and jitter in [0, 1)
// spreads it from half the mean to one and a half times it.
func (t Terms) Wait(failures int, jitter float64) time.Duration {
	mean := t.Backoff
	for i := 1; i < failures && mean < t.BackoffMax; i++ {
		mean *= 2
	}
	return time.Duration(float64(min(mean, t.BackoffMax)) * (0.5 + jitter))
}

// class says how far an attempt got that did not bring the whole answer.
type class uint8

const (
	// untouched attempts were refused before any target was asked.
	untouched class = iota
	// unreached attempts found no way to their target.
	unreached
	// rejected attempts were refused by their target.
	rejected
	// ran means that the target may have run the request.
	ran
)

func classOf(e End) class {
	if e.Outcome != outcome.NotDispatched {
		return ran
	}
	switch e.Reason {
	case reason.TargetDown, reason.HomeUnreachable:
		return unreached
	case reason.TargetRefused:
		return rejected
	default:
		return untouched
	}
}

// counts are the attempts of one request that were given up.
type counts struct {
	all, unreached, rejected, runs int
}

func (c *counts) add(of class) {
	c.all++
	switch of {
	case unreached:
		c.unreached++
	case rejected:
		c.rejected++
	case ran:
		c.runs++
	}
}

// over reports whether no further attempt is allowed.
func (c *counts) over(t Terms) bool {
	return (t.Attempts > 0 && c.all >= t.Attempts) || (t.Runs > 0 && c.runs >= t.Runs && !repeatsOnce) ||
		(t.Unreached > 0 && c.unreached > t.Unreached) || (t.Rejections > 0 && c.rejected > t.Rejections)
}
