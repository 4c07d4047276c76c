package membership

import (
	"sort"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// syncState decides when and with whom tables are compared in full.
type syncState struct {
	differsSince time.Time
	last         time.Time
	peer         fleet.RouterID
	wanted       bool
}

func (s *syncState) want(peer fleet.RouterID) {
	s.peer = peer
	s.wanted = true
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
		t.sync.differsSince = time.Time{}
		return
	}
	if t.sync.differsSince.IsZero() {
		t.sync.differsSince = now
		return
	}
	if now.Sub(t.sync.differsSince) >= syncDelay {
		t.sync.want(from)
	}
}

// SyncWith returns a router to exchange tables with, if one is due.
func (t *Table) SyncWith(now time.Time) (fleet.Router, SyncRequest, bool) {
	if !t.sync.wanted || now.Sub(t.sync.last) < syncInterval {
		return fleet.Router{}, SyncRequest{}, false
	}
	e, known := t.entries[t.sync.peer]
	t.sync.wanted = false
	t.sync.differsSince = time.Time{}
	if !known {
		return fleet.Router{}, SyncRequest{}, false
	}
	t.sync.last = now
	return e.router, t.SyncRequest(), true
}

// SyncRequest returns the request that describes the table.
func (t *Table) SyncRequest() SyncRequest {
	return SyncRequest{Self: t.Self(), Digests: append([]uint32(nil), t.digest[:]...)}
}

// AnswerSync answers a request with the entries of the buckets that differ,
// and takes in the caller's record.
func (t *Table) AnswerSync(from fleet.RouterID, req SyncRequest, now time.Time) SyncAnswer {
	if req.Self.ID == from {
		t.meet(req.Self, req.Self.Incarnation, now)
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
	for _, r := range answer.Rumours {
		if t.Merge(r, now) {
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
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
