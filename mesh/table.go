// Package mesh joins the routers of a fleet by small datagrams: who is there,
// who watches the platform's store for a failure domain, how busy targets are,
// and what has changed. Whatever a router misses it asks another one for.
//
// Nothing depends on the mesh: a router that hears nobody watches the store
// itself and serves by what it knows.
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
	// watchersEach is how many routers of a failure domain watch the store for
	// it. Three leave one if two are lost or cut off within a moment.
	watchersEach = 3
	// turnEach is how many routers of its failure domain a watcher sends a beat to
	// with each tick, in turn: with beats of 60 bytes, 3 KB/s.
	turnEach = 20
	// watcherSilence is how long a router relies on watchers that it does not hear:
	// three ticks, and in a large failure domain turnSilence of a watcher's turn.
	watcherSilence = 3 * tick
	turnSilence    = 1.4
	// presence is how long a router that nobody has heard is taken for a watcher
	// to be.
	presence = 4 * time.Second
	// membership is how long it counts among those that share the fleet's
	// repeats: longer than a cut lasts, since those behind a cut spend too.
	membership = time.Minute
	// mostMembers bounds the table; the two-year size has 2,500 routers.
	mostMembers = 4096
)

// member is what is known of another router.
type member struct {
	id     fleet.RouterID
	domain fleet.DomainName
	addr   netip.AddrPort
	// boot tells the processes of one router apart; later ones are larger.
	boot int64
	// heard is when anybody last heard it, direct when this router did.
	heard, direct time.Time
	// watches says that it hears the store itself.
	watches  bool
	leaving  bool
	strength uint8
}

// Table is what a router knows of the others. It does no I/O; the time is passed
// in. It belongs to one goroutine.
type Table struct {
	self     fleet.RouterID
	domain   fleet.DomainName
	strength uint8
	members  map[fleet.RouterID]*member
}

// NewTable returns the table of a router that knows nobody.
func NewTable(self fleet.RouterID, domain fleet.DomainName, strength uint8) *Table {
	return &Table{self: self, domain: domain, strength: strength, members: map[fleet.RouterID]*member{}}
}

// Hear takes a beat that came from addr.
func (t *Table) Hear(b *Beat, addr netip.AddrPort, now time.Time) {
	if b.From == t.self {
		return
	}
	m := t.member(b.From)
	if m == nil || b.Boot < m.boot {
		return
	}
	m.domain, m.addr, m.boot = b.Domain, addr, b.Boot
	m.heard, m.direct = now, now
	m.watches, m.leaving, m.strength = b.Watches, b.Leaving, b.Strength
	for _, o := range b.Others {
		t.gossip(o, now)
	}
}

// gossip takes what another router says of a third.
func (t *Table) gossip(o Other, now time.Time) {
	if o.ID == t.self || !o.Addr.IsValid() {
		return
	}
	m := t.member(o.ID)
	if m == nil || o.Boot < m.boot {
		return
	}
	if o.Boot > m.boot {
		m.leaving, m.watches = false, false
	}
	m.domain, m.addr, m.boot, m.strength = o.Domain, o.Addr, o.Boot, o.Strength
	if at := now.Add(-time.Duration(o.AgeMS) * time.Millisecond); at.After(m.heard) {
		m.heard = at
	}
}

// member returns the record of a router, nil if there is no room for it.
func (t *Table) member(id fleet.RouterID) *member {
	m := t.members[id]
	if m == nil && len(t.members) < mostMembers {
		m = &member{id: id}
		t.members[id] = m
	}
	return m
}

// Forget drops routers that nobody has heard for long.
func (t *Table) Forget(now time.Time) {
	for id, m := range t.members {
		if now.Sub(m.heard) > membership {
			delete(t.members, id)
		}
	}
}

// Fleet is the number of routers, this one included.
func (t *Table) Fleet() int {
	return len(t.members) + 1
}

// Watches decides whether this router watches the store: it is one of the first
// of its failure domain's order, or it hears none that does.
func (t *Table) Watches(now time.Time) bool {
	before := 0
	own := place{t.strength, rank(t.self), t.self}
	for _, m := range t.members {
		if m.domain != t.domain || m.leaving {
			continue
		}
		if now.Sub(m.heard) < presence && before <= watchersEach && (place{m.strength, rank(m.id), m.id}).before(own) {
			before++
		}
	}
	return before < watchersEach || !t.HearsWatcher(now)
}

// HearsWatcher reports whether a router of the same failure domain that hears the
// store was heard lately.
func (t *Table) HearsWatcher(now time.Time) bool {
	silence := t.silence()
	for _, m := range t.members {
		if m.domain == t.domain && m.watches && !m.leaving && now.Sub(m.direct) < silence {
			return true
		}
	}
	return false
}

// silence is how long this router relies on watchers that it does not hear.
func (t *Table) silence() time.Duration {
	others := 0
	for _, m := range t.members {
		if m.domain == t.domain {
			others++
		}
	}
	turn := time.Duration((others+turnEach-1)/turnEach) * tick
	return max(watcherSilence, time.Duration(float64(turn)*turnSilence))
}

// place is a router's place in the order in which those of a failure domain
// watch the store, the same at all of them: stronger ones first.
type place struct {
	strength uint8
	hash     uint64
	id       fleet.RouterID
}

func (p place) before(o place) bool {
	return cmp.Or(cmp.Compare(o.strength, p.strength), cmp.Compare(p.hash, o.hash), cmp.Compare(p.id, o.id)) < 0
}

func rank(id fleet.RouterID) uint64 {
	return xxhash.Sum64String(string(id))
}

// Domain returns the addresses of the routers of the same failure domain.
func (t *Table) Domain(now time.Time) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, m := range t.members {
		if m.domain == t.domain && now.Sub(m.heard) < membership {
			addrs = append(addrs, m.addr)
		}
	}
	return addrs
}

// Turn returns the addresses of up to turnEach routers of the same failure domain;
// successive ticks go through all of them.
func (t *Table) Turn(tick int, now time.Time) []netip.AddrPort {
	addrs := t.Domain(now)
	if len(addrs) <= turnEach {
		return addrs
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	turn := make([]netip.AddrPort, turnEach)
	for i := range turn {
		turn[i] = addrs[(tick*turnEach+i)%len(addrs)]
	}
	return turn
}

// Some returns the addresses of up to n routers that were heard lately.
func (t *Table) Some(n int, now time.Time, random *rand.Rand) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, m := range t.pick(random) {
		if now.Sub(m.heard) < presence && !m.leaving {
			addrs = append(addrs, m.addr)
		}
		if len(addrs) == n {
			break
		}
	}
	return addrs
}

// Others returns up to n routers for a beat.
func (t *Table) Others(n int, now time.Time, random *rand.Rand) []Other {
	var others []Other
	for _, m := range t.pick(random) {
		if m.leaving || now.Sub(m.heard) >= presence {
			continue
		}
		others = append(others, Other{
			ID: m.id, Domain: m.domain, Addr: m.addr, Boot: m.boot,
			AgeMS: uint32(now.Sub(m.heard).Milliseconds()), Strength: m.strength,
		})
		if len(others) == n {
			break
		}
	}
	return others
}

// pick returns all members in a random order.
func (t *Table) pick(random *rand.Rand) []*member {
	list := make([]*member, 0, len(t.members))
	for _, m := range t.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(a.id, b.id) })
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
