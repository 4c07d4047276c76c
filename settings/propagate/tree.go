package propagate

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ragwortpond.example/ragwortpond/fleet"
)

const (
	// defaultWatchers is the number of routers of a failure domain that hold a
	// watch on the platform.
	defaultWatchers = 2
	// treeFanout is the number of routers to which one router pushes a change.
	treeFanout = 4
)

// domainOrder returns the routers of a failure domain, self included, in
// rendezvous order: the first are the watchers.
func domainOrder(self fleet.Router, members []fleet.Router) []fleet.Router {
	order := []fleet.Router{self}
	for _, m := range members {
		if m.ID != self.ID && m.Domain == self.Domain {
			order = append(order, m)
		}
	}
	slices.SortFunc(order, func(a, b fleet.Router) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.ID, b.ID))
	})
	return order
}

func rank(r fleet.Router) uint64 {
	return xxhash.Sum64String(string(r.Domain) + "/" + string(r.ID))
}

// isWatcher reports whether self is among the watchers of its domain.
func isWatcher(self fleet.Router, members []fleet.Router, watchers int) bool {
	return position(self, domainOrder(self, members)) < watchers
}

// children returns the routers to which self pushes. The watchers are the
// roots of the tree; position i has the positions from
// watchers + i × treeFanout below it.
func children(self fleet.Router, members []fleet.Router, watchers int) []fleet.Router {
	order := domainOrder(self, members)
	first := watchers + position(self, order)*treeFanout
	if first >= len(order) {
		return nil
	}
	last := min(first+treeFanout, len(order))
	return order[first:last]
}

func position(self fleet.Router, order []fleet.Router) int {
	return slices.IndexFunc(order, func(r fleet.Router) bool { return r.ID == self.ID })
}

// others splits the members without self into those of its own failure domain
// and the rest.
func others(self fleet.Router, members []fleet.Router) (near, far []fleet.Router) {
	for _, m := range members {
		if m.ID == self.ID {
			continue
		}
		if m.Domain == self.Domain {
			near = append(near, m)
			continue
		}
		far = append(far, m)
	}
	return near, far
}
