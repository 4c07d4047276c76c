package mesh

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/stall"
)

// maxPassedTargetsAge is the age from which on what a router knows of the targets confirms nothing to others.
const maxPassedTargetsAge = time.Minute

// newHeartbeat returns a plain heartbeat, which has no loads and no peers.
func (m *Mesh) newHeartbeat() *Heartbeat {
	sentAt, targetsAge := stall.BootTime(), m.cfg.Directory.TargetsAge()
	versions, live := m.cfg.Directory.Versions(), m.cfg.Directory.HasLiveWatch()
	hb := &Heartbeat{
		From: m.cfg.Self, Domain: m.cfg.Domain, Incarnation: m.incarnation, Watching: live, StoreLost: !live && m.cfg.Directory.StoreLost(),
		Leaving: m.leaving.Load(), ConfigRevision: versions.Config.Revision, ConfigVersion: versions.Config.Version, TargetsDigest: versions.TargetsDigest,
		TargetsRevision: versions.TargetsRevision, Strength: m.cfg.Strength, SentMS: uint64(sentAt.Milliseconds()),
	}
	if targetsAge >= 0 && targetsAge < maxPassedTargetsAge {
		hb.TargetsAgeMS = uint32(targetsAge.Milliseconds()) + 1
	}
	if since := m.cfg.Directory.AnsweredSince(); live && !since.IsZero() {
		hb.StoreAnsweredMS = max(ageMS(since, time.Now()), 1)
	}
	return hb
}

// addLoadsAndPeers adds the newest loads and some other routers to a heartbeat,
// which makes it a full one.
func (m *Mesh) addLoadsAndPeers(hb *Heartbeat, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	hb.Loads = newestLoads(m.loads, now)
	hb.Paces = m.pacesOf(hb.Loads)
	hb.Limits = m.newestLimits(now)
	hb.Splits = m.splitReports(now)
	hb.Confirmations = m.splitConfirmations()
	hb.Lists = m.listReports()
	hb.Paths = m.pathReports(now)
	hb.Brittle = m.newestBrittle(now)
	hb.Unsound = m.unsoundReports(now)
	hb.Evacuations = m.evacuationReport(now)
	hb.FleetSize = uint32(m.table.KnownRouters())
	hb.Peers = m.table.RandomPeers(maxPeers, now, m.random)
}

// newestLoads returns up to maxLoads of the newest loads, which other routers are
// least likely to have, in order of increasing age.
func newestLoads(loads map[fleet.TargetID]loadSample, now time.Time) []LoadReport {
	list := make([]LoadReport, 0, len(loads))
	for id, s := range loads {
		if now.Sub(s.reportedAt) < loadLifetime {
			list = append(list, LoadReport{TargetHash: id.Hash(), Work: uint32(s.work), AgeMS: ageMS(s.reportedAt, now)})
		}
	}
	return newest(list, maxLoads, func(r LoadReport) (uint32, uint32) { return r.AgeMS, r.TargetHash })
}

// newest returns up to n of the reports with the lowest age, in order of increasing age. key
// returns a report's age and the hash of its target.
func newest[T any](list []T, n int, key func(T) (age, hash uint32)) []T {
	slices.SortFunc(list, func(a, b T) int {
		ageA, hashA := key(a)
		ageB, hashB := key(b)
		return cmp.Or(cmp.Compare(ageA, ageB), cmp.Compare(hashA, hashB))
	})
	return list[:min(len(list), n)]
}

// send sends a heartbeat to each address.
func (m *Mesh) send(hb *Heartbeat, addrs []netip.AddrPort) {
	if len(addrs) == 0 {
		return
	}
	data, err := encodeFitting(hb)
	if err != nil {
		event.MeshFault.Log(m.cfg.Log).Str("what", "encode").Err(err).Send()
		return
	}
	for _, addr := range addrs {
		// Errors are ignored like lost datagrams: the next heartbeat makes up for them.
		if _, err := m.conn.WriteToUDPAddrPort(data, addr); err == nil {
			m.cfg.CountBytes("sent", len(data))
		}
	}
}

