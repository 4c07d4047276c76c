package keyjournal

import "time"

const (
	writeBurst    = 4
	backoffGrowth = 2
	backoffDecay  = 0.97
	maxBackoff    = time.Second
	minBackoff    = 10 * time.Millisecond
)

// RateLimiter limits one router's writes of a shard: at most one per interval in
// the steady state, after a burst of writeBurst writes. The interval grows when
// the platform refuses a write for its rate and shrinks with each write that
// succeeds. It is not safe for concurrent use.
type RateLimiter struct {
	// reserved is the time up to which the intervals of earlier writes extend.
	reserved time.Time
	// backoff is the minimum interval after refusals, zero once it has decayed
	// below minBackoff.
	backoff time.Duration
}

// Delay returns how long to collect operations before the next write: at least
// minDelay.
func (r *RateLimiter) Delay(now time.Time, minDelay, interval time.Duration) time.Duration {
	interval = max(interval, r.backoff)
	earliest := r.reserved.Add(-writeBurst * interval)
	return max(minDelay, earliest.Sub(now), r.backoff)
}

// RecordStart records that a write starts.
func (r *RateLimiter) RecordStart(now time.Time, interval time.Duration) {
	if r.reserved.Before(now) {
		r.reserved = now
	}
	r.reserved = r.reserved.Add(max(interval, r.backoff))
}

// RecordRefusal records a write that the platform refused for its rate.
func (r *RateLimiter) RecordRefusal(interval time.Duration) {
	r.backoff = min(maxBackoff, max(minBackoff, interval, r.backoff)*backoffGrowth)
}

// RecordSuccess records a write that succeeded.
func (r *RateLimiter) RecordSuccess() {
	r.backoff = time.Duration(float64(r.backoff) * backoffDecay)
	if r.backoff < minBackoff {
		r.backoff = 0
	}
}
