package placement

import (
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
)

// HomeRouter returns the home router of a target: the rendezvous hashing winner among
// the live routers of the target's failure domain; if there are none, among
// those of its region; otherwise among all. It returns false if routers is
// empty. The result does not depend on the order of routers.
func HomeRouter(target fleet.Target, routers []fleet.Router, region func(fleet.DomainName) fleet.RegionName) (fleet.Router, bool) {
	home := selectHome(rendezvous.Seed(string(target.ID)), newRouterIndex(nil, routers, region).pool(target.Domain))
	if home == nil {
		return fleet.Router{}, false
	}
	return *home, true
}

// seededRouter is a router with the hash of its ID.
type seededRouter struct {
	router *fleet.Router
	seed   uint64
}

// routerIndex holds the routers of one view by failure domain and region, so
// that many homes can be looked up. The record of an unchanged router keeps its
// pointer from one index to the next.
type routerIndex struct {
	region   func(fleet.DomainName) fleet.RegionName
	byID     map[fleet.RouterID]seededRouter
	byDomain map[fleet.DomainName][]seededRouter
	byRegion map[fleet.RegionName][]seededRouter
	all      []seededRouter
}

// newRouterIndex indexes routers with distinct IDs. previous holds the records
// of the preceding index and may be nil.
func newRouterIndex(previous map[fleet.RouterID]seededRouter, routers []fleet.Router, region func(fleet.DomainName) fleet.RegionName) *routerIndex {
	x := &routerIndex{
		region:   region,
		byID:     make(map[fleet.RouterID]seededRouter, len(routers)),
		byDomain: map[fleet.DomainName][]seededRouter{},
		byRegion: map[fleet.RegionName][]seededRouter{},
		all:      make([]seededRouter, 0, len(routers)),
	}
	for _, r := range routers {
		s, ok := previous[r.ID]
		if !ok || *s.router != r {
			record := r
			s = seededRouter{&record, rendezvous.Seed(string(r.ID))}
		}
		x.byID[r.ID] = s
		x.byDomain[r.Domain] = append(x.byDomain[r.Domain], s)
		x.byRegion[r.Region] = append(x.byRegion[r.Region], s)
		x.all = append(x.all, s)
	}
	return x
}

// pool returns the routers from which the homes of a domain's targets are
// chosen. It is empty only if there are no routers.
func (x *routerIndex) pool(domain fleet.DomainName) []seededRouter {
	if pool := x.byDomain[domain]; len(pool) > 0 {
		return pool
	}
	if region := x.region(domain); region != "" && len(x.byRegion[region]) > 0 {
		return x.byRegion[region]
	}
	return x.all
}

// selectHome returns the router with the highest hash for a key, or nil if
// routers is empty. Ties go to the lower ID.
func selectHome(key uint64, routers []seededRouter) *fleet.Router {
	return selectHomeFrom(key, seededRouter{}, routers)
}

// selectHomeFrom is like selectHome with best as a further candidate; best may
// be the zero value.
func selectHomeFrom(key uint64, best seededRouter, routers []seededRouter) *fleet.Router {
	bestHash := rendezvous.Mix(best.seed, key)
	for _, s := range routers {
		h := rendezvous.Mix(s.seed, key)
		if best.router == nil || h > bestHash || (h == bestHash && s.router.ID < best.router.ID) {
			best, bestHash = s, h
		}
	}
	return best.router
}
