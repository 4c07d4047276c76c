package propagate

import (
	"context"
	"sync"

	"ragwortpond.example/ragwortpond/fleet"
)

// activePushes tracks the running pushes. There is at most one to each router,
// each on its own goroutine, so that a router that does not answer delays no
// other.
type activePushes struct {
	running sync.WaitGroup
	mu      sync.Mutex
	// needsMore has an entry for each router with a running push. It is true if
	// further changes were queued since that push began.
	needsMore map[fleet.RouterID]bool
}

// tryBegin reports whether a push to a router may start. If one is running, it
// records that the router needs more.
func (p *activePushes) tryBegin(id fleet.RouterID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, running := p.needsMore[id]
	p.needsMore[id] = running
	return !running
}

// finishOrRepeat returns true if the router needs more, and else ends its push.
func (p *activePushes) finishOrRepeat(id fleet.RouterID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	repeat := p.needsMore[id]
	p.needsMore[id] = false
	if !repeat {
		delete(p.needsMore, id)
	}
	return repeat
}

// startPushes starts to push a page to the children. A failed push is not
// retried; the digest exchange transfers the changes.
func (p *Service) startPushes(ctx context.Context, page Page) {
	for _, child := range treeChildren(p.config.Self, p.config.Members(), p.config.Watchers) {
		if p.activePushes.tryBegin(child.ID) {
			p.activePushes.running.Go(func() { p.pushUntilCurrent(ctx, child, page) })
		}
	}
}

// pushUntilCurrent pushes a page and then exchanges digests for as long as
// further changes were queued in the meantime.
func (p *Service) pushUntilCurrent(ctx context.Context, to fleet.Router, page Page) {
	_ = p.pushPage(ctx, to, page)
	for p.activePushes.finishOrRepeat(to.ID) && ctx.Err() == nil {
		_ = p.exchangeDigests(ctx, to)
	}
}
