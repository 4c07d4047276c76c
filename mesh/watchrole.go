package mesh

import (
	"cmp"
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
)

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
	own, timeout := t.ownRank(), t.watcherTimeout()
	ahead, servedAhead := 0, false
	for _, m := range t.members {
		if m.domain != t.domain || m.rank().compare(own) >= 0 {
			continue
		}
		if m.canWatch(now, timeout) {
			ahead++
		}
		servedAhead = servedAhead || m.hasLiveWatch(now, timeout)
	}
	unserved := now.Sub(t.servedAt) >= timeout+takeoverDelay
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
// comes; timeout is the table's watcherTimeout.
func (m *member) canWatch(now time.Time, timeout time.Duration) bool {
	switch {
	case m.leaving, m.storeLost:
		return false
	case m.watching:
		return now.Sub(m.lastReceived) < timeout
	default:
		return now.Sub(m.lastReported) < candidateTimeout
	}
}

// hasLiveWatch reports whether a router has a live watch of the store by its last
// heartbeat, and that is recent; timeout is the table's watcherTimeout.
func (m *member) hasLiveWatch(now time.Time, timeout time.Duration) bool {
	return m.watching && !m.leaving && now.Sub(m.lastReceived) < timeout
}

// ownRank returns this router's place in the order of its failure domain.
func (t *Table) ownRank() watchRank {
	return watchRank{t.strength, routerHash(t.self), t.self}
}

func (m *member) rank() watchRank {
	return watchRank{m.strength, m.hash, m.id}
}

// silentStoreTime is the longest time for which a router with a live watch may not have noticed that
// the store is away: that of a call without an answer.
const silentStoreTime = directory.MaxCallTime

// StoreReturn returns since when the store has been there for routers of a failure domain, after an
// outage that this router met at began: it was not away for a router whose calls it answered before
// and after, and is back since its first answer for others. It returns false if no router of the
// domain reports it.
func (t *Table) StoreReturn(domain fleet.DomainName, began, now time.Time) (time.Time, bool) {
	var earliest time.Time
	timeout := t.watcherTimeout()
	for _, m := range t.members {
		at := m.storeAnsweredSince
		if m.domain != domain || at.IsZero() || !m.hasLiveWatch(now, timeout) {
			continue
		}
		if !at.After(began) {
			if m.lastReceived.Sub(began) < silentStoreTime {
				continue
			}
			at = began
		}
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest, !earliest.IsZero()
}

// StoreReturn returns since when the store has been there for routers of a failure domain, see
// Table.StoreReturn.
func (m *Mesh) StoreReturn(domain fleet.DomainName, outageBegan time.Time) (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.StoreReturn(domain, outageBegan, time.Now())
}

// HasDomainWatcher reports whether this router received a heartbeat, within the watcher
// timeout, from a router of the same failure domain with a live watch of the store.
func (t *Table) HasDomainWatcher(now time.Time) bool {
	timeout := t.watcherTimeout()
	for _, m := range t.members {
		if m.domain == t.domain && m.hasLiveWatch(now, timeout) {
			return true
		}
	}
	return false
}

// DomainWatcherHas reports whether the last heartbeat of another router of the same
// failure domain with a live watch of the store told of these versions.
func (t *Table) DomainWatcherHas(versions directory.Versions, now time.Time) bool {
	timeout := t.watcherTimeout()
	for _, m := range t.members {
		if m.domain == t.domain && m.hasLiveWatch(now, timeout) &&
			m.configRevision == versions.Config.Revision && m.targetsDigest == versions.TargetsDigest {
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

// compare returns a negative number if r is ahead of other in the order.
func (r watchRank) compare(other watchRank) int {
	return cmp.Or(cmp.Compare(other.strength, r.strength), cmp.Compare(r.hash, other.hash), cmp.Compare(r.id, other.id))
}

func routerHash(id fleet.RouterID) uint64 {
	return xxhash.Sum64String(string(id))
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
	slices.SortFunc(list, func(a, b *member) int { return a.rank().compare(b.rank()) })
	return list[:min(n, len(list))]
}
