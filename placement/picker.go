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

// Picker makes plans from one view. It is immutable and safe for concurrent
// use; a pick does not allocate.
type Picker struct {
	policy  Policy
	tables  map[fleet.ServiceName]*serviceTable
	routers map[fleet.RouterID]seeded
	// pools are the routers among which the homes of a domain were chosen.
	pools map[fleet.DomainName][]seeded
}

// NewPicker builds the tables of a view.
func NewPicker(v View) *Picker {
	return (&Picker{}).Next(v)
}

// Next returns the picker of another view. It equals NewPicker(v), but takes
// over the tables of the services that did not change and computes only those
// homes that a router which came or went can have moved. The ids of v.Routers
// must be distinct.
func (p *Picker) Next(v View) *Picker {
	index := newHomeIndex(p.routers, v.Routers, v.Region)
	b := &builder{view: v, pools: newPools(index, p.pools)}
	next := &Picker{
		policy: v.Policy, tables: make(map[fleet.ServiceName]*serviceTable, len(v.Targets)),
		routers: index.known, pools: b.pools.present,
	}
	for service, targets := range v.Targets {
		next.tables[service] = b.table(p.tables[service], targets)
	}
	return next
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
