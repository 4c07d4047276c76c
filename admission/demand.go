package admission

import (
	"math"
	"time"
)

// demandWindow is the time constant of the measured demand.
const demandWindow = time.Second

// meter measures a rate as an exponentially weighted mean.
type meter struct {
	perSecond float64
	at        time.Time
}

// add counts n events.
func (m *meter) add(now time.Time, n float64) {
	m.decay(now)
	m.perSecond += n / demandWindow.Seconds()
}

func (m *meter) decay(now time.Time) {
	elapsed := now.Sub(m.at).Seconds()
	if elapsed > 0 {
		m.perSecond *= math.Exp(-elapsed / demandWindow.Seconds())
		m.at = now
	}
}

// Peers is what is known of the other routers for one scope.
type Peers struct {
	// Demand is the others' requests a second.
	Demand float64
	// InFlight is the others' requests in flight.
	InFlight float64
	// Routers is how many live routers there are, this one included; at least
	// one.
	Routers int
	// Fresh says that Demand and InFlight are known. Otherwise a limit is
	// divided evenly.
	Fresh bool
}

// share is the part of a limit that is this router's: its part of the demand,
// with a floor for routers that have none yet. Over all routers that know the
// same demands the shares add up to one.
func share(own, limit float64, p Peers) float64 {
	n := float64(max(p.Routers, 1))
	if !p.Fresh {
		return 1 / n
	}
	floor := limit * floorShare / n
	return (own + floor) / (own + p.Demand + n*floor)
}

// floorShare of a limit is divided evenly between routers without regard to
// demand.
const floorShare = 0.02
