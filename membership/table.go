package membership

import (
	"math/rand/v2"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// Table is one router's record of all others. It is deterministic, does no I/O
// and is not safe for concurrent use.
type Table struct {
	self    fleet.RouterID
	timing  Timing
	rand    *rand.Rand
	entries map[fleet.RouterID]*entry
	// listed holds the routers of the last VM list; before the first list, the
	// seeds.
	listed map[fleet.RouterID]fleet.Router
	// lastHeard is the time of the last heartbeat from each predecessor, or the
	// time at which it became a predecessor.
	lastHeard     map[fleet.RouterID]time.Time
	successors    []fleet.RouterID
	predecessors  []fleet.RouterID
	leavingVMs    leavingVMs
	updates       *updateQueue
	bucketDigests [syncBuckets]uint32

	ringsStale        bool
	changed           bool
	version           uint64
	ticksSinceRefresh int
	lastTick          time.Time
	lastProbe         time.Time
	sync              syncState
}

// NewTable returns a table that holds only self. An incarnation of zero is
// replaced by the Unix time in milliseconds, which is higher than that of
// earlier processes with the same ID.
func NewTable(self fleet.Router, timing Timing, r *rand.Rand, now time.Time) *Table {
	if self.Incarnation == 0 {
		self.Incarnation = uint64(now.UnixMilli())
	}
	t := &Table{
		self:       self.ID,
		timing:     timing,
		rand:       r,
		entries:    map[fleet.RouterID]*entry{},
		listed:     map[fleet.RouterID]fleet.Router{},
		lastHeard:  map[fleet.RouterID]time.Time{},
		leavingVMs: newLeavingVMs(),
		updates:    newUpdateQueue(now),
		lastTick:   now,
		sync:       syncState{mismatchSince: map[fleet.RouterID]time.Time{}},
	}
	t.store(&entry{router: self, since: now})
	t.announce(true)
	return t
}

// SetTiming replaces the timing.
func (t *Table) SetTiming(timing Timing) {
	if timing.Rings != t.timing.Rings {
		t.ringsStale = true
	}
	t.timing = timing
}

// Self returns the router's own record with its current incarnation.
func (t *Table) Self() fleet.Router {
	return t.entries[t.self].router
}

// Leave marks self as leaving and queues an update that announces it.
func (t *Table) Leave(now time.Time) {
	e := *t.entries[t.self]
	if e.leaving {
		return
	}
	e.leaving = true
	e.state = Leaving
	e.since = now
	e.router.Incarnation++
	t.store(&e)
	t.announce(false)
}

// ShutdownMessages returns the messages that announce to the successors that
// this router has stopped.
func (t *Table) ShutdownMessages(now time.Time) []Message {
	self := t.Self()
	gone := Update{ID: self.ID, Incarnation: self.Incarnation, State: Removed}
	t.refreshRings(now)
	return t.heartbeats(t.successors, []Update{gone})
}

// store sets an entry, updates the digest of its bucket and marks the table as
// changed.
func (t *Table) store(e *entry) {
	id := e.router.ID
	old := t.entries[id]
	bucket := syncBucket(id)
	t.bucketDigests[bucket] ^= entryDigest(old)
	t.bucketDigests[bucket] ^= entryDigest(e)
	if old == nil || old.present() != e.present() {
		t.ringsStale = true
	}
	t.entries[id] = e
	t.changed = true
}

func (t *Table) remove(id fleet.RouterID) {
	t.bucketDigests[syncBucket(id)] ^= entryDigest(t.entries[id])
	delete(t.entries, id)
	t.ringsStale = true
	t.changed = true
}

// announce queues an update with the state of self. Set full to include the
// record, when the others may not have it yet.
func (t *Table) announce(full bool) {
	e := t.entries[t.self]
	r := Update{ID: t.self, Incarnation: e.router.Incarnation, State: e.state}
	if full {
		record := e.router
		r.Router = &record
	}
	t.updates.add(r)
}

// Merge applies an update and reports whether it changed the table. An update
// that did is queued to be passed on.
func (t *Table) Merge(r Update, now time.Time) bool {
	changed := t.merge(r, now)
	if changed && r.ID != t.self {
		t.updates.add(r)
	}
	return changed
}

// merge applies an update without passing it on.
func (t *Table) merge(r Update, now time.Time) bool {
	if r.VM != "" {
		return t.mergeVM(r, now)
	}
	if r.State > Removed || r.Incarnation == 0 {
		return false
	}
	if r.ID == t.self {
		return t.refute(r, now)
	}
	old, known := t.entries[r.ID]
	if !known {
		return t.addUnknown(r, now)
	}
	if !supersedes(r, old) {
		return false
	}
	t.store(applyUpdate(old, r, now))
	return true
}

// supersedes reports whether an update is newer than an entry: by incarnation,
// then by state.
func supersedes(r Update, e *entry) bool {
	if r.Incarnation != e.router.Incarnation {
		return r.Incarnation > e.router.Incarnation
	}
	return r.State > e.state
}

// applyUpdate returns a copy of an entry changed by an update that supersedes
// it.
func applyUpdate(old *entry, r Update, now time.Time) *entry {
	e := *old
	newer := r.Incarnation > e.router.Incarnation
	if r.Router != nil && r.Router.ID == r.ID {
		e.router = *r.Router
	}
	e.router.Incarnation = r.Incarnation
	e.leaving = r.Leaving || r.State == Leaving || (e.leaving && !newer)
	e.shutdown = r.State == Removed
	e.state = r.State
	e.since = now
	return &e
}

// addUnknown adds a router that has no entry yet. It needs the full record.
func (t *Table) addUnknown(r Update, now time.Time) bool {
	if r.Router == nil || r.Router.ID != r.ID || r.State == Removed || len(t.entries) >= maxEntries {
		return false
	}
	e := &entry{router: *r.Router, state: r.State, leaving: r.Leaving || r.State == Leaving, since: now}
	e.router.Incarnation = r.Incarnation
	t.store(e)
	return true
}

// refute raises the incarnation of self if an update about self supersedes what
// self announced, and announces the result.
func (t *Table) refute(r Update, now time.Time) bool {
	e := *t.entries[t.self]
	current := e.router.Incarnation
	if r.Incarnation < current || (r.Incarnation == current && r.State <= e.state) {
		return false
	}
	e.router.Incarnation = r.Incarnation + 1
	e.since = now
	t.store(&e)
	t.announce(false)
	return true
}
