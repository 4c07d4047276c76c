package home

import (
	"context"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/router/targets"
	"ragwortpond.example/ragwortpond/router/wire"
	"ragwortpond.example/ragwortpond/settings"
)

// pumpInterval is how often queued attempts are looked at again, since a mean
// that grew elsewhere may have made room for them.
const pumpInterval = 10 * time.Millisecond

// Means tells the load of services outside of this home. Implementations are
// safe for concurrent use.
type Means interface {
	// Others returns the load of a service's targets that other routers are
	// home to, and their weights. Where other homes' reports are stale it
	// leaves them out with their weights, so that the bound falls back to the
	// mean of what is known.
	Others(service fleet.ServiceName) placement.ServiceLoad
}

// GateConfig is what a load gate needs. All fields are required.
type GateConfig struct {
	Self     fleet.Router
	Snapshot func() *settings.Snapshot
	Targets  *targets.Tracker
	Means    Means
	Chats    *Chats
	Clock    func() time.Time
}

// LoadGate holds the load bound before the targets that this router is home
// to. It is safe for concurrent use.
type LoadGate struct {
	cfg GateConfig

	mu       sync.Mutex
	gates    map[fleet.TargetID]*targetGate
	requests map[fleet.ServiceName]float64
	waiting  int
	// seen is the picker by which the gates' homes were last marked.
	seen *placement.Picker
	// life is the mean time that an attempt is at its target.
	life time.Duration
}

// targetGate is the state before one target.
type targetGate struct {
	target   fleet.Target
	inFlight float64
	ledger   placement.Ledger
	queue    waitQueue
	// homed says that this router is home to the target; takenOver that it has
	// become so and no attempt came since.
	homed     bool
	takenOver bool
	// used is when the last attempt came.
	used time.Time
}

// NewLoadGate returns a gate; Run lets queued attempts follow the mean.
func NewLoadGate(cfg GateConfig) *LoadGate {
	return &LoadGate{cfg: cfg, gates: map[fleet.TargetID]*targetGate{}, requests: map[fleet.ServiceName]float64{}, life: firstLife}
}

// Acquire implements Gate.
func (g *LoadGate) Acquire(ctx context.Context, t fleet.Target, fwd *wire.Forward) (func(), wire.End) {
	w := g.waiter(t, fwd)
	g.mu.Lock()
	g.follow()
	gate := g.gate(t)
	g.assume(gate)
	d := g.decide(gate, w)
	if d.Verdict == placement.Queue && !g.enqueue(gate, w) {
		d.Verdict, d.Reason = placement.Refuse, reason.QueueFull
	}
	switch d.Verdict {
	case placement.Admit:
		g.admit(gate)
		g.mu.Unlock()
		return g.releaser(gate), wire.End{}
	case placement.Refuse:
		g.mu.Unlock()
		return nil, refusal(d)
	}
	g.mu.Unlock()
	return g.wait(ctx, gate, w, d)
}

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

// waiter describes an attempt to the decision.
func (g *LoadGate) waiter(t fleet.Target, fwd *wire.Forward) *waiter {
	values := g.cfg.Snapshot().Effective(g.cfg.Self.Domain, fwd.Service, "")
	w := &waiter{
		account: fwd.Account, weight: fwd.Weight, work: float64(fwd.PromptTokens + fwd.AnswerTokens),
		priority: fwd.Priority, queueLength: values.Queue.Length,
		admitted: make(chan struct{}), displaced: make(chan struct{}),
		limits: placement.Limits{Multiple: values.Placement.LoadMultiple, ReuseWeight: values.Placement.ReuseWeight},
		attempt: placement.Attempt{
			Returning: fwd.Returning, PromptTokens: fwd.PromptTokens, ContextOnly: fwd.ContextOnly,
			Redirected: fwd.Redirected, Wait: fwd.Wait, MaxWait: waitOf(fwd, values.Queue),
		},
		resume: fwd.Resume,
	}
	if fwd.Chat != 0 && fwd.Returning {
		w.attempt.Known, w.attempt.Noted = g.cfg.Chats.Lookup(fwd.Chat)
		if w.attempt.Noted {
			_, _, live := g.cfg.Targets.Picker().Target(fwd.Service, w.attempt.Known.Target)
			w.attempt.Noted = live
		}
	}
	return w
}

