package mesh

import (
	"net/netip"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
	"ragwortpond.example/ragwortpond/streamversion"
)

// endedAfter is how long after its last heartbeat a router that leaves is taken for gone: longer than
// its requests may last.
const endedAfter = 15 * time.Second

// ListReport tells which list of a service's routers the sender knows; see
// streamversion.Listing.
type ListReport struct {
	_       struct{} `cbor:",toarray"`
	Service fleet.ServiceName
	// Revision is the newest split that the sender knows, Listed the newest list that it knows
	// to be in, Heard the newest that it has heard of.
	Revision, Listed, Heard uint64
}

// ListingMessage tells a process that the store lists it; see streamversion.Listing.
type ListingMessage struct {
	_       struct{} `cbor:",toarray"`
	Service fleet.ServiceName
	// Process is the incarnation of the listed process.
	Process         int64
	Revision, Floor uint64
	Told, Before    uint64
	// ToldAtMS is a Unix time in milliseconds.
	ToldAtMS int64
	Whole    bool
}

// listReports returns which lists this router knows, for a full heartbeat.
func (m *Mesh) listReports() []ListReport {
	var list []ListReport
	for _, r := range m.cfg.StreamVersions.Reports() {
		if len(list) < maxSplits {
			listed, heard := m.cfg.StreamVersions.ListRevision(r.Service)
			list = append(list, ListReport{Service: r.Service, Revision: r.Revision, Listed: listed, Heard: heard})
		}
	}
	return list
}

// mergeListReports records which splits and lists another router knows.
func (t *Table) mergeListReports(from fleet.RouterID, list []ListReport) {
	m := t.members[from]
	if m == nil || len(list) == 0 {
		return
	}
	if m.lists == nil || len(m.lists) >= maxMemberSplits {
		m.lists = map[fleet.ServiceName]uint64{}
	}
	if m.splits == nil || len(m.splits) >= maxMemberSplits {
		m.splits = map[fleet.ServiceName]uint64{}
	}
	for _, r := range list[:min(len(list), maxSplits)] {
		m.lists[r.Service] = max(m.lists[r.Service], r.Listed)
		m.splits[r.Service] = max(m.splits[r.Service], r.Revision)
	}
}

// mergeLists passes on what another router tells of the lists of routers.
func (m *Mesh) mergeLists(hb *Heartbeat) {
	for _, r := range hb.Lists[:min(len(hb.Lists), maxSplits)] {
		m.cfg.StreamVersions.MergeListRevision(r.Service, r.Heard)
	}
	l := hb.Listing
	if l == nil || l.Process != m.incarnation {
		return
	}
	m.cfg.StreamVersions.MergeListing(streamversion.Listing{
		Service: l.Service, Revision: l.Revision, Floor: l.Floor, Told: streamversion.Told{Revision: l.Told, AtMS: l.ToldAtMS, Before: l.Before}, Whole: l.Whole,
	})
}

// Members implements streamversion.Peers.
func (m *Mesh) Members(service fleet.ServiceName) (known []streamversion.Member, readers streamversion.Readers) {
	own := streamversion.Member{Router: m.cfg.Self, Process: m.incarnation}
	own.Listed, _ = m.cfg.StreamVersions.ListRevision(service)
	for _, r := range m.cfg.StreamVersions.Reports() {
		if r.Service == service {
			own.Revision = r.Revision
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known, readers = m.table.listable(service, time.Now())
	return append(known, own), readers
}

// listable returns the routers that may be listed, and whether all routers read the list.
func (t *Table) listable(service fleet.ServiceName, now time.Time) (known []streamversion.Member, readers streamversion.Readers) {
	readers = streamversion.AllRead
	if t.KnownRouters() < t.FleetSize(now) {
		readers = streamversion.SomeUnknown
	}
	for _, m := range t.members {
		listed, reads := m.lists[service]
		ended := m.leaving && now.Sub(m.lastReported) >= endedAfter
		switch {
		case reads || ended:
		case m.earlierBuild():
			readers = streamversion.SomeDoNot
			continue
		default:
			if readers == streamversion.AllRead && !m.leaving {
				readers = streamversion.SomeUnknown
			}
			continue
		}
		known = append(known, streamversion.Member{Router: m.id, Process: m.incarnation, Revision: m.splits[service], Listed: listed, Ended: ended})
	}
	return known, readers
}

// TellListed implements streamversion.Peers.
func (m *Mesh) TellListed(member streamversion.Member, l streamversion.Listing) {
	if member.Router == m.cfg.Self {
		if member.Process == m.incarnation {
			m.cfg.StreamVersions.MergeListing(l)
		}
		return
	}
	m.mu.Lock()
	var addrs []netip.AddrPort
	if other := m.table.members[member.Router]; other != nil && other.incarnation == member.Process {
		addrs = append(addrs, other.addr)
	}
	m.mu.Unlock()
	hb := m.newHeartbeat()
	hb.Lists = m.listReports()
	hb.Listing = &ListingMessage{
		Service: l.Service, Process: member.Process, Revision: l.Revision, Floor: l.Floor, Told: l.Told.Revision, Before: l.Told.Before, ToldAtMS: l.Told.AtMS, Whole: l.Whole,
	}
	m.send(hb, addrs)
}

// TellKnown implements streamversion.Peers.
func (m *Mesh) TellKnown(service fleet.ServiceName) {
	m.mu.Lock()
	addr, ok := m.table.first(rendezvous.Seed(string(service)), time.Now())
	m.mu.Unlock()
	if !ok {
		return
	}
	hb := m.newHeartbeat()
	hb.Splits, hb.Lists = m.splitReports(time.Now()), m.listReports()
	m.send(hb, []netip.AddrPort{addr})
}

// earlierBuild reports whether a router has an earlier build, which tells of splits without lists.
func (m *member) earlierBuild() bool {
	return m.lists == nil && len(m.splits) > 0
}

// mayWriteList reports whether a router may come before this one as the one that writes lists.
func (m *member) mayWriteList(now time.Time) bool {
	return !m.leaving && !m.earlierBuild() && now.Sub(m.lastReported) < presenceTimeout
}

// first returns the address of the router that comes first by ListPrecedence, or false if that is this one.
func (t *Table) first(key uint64, now time.Time) (netip.AddrPort, bool) {
	best, addr, found := rendezvous.Mix(routerHash(t.self), key), netip.AddrPort{}, false
	for _, m := range t.members {
		if hash := rendezvous.Mix(m.hash, key); hash > best && m.mayWriteList(now) {
			best, addr, found = hash, m.addr, true
		}
	}
	return addr, found
}

// ListPrecedence implements streamversion.Peers.
func (m *Mesh) ListPrecedence(service fleet.ServiceName) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.listPrecedence(rendezvous.Seed(string(service)), time.Now())
}

// listPrecedence returns the number of routers that come before this one as the one that writes lists.
func (t *Table) listPrecedence(key uint64, now time.Time) int {
	if t.leaving || t.KnownRouters() < t.FleetSize(now) {
		return maxMembers
	}
	own, before := rendezvous.Mix(routerHash(t.self), key), 0
	for _, m := range t.members {
		if rendezvous.Mix(m.hash, key) > own && m.mayWriteList(now) {
			before++
		}
	}
	return before
}
