package membership

import (
	"maps"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// Tick runs one heartbeat period: it suspects silent predecessors, removes
// suspects whose time is up and returns the heartbeats to send. Call it once
// per period.
func (t *Table) Tick(now time.Time) []Message {
	t.resetTimersAfterPause(now)
	t.refreshRings(now)
	t.suspectSilent(now)
	t.expireEntries(now)
	t.leavingVMs.expire(now)
	t.refreshRings(now)
	t.ticksSinceRefresh++
	messages := t.heartbeats(t.successors, t.updates.take(now, len(t.successors)))
	messages = append(messages, t.heartbeatRequests(t.silentPredecessors(now))...)
	return append(messages, t.heartbeatRequests(t.pickProbe(now))...)
}

// Flush returns extra heartbeats if updates are queued that were never sent, so
// that updates spread faster than once per heartbeat period. Otherwise it
// returns nil.
func (t *Table) Flush(now time.Time) []Message {
	if !t.updates.hasUnsent() {
		return nil
	}
	t.refreshRings(now)
	updates := t.updates.take(now, len(t.successors))
	if len(updates) == 0 {
		return nil
	}
	return t.heartbeats(t.successors, updates)
}

// Receive applies a heartbeat from another router and returns the replies to
// send.
func (t *Table) Receive(from fleet.RouterID, hb Heartbeat, now time.Time) []Message {
	if from == t.self || len(hb.Updates) > maxUpdatesPerMessage {
		return nil
	}
	if hb.Self != nil && hb.Self.ID == from {
		t.mergeRecord(*hb.Self, hb.senderState(), now)
	}
	for _, r := range hb.Updates {
		t.Merge(r, now)
	}
	e, known := t.entries[from]
	if !known {
		return nil
	}
	var replies []Message
	if hb.WantReply {
		replies = t.heartbeats([]fleet.RouterID{from}, nil)
	}
	if _, watched := t.lastHeard[from]; watched {
		t.lastHeard[from] = now
	}
	t.trackDigest(from, hb.Digest, now)
	if hb.Incarnation > e.router.Incarnation {
		t.Merge(Update{ID: from, Incarnation: hb.Incarnation, State: hb.senderState()}, now)
		return replies
	}
	if e.state < Suspect {
		return replies
	}
	t.sync.next = from
	return append(replies, t.heartbeats([]fleet.RouterID{from}, []Update{t.suspicion(e)})...)
}

// senderState returns the state that the heartbeat reports for its sender.
func (hb *Heartbeat) senderState() State {
	if hb.Leaving {
		return Leaving
	}
	return Alive
}

// mergeRecord applies a sender's own record, even if the record changed without
// a new incarnation.
func (t *Table) mergeRecord(r fleet.Router, state State, now time.Time) {
	old, known := t.entries[r.ID]
	if known && old.router.Incarnation == r.Incarnation && old.router != r {
		e := *old
		e.router = r
		t.store(&e)
		return
	}
	t.Merge(Update{ID: r.ID, Incarnation: r.Incarnation, State: state, Router: &r}, now)
}

// suspicion returns an update that the router refutes if it is still running.
func (t *Table) suspicion(e *entry) Update {
	return Update{ID: e.router.ID, Incarnation: e.router.Incarnation, State: Suspect, Leaving: e.leaving}
}

// resetTimersAfterPause restarts the timers of the other routers if this
// process was paused itself, so that it does not suspect or remove them for the
// silence during its own pause.
func (t *Table) resetTimersAfterPause(now time.Time) {
	gap := now.Sub(t.lastTick)
	t.lastTick = now
	if gap <= maxTickGap {
		return
	}
	for id := range t.lastHeard {
		t.lastHeard[id] = now
	}
	for _, e := range t.entries {
		if e.state == Suspect || e.router.Incarnation == 0 {
			e.since = now
		}
	}
}

// refreshRings recomputes the neighbours if the set of present routers or the
// number of rings has changed. A new predecessor counts as heard now.
func (t *Table) refreshRings(now time.Time) {
	if !t.ringsStale {
		return
	}
	t.ringsStale = false
	t.changed = true
	t.successors, t.predecessors = neighbours(t.self, t.entries, t.timing.Rings)
	lastHeard := make(map[fleet.RouterID]time.Time, len(t.predecessors))
	for _, id := range t.predecessors {
		last, ok := t.lastHeard[id]
		if !ok {
			last = now
		}
		lastHeard[id] = last
	}
	t.lastHeard = lastHeard
	t.ticksSinceRefresh = 0
	maps.DeleteFunc(t.sync.mismatchSince, func(id fleet.RouterID, _ time.Time) bool {
		_, watched := lastHeard[id]
		return !watched
	})
}

// suspectSilent suspects predecessors that sent nothing for Timing.Suspect.
func (t *Table) suspectSilent(now time.Time) {
	for _, id := range t.predecessors {
		e := t.entries[id]
		if e.state >= Suspect || now.Sub(t.lastHeard[id]) < t.timing.Suspect {
			continue
		}
		t.Merge(t.suspicion(e), now)
	}
}

// silentPredecessors returns the predecessors that have been silent for half of
// Timing.Suspect. They are asked for a heartbeat, because they may not have
// this router in their table yet.
func (t *Table) silentPredecessors(now time.Time) []fleet.RouterID {
	var ids []fleet.RouterID
	for _, id := range t.predecessors {
		if t.entries[id].state != Removed && now.Sub(t.lastHeard[id]) >= t.timing.Suspect/2 {
			ids = append(ids, id)
		}
	}
	return ids
}

// expireEntries marks as Removed the suspects that did not refute in time and the
// listed routers that never answered, and deletes old tombstones. Tombstones of
// listed routers stay, so that pickProbe can try them.
func (t *Table) expireEntries(now time.Time) {
	for id, e := range t.entries {
		if id == t.self {
			continue
		}
		if t.timedOut(e, now) {
			gone := *e
			gone.state = Removed
			gone.since = now
			t.store(&gone)
			continue
		}
		if _, listed := t.listed[id]; e.state == Removed && !listed && now.Sub(e.since) >= tombstoneTTL {
			t.remove(id)
		}
	}
}

func (t *Table) timedOut(e *entry, now time.Time) bool {
	silent := now.Sub(e.since)
	if e.state == Suspect {
		return silent >= t.timing.Remove
	}
	neverHeard := e.router.Incarnation == 0 && e.state != Removed
	return neverHeard && silent >= t.timing.Suspect+t.timing.Remove
}

// pickProbe returns at most one listed router, chosen at random, that is not
// present and did not shut down. Asking it for a heartbeat lets views merge
// again after a partition and brings new routers into the fleet. It returns one
// per probeInterval.
func (t *Table) pickProbe(now time.Time) []fleet.RouterID {
	if now.Sub(t.lastProbe) < probeInterval {
		return nil
	}
	var absent []fleet.RouterID
	for id := range t.listed {
		if e := t.entries[id]; e != nil && !e.present() && !e.shutdown {
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

// heartbeatRequests returns heartbeats that ask the receivers for a heartbeat.
func (t *Table) heartbeatRequests(ids []fleet.RouterID) []Message {
	messages := t.heartbeats(ids, nil)
	self := t.Self()
	for i := range messages {
		messages[i].Heartbeat.Self = &self
		messages[i].Heartbeat.WantReply = true
	}
	return messages
}

// heartbeats returns a heartbeat with the given updates for each receiver.
func (t *Table) heartbeats(to []fleet.RouterID, updates []Update) []Message {
	messages := make([]Message, 0, len(to))
	self := t.Self()
	leaving := t.entries[t.self].leaving
	for _, id := range to {
		hb := Heartbeat{Incarnation: self.Incarnation, Digest: t.combinedDigest(), Updates: updates, Leaving: leaving}
		if t.ticksSinceRefresh%recordIntervalTicks == 1 {
			hb.Self = &self
		}
		messages = append(messages, Message{To: id, Addr: t.entries[id].router.PeerAddr, Heartbeat: hb})
	}
	return messages
}
