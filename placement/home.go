package placement

import "ragwortpond.example/ragwortpond/fleet"

// Home returns the home router of a target: the winner by rendezvous hashing
// among the live routers of the target's failure domain, else among those of
// its region, else among all. It returns false when routers is empty. The
// result does not depend on the order of routers.
func Home(target fleet.Target, routers []fleet.Router, region func(fleet.DomainName) fleet.RegionName) (fleet.Router, bool) {
	key := seed(string(target.ID))
	if r, ok := highest(key, routers, inDomain(target.Domain)); ok {
		return r, true
	}
	if r, ok := highest(key, routers, inRegion(region(target.Domain))); ok {
		return r, true
	}
	return highest(key, routers, func(*fleet.Router) bool { return true })
}

func inDomain(d fleet.DomainName) func(*fleet.Router) bool {
	return func(r *fleet.Router) bool { return r.Domain == d }
}

func inRegion(g fleet.RegionName) func(*fleet.Router) bool {
	return func(r *fleet.Router) bool { return g != "" && r.Region == g }
}

// highest returns the router with the highest hash among those accepted; ties
// go to the lower id.
func highest(key uint64, routers []fleet.Router, accept func(*fleet.Router) bool) (fleet.Router, bool) {
	best := -1
	var bestHash uint64
	for i := range routers {
		if !accept(&routers[i]) {
			continue
		}
		h := mix(seed(string(routers[i].ID)), key)
		if best < 0 || h > bestHash || (h == bestHash && routers[i].ID < routers[best].ID) {
			best, bestHash = i, h
		}
	}
	if best < 0 {
		return fleet.Router{}, false
	}
	return routers[best], true
}
