// Package targetnotice keeps what targets say in their responses of the requests that they
// want from this router: none for a time, or no more.
//
// The package does no I/O; the current time is a parameter. A Tracker is safe for concurrent
// use.
package targetnotice

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
)

const (
	// maxQuiet bounds the time for which one response can keep requests from a target.
	maxQuiet = 10 * time.Minute
	// maxUnlisted bounds the notices of targets that are not listed. The oldest are dropped.
	maxUnlisted = 1 << 14
	// checkInterval is the time between two checks of a later process.
	checkInterval = time.Second
)

// Tracker holds the notices of all targets to one router. A notice holds for the process that
// gave it, whether the target is listed or not.
type Tracker struct {
	// known is the number of targets with a notice. It spares the lock while there is none.
	known atomic.Int32

	mu      sync.Mutex
	notices map[fleet.TargetID]*notice
}

// notice is what a process of a target wants.
type notice struct {
	process    catalog.Process
	recordedAt time.Time
	quietUntil time.Time
	// leaving means that it wants no more requests.
	leaving bool
	// nextCheck is the earliest time of the next check of a later process.
	nextCheck time.Time
}

// NewTracker returns a tracker without notices.
func NewTracker() *Tracker {
	return &Tracker{notices: map[fleet.TargetID]*notice{}}
}

// RecordQuiet records that a target wants no requests for a time. It reports whether this
// prolongs what it asked before.
func (t *Tracker) RecordQuiet(target *catalog.Target, d time.Duration, now time.Time) bool {
	if d <= 0 {
		return false
	}
	until := now.Add(min(d, maxQuiet))
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.update(target, now)
	if !until.After(n.quietUntil) {
		return false
	}
	n.quietUntil = until
	return true
}

// RecordLeaving records that a target wants no more requests until it has a process that says
// otherwise, see RecordCheck.
// It reports whether that is new.
func (t *Tracker) RecordLeaving(target *catalog.Target, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.update(target, now)
	known := n.leaving && !target.Process().Replaces(n.process)
	if !known {
		n.process, n.leaving = target.Process(), true
	}
	return !known
}

// update returns the notice that is to be changed by what a target's process says, an empty one if
// there was none; t.mu must be held.
func (t *Tracker) update(target *catalog.Target, now time.Time) *notice {
	n := t.notices[target.ID]
	if n == nil || (!n.leaving && target.Process().Replaces(n.process)) {
		n = &notice{process: target.Process(), recordedAt: now}
		t.notices[target.ID] = n
		t.known.Store(int32(len(t.notices)))
	}
	return n
}

// find returns the notice that holds for a target, or an empty one; t.mu must be held. That a
// target leaves holds for a later process too until this is checked, since the later process may
// have said it before its entry was known.
func (t *Tracker) find(target *catalog.Target) notice {
	n := t.notices[target.ID]
	if n == nil || (!n.leaving && target.Process().Replaces(n.process)) {
		return notice{}
	}
	return *n
}

// DueCheck reports whether a target has to be asked whether its present process leaves, because a
// process of it that may be an earlier one has said so. It counts the check as made.
func (t *Tracker) DueCheck(target *catalog.Target, now time.Time) bool {
	if t.known.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.notices[target.ID]
	if n == nil || !n.leaving || !target.Process().Replaces(n.process) || now.Before(n.nextCheck) {
		return false
	}
	n.nextCheck = now.Add(checkInterval)
	return true
}

// RecordCheck records whether the present process of a target said in a check that it leaves.
func (t *Tracker) RecordCheck(target *catalog.Target, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.notices[target.ID]
	switch {
	case n == nil || !target.Process().Replaces(n.process):
	case leaving:
		n.process = target.Process()
	default:
		delete(t.notices, target.ID)
		t.known.Store(int32(len(t.notices)))
	}
}

// Unavailable reports whether a target wants no requests.
func (t *Tracker) Unavailable(target *catalog.Target, now time.Time) bool {
	if t.known.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.find(target)
	return n.leaving || n.quietUntil.After(now)
}

// Remaining returns for how long a target wants no requests; zero if it takes them, or if it
// wants no more.
func (t *Tracker) Remaining(target *catalog.Target, now time.Time) time.Duration {
	if t.known.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.find(target)
	if n.leaving {
		return 0
	}
	return max(n.quietUntil.Sub(now), 0)
}

// Prune drops the notices that have passed, and the times that replaced processes asked for.
// listed returns a target as the store has it, or nil if it is not listed.
func (t *Tracker) Prune(listed func(fleet.TargetID) *catalog.Target, now time.Time) {
	if t.known.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var unlisted []fleet.TargetID
	for id, n := range t.notices {
		target := listed(id)
		switch {
		case !n.leaving && (!n.quietUntil.After(now) || (target != nil && target.Process().Replaces(n.process))):
			delete(t.notices, id)
		case target == nil:
			unlisted = append(unlisted, id)
		}
	}
	if excess := len(unlisted) - maxUnlisted; excess > 0 {
		slices.SortFunc(unlisted, func(a, b fleet.TargetID) int { return t.notices[a].recordedAt.Compare(t.notices[b].recordedAt) })
		for _, id := range unlisted[:excess] {
			delete(t.notices, id)
		}
	}
	t.known.Store(int32(len(t.notices)))
}
