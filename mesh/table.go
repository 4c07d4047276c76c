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

	"github.com/cespare/xxhash/v2"

	"ragwortpond.example/ragwortpond/directory"
	"ragwortpond.example/ragwortpond/fleet"
)

const (
	// watchersPerDomain is the number of routers of a failure domain that watch the
	// store for it: a primary and two standbys. With three, one remains if two fail or
	// are partitioned at about the same time.
	watchersPerDomain = 3
	// domainHeartbeatsPerTick is the number of routers of its failure domain to which a
	// watcher sends a plain heartbeat at each tick. Successive ticks go round the
	// domain. With heartbeats of 60 bytes this takes 3 KB/s.
	domainHeartbeatsPerTick = 20
	// A router stops relying on watchers from which it received no heartbeat for
	// minWatcherTimeout, which is three ticks, or in a large failure domain for
	// roundTimeoutFactor times the duration of a watcher's round through the domain.
	minWatcherTimeout  = 3 * heartbeatInterval
	roundTimeoutFactor = 1.4
	// takeoverDelay is the time that the first routers of a failure domain have for
	// taking over lost watches before all others start to watch.
	takeoverDelay = 2 * heartbeatInterval
	// candidateTimeout is the time since its last known heartbeat after which a router
	// that does not watch is no candidate for watching. In a fleet of 300 routers each
	// is mentioned about every 13 s.
	candidateTimeout = 30 * time.Second
	// presenceTimeout is the time since its last known heartbeat after which a router
	// is not chosen to receive full heartbeats and is not mentioned to others.
	presenceTimeout = 4 * time.Second
	// membershipTimeout is the time since its last known heartbeat after which a
	// router no longer counts as a member of the fleet, whose retry budget the members
	// share. It is longer than a network partition lasts, because routers behind the
	// partition spend the budget too.
	membershipTimeout = time.Minute
	// fleetSizeLifetime is how long the number of routers that another one told of is
	// used.
	fleetSizeLifetime = 10 * time.Second
	// maxMembers bounds the table. The fleet size expected in two years is 2,500
	// routers.
	maxMembers = 4096
)

// member is the record of another router.
type member struct {
	id     fleet.RouterID
	domain fleet.DomainName
	addr   netip.AddrPort
	// incarnation distinguishes the processes of one router; it increases with each
	// start.
	incarnation int64
	// lastReceived is when this router last received its heartbeat; lastReported also
	// counts heartbeats that other routers reported.
	lastReported, lastReceived time.Time
	// watching is set if it has a live watch of the store, storeLost if it watches and
	// its calls to the store fail.
	watching, storeLost bool
	leaving             bool
	// configRevision and targetsDigest are the versions that its last heartbeat told.
	configRevision, targetsDigest uint64
	strength                      uint8
}

// Table holds a router's records of the other routers. It does no I/O; the time is
// passed in. It is not safe for concurrent use.
type Table struct {
	self     fleet.RouterID
	domain   fleet.DomainName
	strength uint8
	members  map[fleet.RouterID]*member
	// servedAt is when this router last received a heartbeat of a router of its failure
	// domain with a live watch, or when it first chose its role.
	servedAt time.Time
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
	return &Table{self: self, domain: domain, strength: strength, members: map[fleet.RouterID]*member{}}
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
	m.domain, m.addr, m.incarnation = hb.Domain, addr, hb.Incarnation
	m.lastReported, m.lastReceived = now, now
	m.watching, m.storeLost, m.leaving, m.strength = hb.Watching, hb.StoreLost, hb.Leaving, hb.Strength
	if hb.Watching && !hb.Leaving && hb.Domain == t.domain {
		t.servedAt = now
	}
	m.configRevision, m.targetsDigest = hb.ConfigRevision, hb.TargetsDigest
	t.recordFleetSize(int(hb.FleetSize), now)
	for _, peer := range hb.Peers {
		t.mergePeer(peer, now)
	}
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
		m.leaving, m.watching, m.storeLost = false, false, false
	}
	m.domain, m.addr, m.incarnation, m.strength = peer.Domain, peer.Addr, peer.Incarnation, peer.Strength
	if reportedAt := now.Add(-time.Duration(peer.AgeMS) * time.Millisecond); reportedAt.After(m.lastReported) {
		m.lastReported = reportedAt
	}
}

// getOrCreate returns the record of a router. It returns nil if there is none and
// the table is full.
func (t *Table) getOrCreate(id fleet.RouterID) *member {
	m := t.members[id]
	if m == nil && len(t.members) < maxMembers {
		m = &member{id: id}
		t.members[id] = m
	}
	return m
}

