package propagate

import "time"

// backoffMax is the longest mean pause between attempts.
const backoffMax = 2 * time.Second

// backoff counts failures in a row and doubles the pause with each.
type backoff struct {
	first    time.Duration
	failures int
}

// fail notes a failure and returns the mean pause before the next attempt, and
// whether it is the first in a row, which alone is logged.
func (b *backoff) fail() (wait time.Duration, first bool) {
	wait = b.first
	for range b.failures {
		wait = min(2*wait, backoffMax)
	}
	b.failures++
	return wait, b.failures == 1
}

// reset ends a row of failures.
func (b *backoff) reset() {
	b.failures = 0
}
