// Package mesh connects the routers of a fleet by small datagrams, called heartbeats.
// They tell which routers exist and which of them watch the platform's store for their
// failure domain, and carry target loads and target changes. A router that missed
// changes fetches the data from another one.
//
// Serving does not depend on the mesh: a router that receives no heartbeats watches
// the store itself and serves by its own data.
package mesh

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

const (
	// domainHeartbeatsPerTick is the number of routers of its failure domain to which a
	// watcher sends a plain heartbeat at each tick. Successive ticks go round the
	// domain. With heartbeats of 60 bytes this takes 3 KB/s.
	domainHeartbeatsPerTick = 20
	// presenceTimeout is the time since its last known heartbeat after which a router
	// is not chosen to receive full heartbeats and is not mentioned to others.
	presenceTimeout = 4 * time.Second
	// membershipTimeout is the time since its last known heartbeat after which a
	// router no longer counts as a member of the fleet, whose retry budget the members
	// share. It is longer than a network partition lasts, because routers behind the
	// partition spend the budget too.
	membershipTimeout = time.Minute
	// absenceLimit is the time since its last known heartbeat after which a router is taken
	// for gone, rather than for cut off.
	absenceLimit = 15 * time.Minute
	// fleetSizeLifetime is how long the number of routers that another one told of is
	// used.
	fleetSizeLifetime = 10 * time.Second
	// maxMembers bounds the table. The fleet size expected in two years is 2,500
	// routers.
	maxMembers = 4096
)

// member is the record of another router.
type member struct {
	id fleet.RouterID
	// hash is the hash of the ID.
	hash   uint64
	domain fleet.DomainName
	addr   netip.AddrPort
	// incarnation distinguishes the processes of one router; it increases with each
	// start.
	incarnation int64
	// since is when this router first learnt of the process, unsettledAt when that last said that it
	// grants no permits of cold targets yet.
	since, unsettledAt time.Time
	// lastReceived is when this router last received its heartbeat; lastReported also
	// counts heartbeats that other routers reported.
	lastReported, lastReceived time.Time
	// passage tells how late its heartbeats are, late how late the last one was.
	passage passage
	late    time.Duration
	// watching is set if it has a live watch of the store, storeLost if it watches and
	// its calls to the store fail.
	watching, storeLost bool
	// storeAnsweredSince is since when the store has answered all its calls; zero if that is not
	// known.
	storeAnsweredSince time.Time
	leaving            bool
	// configRevision and targetsDigest are the versions that its last heartbeat told.
	configRevision, targetsDigest uint64
	strength                      uint8
	// paths holds its paths to targets, by the hash of their service.
	paths map[uint32]helperRecord
	// splits holds the revisions of the splits that it knows.
	splits map[fleet.ServiceName]uint64
	// lists holds the revisions of the lists of routers in which it knows that it is listed.
	lists map[fleet.ServiceName]uint64
}

// Table holds a router's records of the other routers. It does no I/O; the time is
// passed in. It is not safe for concurrent use.
type Table struct {
	self     fleet.RouterID
	domain   fleet.DomainName
	strength uint8
	members  map[fleet.RouterID]*member
	// leaving is set once this router is stopping.
	leaving bool
	// startedAt is when this router started, settledSince since when it knows the others well
	// enough to grant permits of cold targets; zero if it does not.
	startedAt, settledSince time.Time
	// growth is when the number of known routers last grew, and to how many.
	growth fleetSize
	// servedAt is when this router last received a heartbeat of a router of its failure
	// domain with a live watch, or when it first chose its role.
	servedAt time.Time
	// absence is the last time in which other routers were absent.
	absence absence
	// forgotten holds the routers that were removed without having announced that they leave,
	// and when they were last heard of.
	forgotten map[fleet.RouterID]time.Time
	// largest is the largest fleet that another router told of.
	largest fleetSize
}

// fleetSize is the number of routers that a router knew at a time.
type fleetSize struct {
	routers int
	at      time.Time
}

// NewTable returns an empty table for the router self.
func NewTable(self fleet.RouterID, domain fleet.DomainName, strength uint8) *Table {
	return &Table{self: self, domain: domain, strength: strength, members: map[fleet.RouterID]*member{}, forgotten: map[fleet.RouterID]time.Time{}}
}

// HandleHeartbeat updates the table with a heartbeat received from addr. It ignores
// heartbeats of an older incarnation of the sender.
func (t *Table) HandleHeartbeat(hb *Heartbeat, addr netip.AddrPort, now time.Time) {
	if hb.From == t.self {
		return
	}
	m := t.getOrCreate(hb.From)
	if m == nil || hb.Incarnation < m.incarnation {
		return
	}
	if hb.Incarnation > m.incarnation {
		m.splits, m.lists, m.since, m.passage, m.late = nil, nil, now, passage{}, 0
	}
	m.domain, m.addr, m.incarnation = hb.Domain, addr, hb.Incarnation
	m.lastReported, m.lastReceived = now, now
	m.watching, m.storeLost, m.leaving, m.strength = hb.Watching, hb.StoreLost, hb.Leaving, hb.Strength
	m.storeAnsweredSince = time.Time{}
	if hb.StoreAnsweredMS > 0 {
		m.storeAnsweredSince = timeOf(hb.StoreAnsweredMS, now)
	}
	if hb.Watching && !hb.Leaving && hb.Domain == t.domain {
		t.servedAt = now
	}
	m.configRevision, m.targetsDigest = hb.ConfigRevision, hb.TargetsDigest
	t.recordFleetSize(int(hb.FleetSize), now)
	t.mergePaths(hb.From, hb.Paths, now)
	t.mergeSplitReports(hb.From, hb.Splits)
	t.mergeListReports(hb.From, hb.Lists)
	for _, peer := range hb.Peers {
		t.mergePeer(peer, now)
	}
}

