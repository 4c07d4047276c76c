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

// PeerLoads provides the load of services at other homes. Implementations are
// safe for concurrent use.
type PeerLoads interface {
	// PeerLoad returns the load and the weight of a service's targets whose home
	// is another router. It omits homes with stale reports together with their
	// weights, so that the bound falls back to the mean of the known loads.
	PeerLoad(service fleet.ServiceName) placement.ServiceLoad
}

// GateConfig configures a LoadGate. All fields are required.
type GateConfig struct {
	Self      fleet.Router
	Snapshot  func() *settings.Snapshot
	Targets   *targets.Tracker
	PeerLoads PeerLoads
	Chats     *Chats
	Clock     func() time.Time
}

// LoadGate enforces the load bound of the targets that this router is home to.
// It is safe for concurrent use.
type LoadGate struct {
	cfg GateConfig

	mu                sync.Mutex
	gates             map[fleet.TargetID]*targetGate
	inFlightByService map[fleet.ServiceName]float64
	queuedTotal       int
	// lastPicker is the picker for which the homed flags of gates were last updated.
	lastPicker *placement.Picker
	// started is when the gate was created.
	started time.Time
	// meanDuration is the moving average of the time that an attempt is in
	// flight to its target.
	meanDuration time.Duration
}

// targetGate is the admission state of one target.
type targetGate struct {
	target   fleet.Target
	inFlight float64
	ledger   placement.LoadLedger
	queue    waitQueue
	// homed is set if this router is home to the target. assumePending is set
	// if the load left by a former home must still be assumed at the next
	// attempt.
	homed         bool
	assumePending bool
	// lastAttempt is when the last attempt arrived.
	lastAttempt time.Time
}

// NewLoadGate returns a gate. Run must be running for queued attempts to be
// admitted when the mean load changes, and to be displaced without delay when
// their target gets another home.
func NewLoadGate(cfg GateConfig) *LoadGate {
	return &LoadGate{cfg: cfg, gates: map[fleet.TargetID]*targetGate{}, inFlightByService: map[fleet.ServiceName]float64{}, meanDuration: initialMeanDuration, started: cfg.Clock()}
}

// Acquire implements Gate.
func (g *LoadGate) Acquire(ctx context.Context, t fleet.Target, fwd *wire.Forward) (func(), wire.End) {
	w := g.newWaiter(t, fwd)
	g.mu.Lock()
	g.updateHomes()
	gate := g.gate(t)
	g.assumeFormerLoad(gate)
	d := g.decide(gate, w)
	if d.Verdict == placement.Queue && !g.enqueue(gate, w) {
		d.Verdict, d.Reason = placement.Refuse, reason.QueueFull
	}
	switch d.Verdict {
	case placement.Admit:
		g.admit(gate)
		g.mu.Unlock()
		return g.newRelease(gate), wire.End{}
	case placement.Refuse:
		g.mu.Unlock()
		return nil, refusal(d)
	}
	g.mu.Unlock()
	return g.wait(ctx, gate, w, d)
}

// newWaiter returns the waiter of an attempt, with the settings and the chat's
// recorded context that the decision needs.
func (g *LoadGate) newWaiter(t fleet.Target, fwd *wire.Forward) *waiter {
	values := g.cfg.Snapshot().Effective(g.cfg.Self.Domain, fwd.Service, "")
	w := &waiter{
		account: fwd.Account, weight: fwd.Weight, work: float64(fwd.PromptTokens + fwd.AnswerTokens),
		priority: fwd.Priority, maxQueueLength: values.Queue.Length,
		admitted: make(chan struct{}), displaced: make(chan struct{}),
		limits: placement.Limits{
			Multiple: values.Placement.LoadMultiple, ReuseWeight: values.Placement.ReuseWeight,
			Capacity: float64(values.Queue.TargetInFlight),
		},
		attempt: placement.Attempt{
			Returning: fwd.Returning, PromptTokens: fwd.PromptTokens, ContextOnly: fwd.ContextOnly,
			Redirected: fwd.Redirected, MayQueue: fwd.Wait, MaxWait: maxWait(fwd, values.Queue),
		},
		resume: fwd.Resume,
	}
	if fwd.Chat != 0 && fwd.Returning {
		w.attempt.Context, w.attempt.HasContext = g.cfg.Chats.Lookup(fwd.Chat)
		if w.attempt.HasContext {
			_, _, live := g.cfg.Targets.Picker().Target(fwd.Service, w.attempt.Context.Target)
			w.attempt.HasContext = live
		}
	}
	return w
}

// maxWait returns the maximum time that an attempt may be queued.
func maxWait(fwd *wire.Forward, q settings.Queue) time.Duration {
	limit := q.WaitMS.Duration()
	if fwd.WaitMS > 0 {
		return min(limit, time.Duration(fwd.WaitMS)*time.Millisecond)
	}
	return limit
}

// decide returns the decision on an attempt. A resumption is always admitted. An
// attempt that could be admitted is queued while attempts that precede it are
// queued. It must be called with the lock held.
func (g *LoadGate) decide(gate *targetGate, w *waiter) placement.Decision {
	if w.resume {
		return placement.Decision{Verdict: placement.Admit}
	}
	service := g.serviceLoad(gate.target.Service)
	load := placement.TargetLoad{
		InFlight: gate.inFlight, ExternalLoad: gate.ledger.ExternalLoad(g.cfg.Clock()),
		Weight: gate.target.Weight, Leaving: !g.acceptsWork(gate.target),
	}
	d := placement.Decide(gate.target.ID, load, service, w.attempt, w.limits)
	if d.Verdict == placement.Admit && gate.queue.precedes(w) {
		d.Verdict, d.Reason, d.Wait = placement.Queue, reason.LoadBound, w.attempt.MaxWait
	}
	return d
}

// acceptsWork reports whether the target is in the current picker, which
// excludes targets that are leaving by the settings or by the platform's VM
// list and targets that are down.
func (g *LoadGate) acceptsWork(t fleet.Target) bool {
	_, _, ok := g.cfg.Targets.Picker().Target(t.Service, t.ID)
	return ok
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
	g.addInFlight(gate, 1)
}

func (g *LoadGate) newRelease(gate *targetGate) func() {
	start := g.cfg.Clock()
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.recordDuration(g.cfg.Clock().Sub(start))
		g.addInFlight(gate, -1)
		g.admitQueued(gate)
	}
}

func refusal(d placement.Decision) wire.End {
	return wire.Refused(d.Reason, wire.Hint{Target: d.ContextTarget, Load: d.Load, Bound: d.Bound})
}
