package soak

import (
	"context"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/platform"
)

const (
	// evacuationBound is the routers' bound on evacuations.
	evacuationBound = 3 * time.Second
	// minEvacuation is the shortest time for which a failure domain is evacuated, maxExtraEvacuation what may
	// be added at random.
	minEvacuation, maxExtraEvacuation = 2 * evacuationBound, 2 * time.Second
	// evacuationEnd is the time within which the targets of a domain get requests again once its
	// evacuation was taken back.
	evacuationEnd = evacuationBound + 2*slack
)

// Evacuation is the time for which a failure domain was evacuated. To is when that was taken back.
type Evacuation struct {
	Domain   string
	From, To time.Time
}

// evacuate evacuates failure domains one after the other until ctx ends, and returns the evacuations.
func (i *injector) evacuate(ctx context.Context) []Evacuation {
	var list []Evacuation
	for i.awaitStart(ctx) {
		e := Evacuation{Domain: domainName(i.random.IntN(domainCount))}
		i.countPlanned("evacuate")
		i.environment.setEvacuated(e.Domain, true)
		e.From = time.Now()
		sleep(ctx, minEvacuation+time.Duration(i.random.Int64N(int64(maxExtraEvacuation))))
		e.To = time.Now()
		i.environment.setEvacuated(e.Domain, false)
		list = append(list, e)
		sleep(ctx, evacuationEnd)
	}
	return list
}

// setEvacuated writes or removes the operator's request to evacuate a failure domain.
func (env *environment) setEvacuated(domain string, evacuated bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if evacuated {
		env.evacuated[domain] = true
		env.store.Put(platform.KindEvacuations, domain, struct{}{})
		return
	}
	delete(env.evacuated, domain)
	env.store.Delete(platform.KindEvacuations, domain)
}

// restoreEvacuations lets the operator write again what a copy of the store lacks, and remove what it has too
// much. env.mu must be held.
func (env *environment) restoreEvacuations() {
	for d := range domainCount {
		domain := domainName(d)
		switch listed := env.store.Has(platform.KindEvacuations, domain); {
		case env.evacuated[domain] && !listed:
			env.store.Put(platform.KindEvacuations, domain, struct{}{})
		case !env.evacuated[domain] && listed:
			env.store.Delete(platform.KindEvacuations, domain)
		}
	}
}

// checkEvacuation checks that the targets of an evacuated failure domain get no requests from routers that were undisturbed, and
// get some again afterwards.
func (c *checker) checkEvacuation(e Evacuation) {
	routers := map[string]string{}
	for i := range c.h.Requests {
		routers[c.h.Requests[i].ID] = c.h.Requests[i].Router
	}
	last, returned := e.To, false
	for _, a := range c.h.Arrivals {
		if a.At.After(last) {
			last = a.At
		}
		if a.Domain != e.Domain {
			continue
		}
		returned = returned || a.At.After(e.To)
		late := a.At.Sub(e.From) > evacuationBound+slack && a.At.Before(e.To)
		if late && !c.disturbed(routers[a.ID], e.From.Add(-settleTime), a.At) && c.evacuationTold(e.From, a.At) {
			c.add("evacuation", a.ID, "reached target %s of domain %s %v after its evacuation from router %s", a.Target, e.Domain, a.At.Sub(e.From), routers[a.ID])
		}
	}
	if !returned && last.Sub(e.To) > evacuationEnd && c.calm(e.To, last) {
		c.add("evacuation", "", "no request reached domain %s in %v after its evacuation was taken back", e.Domain, last.Sub(e.To))
	}
}

// evacuationTold reports whether the store has served for the bound and slack in a row between an evacuation and a later time, so
// that routers had to learn of it.
func (c *checker) evacuationTold(from, to time.Time) bool {
	starts := []time.Time{from}
	for _, f := range c.h.Faults {
		if f.To.After(from) {
			starts = append(starts, f.To)
		}
	}
	return slices.ContainsFunc(starts, func(start time.Time) bool {
		end := start.Add(evacuationBound + slack)
		return !end.After(to) && !c.storeDisturbed(start, end)
	})
}

// storeDisturbed reports whether the store failed for all routers in an interval.
func (c *checker) storeDisturbed(from, to time.Time) bool {
	for _, f := range c.h.Faults {
		switch f.Kind {
		case "store-refuses", "store-silent", "store-copy":
			if f.From.Before(to) && f.To.After(from) {
				return true
			}
		}
	}
	return false
}
