package home

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

const (
	// firstLife is taken for the life of an attempt before any has ended.
	firstLife = time.Second
	// lifeShare is the weight of one attempt in the mean life.
	lifeShare = 0.05
	// takeoverLives is for how many lives of an attempt the work of a former
	// home is reckoned with.
	takeoverLives = 1.5
	// startTime is how long a router that has started may not have heard of the
	// other homes' load.
	startTime = 2 * time.Second
)

// follow marks the targets that this router has become home to. Work that a
// former home sent them is still under way, and reports of it lag. It must be
// called with the lock held.
func (g *LoadGate) follow() {
	picker := g.cfg.Targets.Picker()
	if picker == g.seen {
		return
	}
	g.seen = picker
	homed := map[fleet.TargetID]bool{}
	picker.Homed(g.cfg.Self.ID, func(t *fleet.Target) {
		homed[t.ID] = true
		gate := g.gates[t.ID]
		if gate == nil {
			gate = &targetGate{target: *t, takenOver: true}
			g.gates[t.ID] = gate
		}
		if !gate.homed && gate.inFlight == 0 {
			gate.takenOver = true
		}
	})
	for id, gate := range g.gates {
		if gate.homed && !homed[id] {
			g.dismiss(gate)
		}
		gate.homed = homed[id]
	}
}

// dismiss sends those who wait before a target to its new home.
func (g *LoadGate) dismiss(gate *targetGate) {
	for w := gate.queue.head(); w != nil; w = gate.queue.head() {
		gate.queue.pop()
		g.waiting--
		w.moved = true
		close(w.displaced)
	}
}

// assume reckons, at the first attempt after a change of home, with as much
// work of the former home as the mean target carries.
func (g *LoadGate) assume(gate *targetGate) {
	now := g.cfg.Clock()
	if !gate.homed && gate.inFlight == 0 && now.Sub(gate.used) > g.takeoverLife() {
		gate.takenOver = true
	}
	gate.used = now
	if !gate.takenOver || g.starting() && g.cfg.Means.Others(gate.target.Service).Weight == 0 {
		return
	}
	gate.takenOver = false
	mean := g.serviceLoad(gate.target.Service).Mean()
	gate.ledger.Assume(mean*max(gate.target.Weight, 0), now, g.takeoverLife())
}

// starting reports whether the router has started just now.
func (g *LoadGate) starting() bool {
	return g.cfg.Clock().Sub(g.started) < startTime
}

func (g *LoadGate) takeoverLife() time.Duration {
	return time.Duration(takeoverLives * float64(g.life))
}

// ended takes how long an attempt was at its target.
func (g *LoadGate) ended(life time.Duration) {
	g.life += time.Duration(lifeShare * float64(life-g.life))
}

// actingWeight is the weight of targets that this router is not home to and has
// work on, since other routers sent it here.
func (g *LoadGate) actingWeight(service fleet.ServiceName) float64 {
	weight := 0.0
	for _, gate := range g.gates {
		if !gate.homed && gate.inFlight > 0 && gate.target.Service == service {
			weight += gate.target.Weight
		}
	}
	return weight
}
