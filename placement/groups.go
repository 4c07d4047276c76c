package placement

import (
	"math"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

const (
	// groupSlots bounds the prefix groups that are followed.
	groupSlots = 64
	// groupHalfLife is how fast old requests stop to count.
	groupHalfLife = 10 * time.Second
	// groupHeadroom is how much of a target's share a group may fill: a group
	// gets this many times the targets that its load alone would need.
	groupHeadroom = 2
	// groupLeast is the number of recent requests below which a share is noise.
	groupLeast = 8
)

// groupCount is the decayed count of one group's requests.
type groupCount struct {
	prefix fleet.PrefixKey
	count  float64
}

// Groups measures what share of a service's requests each prefix group has, as
// this router sees it. The share needs no exchange between routers, since the
// callers' balancer gives each a like sample. The busiest groups are followed
// in a fixed number of slots. It is not safe for concurrent use.
type Groups struct {
	slots [groupSlots]groupCount
	total float64
	last  time.Time
}

// Observe counts one request, with a zero prefix if it belongs to no group,
// and returns the share of its group in the service's recent requests.
func (g *Groups) Observe(prefix fleet.PrefixKey, now time.Time) float64 {
	g.decay(now)
	g.total++
	if prefix == 0 {
		return 0
	}
	slot := g.slot(prefix)
	slot.count++
	if slot.count < groupLeast {
		return 0
	}
	return min(slot.count/g.total, 1)
}

// slot finds the group's slot or takes over that of the least busy group. The
// count of the group that was there is not inherited.
func (g *Groups) slot(prefix fleet.PrefixKey) *groupCount {
	least := &g.slots[0]
	for i := range g.slots {
		s := &g.slots[i]
		if s.prefix == prefix {
			return s
		}
		if s.count < least.count {
			least = s
		}
	}
	*least = groupCount{prefix: prefix}
	return least
}

func (g *Groups) decay(now time.Time) {
	elapsed := now.Sub(g.last)
	if elapsed < groupHalfLife/10 {
		return
	}
	first := g.last.IsZero()
	g.last = now
	if first {
		return
	}
	factor := math.Exp2(-elapsed.Seconds() / groupHalfLife.Seconds())
	g.total *= factor
	for i := range g.slots {
		g.slots[i].count *= factor
	}
}

// Spread returns over how many of n targets a group with the given share of
// the service's requests is spread.
func Spread(share float64, n int) int {
	r := int(math.Ceil(share * float64(n) * groupHeadroom))
	return max(1, min(r, n))
}
