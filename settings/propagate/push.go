package propagate

import (
	"context"
	"sync"

	"ragwortpond.example/ragwortpond/fleet"
)

// pushes holds the pushes that run, at most one to each router, so that a
// router that does not answer delays no other.
type pushes struct {
	running sync.WaitGroup
	mu      sync.Mutex
	// behind says of each router being pushed to whether more has come since.
	behind map[fleet.RouterID]bool
}

// begin reports whether a push to a router may start; if one is running, it
// notes that the router needs more.
func (p *pushes) begin(id fleet.RouterID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, running := p.behind[id]
	p.behind[id] = running
	return !running
}

// again ends a push, or reports that the router needs more.
func (p *pushes) again(id fleet.RouterID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	more := p.behind[id]
	p.behind[id] = false
	if !more {
		delete(p.behind, id)
	}
	return more
}

// pushChildren starts sending a page to the routers below. A failed push is
// left to the digest exchange.
func (p *Service) pushChildren(ctx context.Context, page Page) {
	for _, to := range children(p.config.Self, p.config.Members(), p.config.Watchers) {
		if p.pushes.begin(to.ID) {
			p.pushes.running.Go(func() { p.pushUntilDone(ctx, to, page) })
		}
	}
}

// pushUntilDone sends a page and then, by exchanges, whatever came meanwhile.
func (p *Service) pushUntilDone(ctx context.Context, to fleet.Router, page Page) {
	_ = p.push(ctx, to, page)
	for p.pushes.again(to.ID) && ctx.Err() == nil {
		_ = p.exchange(ctx, to)
	}
}
