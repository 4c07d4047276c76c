package retry

import (
	"time"

	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/settings"
)

// Policy limits the attempts of a request. Zero means no limit, unless a field says
// otherwise.
type Policy struct {
	// MaxAttempts is the maximum number of attempts abandoned at a target or on the way
	// to one, including the first.
	MaxAttempts int
	// MaxRuns is the maximum number of attempts that may have run, including the first.
	MaxRuns int
	// MaxUnreached is the maximum number of targets that could not be reached, and
	// MaxRejections of targets that rejected the request, before the request is given up.
	MaxUnreached, MaxRejections int
	// UnreachedNotCharged reports whether an attempt at a target that could not be reached
	// is not charged to the retry budget, since nothing arrived there.
	UnreachedNotCharged bool
	// RejectionMeansNotRun reports whether a target's rejection proves that the request did
	// not run there, so that a run-once request may go to another target.
	RejectionMeansNotRun bool
	// BudgetShare is the fraction of a retry that the request adds to the retry budget.
	BudgetShare float64
	// Backoff is the mean delay before the second attempt. The mean doubles with
	// each further attempt up to BackoffMax. The delay is zero if Backoff or BackoffMax
	// is zero.
	Backoff, BackoffMax time.Duration
}

// PolicyFromSettings returns the policy for the retry settings.
func PolicyFromSettings(s settings.Retry) Policy {
	return Policy{
		MaxAttempts: s.Attempts, BudgetShare: s.BudgetRatio,
		Backoff: s.BackoffMS.Duration(), BackoffMax: s.BackoffMaxMS.Duration(),
	}
}

// Delay returns the delay after the given number of failures, which must be at least
// 1. The mean delay doubles with each failure up to BackoffMax; jitter in [0, 1)
// spreads the delay between 0.5 and 1.5 times the mean.
func (t Policy) Delay(failures int, jitter float64) time.Duration {
	mean := t.Backoff
	for i := 1; i < failures && mean < t.BackoffMax; i++ {
		mean *= 2
	}
	return time.Duration(float64(min(mean, t.BackoffMax)) * (0.5 + jitter))
}

// failureClass tells how far an attempt without a complete answer got.
type failureClass uint8

const (
	// classNotSent attempts were refused before any target was contacted.
	classNotSent failureClass = iota
	// classUnreached attempts could not reach their target.
	classUnreached
	// classRejected attempts were rejected by their target.
	classRejected
	// classDispatched attempts may have run at the target.
	classDispatched
)

func classify(e AttemptResult) failureClass {
	if e.Outcome != outcome.NotDispatched {
		return classDispatched
	}
	switch e.Reason {
	case reason.TargetDown, reason.HomeUnreachable:
		return classUnreached
	case reason.TargetRefused:
		return classRejected
	default:
		return classNotSent
	}
}

// attemptCounts counts the abandoned attempts of one request by class.
type attemptCounts struct {
	total, unreached, rejected, runs int
}

func (c *attemptCounts) add(class failureClass) {
	c.total++
	switch class {
	case classUnreached:
		c.unreached++
	case classRejected:
		c.rejected++
	case classDispatched:
		c.runs++
	}
}

// exceeds reports whether the counts rule out another attempt.
func (c *attemptCounts) exceeds(t Policy) bool {
	return (t.MaxAttempts > 0 && c.total >= t.MaxAttempts) || (t.MaxRuns > 0 && c.runs >= t.MaxRuns && !retryRunOnce) ||
		(t.MaxUnreached > 0 && c.unreached > t.MaxUnreached) || (t.MaxRejections > 0 && c.rejected > t.MaxRejections)
}
