package mesh

import (
	"net/netip"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
	"ragwortpond.example/ragwortpond/targetcold"
)

const (
	// A router that has started grants no permits of cold targets before it knows the others,
	// which takes settleTime, or settleTimePerRouter for each router of a large fleet, at most
	// maxSettleTime.
	settleTime          = 5 * time.Second
	settleTimePerRouter = 70 * time.Millisecond
	maxSettleTime       = time.Minute
	// settledShare is the part of the fleet that it then has to know, and unsettledShare the one
	// below which it has lost the others and grants nothing until it knows them again.
	settledShare   = 0.95
	unsettledShare = 0.5
	// settledGrowth is the factor by which the routers that it knows may still have grown within
	// settleTime. Routers that have all started at once tell each other of as few as they know.
	settledGrowth = 1.02
	// largePresence is the time since its last known heartbeat up to which a router of a large
	// fleet counts as present. Each is mentioned about every 13 s in a fleet of 300, so that few
	// take one for absent that others ask.
	largePresence = 55 * time.Second
	// handoverTime is how long a router that has become the holder grants as a substitute only,
	// since others may not know of it yet.
	handoverTime = 3 * time.Second
	// unsettledMemory is how long a router that said that it does not know the others yet is passed
	// over. Once it does, it grants nothing for as long, so that the one in its place is no longer
	// asked.
	unsettledMemory = 500 * time.Millisecond
	// maxPassedOver bounds the routers that are passed over and named in a request.
	maxPassedOver = 3
	// minColdRouters is the fleet that a router assumes for its own part, and unsettledRouters
	// the one that it assumes while it does not know the others.
	minColdRouters   = 9
	unsettledRouters = 1000
)

// coldHolder is a router that may grant the permits of a cold target; the zero value stands for
// none.
type coldHolder struct {
	id   fleet.RouterID
	addr netip.AddrPort
	self bool
}

// coldHolders tells who grants the permits of a cold target, by a hash on which routers with the
// same table agree.
type coldHolders struct {
	// first is the holder; deputy grants as a substitute if that does not answer.
	first, deputy coldHolder
	// handover is set if another router may still take itself for the holder.
	handover bool
	// waiting is set if this router grants nothing yet, since one in its place may.
	waiting bool
	// share is the part of the known fleet that this router hears from.
	share float64
	// passedOver holds up to maxPassedOver routers that would come before first, and said that
	// they do not know the others yet; their ages are those of that.
	passedOver []PeerInfo
}

// role returns the role in which this router grants a permit, or false if it does not.
func (h *coldHolders) role(asDeputy bool) (targetcold.Role, bool) {
	switch {
	case h.first.self && !h.handover && !asDeputy:
		return targetcold.Holder, true
	case h.first.self, h.deputy.self && asDeputy:
		return targetcold.Substitute, true
	default:
		return targetcold.Substitute, false
	}
}

// next returns the router to ask, and whether as the deputy: because the holder does not answer, or
// because it named no other one.
func (h *coldHolders) next(asDeputy, firstSilent bool) (coldHolder, bool) {
	if asDeputy || firstSilent {
		return h.deputy, true
	}
	return h.first, false
}

// settleTime returns how long after its start a router grants nothing.
func (t *Table) settleTime(now time.Time) time.Duration {
	return min(max(settleTime, time.Duration(t.FleetSize(now))*settleTimePerRouter), maxSettleTime)
}

// updateSettled records since when this router knows the others well enough to grant permits. It
// is called at each tick.
func (t *Table) updateSettled(now time.Time) {
	if routers := t.KnownRouters(); float64(routers) > settledGrowth*float64(t.growth.routers) {
		t.growth = fleetSize{routers, now}
	}
	known := float64(t.KnownRouters()) / float64(t.FleetSize(now))
	switch {
	case t.settledSince.IsZero() && now.Sub(t.growth.at) < settleTime:
	case known < unsettledShare:
		t.settledSince = time.Time{}
	case t.settledSince.IsZero() && known >= settledShare && now.Sub(t.startedAt) >= t.settleTime(now):
		t.settledSince = now
	}
}

