package mesh

import (
	"net/netip"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/targetcold"
	"ragwortpond.example/ragwortpond/targetlimit"
)

// maxColdHops bounds the routers asked for one permit of a cold target: the holder, and those that
// it names, or that are asked in its place.
const maxColdHops = 3

// ColdPermit marks a request for a permit of a cold target, and the answer.
type ColdPermit uint8

// Kinds of messages about a cold target. Builds that do not know cold targets answer without, and
// then their answer does not count.
const (
	ColdNone ColdPermit = iota
	// ColdAsked asks the holder.
	ColdAsked
	// ColdAskedDeputy asks a router because the holder does not answer.
	ColdAskedDeputy
	// ColdAnswered tells that the rate of the cold target was kept.
	ColdAnswered
	// ColdUnsettled tells that the router grants nothing, since it does not know the others yet.
	ColdUnsettled
)

// coldTarget is a target whose service bounds what its cold targets get.
type coldTarget struct {
	target  *catalog.Target
	service catalog.Service
}

// coldRequest is one request for a permit of a cold target.
type coldRequest struct {
	id         fleet.TargetID
	precedence targetlimit.Precedence
	asDeputy   bool
}

// RequestColdPermit asks for permission to send one request to a cold target. The result is not
// Answered if neither the holder of the target's permits nor its deputy can be asked. It takes up
// to permitTimeout for each of maxColdHops routers.
func (m *Mesh) RequestColdPermit(id fleet.TargetID, precedence targetlimit.Precedence) targetcold.Answer {
	request := coldRequest{id: id, precedence: precedence}
	routers := 0
	for range maxColdHops {
		now := time.Now()
		var holders coldHolders
		holders, routers = m.coldHolders(id, now)
		var holder coldHolder
		holder, request.asDeputy = holders.next(request.asDeputy, m.silent(holders.first.id, now))
		if holder.self {
			if granted, wait, ok := m.grantCold(request, &holders, now); ok {
				return targetcold.Answer{Answered: true, Granted: granted, Wait: wait}
			}
			break
		}
		if holder.id == "" || m.silent(holder.id, now) {
			break
		}
		answer, ok := m.askColdHolder(request, holder, holders.passedOver, now)
		switch {
		case !ok:
		case answer.cold == ColdUnsettled:
			m.mu.Lock()
			m.table.recordUnsettled(holder.id, time.Now())
			m.mu.Unlock()
		case answer.verdict == PermitNotHolder && answer.cold == ColdAnswered:
		case answer.cold != ColdAnswered:
			return targetcold.Answer{Routers: routers}
		default:
			return targetcold.Answer{Answered: true, Granted: answer.verdict == PermitGranted, Wait: answer.wait}
		}
	}
	return targetcold.Answer{Routers: routers}
}

func (m *Mesh) coldHolders(id fleet.TargetID, now time.Time) (coldHolders, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.coldHolders(id, now), m.table.coldRouters(now)
}

// silent reports whether a router did not answer a moment ago.
func (m *Mesh) silent(id fleet.RouterID, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Before(m.permits.silentUntil[id])
}

// askColdHolder sends a request for a permit of a cold target and waits for the answer. It names
// the routers that were passed over.
func (m *Mesh) askColdHolder(request coldRequest, holder coldHolder, passedOver []PeerInfo, now time.Time) (permitAnswer, bool) {
	kind := ColdAsked
	if request.asDeputy {
		kind = ColdAskedDeputy
	}
	return m.exchangePermit(&Heartbeat{
		Permit: &PermitMessage{Precedence: request.precedence, Limit: m.limitReport(request.id, now)}, Brittle: m.brittleReport(request.id, now), Cold: kind,
		Peers: passedOver,
	}, request.id, holder.id, holder.addr)
}

// grantCold grants a send to a cold target as its holder or deputy, within the limit that it may
// name as well. It returns false if this router grants nothing for the target.
func (m *Mesh) grantCold(request coldRequest, holders *coldHolders, now time.Time) (granted bool, wait time.Duration, ok bool) {
	role, ok := holders.role(request.asDeputy)
	if !ok {
		return false, 0, false
	}
	cold, ok := m.coldTarget(request.id)
	if !ok {
		return false, 0, false
	}
	if holders.waiting {
		return false, permitTimeout, true
	}
	granted, wait = m.cfg.Cold.Grant(request.id, targetcold.Grant{
		PerSecond: cold.service.ColdPerSecond, Role: role, Share: holders.share, Ramp: m.cfg.Cold.Ramp(cold.target, &cold.service, now),
	}, now)
	if !granted {
		return false, wait, true
	}
	granted, wait = m.cfg.Limits.Grant(request.id, request.precedence, holders.share, now)
	return granted, wait, true
}

// coldTarget returns a target whose service bounds what its cold targets get.
func (m *Mesh) coldTarget(id fleet.TargetID) (coldTarget, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hashedView != m.cfg.Directory.View() {
		m.updateTargetHashes()
	}
	cold, ok := m.coldTargets[id]
	return cold, ok
}

// answerColdPermit answers another router's request for a permit of a cold target.
func (m *Mesh) answerColdPermit(hb *Heartbeat, from netip.AddrPort, now time.Time) {
	answer := &PermitMessage{Sequence: hb.Permit.Sequence, Verdict: PermitNotHolder, Limit: hb.Permit.Limit}
	reply := &Heartbeat{From: m.cfg.Self, Permit: answer, Cold: ColdAnswered, Leaving: m.leaving.Load()}
	id, known := m.targetOfNewestView(hb.Permit.Limit.TargetHash)
	m.mu.Lock()
	m.table.mergeUnsettled(hb.Peers, now)
	unsettled := m.table.settledSince.IsZero()
	m.mu.Unlock()
	holders, _ := m.coldHolders(id, now)
	request := coldRequest{id: id, precedence: hb.Permit.Precedence, asDeputy: hb.Cold == ColdAskedDeputy}
	granted, wait, ok := false, permitTimeout, false
	if known {
		granted, wait, ok = m.grantCold(request, &holders, now)
	}
	switch {
	case !known:
		// The asking router has a newer view.
		answer.Verdict, answer.WaitMS = PermitDenied, uint32(wait.Milliseconds())
	case !ok && unsettled:
		reply.Cold = ColdUnsettled
	case !ok:
		reply.Peers = m.peerInfo(holders.first.id, now)
	default:
		answer.Verdict, answer.WaitMS = PermitDenied, uint32(wait.Milliseconds())+1
		if granted {
			answer.Verdict = PermitGranted
		}
		answer.Limit = m.limitReport(id, now)
	}
	m.send(reply, []netip.AddrPort{from})
}

// targetOfNewestView returns the target that messages name by a hash, of the newest view.
func (m *Mesh) targetOfNewestView(hash uint32) (fleet.TargetID, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hashedView != m.cfg.Directory.View() {
		m.updateTargetHashes()
	}
	id, ok := m.targetsByHash[hash]
	return id, ok
}

// peerInfo returns what this router tells others about one, or nil if it is unknown.
func (m *Mesh) peerInfo(id fleet.RouterID, now time.Time) []PeerInfo {
	m.mu.Lock()
	defer m.mu.Unlock()
	if member := m.table.members[id]; member != nil {
		return []PeerInfo{member.info(now)}
	}
	return nil
}
