package home

import (
	"context"
	"time"

	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/router/wire"
)

// pumpInterval is how often queued attempts are looked at again, since a mean
// that grew elsewhere may have made room for them.
const pumpInterval = 10 * time.Millisecond

// enqueue lets an attempt wait and tells those that give way to it. It must be
// called with the lock held.
func (g *LoadGate) enqueue(gate *targetGate, w *waiter) bool {
	displaced, refusal := gate.queue.push(w)
	for _, old := range displaced {
		g.waiting--
		close(old.displaced)
	}
	if refusal != nil {
		return false
	}
	g.waiting++
	return true
}

// pump admits queued attempts as far as there is room.
func (g *LoadGate) pump(gate *targetGate) {
	for {
		w := gate.queue.head()
		if w == nil || g.decide(gate, w).Verdict != placement.Admit {
			return
		}
		gate.queue.pop()
		g.waiting--
		g.admit(gate)
		close(w.admitted)
	}
}

// wait waits until a queued attempt is admitted or its time is over.
func (g *LoadGate) wait(ctx context.Context, gate *targetGate, w *waiter, d placement.Decision) (func(), wire.End) {
	timer := time.NewTimer(d.Wait)
	defer timer.Stop()
	code := reason.Deadline
	select {
	case <-w.admitted:
		return g.releaser(gate), wire.End{}
	case <-timer.C:
		code = timeoutReason(w)
	case <-w.displaced:
		code = displacedReason(w)
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.admitted:
		return g.releaser(gate), wire.End{}
	default:
	}
	if gate.queue.remove(w) {
		g.waiting--
	}
	d.Reason = code
	return nil, refusal(d)
}

func displacedReason(w *waiter) reason.Code {
	if w.moved {
		return reason.NotHome
	}
	return reason.Shed
}

// timeoutReason tells a wait for the chat's context, after which other targets
// are tried, from a wait for any target.
func timeoutReason(w *waiter) reason.Code {
	if w.attempt.Wait {
		return reason.QueueTimeout
	}
	return reason.LoadBound
}

// Run lets queued attempts follow changes of the mean until ctx ends.
func (g *LoadGate) Run(ctx context.Context) error {
	ticker := time.NewTicker(pumpInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			g.pumpAll()
		}
	}
}

func (g *LoadGate) pumpAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting == 0 {
		return
	}
	g.follow()
	for _, gate := range g.gates {
		g.pump(gate)
	}
}
