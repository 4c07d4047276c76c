package home

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/placement"
)

// serviceLoad returns the load of a service: this home's load (see ownLoad) plus
// the load reported by other homes. Reports of a home that no longer exists
// remain for a while, so the reports of others are scaled down to at most the
// total weight of the targets that are not this home's. A home that has just
// started and has no reports yet counts the other targets as idle instead of
// assuming that they are as busy as its own.
func (g *LoadGate) serviceLoad(service fleet.ServiceName) placement.ServiceLoad {
	picker := g.cfg.Targets.Picker()
	own := picker.HomedWeight(service, g.cfg.Self.ID) + g.nonHomeWeight(service)
	othersWeight := max(picker.TotalWeight(service)-own, 0)
	others := g.cfg.PeerLoads.PeerLoad(service)
	if others.Weight == 0 && g.starting() {
		others.Weight = othersWeight
	}
	if others.Weight > othersWeight {
		others.Requests *= othersWeight / others.Weight
		others.Weight = othersWeight
	}
	return placement.ServiceLoad{Requests: others.Requests + g.ownLoad(service), Weight: others.Weight + own}
}

// ownLoad returns the attempts this home has in flight, plus one for each
// target with a queue. When every target is at its bound, a growing load is
// visible only in the queues.
func (g *LoadGate) ownLoad(service fleet.ServiceName) float64 {
	queues := 0
	for _, gate := range g.gates {
		if gate.target.Service == service && gate.queue.len() > 0 {
			queues++
		}
	}
	return g.inFlightByService[service] + float64(queues)
}

// ServiceInFlight returns the load of a service that this home reports to other
// homes: the attempts in flight, plus one for each target with queued attempts.
func (g *LoadGate) ServiceInFlight(service fleet.ServiceName) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ownLoad(service)
}

// InFlight returns the number of attempts in flight to a target.
func (g *LoadGate) InFlight(id fleet.TargetID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if gate := g.gates[id]; gate != nil {
		return int(gate.inFlight)
	}
	return 0
}

// Report records the total load that a target reported for time at.
func (g *LoadGate) Report(t fleet.Target, requests float64, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate(t).ledger.RecordReport(requests, at)
}

// addInFlight changes the number of requests in flight to a target and its
// service. It must be called with the lock held.
func (g *LoadGate) addInFlight(gate *targetGate, requests float64) {
	gate.inFlight += requests
	g.inFlightByService[gate.target.Service] += requests
	gate.ledger.RecordOwnLoad(gate.inFlight, g.cfg.Clock())
}
