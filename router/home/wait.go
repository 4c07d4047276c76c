package home

import (
	"context"
	"time"

	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/router/wire"
)

// admitInterval is how often queued attempts are checked again, since a mean
// load that rose at other homes may have raised the bound.
const admitInterval = 10 * time.Millisecond

// enqueue queues an attempt and notifies the attempts that it displaces. It
// returns false if the queue is full. It must be called with the lock held.
func (g *LoadGate) enqueue(gate *targetGate, w *waiter) bool {
	displaced, refusal := gate.queue.push(w)
	for _, d := range displaced {
		g.queuedTotal--
		close(d.displaced)
	}
	if refusal != nil {
		return false
	}
	g.queuedTotal++
	return true
}

// admitQueued admits queued attempts while there is capacity. It must be called
// with the lock held.
func (g *LoadGate) admitQueued(gate *targetGate) {
	for {
		w := gate.queue.head()
		if w == nil || g.decide(gate, w).Verdict != placement.Admit {
			return
		}
		gate.queue.pop()
		g.queuedTotal--
		g.admit(gate)
		close(w.admitted)
	}
}

// wait waits until a queued attempt is admitted or displaced, its maximum wait
// is over, or ctx ends.
func (g *LoadGate) wait(ctx context.Context, gate *targetGate, w *waiter, d placement.Decision) (func(), wire.End) {
	timer := time.NewTimer(d.Wait)
	defer timer.Stop()
	code := reason.Deadline
	select {
	case <-w.admitted:
		return g.newRelease(gate), wire.End{}
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
		return g.newRelease(gate), wire.End{}
	default:
	}
	if gate.queue.remove(w) {
		g.queuedTotal--
	}
	d.Reason = code
	return nil, refusal(d)
}

func displacedReason(w *waiter) reason.Code {
	if w.homeChanged {
		return reason.NotHome
	}
	return reason.Shed
}

// timeoutReason returns QueueTimeout for an attempt that had already tried every
// candidate, and LoadBound for one that waited for the target with its chat's
// context, after which other targets are tried.
func timeoutReason(w *waiter) reason.Code {
	if w.attempt.MayQueue {
		return reason.QueueTimeout
	}
	return reason.LoadBound
}

// Run checks all queues every admitInterval until ctx ends: it admits attempts
// that now have capacity and displaces those whose target has another home.
func (g *LoadGate) Run(ctx context.Context) error {
	ticker := time.NewTicker(admitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			g.admitAllQueued()
		}
	}
}

func (g *LoadGate) admitAllQueued() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queuedTotal == 0 {
		return
	}
	g.updateHomes()
	for _, gate := range g.gates {
		g.admitQueued(gate)
	}
}
