package admission

import (
	"math"
	"time"
)

// bucket is a token bucket whose rate and depth may change at any time.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// newBucket returns a full bucket.
func newBucket(depth float64, now time.Time) bucket {
	return bucket{tokens: depth, refilledAt: now}
}

// refill adds the tokens accrued since the last call, at rate tokens per second.
func (b *bucket) refill(now time.Time, rate, depth float64) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed > 0 {
		b.tokens += elapsed * rate
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, depth)
}

// wait returns the time until one token is available, at most maxRetryAfter.
func (b *bucket) wait(rate float64) time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := (1 - b.tokens) / rate
	return min(time.Duration(math.Ceil(seconds*1e9)), maxRetryAfter)
}
