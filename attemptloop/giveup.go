package attemptloop

import (
	"sync"
	"time"
)

// giveUpInterval is how often a GiveUpTimer that has expired asks again whether the
// attempt may be given up.
const giveUpInterval = 100 * time.Millisecond

// GiveUpTimer ends an attempt whose peer sends nothing within a timeout, as soon as that
// is allowed. It is safe for concurrent use.
type GiveUpTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	timeout time.Duration
	// deadline is zero while the timer is paused. The next check is at checkAt.
	deadline, checkAt time.Time
	stopped, gaveUp   bool
	giveUp            func() bool
}

// StartGiveUpTimer starts a timer that calls giveUp once timeout has passed without a
// restart, and again and again until it returns true, which means that it has ended the
// attempt. With a timeout of zero the timer never expires.
func StartGiveUpTimer(timeout time.Duration, giveUp func() bool) *GiveUpTimer {
	t := &GiveUpTimer{timeout: timeout, giveUp: giveUp}
	if timeout <= 0 {
		return t
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deadline = time.Now().Add(timeout)
	t.checkAt = t.deadline
	t.timer = time.AfterFunc(timeout, t.check)
	return t
}

// check ends the attempt or schedules the next check.
func (t *GiveUpTimer) check() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	wait := t.timeout
	if !t.deadline.IsZero() {
		wait = time.Until(t.deadline)
	}
	if wait <= 0 {
		if t.gaveUp = t.giveUp(); t.gaveUp {
			return
		}
		wait = giveUpInterval
	}
	t.schedule(wait)
}

// schedule sets the time of the next check; t.mu must be held.
func (t *GiveUpTimer) schedule(wait time.Duration) {
	t.checkAt = time.Now().Add(wait)
	t.timer.Reset(wait)
}

// Pause suspends the timer until the next Restart.
func (t *GiveUpTimer) Pause() {
	if t.timer == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deadline = time.Time{}
}

// Restart starts the timeout anew, with another duration. It does nothing on a timer that
// never expires, is stopped, or has ended the attempt.
func (t *GiveUpTimer) Restart(timeout time.Duration) {
	if t.timer == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.gaveUp {
		return
	}
	t.timeout, t.deadline = timeout, time.Now().Add(timeout)
	// Otherwise the check that is due finds the new deadline.
	if t.deadline.Before(t.checkAt) {
		t.schedule(timeout)
	}
}

// Stop stops the timer and reports whether the attempt was not ended. giveUp is not in
// progress when it returns, and not called later.
func (t *GiveUpTimer) Stop() bool {
	if t.timer == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
	return !t.gaveUp
}
