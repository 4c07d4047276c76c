package admission

import (
	"math"
	"time"
)

// bucket is a token bucket whose rate and depth may change at any time.
type bucket struct {
	tokens float64
	filled time.Time
}

// newBucket returns a full bucket.
func newBucket(depth float64, now time.Time) bucket {
	return bucket{tokens: depth, filled: now}
}

// fill adds what flowed in since the last call, at rate tokens a second.
func (b *bucket) fill(now time.Time, rate, depth float64) {
	elapsed := now.Sub(b.filled).Seconds()
	if elapsed > 0 {
		b.tokens += elapsed * rate
		b.filled = now
	}
	b.tokens = min(b.tokens, depth)
}

// wait returns how long it takes until a token is there.
func (b *bucket) wait(rate float64) time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	if rate <= 0 {
		return longestRetryAfter
	}
	seconds := (1 - b.tokens) / rate
	return min(time.Duration(math.Ceil(seconds*1e9)), longestRetryAfter)
}
