package admission

import (
	"math"
	"time"
)

// demandTimeConstant is the time after which a past request's weight in the
// measured demand has fallen to 1/e.
const demandTimeConstant = time.Second

// rateMeter measures a rate as an exponentially weighted mean.
type rateMeter struct {
	perSecond float64
	updatedAt time.Time
}

// add counts n events.
func (m *rateMeter) add(now time.Time, n float64) {
	m.decay(now)
	m.perSecond += n / demandTimeConstant.Seconds()
}

func (m *rateMeter) decay(now time.Time) {
	elapsed := now.Sub(m.updatedAt).Seconds()
	if elapsed > 0 {
		m.perSecond *= math.Exp(-elapsed / demandTimeConstant.Seconds())
		m.updatedAt = now
	}
}

// PeerUsage describes the use of one scope by the other routers of the fleet.
type PeerUsage struct {
	// Demand is the request rate at the other routers, in requests per second.
	Demand float64
	// InFlight is the number of requests in flight at the other routers.
	InFlight float64
	// Routers is the number of live routers, including this one; values below 1
	// count as 1.
	Routers int
	// Current reports whether Demand and InFlight are current. If not, a limit is
	// divided evenly between the routers.
	Current bool
}

// demandShare returns this router's share of a limit as a fraction: its share of
// the fleet's demand, with a floor for routers that have no demand yet. If all
// routers have the same view of demand, their shares add up to one.
func demandShare(own, limit float64, p PeerUsage) float64 {
	n := float64(max(p.Routers, 1))
	if !p.Current {
		return 1 / n
	}
	floor := limit * floorFraction / n
	return (own + floor) / (own + p.Demand + n*floor)
}

// floorFraction is the fraction of a limit that is divided evenly between routers
// regardless of demand.
const floorFraction = 0.02
