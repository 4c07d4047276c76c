package propagate

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ragwortpond.example/ragwortpond/fleet"
)

const (
	// defaultWatchers is the number of routers in a failure domain that watch the
	// platform.
	defaultWatchers = 2
	// treeFanout is the maximum number of routers to which one router pushes a
	// change.
	treeFanout = 4
)

// domainOrder returns the routers of self's failure domain, including self, in
// rendezvous order. The first ones are the watchers.
func domainOrder(self fleet.Router, members []fleet.Router) []fleet.Router {
	order := []fleet.Router{self}
	for _, m := range members {
		if m.ID != self.ID && m.Domain == self.Domain {
			order = append(order, m)
		}
	}
	slices.SortFunc(order, func(a, b fleet.Router) int {
		return cmp.Or(cmp.Compare(rendezvousRank(a), rendezvousRank(b)), cmp.Compare(a.ID, b.ID))
	})
	return order
}

func rendezvousRank(r fleet.Router) uint64 {
	return xxhash.Sum64String(string(r.Domain) + "/" + string(r.ID))
}

// isWatcher reports whether self is one of the watchers of its failure domain.
func isWatcher(self fleet.Router, members []fleet.Router, watchers int) bool {
	return position(self, domainOrder(self, members)) < watchers
}

// treeChildren returns the routers to which self pushes. The watchers are the
// roots of the tree. The children of the router at position i of domainOrder
// are the treeFanout routers from position watchers + i × treeFanout.
func treeChildren(self fleet.Router, members []fleet.Router, watchers int) []fleet.Router {
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

// splitByDomain returns the members other than self, split into those in its
// own failure domain and those in others.
func splitByDomain(self fleet.Router, members []fleet.Router) (sameDomain, otherDomains []fleet.Router) {
	for _, m := range members {
		if m.ID == self.ID {
			continue
		}
		if m.Domain == self.Domain {
			sameDomain = append(sameDomain, m)
			continue
		}
		otherDomains = append(otherDomains, m)
	}
	return sameDomain, otherDomains
}
