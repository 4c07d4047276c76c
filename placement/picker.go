package placement

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// View is what a picker is built from. Nothing of it may change afterwards.
type View struct {
	// Targets of each service, sorted by id. Those that are not live are left
	// out of every plan.
	Targets map[fleet.ServiceName][]fleet.Target
	// Routers are the live routers.
	Routers []fleet.Router
	// Region maps a failure domain to its region.
	Region func(fleet.DomainName) fleet.RegionName
	// Phase returns a target's standing; nil means that all are settled.
	Phase func(fleet.TargetID) Phase
	// Policy chooses the targets.
	Policy Policy
}

// Request is what a picker must know of a request.
type Request struct {
	Service fleet.ServiceName
	Chat    fleet.ChatKey
	// Prefix is the chat's group and Spread the number of targets that the
	// group uses; a zero prefix means no group.
	Prefix fleet.PrefixKey
	Spread int
	// Returning says that the chat has had an answer before.
	Returning bool
	// Context is the target that an authentic token names, if any.
	Context fleet.TargetID
	Now     time.Time
	// Random is used by policies that choose at random.
	Random uint64
	// Load returns a target's load in the router's own view; only LeastLoaded
	// asks.
	Load func(fleet.TargetID) float64
}

// entry is one live target, ready for picking.
type entry struct {
	target *fleet.Target
	home   *fleet.Router
	seed   uint64
	weight float64
	phase  Phase
}

// standing is the target's standing at the time of a request.
func (e *entry) standing(now time.Time) Standing {
	if e.phase.Standing == Settled || !now.Before(e.phase.Until) {
		return Settled
	}
	return e.phase.Standing
}

// serviceTable holds the live targets of one service.
type serviceTable struct {
	entries []entry
	// uniform says that all weights are equal, so that hashes rank alone.
	uniform bool
	indexes map[fleet.TargetID]int32
	// weights sums the targets' weights by home router.
	weights map[fleet.RouterID]float64
	weight  float64
}

// Picker makes plans from one view. It is immutable and safe for concurrent
// use; a pick does not allocate.
type Picker struct {
	policy Policy
	tables map[fleet.ServiceName]*serviceTable
}

// NewPicker builds the tables of a view.
func NewPicker(v View) *Picker {
	p := &Picker{policy: v.Policy, tables: map[fleet.ServiceName]*serviceTable{}}
	homes := newHomeIndex(v.Routers, v.Region)
	for service, targets := range v.Targets {
		p.tables[service] = newServiceTable(v, homes, targets)
	}
	return p
}

func newServiceTable(v View, homes *homeIndex, targets []fleet.Target) *serviceTable {
	table := &serviceTable{uniform: true, indexes: map[fleet.TargetID]int32{}, weights: map[fleet.RouterID]float64{}}
	for i := range targets {
		t := &targets[i]
		if t.State != fleet.Live && t.State != "" {
			continue
		}
		e := entry{target: t, seed: seed(string(t.ID)), weight: normalWeight(t.Weight)}
		e.home = homes.home(t)
		if v.Phase != nil {
			e.phase = v.Phase(t.ID)
		}
		if e.home != nil {
			table.weights[e.home.ID] += e.weight
		}
		table.weight += e.weight
		table.indexes[t.ID] = int32(len(table.entries))
		table.entries = append(table.entries, e)
		table.uniform = table.uniform && e.weight == table.entries[0].weight
	}
	return table
}

// Size returns the number of live targets of a service.
func (p *Picker) Size(service fleet.ServiceName) int {
	if table := p.tables[service]; table != nil {
		return len(table.entries)
	}
	return 0
}

// HomedWeight returns the sum of the weights of a service's live targets whose
// home is the router.
func (p *Picker) HomedWeight(service fleet.ServiceName, router fleet.RouterID) float64 {
	if table := p.tables[service]; table != nil {
		return table.weights[router]
	}
	return 0
}

// Weight returns the sum of the weights of a service's live targets.
func (p *Picker) Weight(service fleet.ServiceName) float64 {
	if table := p.tables[service]; table != nil {
		return table.weight
	}
	return 0
}

// Services calls f for every service that has a live target.
func (p *Picker) Services(f func(fleet.ServiceName)) {
	for service, table := range p.tables {
		if len(table.entries) > 0 {
			f(service)
		}
	}
}

// Target returns a live target of a service and its home, which is nil when no
// router is known.
func (p *Picker) Target(service fleet.ServiceName, id fleet.TargetID) (*fleet.Target, *fleet.Router, bool) {
	table := p.tables[service]
	if table == nil {
		return nil, nil, false
	}
	i, ok := table.indexes[id]
	if !ok {
		return nil, nil, false
	}
	return table.entries[i].target, table.entries[i].home, true
}

// Homed calls f for every live target whose home is the router.
func (p *Picker) Homed(router fleet.RouterID, f func(*fleet.Target)) {
	for _, table := range p.tables {
		for i := range table.entries {
			if e := &table.entries[i]; e.home != nil && e.home.ID == router {
				f(e.target)
			}
		}
	}
}

// Pick returns the plan of a request; it has no steps when the service has no
// live target.
func (p *Picker) Pick(r Request) Plan {
	var plan Plan
	table := p.tables[r.Service]
	if table == nil {
		return plan
	}
	switch p.policy {
	case Random:
		table.addAll(&plan, table.rank(r.Random))
	case LeastLoaded:
		table.addAll(&plan, table.rankByLoad(r))
	case Rendezvous:
		table.addAll(&plan, table.rank(uint64(r.Chat)))
	default:
		table.plan(&plan, &r)
	}
	return plan
}