// RemoveExpired removes the routers that were not seen within membershipTimeout.
func (t *Table) RemoveExpired(now time.Time) {
	for id, m := range t.members {
		if now.Sub(m.lastReported) > membershipTimeout {
			delete(t.members, id)
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

// WatchRole returns this router's part in watching the store for its failure domain;
// current is its present part. The routers that can watch, in the order of watchRank,
// are the primary, the standbys and then routers that do not watch. While none of the
// domain has a live watch for takeoverDelay longer than it takes to notice, all watch.
// One that came to watch in this way goes on until it hears of a live watch that is
// ahead of it in the order; if it stopped for any other one, routers that started at
// the same moment would all stop for each other.
func (t *Table) WatchRole(now time.Time, current directory.WatchRole) directory.WatchRole {
	if t.servedAt.IsZero() {
		t.servedAt = now
	}
	own := t.ownRank()
	ahead, servedAhead := 0, false
	for _, m := range t.members {
		if m.domain != t.domain || !m.rank().before(own) {
			continue
		}
		if t.canWatch(m, now) {
			ahead++
		}
		servedAhead = servedAhead || t.hasLiveWatch(m, now)
	}
	unserved := now.Sub(t.servedAt) >= t.watcherTimeout()+takeoverDelay
	switch {
	case ahead == 0, unserved, current != directory.NoWatch && !servedAhead:
		return directory.PrimaryWatch
	case ahead < watchersPerDomain:
		return directory.StandbyWatch
	default:
		return directory.NoWatch
	}
}

// canWatch reports whether a router can be expected to watch the store when its turn
// comes.
func (t *Table) canWatch(m *member, now time.Time) bool {
	switch {
	case m.leaving, m.storeLost:
		return false
	case m.watching:
		return now.Sub(m.lastReceived) < t.watcherTimeout()
	default:
		return now.Sub(m.lastReported) < candidateTimeout
	}
}

// hasLiveWatch reports whether a router has a live watch of the store by its last
// heartbeat, and that is recent.
func (t *Table) hasLiveWatch(m *member, now time.Time) bool {
	return m.watching && !m.leaving && now.Sub(m.lastReceived) < t.watcherTimeout()
}

// ownRank returns this router's place in the order of its failure domain.
func (t *Table) ownRank() watchRank {
	return watchRank{t.strength, routerHash(t.self), t.self}
}

func (m *member) rank() watchRank {
	return watchRank{m.strength, routerHash(m.id), m.id}
}

// HasDomainWatcher reports whether this router received a heartbeat, within the watcher
// timeout, from a router of the same failure domain with a live watch of the store.
func (t *Table) HasDomainWatcher(now time.Time) bool {
	for _, m := range t.members {
		if m.domain == t.domain && t.hasLiveWatch(m, now) {
			return true
		}
	}
	return false
}

// DomainWatcherHas reports whether the last heartbeat of another router of the same
// failure domain with a live watch of the store told of these versions.
func (t *Table) DomainWatcherHas(versions directory.Versions, now time.Time) bool {
	for _, m := range t.members {
		if m.domain == t.domain && t.hasLiveWatch(m, now) &&
			m.configRevision == versions.Config && m.targetsDigest == versions.TargetsDigest {
			return true
		}
	}
	return false
}

// watcherTimeout returns the time without heartbeats after which this router stops
// relying on a watcher.
func (t *Table) watcherTimeout() time.Duration {
	peers := 0
	for _, m := range t.members {
		if m.domain == t.domain {
			peers++
		}
	}
	round := time.Duration((peers+domainHeartbeatsPerTick-1)/domainHeartbeatsPerTick) * heartbeatInterval
	return max(minWatcherTimeout, time.Duration(float64(round)*roundTimeoutFactor))
}

// watchRank is the key of the order in which the routers of a failure domain are
// chosen to watch the store: stronger ones first, then by hash. All routers compute
// the same order.
type watchRank struct {
	strength uint8
	hash     uint64
	id       fleet.RouterID
}

func (r watchRank) before(other watchRank) bool {
	return cmp.Or(cmp.Compare(other.strength, r.strength), cmp.Compare(r.hash, other.hash), cmp.Compare(r.id, other.id)) < 0
}

func routerHash(id fleet.RouterID) uint64 {
	return xxhash.Sum64String(string(id))
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

// FirstAddrs returns the addresses of the first routers of this router's failure domain
// by watchRank, which are the ones to watch the store, at most n.
func (t *Table) FirstAddrs(n int, now time.Time) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, m := range t.firstOf(t.domain, n, now) {
		addrs = append(addrs, m.addr)
	}
	return addrs
}

// FirstPeers returns the first routers of a failure domain by watchRank, at most n, for
// the reply to a router of that domain that is joining.
func (t *Table) FirstPeers(domain fleet.DomainName, n int, now time.Time) []PeerInfo {
	var peers []PeerInfo
	for _, m := range t.firstOf(domain, n, now) {
		peers = append(peers, m.info(now))
	}
	return peers
}

// firstOf returns the first members of a failure domain by watchRank, at most n.
func (t *Table) firstOf(domain fleet.DomainName, n int, now time.Time) []*member {
	var list []*member
	for _, m := range t.members {
		if m.domain == domain && !m.leaving && now.Sub(m.lastReported) < candidateTimeout {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *member) int {
		if a.rank().before(b.rank()) {
			return -1
		}
		return 1
	})
	return list[:min(n, len(list))]
}

// info returns what this router tells others about a member.
func (m *member) info(now time.Time) PeerInfo {
	return PeerInfo{
		ID: m.id, Domain: m.domain, Addr: m.addr, Incarnation: m.incarnation,
		AgeMS: uint32(max(now.Sub(m.lastReported), 0).Milliseconds()), Strength: m.strength,
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
