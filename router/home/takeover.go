package home

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

const (
	// initialMeanDuration is the mean duration of an attempt before any has
	// ended.
	initialMeanDuration = time.Second
	// durationWeight is the weight of one attempt in the moving average of
	// durations.
	durationWeight = 0.05
	// assumedLoadDurations is how long the load of a former home is assumed, in
	// multiples of the mean duration of an attempt.
	assumedLoadDurations = 1.5
	// startupPeriod is how long a started router may be without load reports
	// from the other homes.
	startupPeriod = 2 * time.Second
)

// updateHomes marks the targets that this router has become home to. Attempts
// sent by a former home may still be in flight there, and load reports lag
// behind. It must be called with the lock held.
func (g *LoadGate) updateHomes() {
	picker := g.cfg.Targets.Picker()
	if picker == g.lastPicker {
		return
	}
	g.lastPicker = picker
	homed := map[fleet.TargetID]bool{}
	picker.ForEachHomed(g.cfg.Self.ID, func(t *fleet.Target) {
		homed[t.ID] = true
		gate := g.gates[t.ID]
		if gate == nil {
			gate = &targetGate{target: *t, assumePending: true}
			g.gates[t.ID] = gate
		}
		if !gate.homed && gate.inFlight == 0 {
			gate.assumePending = true
		}
	})
	for id, gate := range g.gates {
		if gate.homed && !homed[id] {
			g.displaceAll(gate)
		}
		gate.homed = homed[id]
	}
}

// displaceAll displaces all attempts queued for a target, so that they are sent
// to its new home.
func (g *LoadGate) displaceAll(gate *targetGate) {
	for w := gate.queue.head(); w != nil; w = gate.queue.head() {
		gate.queue.pop()
		g.queuedTotal--
		w.homeChanged = true
		close(w.displaced)
	}
}

// assumeFormerLoad sets a target's assumed load, the load left by a former home,
// to the mean load. It does so at the first attempt after this router became the
// target's home with no attempt of its own in flight there. If the target is not
// homed here, it does so when this router has no attempt in flight there and
// none arrived for assumedLoadPeriod. While the router is starting, it defers
// this until another home has reported its load. It must be called with the lock
// held.
func (g *LoadGate) assumeFormerLoad(gate *targetGate) {
	now := g.cfg.Clock()
	if !gate.homed && gate.inFlight == 0 && now.Sub(gate.lastAttempt) > g.assumedLoadPeriod() {
		gate.assumePending = true
	}
	gate.lastAttempt = now
	if !gate.assumePending || g.starting() && g.cfg.PeerLoads.PeerLoad(gate.target.Service).Weight == 0 {
		return
	}
	gate.assumePending = false
	mean := g.serviceLoad(gate.target.Service).Mean()
	gate.ledger.AssumeLoad(mean*max(gate.target.Weight, 0), now, g.assumedLoadPeriod())
}

// starting reports whether the router started less than startupPeriod ago.
func (g *LoadGate) starting() bool {
	return g.cfg.Clock().Sub(g.started) < startupPeriod
}

func (g *LoadGate) assumedLoadPeriod() time.Duration {
	return time.Duration(assumedLoadDurations * float64(g.meanDuration))
}

// recordDuration adds the time that an attempt was in flight to the moving
// average.
func (g *LoadGate) recordDuration(d time.Duration) {
	g.meanDuration += time.Duration(durationWeight * float64(d-g.meanDuration))
}

// nonHomeWeight returns the total weight of the targets that have attempts in
// flight from this router although it is not their home, because other routers
// sent the attempts here.
func (g *LoadGate) nonHomeWeight(service fleet.ServiceName) float64 {
	weight := 0.0
	for _, gate := range g.gates {
		if !gate.homed && gate.inFlight > 0 && gate.target.Service == service {
			weight += gate.target.Weight
		}
	}
	return weight
}
