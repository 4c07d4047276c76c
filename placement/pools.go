package placement

import (
	"slices"

	"ragwortpond.example/ragwortpond/fleet"
)

// poolChange is the routers among which a failure domain's homes are chosen,
// and how they differ from those of the picker before.
type poolChange struct {
	pool []seeded
	// stayed maps a router's record to the present one, for the routers of the
	// pool before that are still in it; nil means that the pool is the same.
	stayed map[*fleet.Router]seeded
	// added are the routers that were not in the pool before.
	added []seeded
}

// newPoolChange compares two pools by the ids of their routers.
func newPoolChange(before, pool []seeded) *poolChange {
	c := &poolChange{pool: pool}
	if slices.Equal(before, pool) {
		return c
	}
	records := make(map[fleet.RouterID]*fleet.Router, len(before))
	for _, s := range before {
		records[s.router.ID] = s.router
	}
	c.stayed = make(map[*fleet.Router]seeded, len(before))
	for _, s := range pool {
		if record, ok := records[s.router.ID]; ok {
			c.stayed[record] = s
		} else {
			c.added = append(c.added, s)
		}
	}
	return c
}

// home returns the home of the target with a key whose home before was given:
// a home that stayed can lose only to a router that was added.
func (c *poolChange) home(key uint64, before *fleet.Router) *fleet.Router {
	if before == nil {
		return highest(key, c.pool)
	}
	if c.stayed == nil {
		return before
	}
	s, ok := c.stayed[before]
	if !ok {
		return highest(key, c.pool)
	}
	return higher(key, s, c.added)
}

// pools finds the pool changes of failure domains as they are asked for.
type pools struct {
	index   *homeIndex
	before  map[fleet.DomainName][]seeded
	present map[fleet.DomainName][]seeded
	changes map[fleet.DomainName]*poolChange
}

func newPools(index *homeIndex, before map[fleet.DomainName][]seeded) *pools {
	return &pools{
		index:   index,
		before:  before,
		present: map[fleet.DomainName][]seeded{},
		changes: map[fleet.DomainName]*poolChange{},
	}
}

func (p *pools) change(domain fleet.DomainName) *poolChange {
	if c := p.changes[domain]; c != nil {
		return c
	}
	c := newPoolChange(p.before[domain], p.index.pool(domain))
	p.changes[domain] = c
	p.present[domain] = c.pool
	return c
}