// waitOf is the longest wait of an attempt that may queue.
func waitOf(fwd *wire.Forward, q settings.Queue) time.Duration {
	longest := q.WaitMS.Duration()
	if fwd.WaitMS > 0 {
		return min(longest, time.Duration(fwd.WaitMS)*time.Millisecond)
	}
	return longest
}

// decide must be called with the lock held.
func (g *LoadGate) decide(gate *targetGate, w *waiter) placement.Decision {
	if w.resume {
		return placement.Decision{Verdict: placement.Admit}
	}
	service := g.serviceLoad(gate.target.Service)
	load := placement.TargetLoad{
		InFlight: gate.inFlight, Unaccounted: gate.ledger.Unaccounted(g.cfg.Clock()),
		Weight: gate.target.Weight, Leaving: !g.takesWork(gate.target),
	}
	d := placement.Decide(gate.target.ID, load, service, w.attempt, w.limits)
	if d.Verdict == placement.Admit && gate.queue.precedes(w) {
		d.Verdict, d.Reason, d.Wait = placement.Queue, reason.LoadBound, w.attempt.MaxWait
	}
	return d
}

// takesWork reports whether neither the settings nor the platform's list name
// the target as leaving.
func (g *LoadGate) takesWork(t fleet.Target) bool {
	_, _, ok := g.cfg.Targets.Picker().Target(t.Service, t.ID)
	return ok
}

// serviceLoad is the load of a service: what this home has in flight and what
// other homes reported. Reports of a home that is gone are still there for a
// while, so others together count for no more than the weight of the targets
// that are not this home's.
func (g *LoadGate) serviceLoad(service fleet.ServiceName) placement.ServiceLoad {
	picker := g.cfg.Targets.Picker()
	own := picker.HomedWeight(service, g.cfg.Self.ID) + g.actingWeight(service)
	others := g.cfg.Means.Others(service)
	if rest := max(picker.Weight(service)-own, 0); others.Weight > rest {
		others.Requests *= rest / others.Weight
		others.Weight = rest
	}
	return placement.ServiceLoad{Requests: others.Requests + g.ownLoad(service), Weight: others.Weight + own}
}

// ownLoad is what this home has in flight, and of what waits at most one
// attempt a target: where every target is as full as the mean allows, a growing
// load shows only in what waits.
func (g *LoadGate) ownLoad(service fleet.ServiceName) float64 {
	waiting := 0
	for _, gate := range g.gates {
		if gate.target.Service == service && gate.queue.len() > 0 {
			waiting++
		}
	}
	return g.requests[service] + float64(waiting)
}

func (g *LoadGate) gate(t fleet.Target) *targetGate {
	gate := g.gates[t.ID]
	if gate == nil {
		gate = &targetGate{}
		g.gates[t.ID] = gate
	}
	gate.target = t
	return gate
}

func (g *LoadGate) admit(gate *targetGate) {
	g.change(gate, 1)
}

// change must be called with the lock held.
func (g *LoadGate) change(gate *targetGate, requests float64) {
	gate.inFlight += requests
	g.requests[gate.target.Service] += requests
	gate.ledger.Note(gate.inFlight, g.cfg.Clock())
}

func (g *LoadGate) releaser(gate *targetGate) func() {
	start := g.cfg.Clock()
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.ended(g.cfg.Clock().Sub(start))
		g.change(gate, -1)
		g.pump(gate)
	}
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

func refusal(d placement.Decision) wire.End {
	return wire.Refused(d.Reason, wire.Hint{Target: d.Elsewhere, Load: d.Load, Bound: d.Bound})
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

// InFlight returns the number of attempts in flight before a target.
func (g *LoadGate) InFlight(id fleet.TargetID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if gate := g.gates[id]; gate != nil {
		return int(gate.inFlight)
	}
	return 0
}

// ServiceInFlight returns the load of a service that this home reports to other
// homes: the attempts in flight, and one for each target before which attempts
// wait.
func (g *LoadGate) ServiceInFlight(service fleet.ServiceName) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ownLoad(service)
}

// Report takes a target's report of its whole load.
func (g *LoadGate) Report(t fleet.Target, requests float64, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate(t).ledger.Report(requests, at)
}
