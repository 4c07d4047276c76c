package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/placement"
)

// groups measures the prefix groups of each service.
type groups struct {
	mu       sync.Mutex
	services map[fleet.ServiceName]*placement.Groups
}

// observe counts a request and returns its group's share of the service.
func (g *groups) observe(req *Request, now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.services == nil {
		g.services = map[fleet.ServiceName]*placement.Groups{}
	}
	found := g.services[req.Service]
	if found == nil {
		found = &placement.Groups{}
		g.services[req.Service] = found
	}
	return found.Observe(req.Prefix, now)
}

// loads counts this router's own attempts in flight by target.
type loads struct {
	counts sync.Map
}

// begin counts an attempt until the returned function is called.
func (l *loads) begin(id fleet.TargetID) func() {
	n := l.count(id)
	n.Add(1)
	return func() { n.Add(-1) }
}

// of returns the attempts in flight before a target.
func (l *loads) of(id fleet.TargetID) float64 {
	return float64(l.count(id).Load())
}

func (l *loads) count(id fleet.TargetID) *atomic.Int64 {
	if n, ok := l.counts.Load(id); ok {
		return n.(*atomic.Int64)
	}
	n, _ := l.counts.LoadOrStore(id, &atomic.Int64{})
	return n.(*atomic.Int64)
}
