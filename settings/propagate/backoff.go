package propagate

import "time"

// maxBackoff is the maximum mean backoff between attempts.
const maxBackoff = 2 * time.Second

// backoff counts consecutive failures and doubles the backoff with each one.
type backoff struct {
	initial  time.Duration
	failures int
}

// fail records a failure. It returns the mean wait before the next attempt, and
// whether this is the first of consecutive failures; only that one is logged.
func (b *backoff) fail() (wait time.Duration, first bool) {
	wait = b.initial
	for range b.failures {
		wait = min(2*wait, maxBackoff)
	}
	b.failures++
	return wait, b.failures == 1
}

// reset records a success.
func (b *backoff) reset() {
	b.failures = 0
}
