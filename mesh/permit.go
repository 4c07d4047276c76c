package mesh

import (
	"maps"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
	"ragwortpond.example/ragwortpond/targetlimit"
)

const (
	// permitTimeout is how long a router waits for the answer of a target's permit
	// holder: a round trip between failure domains, and some time for a small VM that
	// is busy.
	permitTimeout = 50 * time.Millisecond
	// permitSilence is how long a holder that did not answer is not asked again.
	permitSilence = 500 * time.Millisecond
	// maxPermitHops bounds the routers asked for one permit, since one that is not the
	// holder names another.
	maxPermitHops = 2
)

// permitRequests holds this router's requests for permits; Mesh.mu guards silentUntil.
type permitRequests struct {
	replies pendingReplies[permitAnswer]
	// silentUntil is until when routers that did not answer are not asked.
	silentUntil map[fleet.RouterID]time.Time
}

// permitAnswer is the answer to a request for a permit.
type permitAnswer struct {
	verdict PermitVerdict
	wait    time.Duration
	// cold is the answer's field of that name.
	cold ColdPermit
}

// permitHolder is the router that grants the permits of a target.
type permitHolder struct {
	id   fleet.RouterID
	addr netip.AddrPort
	// self means that it is this router. share is then the fraction of the limit that
	// it may grant.
	self  bool
	share float64
}

// permitHolder returns the router that grants the permits of a target, by a hash on
// which routers with the same table agree. If this router cannot hear others of the
// fleet, they may grant permits too, so that it grants only its share of the limit.
func (t *Table) permitHolder(id fleet.TargetID, now time.Time) permitHolder {
	key := rendezvous.Seed(string(id))
	holder := permitHolder{id: t.self, self: true}
	best := rendezvous.Mix(routerHash(t.self), key)
	present := 1
	timeout := t.permitPresence()
	for _, m := range t.members {
		if now.Sub(m.lastReported) >= timeout {
			continue
		}
		present++
		rank := rendezvous.Mix(m.hash, key)
		if !m.leaving && (rank > best || (t.leaving && holder.self)) {
			holder, best = permitHolder{id: m.id, addr: m.addr}, rank
		}
	}
	holder.share = float64(present) / float64(t.KnownRouters())
	return holder
}

// permitPresence is the time since its last known heartbeat up to which a router counts
// as present: in a large fleet, one is mentioned less often.
func (t *Table) permitPresence() time.Duration {
	if t.KnownRouters() <= smallFleet {
		return presenceTimeout
	}
	return candidateTimeout
}

// RequestPermit asks for permission to send one request to a target with a limit. If it is
// denied, the result holds the time after which to ask again. The result is not
// Answered if the target's holder cannot be asked. It takes up to permitTimeout for each
// of maxPermitHops routers.
func (m *Mesh) RequestPermit(id fleet.TargetID, precedence targetlimit.Precedence) targetlimit.Answer {
	for range maxPermitHops {
		now := time.Now()
		m.mu.Lock()
		holder := m.table.permitHolder(id, now)
		silent := now.Before(m.permits.silentUntil[holder.id])
		m.mu.Unlock()
		if holder.self {
			granted, wait := m.cfg.Limits.Grant(id, precedence, holder.share, now)
			return targetlimit.Answer{Answered: true, Granted: granted, Wait: wait}
		}
		if silent {
			return targetlimit.Answer{}
		}
		answer, ok := m.askHolder(id, precedence, holder, now)
		if !ok {
			return targetlimit.Answer{}
		}
		if answer.verdict != PermitNotHolder {
			return targetlimit.Answer{Answered: true, Granted: answer.verdict == PermitGranted, Wait: answer.wait}
		}
	}
	return targetlimit.Answer{}
}

// askHolder sends a request for a permit and waits for the answer.
func (m *Mesh) askHolder(id fleet.TargetID, precedence targetlimit.Precedence, holder permitHolder, now time.Time) (permitAnswer, bool) {
	request := &PermitMessage{Precedence: precedence, Limit: m.limitReport(id, now)}
	return m.exchangePermit(&Heartbeat{Permit: request, Brittle: m.brittleReport(id, now)}, id, holder.id, holder.addr)
}

