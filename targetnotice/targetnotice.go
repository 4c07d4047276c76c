// Package targetnotice keeps what targets say in their responses of the requests that they
// want from this router: none for a time, or no more.
//
// The package does no I/O; the current time is a parameter. A Tracker is safe for concurrent
// use.
package targetnotice

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// maxQuiet bounds the time for which one response can keep requests from a target.
const maxQuiet = 10 * time.Minute

// Tracker holds the notices of all targets to one router.
type Tracker struct {
	// known is the number of targets with a notice. It spares the lock while there is none.
	known atomic.Int32

	mu    sync.Mutex
	quiet map[fleet.TargetID]time.Time
	// leaving holds the targets that want no more requests.
	leaving map[fleet.TargetID]bool
}

// NewTracker returns a tracker without notices.
func NewTracker() *Tracker {
	return &Tracker{quiet: map[fleet.TargetID]time.Time{}, leaving: map[fleet.TargetID]bool{}}
}

// RecordQuiet records that a target wants no requests for a time. It reports whether this
// prolongs what it asked before.
func (t *Tracker) RecordQuiet(id fleet.TargetID, d time.Duration, now time.Time) bool {
	if d <= 0 {
		return false
	}
	until := now.Add(min(d, maxQuiet))
	t.mu.Lock()
	defer t.mu.Unlock()
	if !until.After(t.quiet[id]) {
		return false
	}
	t.quiet[id] = until
	t.updateKnown()
	return true
}

// updateKnown updates the counter that is read without the lock; t.mu must be held.
func (t *Tracker) updateKnown() {
	t.known.Store(int32(len(t.quiet) + len(t.leaving)))
}

// RecordLeaving records that a target wants no more requests until its process is restarted.
// It reports whether that is new.
func (t *Tracker) RecordLeaving(id fleet.TargetID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.leaving[id]
	t.leaving[id] = true
	t.updateKnown()
	return !known
}

// Unavailable reports whether a target wants no requests.
func (t *Tracker) Unavailable(id fleet.TargetID, now time.Time) bool {
	if t.known.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving[id] || t.quiet[id].After(now)
}

// Remaining returns for how long a target wants no requests; zero if it takes them, or if it
// wants no more.
func (t *Tracker) Remaining(id fleet.TargetID, now time.Time) time.Duration {
	if t.known.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving[id] {
		return 0
	}
	return max(t.quiet[id].Sub(now), 0)
}

// Reset forgets the notices of a target whose process was restarted.
func (t *Tracker) Reset(id fleet.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.quiet, id)
	delete(t.leaving, id)
	t.updateKnown()
}

// Retain drops the notices that have passed and those of targets for which keep returns false.
func (t *Tracker) Retain(keep func(fleet.TargetID) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, until := range t.quiet {
		if !keep(id) || !until.After(now) {
			delete(t.quiet, id)
		}
	}
	maps.DeleteFunc(t.leaving, func(id fleet.TargetID, _ bool) bool { return !keep(id) })
	t.updateKnown()
}
