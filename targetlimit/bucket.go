package targetlimit

import (
	"math"
	"time"
)

const (
	// window is the span in which the sends stay within a limit of 1 per second or more.
	window = 4 * time.Second
	// burstSeconds is the time for which unused permits are kept, and minDepth the least
	// number of them.
	burstSeconds = 0.4
	minDepth     = 2
	// reserve is the part of a permit that is kept for sends with a higher precedence.
	reserve = 0.6
)

// MaxWait bounds the time until the next permit.
const MaxWait = 2 * time.Second

// Answer is the answer to a request for a permit.
type Answer struct {
	// Answered is false if the holder of the target's permits could not be asked.
	Answered, Granted bool
	// Wait is the time until the next permit, if this one was denied.
	Wait time.Duration
}

// bucket is a token bucket that starts empty and whose rate may change at any time.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// take takes a token at a limit in requests per second, if kept others are left. Without
// one it returns false and the time until there is one.
func (b *bucket) take(limit, kept float64, now time.Time) (bool, time.Duration) {
	depth := max(limit*burstSeconds, minDepth)
	rate := steadyRate(limit)
	if b.refilledAt.IsZero() {
		b.refilledAt = now
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens += rate * elapsed.Seconds()
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, depth)
	if b.tokens >= 1+kept {
		b.tokens--
		return true, 0
	}
	if rate <= 0 {
		return false, MaxWait
	}
	return false, min(time.Duration(math.Ceil((1+kept-b.tokens)/rate*float64(time.Second))), MaxWait)
}

// steadyRate returns the rate of tokens under a limit, per second: what a full bucket adds
// within window is left out.
func steadyRate(limit float64) float64 {
	return max(limit-max(limit*burstSeconds, minDepth)/window.Seconds(), limit/2)
}
