package membership

import (
	"maps"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// Tick is called once a heartbeat period. It ages the entries and returns the
// heartbeats to send.
func (t *Table) Tick(now time.Time) []Message {
	t.forgivePause(now)
	t.refreshRings(now)
	t.watch(now)
	t.age(now)
	t.vms.expire(now)
	t.refreshRings(now)
	t.beats++
	messages := t.address(t.next, t.queue.take(now, len(t.next)))
	messages = append(messages, t.ask(t.silent(now))...)
	return append(messages, t.ask(t.probe(now))...)
}

// Flush returns messages with rumours that have not been sent yet, so that
// they spread faster than the heartbeat period.
func (t *Table) Flush(now time.Time) []Message {
	if !t.queue.fresh() {
		return nil
	}
	t.refreshRings(now)
	rumours := t.queue.take(now, len(t.next))
	if len(rumours) == 0 {
		return nil
	}
	return t.address(t.next, rumours)
}

// Receive takes in a heartbeat and returns the answers to send.
func (t *Table) Receive(from fleet.RouterID, hb Heartbeat, now time.Time) []Message {
	if from == t.self || len(hb.Rumours) > maxRumoursMessage {
		return nil
	}
	if hb.Self != nil && hb.Self.ID == from {
		t.meet(*hb.Self, hb.state(), now)
	}
	for _, r := range hb.Rumours {
		t.Merge(r, now)
	}
	e, known := t.entries[from]
	if !known {
		return nil
	}
	var answers []Message
	if hb.Ask {
		answers = t.address([]fleet.RouterID{from}, nil)
	}
	if _, watched := t.heard[from]; watched {
		t.heard[from] = now
	}
	t.compare(from, hb.Digest, now)
	if hb.Incarnation > e.router.Incarnation {
		t.Merge(Rumour{ID: from, Incarnation: hb.Incarnation, State: hb.state()}, now)
		return answers
	}
	if e.state < Suspect {
		return answers
	}
	t.sync.wanted = from
	return append(answers, t.address([]fleet.RouterID{from}, []Rumour{t.doubt(e)})...)
}

// state is what a heartbeat says of its sender.
func (hb *Heartbeat) state() State {
	if hb.Leaving {
		return Leaving
	}
	return Alive
}

// meet takes in a sender's own record, also where only the record is new.
func (t *Table) meet(r fleet.Router, state State, now time.Time) {
	old, known := t.entries[r.ID]
	if known && old.router.Incarnation == r.Incarnation && old.router != r {
		e := *old
		e.router = r
		t.put(&e)
		return
	}
	t.Merge(Rumour{ID: r.ID, Incarnation: r.Incarnation, State: state, Router: &r}, now)
}

// doubt is the rumour that makes a router refute what the table holds of it.
func (t *Table) doubt(e *entry) Rumour {
	return Rumour{ID: e.router.ID, Incarnation: e.router.Incarnation, State: Suspect, Leaving: e.leaving}
}

// forgivePause keeps a router that was itself paused from blaming the others.
func (t *Table) forgivePause(now time.Time) {
	gap := now.Sub(t.lastTick)
	t.lastTick = now
	if gap <= longestTick {
		return
	}
	for id := range t.heard {
		t.heard[id] = now
	}
	for _, e := range t.entries {
		if e.state == Suspect || e.router.Incarnation == 0 {
			e.since = now
		}
	}
}

func (t *Table) refreshRings(now time.Time) {
	if !t.ringsStale {
		return
	}
	t.ringsStale = false
	t.changed = true
	t.next, t.prev = neighbours(t.self, t.entries, t.timing.Rings)
	heard := make(map[fleet.RouterID]time.Time, len(t.prev))
	for _, id := range t.prev {
		at, ok := t.heard[id]
		if !ok {
			at = now
		}
		heard[id] = at
	}
	t.heard = heard
	t.beats = 0
	maps.DeleteFunc(t.sync.differs, func(id fleet.RouterID, _ time.Time) bool {
		_, watched := heard[id]
		return !watched
	})
}

// watch suspects predecessors that have been silent for too long.
func (t *Table) watch(now time.Time) {
	for _, id := range t.prev {
		e := t.entries[id]
		if e.state >= Suspect || now.Sub(t.heard[id]) < t.timing.Suspect {
			continue
		}
		t.Merge(t.doubt(e), now)
	}
}

// silent returns the predecessors to ask for a heartbeat: they are half way to
// being suspected, perhaps because they do not know this router yet.
func (t *Table) silent(now time.Time) []fleet.RouterID {
	var ids []fleet.RouterID
	for _, id := range t.prev {
		if t.entries[id].state != Gone && now.Sub(t.heard[id]) >= t.timing.Suspect/2 {
			ids = append(ids, id)
		}
	}
	return ids
}

// age removes suspects that did not refute, and old tombstones.
func (t *Table) age(now time.Time) {
	for id, e := range t.entries {
		if id == t.self {
			continue
		}
		if t.timedOut(e, now) {
			gone := *e
			gone.state = Gone
			gone.since = now
			t.put(&gone)
			continue
		}
		if _, listed := t.base[id]; e.state == Gone && !listed && now.Sub(e.since) >= tombstoneLife {
			t.drop(id)
		}
	}
}

func (t *Table) timedOut(e *entry, now time.Time) bool {
	silent := now.Sub(e.since)
	if e.state == Suspect {
		return silent >= t.timing.Remove
	}
	unheard := e.router.Incarnation == 0 && e.state != Gone
	return unheard && silent >= t.timing.Suspect+t.timing.Remove
}

// probe picks one listed router that is not present to ask, so that
// partitions heal and newcomers meet the fleet.
func (t *Table) probe(now time.Time) []fleet.RouterID {
	if now.Sub(t.lastProbe) < probeInterval {
		return nil
	}
	var absent []fleet.RouterID
	for id := range t.base {
		if e := t.entries[id]; e != nil && !e.present() && !e.left {
			absent = append(absent, id)
		}
	}
	if len(absent) == 0 {
		return nil
	}
	t.lastProbe = now
	slices.Sort(absent)
	return []fleet.RouterID{absent[t.rand.IntN(len(absent))]}
}

// ask makes heartbeats that want an answer.
func (t *Table) ask(ids []fleet.RouterID) []Message {
	messages := t.address(ids, nil)
	self := t.Self()
	for i := range messages {
		messages[i].Heartbeat.Self = &self
		messages[i].Heartbeat.Ask = true
	}
	return messages
}

// address makes one message with the same rumours for each receiver.
func (t *Table) address(to []fleet.RouterID, rumours []Rumour) []Message {
	messages := make([]Message, 0, len(to))
	self := t.Self()
	leaving := t.entries[t.self].leaving
	for _, id := range to {
		hb := Heartbeat{Incarnation: self.Incarnation, Digest: t.sum(), Rumours: rumours, Leaving: leaving}
		if t.beats%recordEvery == 1 {
			hb.Self = &self
		}
		messages = append(messages, Message{To: id, Addr: t.entries[id].router.PeerAddr, Heartbeat: hb})
	}
	return messages
}
