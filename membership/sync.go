package membership

import (
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// syncState decides when and with whom tables are compared in full.
type syncState struct {
	// differs is since when a neighbour's digest differs from the own one.
	differs map[fleet.RouterID]time.Time
	// wanted is the router to compare with next, if any.
	wanted fleet.RouterID
	// done says that a first comparison has succeeded.
	done     bool
	last     time.Time
	interval time.Duration
}

// sum folds the digests of all buckets into one.
func (t *Table) sum() uint32 {
	var sum uint32
	for _, d := range t.digest {
		sum = sum*16777619 ^ d
	}
	return sum
}

// compare notices a difference to a neighbour's table that lasts.
func (t *Table) compare(from fleet.RouterID, digest uint32, now time.Time) {
	if digest == t.sum() {
		delete(t.sync.differs, from)
		return
	}
	since, differs := t.sync.differs[from]
	if !differs {
		if _, watched := t.heard[from]; watched {
			t.sync.differs[from] = now
		}
		return
	}
	if now.Sub(since) >= syncDelay {
		t.sync.wanted = from
	}
}

// SyncWith returns a router to exchange tables with, if one is due: any listed
// one at the start, later a neighbour whose table differs for long.
func (t *Table) SyncWith(now time.Time) (fleet.Router, SyncRequest, bool) {
	if !t.sync.done {
		r, ok := t.anyListed()
		return r, t.SyncRequest(), ok
	}
	if t.sync.wanted == "" || now.Sub(t.sync.last) < t.sync.interval {
		return fleet.Router{}, SyncRequest{}, false
	}
	e, known := t.entries[t.sync.wanted]
	t.sync.wanted = ""
	clear(t.sync.differs)
	if !known {
		return fleet.Router{}, SyncRequest{}, false
	}
	t.sync.last = now
	return e.router, t.SyncRequest(), true
}

func (t *Table) anyListed() (fleet.Router, bool) {
	if len(t.base) == 0 {
		return fleet.Router{}, false
	}
	ids := make([]fleet.RouterID, 0, len(t.base))
	for id := range t.base {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return t.base[ids[t.rand.IntN(len(ids))]], true
}

// SyncRequest returns the request that describes the table.
func (t *Table) SyncRequest() SyncRequest {
	return SyncRequest{Self: t.Self(), Digests: append([]uint32(nil), t.digest[:]...)}
}

// AnswerSync answers a request with the entries of the buckets that differ,
// and takes in the caller's record.
func (t *Table) AnswerSync(from fleet.RouterID, req SyncRequest, now time.Time) SyncAnswer {
	if req.Self.ID == from {
		t.meet(req.Self, Alive, now)
	}
	var answer SyncAnswer
	var bytes int
	for _, id := range t.sortedIDs() {
		e := t.entries[id]
		bucket := bucketOf(id)
		if e.router.Incarnation == 0 || (bucket < len(req.Digests) && req.Digests[bucket] == t.digest[bucket]) {
			continue
		}
		r := t.describe(e)
		bytes += r.size()
		if bytes > maxSyncBytes {
			break
		}
		answer.Rumours = append(answer.Rumours, r)
	}
	answer.LeavingVMs = t.vms.names()
	return answer
}

// describe states an entry for another table. A removal that the router did
// not announce itself goes out as a suspicion, which it can refute.
func (t *Table) describe(e *entry) Rumour {
	record := e.router
	r := Rumour{ID: record.ID, Incarnation: record.Incarnation, State: e.state, Leaving: e.leaving, Router: &record}
	if e.state == Gone && !e.left {
		r.State = Suspect
	}
	return r
}

// ApplySync takes in an answer. It returns messages to the answerer about
// routers that it holds as present and this table has removed, so that they
// refute.
func (t *Table) ApplySync(from fleet.RouterID, answer SyncAnswer, now time.Time) []Message {
	var doubts []Rumour
	changes := 0
	for _, r := range answer.Rumours {
		if t.merge(r, now) {
			changes++
			continue
		}
		e := t.entries[r.ID]
		if e != nil && e.state == Gone && !e.left && r.State < Suspect && r.Incarnation == e.router.Incarnation {
			doubts = append(doubts, t.doubt(e))
		}
	}
	for _, vm := range answer.LeavingVMs {
		t.mergeVM(Rumour{VM: vm}, now)
	}
	t.sync.done = true
	t.sync.interval = syncInterval
	if changes > 0 {
		t.sync.interval = syncFollowUp
	}
	if _, known := t.entries[from]; !known {
		return nil
	}
	return t.batch(from, doubts)
}

// batch spreads rumours over as many messages to one router as they need.
func (t *Table) batch(to fleet.RouterID, rumours []Rumour) []Message {
	var messages []Message
	for len(rumours) > 0 {
		n, bytes := 0, 0
		for n < len(rumours) && bytes < maxEventBytes-rumours[n].size() {
			bytes += rumours[n].size()
			n++
		}
		n = max(n, 1)
		messages = append(messages, t.address([]fleet.RouterID{to}, rumours[:n])...)
		rumours = rumours[n:]
	}
	return messages
}

func (t *Table) sortedIDs() []fleet.RouterID {
	ids := make([]fleet.RouterID, 0, len(t.entries))
	for id := range t.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
