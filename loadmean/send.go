package loadmean

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// step returns the messages that are due.
func (c *core) step(now time.Time) []Message {
	c.refill(now)
	for key, r := range c.own {
		c.sendReport(key, r, now)
	}
	for key, a := range c.sums {
		c.sendSums(key, a, now)
	}
	return c.collect()
}

func (c *core) refill(now time.Time) {
	c.tokens = min(c.tokens+now.Sub(c.filled).Seconds()*bytesPerSecond, bytesBurst)
	c.filled = now
}

// sendReport hands the own part of a quantity to its aggregator.
func (c *core) sendReport(key Key, r *ownReport, now time.Time) {
	to := c.owner(key, c.self.Domain)
	if to == c.self.ID {
		c.takeReport(key, to, r.value, c.seq, now)
		if r.value == (units{}) {
			delete(c.own, key)
		}
		return
	}
	c.forgetOwn(key)
	if !c.due(key, r.sent, to, r.value, units{}, reportInterval, now) {
		return
	}
	r.sent = sent{to: to, value: r.value, at: now}
	c.add(KindReport, to, Item{Key: key, Amount: r.value.amount, Weight: r.value.weight})
	if r.value == (units{}) {
		delete(c.own, key)
		delete(c.others, key)
	}
}

// forgetOwn drops the own report from the sum of a former aggregator: were it
// kept until it expires, this router would go on answering itself.
func (c *core) forgetOwn(key Key) {
	if a := c.sums[key]; a != nil {
		delete(a.reports, c.self.ID)
	}
}

// due reports whether a value should be sent: to a new receiver, after a change
// worth it, or as a refresh.
func (c *core) due(key Key, last sent, to fleet.RouterID, value, extra units, interval time.Duration, now time.Time) bool {
	if c.tokens <= 0 {
		return false
	}
	silent := now.Sub(last.at)
	if last.to != to || silent >= refresh {
		return true
	}
	if key.demand() {
		return silent >= max(interval, demandInterval) &&
			(value.differsAsDemand(last.value) || extra.differsAsDemand(last.extra))
	}
	if value.surges(last.value) || extra.surges(last.extra) {
		interval = surgeInterval
	}
	return silent >= interval && (value.differs(last.value) || extra.differs(last.extra))
}

// sendSums sends a domain's sum to the other domains and answers reporters.
func (c *core) sendSums(key Key, a *aggregate, now time.Time) {
	a.expire(now)
	if len(a.reports) == 0 && len(a.remote) == 0 {
		delete(c.sums, key)
		return
	}
	domain := a.domainSum()
	interval := sumInterval * time.Duration(1+len(a.reports)/reportersPerInterval)
	if len(a.reports) > 0 && c.owner(key, c.self.Domain) == c.self.ID {
		c.exchange(key, a, domain, interval, now)
	}
	total := domain
	for _, r := range a.remote {
		total = total.plus(r.value)
	}
	c.answer(key, a, domain, total, interval, now)
}

func (c *core) exchange(key Key, a *aggregate, domain units, interval time.Duration, now time.Time) {
	for d := range c.domains {
		if d == c.self.Domain {
			continue
		}
		to := c.owner(key, d)
		if !c.due(key, a.sent[to], to, domain, units{}, interval, now) {
			continue
		}
		a.sent[to] = sent{to: to, value: domain, at: now}
		c.add(KindDomain, to, Item{Key: key, Amount: domain.amount, Weight: domain.weight})
	}
}

func (c *core) answer(key Key, a *aggregate, domain, total units, interval time.Duration, now time.Time) {
	for id, r := range a.reports {
		d, t := domain.minus(r.value), total.minus(r.value)
		if id == c.self.ID {
			c.takeOthers(key, othersAt{d, t, now})
			continue
		}
		if !c.due(key, a.sent[id], id, t, d, interval, now) {
			continue
		}
		a.sent[id] = sent{to: id, value: t, extra: d, at: now}
		c.add(KindOthers, id, Item{
			Key: key, Amount: t.amount, Weight: t.weight, DomainAmount: d.amount, DomainWeight: d.weight,
		})
	}
}

func (a *aggregate) domainSum() units {
	var sum units
	for _, r := range a.reports {
		sum = sum.plus(r.value)
	}
	return sum
}

// expire drops what was not refreshed.
func (a *aggregate) expire(now time.Time) {
	for id, r := range a.reports {
		if now.Sub(r.at) >= expiry {
			delete(a.reports, id)
		}
	}
	for d, r := range a.remote {
		if now.Sub(r.at) >= expiry {
			delete(a.remote, d)
		}
	}
	for id, s := range a.sent {
		if now.Sub(s.at) >= expiry {
			delete(a.sent, id)
		}
	}
}

func (c *core) add(kind Kind, to fleet.RouterID, item Item) {
	d := destination{kind, to}
	c.out[d] = append(c.out[d], item)
}

// collect makes datagrams of the items gathered in a step and charges them.
func (c *core) collect() []Message {
	var messages []Message
	for d, items := range c.out {
		for len(items) > 0 {
			n := fitting(items)
			c.seq++
			m := Message{To: d.to, Addr: c.members[d.to].PeerAddr, Datagram: Datagram{Kind: d.kind, Seq: c.seq, Items: items[:n]}}
			c.tokens -= m.size()
			messages = append(messages, m)
			items = items[n:]
		}
	}
	clear(c.out)
	return messages
}

// fitting returns how many of the items one datagram can hold, at least one.
func fitting(items []Item) int {
	bytes := messageBytes
	for i, item := range items {
		bytes += largestItemBytes + len(item.Key)
		if bytes > maxDatagramBytes && i > 0 {
			return i
		}
	}
	return len(items)
}
