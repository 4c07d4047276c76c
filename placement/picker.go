package placement

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// View is the input of a picker. It must not be modified afterwards.
type View struct {
	// Targets holds the targets of each service, sorted by ID. Targets that are
	// not live are left out of plans.
	Targets map[fleet.ServiceName][]fleet.Target
	// Routers holds the live routers, with distinct IDs.
	Routers []fleet.Router
	// Region maps a failure domain to its region.
	Region func(fleet.DomainName) fleet.RegionName
	// Phase returns the phase of a target; nil means that all targets are
	// settled.
	Phase func(fleet.TargetID) Phase
	// Policy selects how targets are chosen; empty means Ragwortpond.
	Policy Policy
}

// Request describes a request to be placed.
type Request struct {
	Service fleet.ServiceName
	Chat    fleet.ChatKey
	// Prefix is the chat's prefix group and Spread the number of targets that
	// the group uses. A zero Prefix means no group.
	Prefix fleet.PrefixKey
	Spread int
	// Returning is set if the chat has received an answer before.
	Returning bool
	// Context is the target named by a valid context token, if there is one.
	Context fleet.TargetID
	Now     time.Time
	// Random is used by the policies that choose at random.
	Random uint64
	// Load returns a target's load as this router sees it. Only the LeastLoaded
	// policy calls it.
	Load func(fleet.TargetID) float64
}

// Picker makes plans from one view. It is immutable and safe for concurrent
// use. Pick does not allocate.
type Picker struct {
	policy  Policy
	tables  map[fleet.ServiceName]*serviceTable
	routers map[fleet.RouterID]seededRouter
	// pools holds the routers from which the homes of each domain were chosen.
	pools map[fleet.DomainName][]seededRouter
}

// NewPicker returns a picker for a view.
func NewPicker(v View) *Picker {
	return (&Picker{}).WithView(v)
}

// WithView returns a picker for another view. The result equals NewPicker(v), but
// WithView reuses the tables of unchanged services and recomputes only the homes
// that a joining or leaving router can have moved. The IDs of v.Routers must be
// distinct.
func (p *Picker) WithView(v View) *Picker {
	index := newRouterIndex(p.routers, v.Routers, v.Region)
	b := &tableBuilder{view: v, pools: newPoolChanges(index, p.pools)}
	next := &Picker{
		policy: v.Policy, tables: make(map[fleet.ServiceName]*serviceTable, len(v.Targets)),
		routers: index.byID, pools: b.pools.current,
	}
	for service, targets := range v.Targets {
		next.tables[service] = b.buildTable(p.tables[service], targets)
	}
	return next
}

// TargetCount returns the number of live targets of a service.
func (p *Picker) TargetCount(service fleet.ServiceName) int {
	if table := p.tables[service]; table != nil {
		return len(table.entries)
	}
	return 0
}

// HomedWeight returns the total weight of a service's live targets whose home
// is the given router.
func (p *Picker) HomedWeight(service fleet.ServiceName, router fleet.RouterID) float64 {
	if table := p.tables[service]; table != nil {
		return table.homeWeights[router]
	}
	return 0
}

// TotalWeight returns the total weight of a service's live targets.
func (p *Picker) TotalWeight(service fleet.ServiceName) float64 {
	if table := p.tables[service]; table != nil {
		return table.totalWeight
	}
	return 0
}

// ForEachService calls f for every service that has a live target, in no particular
// order.
func (p *Picker) ForEachService(f func(fleet.ServiceName)) {
	for service, table := range p.tables {
		if len(table.entries) > 0 {
			f(service)
		}
	}
}

// Target returns a live target of a service and its home router, which is nil
// if there are no routers. It returns false if the service has no such live
// target.
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

// ForEachHomed calls f for every live target whose home is the given router.
func (p *Picker) ForEachHomed(router fleet.RouterID, f func(*fleet.Target)) {
	for _, table := range p.tables {
		for i := range table.entries {
			if e := &table.entries[i]; e.home != nil && e.home.ID == router {
				f(e.target)
			}
		}
	}
}

// Pick returns the plan for a request. The plan has no steps if the service has
// no live target.
func (p *Picker) Pick(r Request) Plan {
	var plan Plan
	table := p.tables[r.Service]
	if table == nil {
		return plan
	}
	switch p.policy {
	case Random:
		table.addBaseline(&plan, table.rank(r.Random))
	case LeastLoaded:
		table.addBaseline(&plan, table.rankByLoad(r))
	case Rendezvous:
		table.addBaseline(&plan, table.rank(uint64(r.Chat)))
	default:
		table.fillPlan(&plan, &r)
	}
	return plan
}
