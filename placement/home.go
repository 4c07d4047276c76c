package placement

import (
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
)

// Home returns the home router of a target: the winner by rendezvous hashing
// among the live routers of the target's failure domain, else among those of
// its region, else among all. It returns false when routers is empty. The
// result does not depend on the order of routers.
func Home(target fleet.Target, routers []fleet.Router, region func(fleet.DomainName) fleet.RegionName) (fleet.Router, bool) {
	home := highest(rendezvous.Seed(string(target.ID)), newHomeIndex(nil, routers, region).pool(target.Domain))
	if home == nil {
		return fleet.Router{}, false
	}
	return *home, true
}

// seeded is a router with the fixed hash of its id.
type seeded struct {
	router *fleet.Router
	seed   uint64
}

// homeIndex holds the routers by failure domain and by region, so that many
// homes can be found from one view. A router whose record did not change keeps
// its pointer from one index to the next.
type homeIndex struct {
	region  func(fleet.DomainName) fleet.RegionName
	known   map[fleet.RouterID]seeded
	domains map[fleet.DomainName][]seeded
	regions map[fleet.RegionName][]seeded
	all     []seeded
}

// newHomeIndex indexes routers of distinct ids; before holds the records of the
// index before it, if any.
func newHomeIndex(before map[fleet.RouterID]seeded, routers []fleet.Router, region func(fleet.DomainName) fleet.RegionName) *homeIndex {
	x := &homeIndex{
		region:  region,
		known:   make(map[fleet.RouterID]seeded, len(routers)),
		domains: map[fleet.DomainName][]seeded{},
		regions: map[fleet.RegionName][]seeded{},
		all:     make([]seeded, 0, len(routers)),
	}
	for _, r := range routers {
		s, ok := before[r.ID]
		if !ok || *s.router != r {
			record := r
			s = seeded{&record, rendezvous.Seed(string(r.ID))}
		}
		x.known[r.ID] = s
		x.domains[r.Domain] = append(x.domains[r.Domain], s)
		x.regions[r.Region] = append(x.regions[r.Region], s)
		x.all = append(x.all, s)
	}
	return x
}

// pool returns the routers among which the homes of a domain's targets are
// chosen; it is empty only when there is no router.
func (x *homeIndex) pool(domain fleet.DomainName) []seeded {
	if pool := x.domains[domain]; len(pool) > 0 {
		return pool
	}
	if region := x.region(domain); region != "" && len(x.regions[region]) > 0 {
		return x.regions[region]
	}
	return x.all
}

// highest returns the router with the highest hash for a key, nil when there
// is none; ties go to the lower id.
func highest(key uint64, routers []seeded) *fleet.Router {
	return higher(key, seeded{}, routers)
}

// higher is highest among best and routers; best may be empty.
func higher(key uint64, best seeded, routers []seeded) *fleet.Router {
	bestHash := rendezvous.Mix(best.seed, key)
	for _, s := range routers {
		h := rendezvous.Mix(s.seed, key)
		if best.router == nil || h > bestHash || (h == bestHash && s.router.ID < best.router.ID) {
			best, bestHash = s, h
		}
	}
	return best.router
}
