package placement

import (
	"math"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

const (
	// maxTrackedGroups is the number of prefix groups that are tracked at a
	// time.
	maxTrackedGroups = 64
	// groupHalfLife is the half-life of the weight of a past request.
	groupHalfLife = 10 * time.Second
	// groupSpreadFactor is how many times the targets needed for its load alone a
	// group is spread over, so that it fills only a part of each target's
	// share.
	groupSpreadFactor = 2
	// minGroupRequests is the number of recent requests below which a group's
	// share is treated as noise and reported as zero.
	minGroupRequests = 8
)

// groupCount is the exponentially decayed request count of one group.
type groupCount struct {
	prefix fleet.PrefixKey
	count  float64
}

// PrefixGroups measures the share of each prefix group in a service's requests, as
// seen by this router. Routers need not exchange these shares, because the
// callers' load balancer sends each router a similar sample of requests. The
// busiest groups are tracked in a fixed number of slots. PrefixGroups is not safe for
// concurrent use.
type PrefixGroups struct {
	slots     [maxTrackedGroups]groupCount
	total     float64
	decayedAt time.Time
}

// Observe counts one request and returns its group's share of the service's
// recent requests, from 0 to 1. A zero prefix means that the request has no
// group. The share is zero for a group with too few recent requests.
func (g *PrefixGroups) Observe(prefix fleet.PrefixKey, now time.Time) float64 {
	g.decay(now)
	g.total++
	if prefix == 0 {
		return 0
	}
	slot := g.slot(prefix)
	slot.count++
	if slot.count < minGroupRequests {
		return 0
	}
	return min(slot.count/g.total, 1)
}

// slot returns the group's slot. A group without one replaces the least busy
// group and starts at a count of zero instead of inheriting the replaced count.
func (g *PrefixGroups) slot(prefix fleet.PrefixKey) *groupCount {
	leastBusy := &g.slots[0]
	for i := range g.slots {
		s := &g.slots[i]
		if s.prefix == prefix {
			return s
		}
		if s.count < leastBusy.count {
			leastBusy = s
		}
	}
	*leastBusy = groupCount{prefix: prefix}
	return leastBusy
}

func (g *PrefixGroups) decay(now time.Time) {
	elapsed := now.Sub(g.decayedAt)
	if elapsed < groupHalfLife/10 {
		return
	}
	first := g.decayedAt.IsZero()
	g.decayedAt = now
	if first {
		return
	}
	factor := math.Exp2(-elapsed.Seconds() / groupHalfLife.Seconds())
	g.total *= factor
	for i := range g.slots {
		g.slots[i].count *= factor
	}
}

// GroupTargets returns the number of targets, from 1 to n, over which a group with
// the given share of the service's requests is spread.
func GroupTargets(share float64, n int) int {
	targets := int(math.Ceil(share * float64(n) * groupSpreadFactor))
	return max(1, min(targets, n))
}
