package placement

import "ragwortpond.example/ragwortpond/fleet"

// Home returns the home router of a target: the winner by rendezvous hashing
// among the live routers of the target's failure domain, else among those of
// its region, else among all. It returns false when routers is empty. The
// result does not depend on the order of routers.
func Home(target fleet.Target, routers []fleet.Router, region func(fleet.DomainName) fleet.RegionName) (fleet.Router, bool) {
	home := newHomeIndex(routers, region).home(&target)
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
// homes can be found from one view.
type homeIndex struct {
	region  func(fleet.DomainName) fleet.RegionName
	domains map[fleet.DomainName][]seeded
	regions map[fleet.RegionName][]seeded
	all     []seeded
}

func newHomeIndex(routers []fleet.Router, region func(fleet.DomainName) fleet.RegionName) *homeIndex {
	x := &homeIndex{region: region, domains: map[fleet.DomainName][]seeded{}, regions: map[fleet.RegionName][]seeded{}}
	for i := range routers {
		r := &routers[i]
		s := seeded{r, seed(string(r.ID))}
		x.domains[r.Domain] = append(x.domains[r.Domain], s)
		x.regions[r.Region] = append(x.regions[r.Region], s)
		x.all = append(x.all, s)
	}
	return x
}

// home returns the target's home, nil when there is no router.
func (x *homeIndex) home(t *fleet.Target) *fleet.Router {
	key := seed(string(t.ID))
	if r := highest(key, x.domains[t.Domain]); r != nil {
		return r
	}
	if region := x.region(t.Domain); region != "" {
		if r := highest(key, x.regions[region]); r != nil {
			return r
		}
	}
	return highest(key, x.all)
}

// highest returns the router with the highest hash for a key, nil when there
// is none; ties go to the lower id.
func highest(key uint64, routers []seeded) *fleet.Router {
	var best *fleet.Router
	var bestHash uint64
	for _, s := range routers {
		h := mix(s.seed, key)
		if best == nil || h > bestHash || (h == bestHash && s.router.ID < best.ID) {
			best, bestHash = s.router, h
		}
	}
	return best
}