// exchangePermit sends a request for a permit of a target to a router and waits for the answer. A
// router that does not answer is not asked again for a moment.
func (m *Mesh) exchangePermit(request *Heartbeat, id fleet.TargetID, holder fleet.RouterID, addr netip.AddrPort) (permitAnswer, bool) {
	sequence, replies, ok := m.permits.replies.expect(1)
	if !ok {
		return permitAnswer{}, false
	}
	defer m.permits.replies.forget(sequence)
	request.From, request.Permit.Sequence = m.cfg.Self, sequence
	m.send(request, []netip.AddrPort{addr})
	if answer, ok := receive(replies, permitTimeout); ok {
		return answer, true
	}
	event.PermitHolderSilent.Log(m.cfg.Log).Str("target", string(id)).Str("holder", string(holder)).Send()
	m.mu.Lock()
	m.permits.silentUntil[holder] = time.Now().Add(permitSilence)
	m.mu.Unlock()
	return permitAnswer{}, false
}

// limitReport returns what this router knows of a target's limit, for another router.
func (m *Mesh) limitReport(id fleet.TargetID, now time.Time) LimitReport {
	// The zero report is too old to be of use.
	r, _ := m.cfg.Limits.Report(id, now)
	return newLimitReport(id, r, now)
}

// dropExpiredSilences forgets the routers that may be asked again. Mesh.mu must be held.
func (p *permitRequests) dropExpiredSilences(now time.Time) {
	maps.DeleteFunc(p.silentUntil, func(_ fleet.RouterID, until time.Time) bool { return !now.Before(until) })
}

// handlePermit handles a request for a permit, or an answer to one of this router.
func (m *Mesh) handlePermit(hb *Heartbeat, from netip.AddrPort, now time.Time) {
	m.mergeLimits([]LimitReport{hb.Permit.Limit}, now)
	m.mergeBrittle(hb.Brittle, now)
	switch hb.Permit.Verdict {
	case PermitRequested:
		if hb.Cold != ColdNone {
			m.answerColdPermit(hb, from, now)
			return
		}
		m.answerPermit(hb.Permit, from, now)
		return
	case PermitRejected:
		m.handleRejection(hb.Permit, now)
		return
	}
	if hb.Permit.Verdict == PermitNotHolder {
		m.mu.Lock()
		m.table.correctHolder(hb, now)
		m.mu.Unlock()
	}
	wait := min(time.Duration(hb.Permit.WaitMS)*time.Millisecond, targetlimit.MaxWait)
	m.permits.replies.deliver(hb.Permit.Sequence, permitAnswer{hb.Permit.Verdict, wait, hb.Cold})
}

// correctHolder updates the table with the answer of a router that does not hold the
// permits that it was asked for: it names the holder, or else it is leaving.
func (t *Table) correctHolder(hb *Heartbeat, now time.Time) {
	for _, peer := range hb.Peers {
		t.mergePeer(peer, now)
	}
	if m := t.members[hb.From]; m != nil && hb.Leaving {
		m.leaving = true
	}
}

// answerPermit answers another router's request for a permit.
func (m *Mesh) answerPermit(request *PermitMessage, from netip.AddrPort, now time.Time) {
	m.mu.Lock()
	id, known := m.targetsByHash[request.Limit.TargetHash]
	holder := m.table.permitHolder(id, now)
	var other []PeerInfo
	if known && !holder.self {
		other = []PeerInfo{m.table.members[holder.id].info(now)}
	}
	m.mu.Unlock()
	answer := &PermitMessage{Sequence: request.Sequence, Verdict: PermitDenied, WaitMS: uint32(permitTimeout.Milliseconds()), Limit: request.Limit}
	switch {
	case !known:
		// The asking router has a newer view.
	case !holder.self:
		answer.Verdict = PermitNotHolder
	default:
		granted, wait := m.cfg.Limits.Grant(id, request.Precedence, holder.share, now)
		answer.WaitMS = uint32(wait.Milliseconds()) + 1
		if granted {
			answer.Verdict = PermitGranted
		}
		answer.Limit = m.limitReport(id, now)
	}
	hb := &Heartbeat{From: m.cfg.Self, Permit: answer, Peers: other, Leaving: m.leaving.Load()}
	m.send(hb, []netip.AddrPort{from})
}

// logLimitChange logs that another router told that a target became limited, or is no
// longer.
func logLimitChange(log zerolog.Logger, id fleet.TargetID, change targetlimit.Change) {
	event.TargetLimitChanged.Log(log).Str("target", string(id)).Bool("limited", change.Limited).Float64("per_second", change.PerSecond).Bool("from_peer", true).Send()
}
