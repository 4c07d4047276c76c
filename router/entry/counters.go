package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/placement"
)

// prefixGroups tracks the prefix groups of each service.
type prefixGroups struct {
	mu       sync.Mutex
	services map[fleet.ServiceName]*placement.PrefixGroups
}

// observe counts a request and returns its group's share of the service's
// recent requests.
func (g *prefixGroups) observe(req *Request, now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.services == nil {
		g.services = map[fleet.ServiceName]*placement.PrefixGroups{}
	}
	serviceGroups := g.services[req.Service]
	if serviceGroups == nil {
		serviceGroups = &placement.PrefixGroups{}
		g.services[req.Service] = serviceGroups
	}
	return serviceGroups.Observe(req.Prefix, now)
}

// attemptCounts counts this router's own in-flight attempts per target.
type attemptCounts struct {
	counts sync.Map
}

// begin counts an attempt as in flight until the returned function is called.
func (l *attemptCounts) begin(id fleet.TargetID) func() {
	n := l.counter(id)
	n.Add(1)
	return func() { n.Add(-1) }
}

// inFlight returns the number of in-flight attempts to a target.
func (l *attemptCounts) inFlight(id fleet.TargetID) float64 {
	return float64(l.counter(id).Load())
}

func (l *attemptCounts) counter(id fleet.TargetID) *atomic.Int64 {
	if n, ok := l.counts.Load(id); ok {
		return n.(*atomic.Int64)
	}
	n, _ := l.counts.LoadOrStore(id, &atomic.Int64{})
	return n.(*atomic.Int64)
}
