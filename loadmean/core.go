package loadmean

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortpond.example/ragwortpond/fleet"
)

// core is the state of one router. It does no I/O and is not safe for
// concurrent use. The order of messages within a step is random. The byte
// budget is checked as of the start of a step and charged at its end.
type core struct {
	self            fleet.Router
	members         map[fleet.RouterID]fleet.Router
	routersByDomain map[fleet.DomainName][]fleet.RouterID
	// aggregatorIDs caches the aggregators of a key by failure domain.
	aggregatorIDs map[Key]map[fleet.DomainName]fleet.RouterID
	ownReports    map[Key]*ownReport
	aggregates    map[Key]*aggregate
	peerSums      map[Key]timedPeerSums
	// unpublished holds the keys whose peerSums changed since the last publish.
	unpublished map[Key]bool
	seq         uint64
	byteBudget  float64
	refilledAt  time.Time
	// outbox collects the items to be sent in one step.
	outbox map[destination][]Item
}

type destination struct {
	kind Kind
	to   fleet.RouterID
}

// ownReport is this router's report of one quantity.
type ownReport struct {
	value fixedSum
	sent  sentValue
}

// sentValue is the last value of a key that was sent to one receiver.
type sentValue struct {
	to     fleet.RouterID
	value  fixedSum
	domain fixedSum
	at     time.Time
}

type timedPeerSums struct {
	domain fixedSum
	total  fixedSum
	at     time.Time
}

// aggregate is the state of one key at its aggregator: the reports of the own
// failure domain and the sums of the other domains.
type aggregate struct {
	reports map[fleet.RouterID]*receivedValue
	remote  map[fleet.DomainName]*receivedValue
	// sent is keyed by receiver: reporters and the aggregators of other
	// domains.
	sent map[fleet.RouterID]sentValue
}

type receivedValue struct {
	value fixedSum
	seq   uint64
	from  fleet.RouterID
	at    time.Time
}

func newCore(self fleet.Router, now time.Time) *core {
	c := &core{
		self: self, ownReports: map[Key]*ownReport{}, aggregates: map[Key]*aggregate{}, peerSums: map[Key]timedPeerSums{}, unpublished: map[Key]bool{},
		seq: uint64(now.Unix()), byteBudget: burstBytes, refilledAt: now, outbox: map[destination][]Item{},
	}
	c.setMembers([]fleet.Router{self})
	return c
}

// setMembers sets the live routers. This router is always included.
func (c *core) setMembers(routers []fleet.Router) {
	c.members = map[fleet.RouterID]fleet.Router{c.self.ID: c.self}
	for _, r := range routers {
		c.members[r.ID] = r
	}
	c.routersByDomain = map[fleet.DomainName][]fleet.RouterID{}
	for id, r := range c.members {
		c.routersByDomain[r.Domain] = append(c.routersByDomain[r.Domain], id)
	}
	c.aggregatorIDs = map[Key]map[fleet.DomainName]fleet.RouterID{}
}

// aggregatorID returns the aggregator of a key in a failure domain.
func (c *core) aggregatorID(key Key, domain fleet.DomainName) fleet.RouterID {
	byDomain := c.aggregatorIDs[key]
	if byDomain == nil {
		byDomain = map[fleet.DomainName]fleet.RouterID{}
		c.aggregatorIDs[key] = byDomain
	}
	id, known := byDomain[domain]
	if !known {
		id = selectAggregator(key, c.routersByDomain[domain])
		byDomain[domain] = id
	}
	return id
}

// selectAggregator returns the rendezvous hashing winner for a key. Ties go to
// the lower ID.
func selectAggregator(key Key, ids []fleet.RouterID) fleet.RouterID {
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

// setOwnReport sets this router's part of a quantity; a zero value withdraws
// it.
func (c *core) setOwnReport(key Key, value fixedSum) {
	r := c.ownReports[key]
	if r == nil {
		if value == (fixedSum{}) || len(c.ownReports) >= maxKeys {
			return
		}
		r = &ownReport{}
		c.ownReports[key] = r
	}
	r.value = value
}

// receive processes a datagram. It ignores datagrams from unknown routers and
// datagrams with more than maxItems items.
func (c *core) receive(from fleet.RouterID, d Datagram, now time.Time) {
	sender, known := c.members[from]
	if !known || len(d.Items) > maxItems {
		return
	}
	for _, item := range d.Items {
		value := fixedSum{item.Amount, item.Weight}
		switch d.Kind {
		case KindReport:
			c.applyReport(item.Key, from, value, d.Seq, now)
		case KindDomainSum:
			c.applyDomainSum(item.Key, sender, value, d.Seq, now)
		case KindPeerSums:
			if c.aggregatorID(item.Key, c.self.Domain) == from {
				c.applyPeerSums(item.Key, timedPeerSums{fixedSum{item.DomainAmount, item.DomainWeight}, value, now})
			}
		}
	}
}

func (c *core) applyReport(key Key, from fleet.RouterID, value fixedSum, seq uint64, now time.Time) {
	a := c.ensureAggregate(key)
	if a == nil {
		return
	}
	old := a.reports[from]
	if old != nil && seq < old.seq {
		return
	}
	if value == (fixedSum{}) {
		delete(a.reports, from)
		return
	}
	a.reports[from] = &receivedValue{value: value, seq: seq, from: from, at: now}
}

func (c *core) applyDomainSum(key Key, sender fleet.Router, value fixedSum, seq uint64, now time.Time) {
	a := c.ensureAggregate(key)
	if a == nil || sender.Domain == c.self.Domain {
		return
	}
	old := a.remote[sender.Domain]
	if old != nil && old.from == sender.ID && seq < old.seq {
		return
	}
	a.remote[sender.Domain] = &receivedValue{value: value, seq: seq, from: sender.ID, at: now}
}

// applyPeerSums stores the aggregator's answer to an own report.
func (c *core) applyPeerSums(key Key, o timedPeerSums) {
	if c.ownReports[key] != nil {
		c.peerSums[key] = o
		c.unpublished[key] = true
	}
}

func (c *core) ensureAggregate(key Key) *aggregate {
	a := c.aggregates[key]
	if a == nil && len(c.aggregates) < maxKeys {
		a = &aggregate{
			reports: map[fleet.RouterID]*receivedValue{},
			remote:  map[fleet.DomainName]*receivedValue{},
			sent:    map[fleet.RouterID]sentValue{},
		}
		c.aggregates[key] = a
	}
	return a
}

// read returns the sums of the other routers, and false if there are none or
// they have expired.
func (c *core) read(key Key, now time.Time) (PeerSums, bool) {
	o, known := c.peerSums[key]
	if !known || now.Sub(o.at) >= valueTTL {
		return PeerSums{}, false
	}
	return PeerSums{Domain: o.domain.toSum(), Total: o.total.toSum()}, true
}