// hasSettled reports whether another router has had the time to know the fleet, by how long this
// one has known its process, or by its start for one that this router has learnt of only now.
func (m *member) hasSettled(settleTime time.Duration, now time.Time) bool {
	if now.Sub(m.since) >= settleTime {
		return true
	}
	return now.Sub(time.Unix(0, m.incarnation)).Abs() >= settleTime
}

// coldHolders returns the routers that grant the permits of a cold target.
func (t *Table) coldHolders(id fleet.TargetID, now time.Time) coldHolders {
	key := rendezvous.Seed(string(id))
	settle, timeout := t.settleTime(now), presenceTimeout
	if t.KnownRouters() > smallFleet {
		timeout = largePresence
	}
	var h coldHolders
	var firstRank, deputyRank uint64
	add := func(holder coldHolder, rank uint64) {
		switch {
		case h.first.id == "" || rank > firstRank:
			h.deputy, deputyRank = h.first, firstRank
			h.first, firstRank = holder, rank
		case h.deputy.id == "" || rank > deputyRank:
			h.deputy, deputyRank = holder, rank
		}
	}
	own := rendezvous.Mix(routerHash(t.self), key)
	if !t.leaving && !t.settledSince.IsZero() {
		add(coldHolder{id: t.self, self: true}, own)
		settled := now.Sub(t.settledSince)
		h.handover, h.waiting = settled < handoverTime, settled < unsettledMemory
	}
	present := 1
	var passedOver []*member
	for _, m := range t.members {
		silent := now.Sub(m.lastReported)
		rank := rendezvous.Mix(m.hash, key)
		if silent >= timeout {
			h.handover = h.handover || (rank > own && !m.leaving && silent < timeout+handoverTime)
			continue
		}
		present++
		switch {
		case m.leaving || !m.hasSettled(settle, now):
		case now.Sub(m.unsettledAt) < unsettledMemory:
			passedOver = append(passedOver, m)
		default:
			add(coldHolder{id: m.id, addr: m.addr}, rank)
		}
	}
	for _, m := range passedOver {
		if len(h.passedOver) < maxPassedOver && rendezvous.Mix(m.hash, key) > firstRank {
			info := m.info(now)
			info.AgeMS = ageMS(m.unsettledAt, now)
			h.passedOver = append(h.passedOver, info)
		}
	}
	h.share = float64(present) / float64(max(t.accountable(), t.FleetSize(now)))
	return h
}

// recordUnsettled records that a router said that it does not know the others yet.
func (t *Table) recordUnsettled(id fleet.RouterID, now time.Time) {
	if m := t.members[id]; m != nil {
		m.unsettledAt = now
	}
}

// mergeUnsettled records what another router heard of routers that do not know the others yet.
func (t *Table) mergeUnsettled(routers []PeerInfo, now time.Time) {
	for _, peer := range routers[:min(len(routers), maxPassedOver)] {
		m, at := t.members[peer.ID], timeOf(peer.AgeMS, now)
		if m != nil && m.incarnation <= peer.Incarnation && at.After(m.unsettledAt) {
			m.unsettledAt = at
		}
	}
}

// accountable returns the number of routers that may send to targets, also where this router
// does not hear them: those in the table and those that it has lost.
func (t *Table) accountable() int {
	return t.KnownRouters() + len(t.forgotten)
}

// coldRouters returns the number of routers among which the own parts of a cold target's rate are
// divided.
func (t *Table) coldRouters(now time.Time) int {
	if t.settledSince.IsZero() {
		return max(t.accountable(), t.FleetSize(now), unsettledRouters)
	}
	return max(t.accountable(), t.FleetSize(now), minColdRouters)
}