// encodeFitting encodes a heartbeat. What does not fit into a datagram is left out:
// changes, which receivers that lack them fetch, and loads, then limits and unsound targets, splits and paths,
// crashes and clears, then other routers, and verdicts last.
func encodeFitting(hb *Heartbeat) ([]byte, error) {
	data, err := encode(hb)
	for _, leaveOut := range []func(){
		func() { hb.Changes, hb.Loads, hb.Paces = nil, nil, nil },
		func() { hb.Limits, hb.Brittle, hb.Unsound = nil, nil, nil },
		func() { hb.Splits, hb.Confirmations, hb.Lists, hb.Paths = nil, nil, nil, nil },
		hb.leaveOutCrashes,
		func() { hb.Peers = nil },
		func() { hb.Evidence = nil },
	} {
		if !errors.Is(err, errDatagramTooLong) {
			break
		}
		leaveOut()
		data, err = encode(hb)
	}
	return data, err
}

// handleHeartbeat processes a received heartbeat.
func (m *Mesh) handleHeartbeat(ctx context.Context, hb *Heartbeat, from netip.AddrPort) {
	now := time.Now()
	if hb.Permit != nil {
		m.handlePermit(hb, from, now)
		return
	}
	if hb.Stream != nil {
		m.handleStream(hb.Stream, from, now)
		return
	}
	m.mu.Lock()
	known := m.table.members[hb.From]
	joined := known == nil || known.incarnation < hb.Incarnation
	leaving := hb.Leaving && (joined || !known.leaving)
	m.table.HandleHeartbeat(hb, from, now)
	late, passageKnown := m.table.observePassage(hb, stall.BootTime())
	loads := m.mergeLoads(hb, now)
	m.mu.Unlock()
	if joined {
		event.RouterDiscovered.Log(m.cfg.Log).Str("router", string(hb.From)).Str("failure_domain", string(hb.Domain)).Send()
	}
	if leaving {
		event.RouterLeaving.Log(m.cfg.Log).Str("router", string(hb.From)).Send()
	}
	for id, s := range loads {
		m.cfg.OnPeerLoad(id, s.work, s.pace, s.reportedAt)
	}
	m.mergeLimits(hb.Limits, now)
	m.mergeSplits(hb.Splits, now)
	m.mergeConfirmations(hb.Confirmations, late)
	m.mergeLists(hb)
	m.mergeStreams(hb.Streams, now)
	m.mergeBrittle(hb.Brittle, now)
	m.mergeUnsound(hb.From, hb.Unsound, now)
	if hb.Evacuations != nil {
		m.cfg.Directory.MergeEvacuations(*hb.Evacuations.decode(now))
	}
	switch {
	case hb.Joining:
		m.replyToJoin(hb.Domain, from, now)
	case hb.lacksView() && m.cfg.Directory.View().Ready():
		m.send(m.newHeartbeat(), []netip.AddrPort{from})
	}
	if len(hb.Changes) > 0 {
		m.cfg.Directory.ApplyChanges(toPlatformChanges(hb.Changes))
	}
	m.mergeEvidence(hb, from, now)
	targetsAge := time.Duration(-1)
	if passageKnown {
		targetsAge = hb.targetsAge(late)
	}
	m.syncIfBehind(ctx, hb, from, now, targetsAge)
}

// lacksView reports whether the sender has no configuration or no targets.
func (hb *Heartbeat) lacksView() bool {
	return hb.ConfigRevision == 0 || hb.TargetsDigest == 0
}

func toPlatformChanges(list []Change) []platform.Change {
	changes := make([]platform.Change, 0, len(list))
	for _, c := range list {
		changes = append(changes, platform.Change{
			Object: platform.Object{Name: c.Name, Revision: c.Revision, Spec: c.Spec}, Deleted: c.Deleted,
		})
	}
	return changes
}

// mergeLoads stores the loads that are newer than those known and returns them;
// m.mu must be held.
func (m *Mesh) mergeLoads(hb *Heartbeat, now time.Time) map[fleet.TargetID]loadSample {
	merged := map[fleet.TargetID]loadSample{}
	for i, l := range hb.Loads {
		id, ok := m.targetsByHash[l.TargetHash]
		at := timeOf(l.AgeMS, now)
		if !ok || !at.After(m.loads[id].reportedAt) {
			continue
		}
		m.loads[id] = loadSample{int(l.Work), hb.pace(i), at}
		merged[id] = m.loads[id]
	}
	return merged
}
