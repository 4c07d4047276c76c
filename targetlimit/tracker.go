package targetlimit

import (
	"sync"
	"sync/atomic"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// maxTargets bounds the targets with a known limit. The fleet size expected in two years
// is 10,000 targets.
const maxTargets = 16384

// Tracker holds what one router knows of the limits of targets.
type Tracker struct {
	// known is the number of targets with state. It spares the lock while there is none.
	known atomic.Int32
	// knownBrittle is the same for brittle targets.
	knownBrittle atomic.Int32

	mu      sync.Mutex
	targets map[fleet.TargetID]*target
	brittle map[fleet.TargetID]*brittle
}

// target is the state of one target.
type target struct {
	report Report
	// granted is what this router grants as the target's holder, own the bucket from
	// which it takes its own part while no holder answers.
	granted permits
	own     bucket
}

// NewTracker returns a tracker that knows no limits.
func NewTracker() *Tracker {
	return &Tracker{targets: map[fleet.TargetID]*target{}, brittle: map[fleet.TargetID]*brittle{}}
}

// Change tells that a target became limited or is no longer.
type Change struct {
	Limited   bool
	PerSecond float64
}

// RecordNamed records that a target named a limit in a response. It returns false if
// the target was limited before.
func (t *Tracker) RecordNamed(id fleet.TargetID, perSecond float64, now time.Time) (Change, bool) {
	return t.Merge(id, Report{PerSecond: perSecond, At: now}, now)
}

// RecordUnnamed records a response in which a target named no limit. It returns false if
// the target had none before.
func (t *Tracker) RecordUnnamed(id fleet.TargetID, now time.Time) (Change, bool) {
	if t.known.Load() == 0 {
		return Change{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.targets[id]
	if state == nil || state.report.Lifted {
		return Change{}, false
	}
	return t.merge(id, Report{PerSecond: state.report.PerSecond, Lifted: true, At: now}, now)
}

// Merge adds what another router knows. It returns false if nothing but the rate has
// changed.
func (t *Tracker) Merge(id fleet.TargetID, r Report, now time.Time) (Change, bool) {
	if r.Lifted && t.known.Load() == 0 {
		return Change{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(id, r, now)
}

// merge is Merge; t.mu must be held.
func (t *Tracker) merge(id fleet.TargetID, r Report, now time.Time) (Change, bool) {
	if r.At.After(now) {
		r.At = now
	}
	state := t.targets[id]
	if r.tooOld(now) || (state != nil && !r.At.After(state.report.At)) {
		return Change{}, false
	}
	if state == nil {
		if r.Lifted || len(t.targets) >= maxTargets {
			return Change{}, false
		}
		state = &target{report: Report{Lifted: true}}
		t.targets[id] = state
		t.known.Store(int32(len(t.targets)))
	}
	changed := state.report.Lifted != r.Lifted
	state.report = r
	return Change{Limited: !r.Lifted, PerSecond: r.PerSecond}, changed
}

// Report returns what is known of a target's limit, or false if nothing is.
func (t *Tracker) Report(id fleet.TargetID, now time.Time) (Report, bool) {
	if t.known.Load() == 0 {
		return Report{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.targets[id]
	if state == nil || state.report.tooOld(now) {
		return Report{}, false
	}
	return state.report, true
}

// IsLimited reports whether the sends to a target need permits.
func (t *Tracker) IsLimited(id fleet.TargetID, now time.Time) bool {
	r, ok := t.Report(id, now)
	if !ok {
		return false
	}
	_, limited := r.rate(now)
	return limited
}

// Reports returns what is known of the limits of all targets, lifted ones included.
func (t *Tracker) Reports(now time.Time) map[fleet.TargetID]Report {
	if t.known.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := make(map[fleet.TargetID]Report, len(t.targets))
	for id, state := range t.targets {
		if !state.report.tooOld(now) {
			reports[id] = state.report
		}
	}
	return reports
}

// Grant grants one send to a target, by any router, or returns the time until the next
// permit. Only the target's holder may call it. share is the fraction of the limit, and of
// the rejections that a brittle target bears, that the holder may use up.
func (t *Tracker) Grant(id fleet.TargetID, precedence Precedence, share float64, now time.Time) (bool, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if granted, wait := t.takeBrittle(id, share, now); !granted {
		return false, wait
	}
	state, rate := t.limitedState(id, now)
	if state == nil {
		return true, 0
	}
	return state.granted.take(rate*share, precedence, now)
}

// TakeOwnPart grants one send to a target by this router while the holder of its permits
// does not answer. part is the fraction of the limit that is this router's.
func (t *Tracker) TakeOwnPart(id fleet.TargetID, part float64, now time.Time) (bool, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if granted, wait := t.takeBrittle(id, part, now); !granted {
		return false, wait
	}
	state, rate := t.limitedState(id, now)
	if state == nil {
		return true, 0
	}
	return state.own.take(rate*part, 0, now)
}

// limitedState returns the state of a target and its rate, or nil if it has no limit.
// t.mu must be held.
func (t *Tracker) limitedState(id fleet.TargetID, now time.Time) (*target, float64) {
	state := t.targets[id]
	if state == nil {
		return nil, 0
	}
	rate, limited := state.report.rate(now)
	if !limited {
		return nil, 0
	}
	return state, rate
}

// HolderAnswered empties this router's own part of a limit, which accrues only while the
// holder does not answer.
func (t *Tracker) HolderAnswered(id fleet.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state := t.targets[id]; state != nil {
		state.own = bucket{}
	}
}

// KnowsAny reports whether something is known of the limit of any target.
func (t *Tracker) KnowsAny() bool {
	return t.known.Load() > 0
}

// Limited returns the number of targets with a limit.
func (t *Tracker) Limited(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	limited := 0
	for _, state := range t.targets {
		if _, ok := state.report.rate(now); ok {
			limited++
		}
	}
	return limited
}

// Reset drops the state of a target whose process was restarted.
func (t *Tracker) Reset(id fleet.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.targets, id)
	delete(t.brittle, id)
	t.countKnown()
}

// countKnown updates the numbers of targets with state; t.mu must be held.
func (t *Tracker) countKnown() {
	t.known.Store(int32(len(t.targets)))
	t.knownBrittle.Store(int32(len(t.brittle)))
}

// Prune drops what is too old. A target keeps its limit while its entry is away from the store.
func (t *Tracker) Prune(now time.Time) {
	if t.known.Load() == 0 && t.knownBrittle.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, state := range t.targets {
		if state.report.tooOld(now) {
			delete(t.targets, id)
		}
	}
	for id, b := range t.brittle {
		if now.Sub(b.report.At) >= brittleLifetime {
			delete(t.brittle, id)
		}
	}
	t.countKnown()
}
