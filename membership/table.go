package membership

import (
	"math/rand/v2"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// Table is one router's knowledge of the others. It is deterministic, does no
// I/O and is not safe for concurrent use.
type Table struct {
	self    fleet.RouterID
	timing  Timing
	rand    *rand.Rand
	entries map[fleet.RouterID]*entry
	// base names the routers of the VM list and the seeds.
	base map[fleet.RouterID]fleet.Router
	// heard is when each predecessor was last heard, or became one.
	heard  map[fleet.RouterID]time.Time
	next   []fleet.RouterID
	prev   []fleet.RouterID
	vms    vmList
	queue  *queue
	digest [syncBuckets]uint32

	ringsStale bool
	changed    bool
	version    uint64
	beats      int
	lastTick   time.Time
	lastProbe  time.Time
	sync       syncState
}

// NewTable returns a table that knows only self. An incarnation of zero is
// replaced by the time in milliseconds, which is higher than in earlier lives.
func NewTable(self fleet.Router, timing Timing, r *rand.Rand, now time.Time) *Table {
	if self.Incarnation == 0 {
		self.Incarnation = uint64(now.UnixMilli())
	}
	t := &Table{
		self:     self.ID,
		timing:   timing,
		rand:     r,
		entries:  map[fleet.RouterID]*entry{},
		base:     map[fleet.RouterID]fleet.Router{},
		heard:    map[fleet.RouterID]time.Time{},
		vms:      newVMList(),
		queue:    newQueue(now),
		lastTick: now,
		sync:     syncState{differs: map[fleet.RouterID]time.Time{}},
	}
	t.put(&entry{router: self, since: now})
	t.announce(true)
	return t
}

// SetTiming changes the periods.
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

// Leave marks self as leaving and announces it.
func (t *Table) Leave(now time.Time) {
	e := *t.entries[t.self]
	if e.leaving {
		return
	}
	e.leaving = true
	e.state = Leaving
	e.since = now
	e.router.Incarnation++
	t.put(&e)
	t.announce(false)
}

// Farewell returns the messages that tell the neighbours that self has ended.
func (t *Table) Farewell(now time.Time) []Message {
	self := t.Self()
	end := Rumour{ID: self.ID, Incarnation: self.Incarnation, State: Gone}
	t.refreshRings(now)
	return t.address(t.next, []Rumour{end})
}

// put stores an entry and keeps digests, rings and version in step.
func (t *Table) put(e *entry) {
	id := e.router.ID
	old := t.entries[id]
	bucket := bucketOf(id)
	t.digest[bucket] ^= fingerprint(old)
	t.digest[bucket] ^= fingerprint(e)
	if old == nil || old.present() != e.present() {
		t.ringsStale = true
	}
	t.entries[id] = e
	t.changed = true
}

func (t *Table) drop(id fleet.RouterID) {
	t.digest[bucketOf(id)] ^= fingerprint(t.entries[id])
	delete(t.entries, id)
	t.ringsStale = true
	t.changed = true
}

// announce queues a rumour of self, with its full record if it is new to the
// others.
func (t *Table) announce(full bool) {
	e := t.entries[t.self]
	r := Rumour{ID: t.self, Incarnation: e.router.Incarnation, State: e.state}
	if full {
		record := e.router
		r.Router = &record
	}
	t.queue.add(r)
}

// Merge takes in one rumour and passes it on if it changed the table, which
// it reports.
func (t *Table) Merge(r Rumour, now time.Time) bool {
	changed := t.merge(r, now)
	if changed && r.ID != t.self {
		t.queue.add(r)
	}
	return changed
}

// merge takes in one rumour.
func (t *Table) merge(r Rumour, now time.Time) bool {
	if r.VM != "" {
		return t.mergeVM(r, now)
	}
	if r.State > Gone || r.Incarnation == 0 {
		return false
	}
	if r.ID == t.self {
		return t.refute(r, now)
	}
	old, known := t.entries[r.ID]
	if !known {
		return t.learn(r, now)
	}
	if !supersedes(r, old) {
		return false
	}
	t.put(updated(old, r, now))
	return true
}

func supersedes(r Rumour, e *entry) bool {
	if r.Incarnation != e.router.Incarnation {
		return r.Incarnation > e.router.Incarnation
	}
	return r.State > e.state
}

func updated(old *entry, r Rumour, now time.Time) *entry {
	e := *old
	newer := r.Incarnation > e.router.Incarnation
	if r.Router != nil && r.Router.ID == r.ID {
		e.router = *r.Router
	}
	e.router.Incarnation = r.Incarnation
	e.leaving = r.Leaving || r.State == Leaving || (e.leaving && !newer)
	e.left = r.State == Gone
	e.state = r.State
	e.since = now
	return &e
}

// learn adds a router that the table did not know.
func (t *Table) learn(r Rumour, now time.Time) bool {
	if r.Router == nil || r.Router.ID != r.ID || r.State == Gone || len(t.entries) >= maxEntries {
		return false
	}
	e := &entry{router: *r.Router, state: r.State, leaving: r.Leaving || r.State == Leaving, since: now}
	e.router.Incarnation = r.Incarnation
	t.put(e)
	return true
}

// refute answers a rumour of self that is not what self announced.
func (t *Table) refute(r Rumour, now time.Time) bool {
	e := *t.entries[t.self]
	own := e.router.Incarnation
	if r.Incarnation < own || (r.Incarnation == own && r.State <= e.state) {
		return false
	}
	e.router.Incarnation = r.Incarnation + 1
	e.since = now
	t.put(&e)
	t.announce(false)
	return true
}
