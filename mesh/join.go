package mesh

import (
	"context"
	"net"
	"net/netip"
	"time"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
)

const (
	// maxJoinLoads, maxJoinPeers and maxJoinEvidenceBytes bound the contents of the reply
	// to a router that is joining, which is to learn of its failure domain first of all.
	maxJoinLoads         = 10
	maxJoinPeers         = 12
	maxJoinEvidenceBytes = 400
	// maxJoinTicks is the number of ticks at which a starting router sends heartbeats
	// to the seeds. It stops after minJoinTicks if it knows minJoinedPeers other
	// routers, whose heartbeats tell it of the rest, and hears from one that watches
	// the store for its failure domain. It does not stop while it knows none.
	maxJoinTicks   = 10
	minJoinTicks   = 2
	minJoinedPeers = 8
	// viewRequestInterval is the interval at which a starting router without a view
	// asks the seeds and the first routers of its failure domain for theirs, for
	// viewRequestPeriod.
	viewRequestInterval = 100 * time.Millisecond
	viewRequestPeriod   = 2 * time.Second
	// foreignViewDelay is the time after its start for which a router fetches its first
	// view from routers of its own failure domain only.
	foreignViewDelay = 250 * time.Millisecond
)

// requestView asks other routers for their view until this router has one or
// viewRequestPeriod has passed. Their replies tell which of them has a view, and
// syncIfBehind fetches it.
func (m *Mesh) requestView(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, viewRequestPeriod)
	defer cancel()
	ticker := time.NewTicker(viewRequestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.cfg.Directory.Ready():
			return
		case <-ticker.C:
		}
		now := time.Now()
		m.mu.Lock()
		first := m.table.FirstAddrs(watchersPerDomain, now)
		m.mu.Unlock()
		m.send(m.newHeartbeat(), first)
		join := m.newHeartbeat()
		join.Joining = true
		m.send(join, m.seedAddrs())
	}
}

// replyToJoin sends a full heartbeat to a router that is joining. It names the first
// routers of that router's failure domain, on which it will rely.
func (m *Mesh) replyToJoin(domain fleet.DomainName, addr netip.AddrPort, now time.Time) {
	hb := m.newHeartbeat()
	m.addLoadsAndPeers(hb, now)
	hb.Loads = hb.Loads[:min(len(hb.Loads), maxJoinLoads)]
	hb.Paces = hb.Paces[:min(len(hb.Paces), maxJoinLoads)]
	hb.Evidence = m.exportEvidence(now, maxJoinEvidenceBytes)
	m.mu.Lock()
	hb.Peers = append(hb.Peers, m.table.FirstPeers(domain, maxJoinPeers, now)...)
	m.mu.Unlock()
	m.send(hb, []netip.AddrPort{addr})
}

// seedAddrs returns the addresses of the seeds, at the port of this router, without
// this router's own.
func (m *Mesh) seedAddrs() []netip.AddrPort {
	_, port, err := net.SplitHostPort(m.cfg.Addr)
	if err != nil {
		return nil
	}
	var addrs []netip.AddrPort
	for _, seed := range m.cfg.Seeds() {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			host = seed
		}
		addr, err := netip.ParseAddrPort(net.JoinHostPort(host, port))
		if err != nil {
			event.MeshFault.Log(m.cfg.Log).Str("what", "seed").Str("seed", seed).Err(err).Send()
			continue
		}
		if addr.String() != m.cfg.Addr {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}
