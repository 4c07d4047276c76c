package home

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/placement"
)

// serviceLoad is the load of a service: what this home has in flight and what
// other homes reported. Reports of a home that is gone are still there for a
// while, so others together count for no more than the weight of the targets
// that are not this home's. A home that has just started and has heard of no
// other takes them to be idle rather than as busy as its own targets.
func (g *LoadGate) serviceLoad(service fleet.ServiceName) placement.ServiceLoad {
	picker := g.cfg.Targets.Picker()
	own := picker.HomedWeight(service, g.cfg.Self.ID) + g.actingWeight(service)
	rest := max(picker.Weight(service)-own, 0)
	others := g.cfg.Means.Others(service)
	if others.Weight == 0 && g.starting() {
		others.Weight = rest
	}
	if others.Weight > rest {
		others.Requests *= rest / others.Weight
		others.Weight = rest
	}
	return placement.ServiceLoad{Requests: others.Requests + g.ownLoad(service), Weight: others.Weight + own}
}

// ownLoad is what this home has in flight, and of what waits at most one
// attempt a target: where every target is as full as the mean allows, a growing
// load shows only in what waits.
func (g *LoadGate) ownLoad(service fleet.ServiceName) float64 {
	waiting := 0
	for _, gate := range g.gates {
		if gate.target.Service == service && gate.queue.len() > 0 {
			waiting++
		}
	}
	return g.requests[service] + float64(waiting)
}

// ServiceInFlight returns the load of a service that this home reports to other
// homes: the attempts in flight, and one for each target before which attempts
// wait.
func (g *LoadGate) ServiceInFlight(service fleet.ServiceName) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ownLoad(service)
}

// InFlight returns the number of attempts in flight before a target.
func (g *LoadGate) InFlight(id fleet.TargetID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if gate := g.gates[id]; gate != nil {
		return int(gate.inFlight)
	}
	return 0
}

// Report takes a target's report of its whole load.
func (g *LoadGate) Report(t fleet.Target, requests float64, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate(t).ledger.Report(requests, at)
}

// change must be called with the lock held.
func (g *LoadGate) change(gate *targetGate, requests float64) {
	gate.inFlight += requests
	g.requests[gate.target.Service] += requests
	gate.ledger.Note(gate.inFlight, g.cfg.Clock())
}
