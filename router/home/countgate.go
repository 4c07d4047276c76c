package home

import (
	"context"
	"sync"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/router/wire"
)

// CountGate admits every attempt to a target that is not leaving and counts the
// attempts in flight.
type CountGate struct {
	mu       sync.Mutex
	inFlight map[fleet.TargetID]int
}

// NewCountGate returns an empty CountGate.
func NewCountGate() *CountGate {
	return &CountGate{inFlight: map[fleet.TargetID]int{}}
}

// Acquire implements Gate.
func (g *CountGate) Acquire(_ context.Context, t fleet.Target, fwd *wire.Forward) (func(), wire.End) {
	if t.State == fleet.Leaving && !fwd.Resume {
		return nil, wire.Refused(reason.TargetLeaving, wire.Hint{})
	}
	g.add(t.ID, 1)
	return func() { g.add(t.ID, -1) }, wire.End{}
}

// InFlight returns the number of attempts in flight to a target.
func (g *CountGate) InFlight(id fleet.TargetID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight[id]
}

func (g *CountGate) add(id fleet.TargetID, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight[id] += n
	if g.inFlight[id] == 0 {
		delete(g.inFlight, id)
	}
}
