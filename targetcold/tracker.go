package targetcold

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
)

const (
	// maxTargets bounds the targets with state. The fleet size expected in two years is 10,000
	// targets.
	maxTargets = 16384
	// After the cold time the rate doubles every rampDoubling, and nothing is bounded after
	// rampPeriod, so that the requests do not return all at once.
	rampDoubling = time.Second
	rampPeriod   = 2 * time.Second
	// toldLag is how long after a target said that it is cold an entry that says otherwise may
	// be older than that.
	toldLag = 5 * time.Second
	// stateLifetime is how long the state of a target is kept after its last use.
	stateLifetime = time.Minute
)

// Source tells how a router knows that a target is cold.
type Source string

// Sources of a cold time.
const (
	FromEntry Source = "entry"
	// FromAnswer means that a response of the target says so.
	FromAnswer Source = "answer"
	// FromReturn means that the target could be reached again, and that its entry does not yet
	// tell whether its process is another one.
	FromReturn Source = "return"
)

// Tracker holds what one router knows of cold targets beside their entries, and what it grants.
type Tracker struct {
	bounds Bounds
	epoch  time.Time
	seed   uint64
	// known is the number of targets with state, told that of those with a cold time that is not
	// from their entry. They spare the lock while there is none.
	known, told atomic.Int32

	mu      sync.Mutex
	targets map[fleet.TargetID]*state
}

// state is the state of one target.
type state struct {
	granted bucket
	// ownTurnAt is when this router last used a turn to send without a permit.
	ownTurnAt   time.Time
	deniedUntil time.Time
	told        told
	usedAt      time.Time
}

// told is a cold time that is not from the target's entry.
type told struct {
	until, at time.Time
	source    Source
	// process is that of the entry at the time.
	process catalog.Process
}

// NewTracker returns a tracker under bounds. epoch is the present time; seed is random and tells
// the turns of this router from those of the others.
func NewTracker(bounds Bounds, epoch time.Time, seed uint64) *Tracker {
	return &Tracker{bounds: bounds, epoch: epoch, seed: seed, targets: map[fleet.TargetID]*state{}}
}

// InForce reports whether cold targets of any service may be bounded.
func (t *Tracker) InForce() bool {
	return t.bounds.InForce()
}

// Bounded reports whether the cold targets of a service are bounded; with a nil tracker, none are.
func (t *Tracker) Bounded(s *catalog.Service) bool {
	return t != nil && t.bounds.InForce() && s.ColdPerSecond > 0
}

// MayBeCold reports whether anything speaks for a target being cold. It is cheap.
func (t *Tracker) MayBeCold(target *catalog.Target) bool {
	return t.bounds.InForce() && (!target.ColdUntil.IsZero() || target.ColdError != nil || t.told.Load() > 0)
}

// getOrCreate returns the state of a target, or nil if there are too many. t.mu must be held.
func (t *Tracker) getOrCreate(id fleet.TargetID, now time.Time) *state {
	s := t.targets[id]
	if s == nil {
		if len(t.targets) >= maxTargets {
			return nil
		}
		s = &state{}
		t.targets[id] = s
		t.known.Store(int32(len(t.targets)))
	}
	s.usedAt = now
	return s
}

// RecordAnswer records that a target said in a response how much longer it stays cold. Responses
// lengthen the cold time only: a false one must not end it.
func (t *Tracker) RecordAnswer(target *catalog.Target, remaining time.Duration, now time.Time) {
	if remaining > 0 {
		t.record(target, told{until: now.Add(remaining), at: now, source: FromAnswer, process: target.Process()}, now)
	}
}

// RecordReturn records that a target can be reached again, which may be a new process that is
// cold for coldStart. The next entry of the target tells.
func (t *Tracker) RecordReturn(target *catalog.Target, coldStart time.Duration, now time.Time) {
	if coldStart > 0 {
		t.record(target, told{until: now.Add(coldStart), at: now, source: FromReturn, process: target.Process()}, now)
	}
}

func (t *Tracker) record(target *catalog.Target, new told, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.getOrCreate(target.ID, now); s != nil && (new.until.After(s.told.until) || !s.told.holds(target)) {
		if s.told.until.IsZero() {
			t.told.Add(1)
		}
		s.told = new
	}
}

// holds reports whether a cold time still counts beside the target's entry.
func (c *told) holds(target *catalog.Target) bool {
	switch {
	case c.until.IsZero():
		return false
	case c.source == FromReturn:
		return target.Revision == c.process.Revision && target.Era == c.process.Era
	case !target.StartedAt.Equal(c.process.StartedAt):
		return false
	default:
		return target.ColdError != nil || target.ReadAt.Before(c.at.Add(toldLag))
	}
}

// End returns until when a target of a service is cold, and how that is known. The zero time
// means that it never was.
func (t *Tracker) End(target *catalog.Target, s *catalog.Service) (time.Time, Source) {
	end, source := target.ColdEnd(s.ColdStart), FromEntry
	if t.told.Load() == 0 {
		return end, source
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if state := t.targets[target.ID]; state != nil && state.told.until.After(end) && state.told.holds(target) {
		return state.told.until, state.told.source
	}
	return end, source
}

// Cold reports whether sends to a target of a service need permits: it is cold, or was a moment
// ago.
func (t *Tracker) Cold(target *catalog.Target, s *catalog.Service, now time.Time) bool {
	if !t.Bounded(s) {
		return false
	}
	end, _ := t.End(target, s)
	return !end.IsZero() && now.Sub(end) < rampPeriod
}

// Ramp returns the factor of the rate of a target of a service: one while it is cold, and more
// for a moment afterwards.
func (t *Tracker) Ramp(target *catalog.Target, s *catalog.Service, now time.Time) float64 {
	end, _ := t.End(target, s)
	since := now.Sub(end)
	if since <= 0 || since >= rampPeriod {
		// Another router that asks for permits has reason to take the target for cold.
		return 1
	}
	return math.Exp2(since.Seconds() / rampDoubling.Seconds())
}

// Reset drops what is known of a target whose process was restarted, but not what was granted.
func (t *Tracker) Reset(id fleet.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[id]; s != nil {
		t.forget(s)
	}
}

// Prune drops the state of targets that were not cold lately.
func (t *Tracker) Prune(now time.Time) {
	if t.known.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.targets {
		if now.Sub(s.usedAt) >= stateLifetime && now.After(s.told.until) {
			t.forget(s)
			delete(t.targets, id)
		}
	}
	t.known.Store(int32(len(t.targets)))
}

// forget drops what a target told beside its entry; t.mu must be held.
func (t *Tracker) forget(s *state) {
	if !s.told.until.IsZero() {
		t.told.Add(-1)
	}
	s.told = told{}
}
