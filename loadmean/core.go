package loadmean

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortpond.example/ragwortpond/fleet"
)

// core is one router's state. It does no I/O and is not safe for concurrent use.
// The order of messages within a step is random, so that no key is always last
// when the budget of bytes runs out.
type core struct {
	self    fleet.Router
	members map[fleet.RouterID]fleet.Router
	domains map[fleet.DomainName][]fleet.RouterID
	// owners caches the aggregators of a key by failure domain.
	owners map[Key]map[fleet.DomainName]fleet.RouterID
	own    map[Key]*ownReport
	sums   map[Key]*aggregate
	others map[Key]othersAt
	// fresh names the others that changed and were not yet published.
	fresh  map[Key]bool
	seq    uint64
	tokens float64
	filled time.Time
	// out gathers the items of one tick.
	out map[destination][]Item
}

type destination struct {
	kind Kind
	to   fleet.RouterID
}

// ownReport is what this router reports.
type ownReport struct {
	value units
	sent  sent
}

// sent is what was last sent of a key to one receiver.
type sent struct {
	to    fleet.RouterID
	value units
	extra units
	at    time.Time
}

type othersAt struct {
	domain units
	total  units
	at     time.Time
}

// aggregate is what this router adds up for its failure domain.
type aggregate struct {
	reports map[fleet.RouterID]*received
	remote  map[fleet.DomainName]*received
	// sent is by receiver: reporters and other domains' aggregators.
	sent map[fleet.RouterID]sent
}

type received struct {
	value units
	seq   uint64
	from  fleet.RouterID
	at    time.Time
}

func newCore(self fleet.Router, now time.Time) *core {
	c := &core{
		self: self, own: map[Key]*ownReport{}, sums: map[Key]*aggregate{}, others: map[Key]othersAt{}, fresh: map[Key]bool{},
		seq: uint64(now.Unix()), tokens: bytesBurst, filled: now, out: map[destination][]Item{},
	}
	c.setMembers([]fleet.Router{self})
	return c
}

// setMembers takes the live routers. Self is always one of them.
func (c *core) setMembers(routers []fleet.Router) {
	c.members = map[fleet.RouterID]fleet.Router{c.self.ID: c.self}
	for _, r := range routers {
		c.members[r.ID] = r
	}
	c.domains = map[fleet.DomainName][]fleet.RouterID{}
	for id, r := range c.members {
		c.domains[r.Domain] = append(c.domains[r.Domain], id)
	}
	c.owners = map[Key]map[fleet.DomainName]fleet.RouterID{}
}

// owner returns the aggregator of a key in a failure domain.
func (c *core) owner(key Key, domain fleet.DomainName) fleet.RouterID {
	byDomain := c.owners[key]
	if byDomain == nil {
		byDomain = map[fleet.DomainName]fleet.RouterID{}
		c.owners[key] = byDomain
	}
	id, known := byDomain[domain]
	if !known {
		id = highest(key, c.domains[domain])
		byDomain[domain] = id
	}
	return id
}

// highest is the rendezvous choice of a key among routers.
func highest(key Key, ids []fleet.RouterID) fleet.RouterID {
	var best fleet.RouterID
	var bestHash uint64
	for _, id := range ids {
		h := xxhash.Sum64String(string(key) + "\x00" + string(id))
		if best == "" || h > bestHash || (h == bestHash && id < best) {
			best, bestHash = id, h
		}
	}
	return best
}

// report sets this router's part of a quantity; both zero withdraws it.
func (c *core) report(key Key, value units) {
	r := c.own[key]
	if r == nil {
		if value == (units{}) || len(c.own) >= maxKeys {
			return
		}
		r = &ownReport{}
		c.own[key] = r
	}
	r.value = value
}

// receive takes in a datagram.
func (c *core) receive(from fleet.RouterID, d Datagram, now time.Time) {
	sender, known := c.members[from]
	if !known || len(d.Items) > maxItems {
		return
	}
	for _, item := range d.Items {
		value := units{item.Amount, item.Weight}
		switch d.Kind {
		case KindReport:
			c.takeReport(item.Key, from, value, d.Seq, now)
		case KindDomain:
			c.takeDomain(item.Key, sender, value, d.Seq, now)
		case KindOthers:
			if c.owner(item.Key, c.self.Domain) == from {
				c.takeOthers(item.Key, othersAt{units{item.DomainAmount, item.DomainWeight}, value, now})
			}
		}
	}
}

func (c *core) takeReport(key Key, from fleet.RouterID, value units, seq uint64, now time.Time) {
	a := c.aggregate(key)
	if a == nil {
		return
	}
	old := a.reports[from]
	if old != nil && seq < old.seq {
		return
	}
	if value == (units{}) {
		delete(a.reports, from)
		return
	}
	a.reports[from] = &received{value: value, seq: seq, from: from, at: now}
}

func (c *core) takeDomain(key Key, sender fleet.Router, value units, seq uint64, now time.Time) {
	a := c.aggregate(key)
	if a == nil || sender.Domain == c.self.Domain {
		return
	}
	old := a.remote[sender.Domain]
	if old != nil && old.from == sender.ID && seq < old.seq {
		return
	}
	a.remote[sender.Domain] = &received{value: value, seq: seq, from: sender.ID, at: now}
}

// takeOthers takes the answer to an own report.
func (c *core) takeOthers(key Key, o othersAt) {
	if c.own[key] != nil {
		c.others[key] = o
		c.fresh[key] = true
	}
}

func (c *core) aggregate(key Key) *aggregate {
	a := c.sums[key]
	if a == nil && len(c.sums) < maxKeys {
		a = &aggregate{
			reports: map[fleet.RouterID]*received{},
			remote:  map[fleet.DomainName]*received{},
			sent:    map[fleet.RouterID]sent{},
		}
		c.sums[key] = a
	}
	return a
}

// read returns what the others have; ok is false when it is not known or has
// expired.
func (c *core) read(key Key, now time.Time) (Others, bool) {
	o, known := c.others[key]
	if !known || now.Sub(o.at) >= expiry {
		return Others{}, false
	}
	return Others{Domain: o.domain.sum(), Total: o.total.sum()}, true
}
