package membership

import (
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// syncState holds the state that decides when to sync tables, and with which
// router.
type syncState struct {
	// mismatchSince is the time since which a predecessor's digest has differed
	// from this table's.
	mismatchSince map[fleet.RouterID]time.Time
	// next is the router to sync with next; empty if none is due.
	next fleet.RouterID
	// completed is set after the first successful sync.
	completed bool
	last      time.Time
	interval  time.Duration
}

// combinedDigest combines the digests of all buckets into one.
func (t *Table) combinedDigest() uint32 {
	var sum uint32
	for _, d := range t.bucketDigests {
		sum = sum*16777619 ^ d
	}
	return sum
}

// trackDigest compares a sender's digest with this table's. It schedules a sync
// once a predecessor's digest has differed for minDigestMismatch.
func (t *Table) trackDigest(from fleet.RouterID, digest uint32, now time.Time) {
	if digest == t.combinedDigest() {
		delete(t.sync.mismatchSince, from)
		return
	}
	since, differs := t.sync.mismatchSince[from]
	if !differs {
		if _, watched := t.lastHeard[from]; watched {
			t.sync.mismatchSince[from] = now
		}
		return
	}
	if now.Sub(since) >= minDigestMismatch {
		t.sync.next = from
	}
}

// NextSync returns a router to exchange tables with and the request to send;
// false if no sync is due. Until the first sync has succeeded it returns a
// random listed router; later, one whose digest has differed for some time or
// that is Suspect or Removed in this table but sent a heartbeat.
func (t *Table) NextSync(now time.Time) (fleet.Router, SyncRequest, bool) {
	if !t.sync.completed {
		r, ok := t.randomListed()
		return r, t.SyncRequest(), ok
	}
	if t.sync.next == "" || now.Sub(t.sync.last) < t.sync.interval {
		return fleet.Router{}, SyncRequest{}, false
	}
	e, known := t.entries[t.sync.next]
	t.sync.next = ""
	clear(t.sync.mismatchSince)
	if !known {
		return fleet.Router{}, SyncRequest{}, false
	}
	t.sync.last = now
	return e.router, t.SyncRequest(), true
}

func (t *Table) randomListed() (fleet.Router, bool) {
	if len(t.listed) == 0 {
		return fleet.Router{}, false
	}
	ids := make([]fleet.RouterID, 0, len(t.listed))
	for id := range t.listed {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return t.listed[ids[t.rand.IntN(len(ids))]], true
}

// SyncRequest returns a sync request with this table's digests.
func (t *Table) SyncRequest() SyncRequest {
	return SyncRequest{Self: t.Self(), Digests: append([]uint32(nil), t.bucketDigests[:]...)}
}

// HandleSync applies the caller's record and returns the entries of the buckets
// whose digests differ, up to about maxSyncBytes.
func (t *Table) HandleSync(from fleet.RouterID, req SyncRequest, now time.Time) SyncResponse {
	if req.Self.ID == from {
		t.mergeRecord(req.Self, Alive, now)
	}
	var answer SyncResponse
	var bytes int
	for _, id := range t.sortedIDs() {
		e := t.entries[id]
		bucket := syncBucket(id)
		if e.router.Incarnation == 0 || (bucket < len(req.Digests) && req.Digests[bucket] == t.bucketDigests[bucket]) {
			continue
		}
		r := t.syncUpdate(e)
		bytes += r.size()
		if bytes > maxSyncBytes {
			break
		}
		answer.Updates = append(answer.Updates, r)
	}
	answer.LeavingVMs = t.leavingVMs.names()
	return answer
}

// syncUpdate returns an entry as an update for a sync. A router that was removed
// without having announced its shutdown is sent as Suspect, so that it can
// refute the suspicion.
func (t *Table) syncUpdate(e *entry) Update {
	record := e.router
	r := Update{ID: record.ID, Incarnation: record.Incarnation, State: e.state, Leaving: e.leaving, Router: &record}
	if e.state == Removed && !e.shutdown {
		r.State = Suspect
	}
	return r
}

// ApplySync applies the answer of a sync. Routers that are present there but
// were removed from this table are returned as suspicions to send to the
// answering router, so that they get to refute them.
func (t *Table) ApplySync(from fleet.RouterID, answer SyncResponse, now time.Time) []Message {
	var suspicions []Update
	changes := 0
	for _, r := range answer.Updates {
		if t.merge(r, now) {
			changes++
			continue
		}
		e := t.entries[r.ID]
		if e != nil && e.state == Removed && !e.shutdown && r.State < Suspect && r.Incarnation == e.router.Incarnation {
			suspicions = append(suspicions, t.suspicion(e))
		}
	}
	for _, vm := range answer.LeavingVMs {
		t.mergeVM(Update{VM: vm}, now)
	}
	t.sync.completed = true
	t.sync.interval = syncInterval
	if changes > 0 {
		t.sync.interval = syncFollowUpInterval
	}
	if _, known := t.entries[from]; !known {
		return nil
	}
	return t.batchHeartbeats(from, suspicions)
}

// batchHeartbeats splits updates into as many heartbeats to one router as their
// size requires.
func (t *Table) batchHeartbeats(to fleet.RouterID, updates []Update) []Message {
	var messages []Message
	for len(updates) > 0 {
		n, bytes := 0, 0
		for n < len(updates) && bytes < maxUpdateBytesPerMessage-updates[n].size() {
			bytes += updates[n].size()
			n++
		}
		n = max(n, 1)
		messages = append(messages, t.heartbeats([]fleet.RouterID{to}, updates[:n])...)
		updates = updates[n:]
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