// observePassage records and returns by how much a heartbeat that was received at a time of the boot clock is late, and
// whether that is known.
func (t *Table) observePassage(hb *Heartbeat, received time.Duration) (late time.Duration, known bool) {
	m := t.members[hb.From]
	if m == nil || hb.SentMS == 0 || hb.Incarnation != m.incarnation {
		return 0, false
	}
	late, known = m.passage.observe(time.Duration(hb.SentMS)*time.Millisecond, received)
	m.late = late
	return late, known
}

// mergePeer updates the record of a router that another router mentioned.
func (t *Table) mergePeer(peer PeerInfo, now time.Time) {
	if peer.ID == t.self || !peer.Addr.IsValid() {
		return
	}
	m := t.getOrCreate(peer.ID)
	if m == nil || peer.Incarnation < m.incarnation {
		return
	}
	if peer.Incarnation > m.incarnation {
		m.leaving, m.watching, m.storeLost, m.splits, m.lists, m.since = false, false, false, nil, nil, now
	}
	m.domain, m.addr, m.incarnation, m.strength = peer.Domain, peer.Addr, peer.Incarnation, peer.Strength
	if reportedAt := timeOf(peer.AgeMS, now); reportedAt.After(m.lastReported) {
		m.lastReported = reportedAt
	}
}

// getOrCreate returns the record of a router. It returns nil if there is none and
// the table is full.
func (t *Table) getOrCreate(id fleet.RouterID) *member {
	m := t.members[id]
	if m == nil && len(t.members) < maxMembers {
		m = &member{id: id, hash: routerHash(id)}
		t.members[id] = m
		delete(t.forgotten, id)
	}
	return m
}

// RemoveExpired removes the routers that were not seen within membershipTimeout, and forgets them
// after absenceLimit.
func (t *Table) RemoveExpired(now time.Time) {
	for id, m := range t.members {
		if now.Sub(m.lastReported) <= membershipTimeout {
			continue
		}
		delete(t.members, id)
		if !m.leaving && len(t.forgotten) < maxMembers {
			t.forgotten[id] = m.lastReported
		}
	}
	for id, at := range t.forgotten {
		if now.Sub(at) > absenceLimit {
			delete(t.forgotten, id)
		}
	}
}

// KnownRouters returns the number of routers in the table, this one included.
func (t *Table) KnownRouters() int {
	return len(t.members) + 1
}

// FleetSize returns the number of routers: those in the table, or more if another
// router knew more within fleetSizeLifetime. In a fleet of hundreds, a table takes
// half a minute to fill.
func (t *Table) FleetSize(now time.Time) int {
	if now.Sub(t.largest.at) < fleetSizeLifetime {
		return max(t.KnownRouters(), t.largest.routers)
	}
	return t.KnownRouters()
}

// recordFleetSize keeps the largest number of routers that another one told of.
func (t *Table) recordFleetSize(routers int, now time.Time) {
	if routers >= t.largest.routers || now.Sub(t.largest.at) >= fleetSizeLifetime {
		t.largest = fleetSize{min(routers, maxMembers), now}
	}
}

// DomainAddrs returns the addresses of the other routers of the same failure domain
// that were seen within membershipTimeout.
func (t *Table) DomainAddrs(now time.Time) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, m := range t.members {
		if m.domain == t.domain && now.Sub(m.lastReported) < membershipTimeout {
			addrs = append(addrs, m.addr)
		}
	}
	return addrs
}

// NextDomainAddrs returns the addresses of up to domainHeartbeatsPerTick routers of the
// same failure domain. Successive values of tickCount go round all of them.
func (t *Table) NextDomainAddrs(tickCount int, now time.Time) []netip.AddrPort {
	addrs := t.DomainAddrs(now)
	if len(addrs) <= domainHeartbeatsPerTick {
		return addrs
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	batch := make([]netip.AddrPort, domainHeartbeatsPerTick)
	for i := range batch {
		batch[i] = addrs[(tickCount*domainHeartbeatsPerTick+i)%len(addrs)]
	}
	return batch
}

// RandomAddrs returns the addresses of up to n random routers that were seen within
// presenceTimeout and are not leaving.
func (t *Table) RandomAddrs(n int, now time.Time, random *rand.Rand) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, m := range t.shuffledMembers(random) {
		if now.Sub(m.lastReported) < presenceTimeout && !m.leaving {
			addrs = append(addrs, m.addr)
		}
		if len(addrs) == n {
			break
		}
	}
	return addrs
}

// RandomPeers returns up to n random routers, chosen like those of RandomAddrs, for a
// heartbeat.
func (t *Table) RandomPeers(n int, now time.Time, random *rand.Rand) []PeerInfo {
	var peers []PeerInfo
	for _, m := range t.shuffledMembers(random) {
		if m.leaving || now.Sub(m.lastReported) >= presenceTimeout {
			continue
		}
		peers = append(peers, m.info(now))
		if len(peers) == n {
			break
		}
	}
	return peers
}

// info returns what this router tells others about a member.
func (m *member) info(now time.Time) PeerInfo {
	return PeerInfo{
		ID: m.id, Domain: m.domain, Addr: m.addr, Incarnation: m.incarnation,
		AgeMS: ageMS(m.lastReported, now), Strength: m.strength,
	}
}

// shuffledMembers returns all members in random order.
func (t *Table) shuffledMembers(random *rand.Rand) []*member {
	list := make([]*member, 0, len(t.members))
	for _, m := range t.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(a.id, b.id) })
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
