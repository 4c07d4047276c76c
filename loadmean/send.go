package loadmean

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// step processes a tick and returns the messages that are due.
func (c *core) step(now time.Time) []Message {
	c.refill(now)
	for key, r := range c.ownReports {
		c.sendReport(key, r, now)
	}
	for key, a := range c.aggregates {
		c.sendAggregate(key, a, now)
	}
	return c.buildMessages()
}

func (c *core) refill(now time.Time) {
	c.byteBudget = min(c.byteBudget+now.Sub(c.refilledAt).Seconds()*bytesPerSecond, burstBytes)
	c.refilledAt = now
}

// sendReport sends this router's part of a quantity to the aggregator, or
// applies it directly if this router is the aggregator.
func (c *core) sendReport(key Key, r *ownReport, now time.Time) {
	to := c.aggregatorID(key, c.self.Domain)
	if to == c.self.ID {
		c.applyReport(key, to, r.value, c.seq, now)
		if r.value == (fixedSum{}) {
			delete(c.ownReports, key)
		}
		return
	}
	c.dropOwnReport(key)
	if !c.due(key, r.sent, to, r.value, fixedSum{}, minReportInterval, now) {
		return
	}
	r.sent = sentValue{to: to, value: r.value, at: now}
	c.enqueue(KindReport, to, Item{Key: key, Amount: r.value.amount, Weight: r.value.weight})
	if r.value == (fixedSum{}) {
		delete(c.ownReports, key)
		delete(c.peerSums, key)
	}
}

// dropOwnReport removes this router's own report from its aggregate once
// another router is the aggregator. Until the report expired, this router would
// otherwise keep answering itself and overwrite the new aggregator's answers.
func (c *core) dropOwnReport(key Key) {
	if a := c.aggregates[key]; a != nil {
		delete(a.reports, c.self.ID)
	}
}

// due reports whether a value must be sent now: to a new receiver, after a
// sufficiently large change, or as a refresh.
func (c *core) due(key Key, last sentValue, to fleet.RouterID, value, domain fixedSum, interval time.Duration, now time.Time) bool {
	if c.byteBudget <= 0 {
		return false
	}
	sinceSent := now.Sub(last.at)
	if last.to != to || sinceSent >= refreshInterval {
		return true
	}
	if key.isDemand() {
		return sinceSent >= max(interval, minDemandInterval) &&
			(value.demandChanged(last.value) || domain.demandChanged(last.domain))
	}
	if value.loadSurged(last.value) || domain.loadSurged(last.domain) {
		interval = surgeInterval
	}
	return sinceSent >= interval && (value.loadChanged(last.value) || domain.loadChanged(last.domain))
}

// sendAggregate sends the domain's sum to the other domains and answers the
// reporters.
func (c *core) sendAggregate(key Key, a *aggregate, now time.Time) {
	a.expire(now)
	if len(a.reports) == 0 && len(a.remote) == 0 {
		delete(c.aggregates, key)
		return
	}
	domain := a.domainSum()
	interval := minSumInterval * time.Duration(1+len(a.reports)/reportersPerInterval)
	if len(a.reports) > 0 && c.aggregatorID(key, c.self.Domain) == c.self.ID {
		c.sendDomainSums(key, a, domain, interval, now)
	}
	total := domain
	for _, r := range a.remote {
		total = total.add(r.value)
	}
	c.answerReporters(key, a, domain, total, interval, now)
}

func (c *core) sendDomainSums(key Key, a *aggregate, domain fixedSum, interval time.Duration, now time.Time) {
	for d := range c.routersByDomain {
		if d == c.self.Domain {
			continue
		}
		to := c.aggregatorID(key, d)
		if !c.due(key, a.sent[to], to, domain, fixedSum{}, interval, now) {
			continue
		}
		a.sent[to] = sentValue{to: to, value: domain, at: now}
		c.enqueue(KindDomainSum, to, Item{Key: key, Amount: domain.amount, Weight: domain.weight})
	}
}

func (c *core) answerReporters(key Key, a *aggregate, domain, total fixedSum, interval time.Duration, now time.Time) {
	for id, r := range a.reports {
		d, t := domain.sub(r.value), total.sub(r.value)
		if id == c.self.ID {
			c.applyPeerSums(key, timedPeerSums{d, t, now})
			continue
		}
		if !c.due(key, a.sent[id], id, t, d, interval, now) {
			continue
		}
		a.sent[id] = sentValue{to: id, value: t, domain: d, at: now}
		c.enqueue(KindPeerSums, id, Item{
			Key: key, Amount: t.amount, Weight: t.weight, DomainAmount: d.amount, DomainWeight: d.weight,
		})
	}
}

func (a *aggregate) domainSum() fixedSum {
	var sum fixedSum
	for _, r := range a.reports {
		sum = sum.add(r.value)
	}
	return sum
}

// expire deletes values that were not refreshed within valueTTL.
func (a *aggregate) expire(now time.Time) {
	for id, r := range a.reports {
		if now.Sub(r.at) >= valueTTL {
			delete(a.reports, id)
		}
	}
	for d, r := range a.remote {
		if now.Sub(r.at) >= valueTTL {
			delete(a.remote, d)
		}
	}
	for id, s := range a.sent {
		if now.Sub(s.at) >= valueTTL {
			delete(a.sent, id)
		}
	}
}

func (c *core) enqueue(kind Kind, to fleet.RouterID, item Item) {
	d := destination{kind, to}
	c.outbox[d] = append(c.outbox[d], item)
}

// buildMessages packs the items collected in a step into datagrams and charges
// their sizes to the byte budget.
func (c *core) buildMessages() []Message {
	var messages []Message
	for d, items := range c.outbox {
		for len(items) > 0 {
			n := countFitting(items)
			c.seq++
			m := Message{To: d.to, Addr: c.members[d.to].PeerAddr, Datagram: Datagram{Kind: d.kind, Seq: c.seq, Items: items[:n]}}
			c.byteBudget -= m.size()
			messages = append(messages, m)
			items = items[n:]
		}
	}
	clear(c.outbox)
	return messages
}

// countFitting returns how many of the items fit into one datagram, at least
// one.
func countFitting(items []Item) int {
	bytes := messageOverheadBytes
	for i, item := range items {
		bytes += maxItemOverheadBytes + len(item.Key)
		if bytes > maxDatagramBytes && i > 0 {
			return i
		}
	}
	return len(items)
}
