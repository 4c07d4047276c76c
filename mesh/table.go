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

	"ragwortpond.example/ragwortpond/fleet"
)

const (
	// watchersPerDomain is the number of routers of a failure domain that watch the
	// store for it. With three, one remains if two fail or are partitioned at about
	// the same time.
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
	// presenceTimeout is the time since its last known heartbeat after which a router
	// is not a candidate for watching the store, is not chosen to receive full
	// heartbeats, and is not mentioned to others.
	presenceTimeout = 4 * time.Second
	// membershipTimeout is the time since its last known heartbeat after which a
	// router no longer counts as a member of the fleet, whose retry budget the members
	// share. It is longer than a network partition lasts, because routers behind the
	// partition spend the budget too.
	membershipTimeout = time.Minute
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
	// watching is set if it has a live watch of the store.
	watching bool
	leaving  bool
	strength uint8
}

// Table holds a router's records of the other routers. It does no I/O; the time is
// passed in. It is not safe for concurrent use.
type Table struct {
	self     fleet.RouterID
	domain   fleet.DomainName
	strength uint8
	members  map[fleet.RouterID]*member
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
	m.watching, m.leaving, m.strength = hb.Watching, hb.Leaving, hb.Strength
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
		m.leaving, m.watching = false, false
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

// FleetSize returns the number of routers, this one included.
func (t *Table) FleetSize() int {
	return len(t.members) + 1
}

// ShouldWatch reports whether this router should watch the store: it is among the
// first watchersPerDomain routers of its failure domain by watchRank, not counting
// leaving ones and those not seen within presenceTimeout, or no other router of the
// domain has a live watch.
func (t *Table) ShouldWatch(now time.Time) bool {
	ahead := 0
	own := watchRank{t.strength, routerHash(t.self), t.self}
	for _, m := range t.members {
		if m.domain != t.domain || m.leaving {
			continue
		}
		if now.Sub(m.lastReported) < presenceTimeout && ahead <= watchersPerDomain && (watchRank{m.strength, routerHash(m.id), m.id}).before(own) {
			ahead++
		}
	}
	return ahead < watchersPerDomain || !t.HasDomainWatcher(now)
}

// HasDomainWatcher reports whether this router received a heartbeat, within the watcher
// timeout, from a router of the same failure domain with a live watch of the store.
func (t *Table) HasDomainWatcher(now time.Time) bool {
	timeout := t.watcherTimeout()
	for _, m := range t.members {
		if m.domain == t.domain && m.watching && !m.leaving && now.Sub(m.lastReceived) < timeout {
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
		peers = append(peers, PeerInfo{
			ID: m.id, Domain: m.domain, Addr: m.addr, Incarnation: m.incarnation,
			AgeMS: uint32(now.Sub(m.lastReported).Milliseconds()), Strength: m.strength,
		})
		if len(peers) == n {
			break
		}
	}
	return peers
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
