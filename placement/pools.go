package placement

import (
	"slices"

	"ragwortpond.example/ragwortpond/fleet"
)

// poolChange holds the pool of routers from which a failure domain's homes are
// chosen, and its difference from the previous picker's pool.
type poolChange struct {
	pool []seededRouter
	// retained maps the previous record of each router that is still in the
	// pool to the current one; nil means that the pool is unchanged.
	retained map[*fleet.Router]seededRouter
	// added holds the routers that were not in the previous pool.
	added []seededRouter
}

// newPoolChange compares two pools by router ID.
func newPoolChange(previous, pool []seededRouter) *poolChange {
	c := &poolChange{pool: pool}
	if slices.Equal(previous, pool) {
		return c
	}
	records := make(map[fleet.RouterID]*fleet.Router, len(previous))
	for _, s := range previous {
		records[s.router.ID] = s.router
	}
	c.retained = make(map[*fleet.Router]seededRouter, len(previous))
	for _, s := range pool {
		if record, ok := records[s.router.ID]; ok {
			c.retained[record] = s
		} else {
			c.added = append(c.added, s)
		}
	}
	return c
}

// home returns the home of the target with the given key, where previous is its
// previous home or nil. A retained home can lose only to an added router.
func (c *poolChange) home(key uint64, previous *fleet.Router) *fleet.Router {
	if previous == nil {
		return selectHome(key, c.pool)
	}
	if c.retained == nil {
		return previous
	}
	s, ok := c.retained[previous]
	if !ok {
		return selectHome(key, c.pool)
	}
	return selectHomeFrom(key, s, c.added)
}

// poolChanges computes the pool change of each failure domain on first use.
type poolChanges struct {
	index    *routerIndex
	previous map[fleet.DomainName][]seededRouter
	current  map[fleet.DomainName][]seededRouter
	changes  map[fleet.DomainName]*poolChange
}

func newPoolChanges(index *routerIndex, previous map[fleet.DomainName][]seededRouter) *poolChanges {
	return &poolChanges{
		index:    index,
		previous: previous,
		current:  map[fleet.DomainName][]seededRouter{},
		changes:  map[fleet.DomainName]*poolChange{},
	}
}

func (p *poolChanges) forDomain(domain fleet.DomainName) *poolChange {
	if c := p.changes[domain]; c != nil {
		return c
	}
	c := newPoolChange(p.previous[domain], p.index.pool(domain))
	p.changes[domain] = c
	p.current[domain] = c.pool
	return c
}
