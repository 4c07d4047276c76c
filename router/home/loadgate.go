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
	// started is when the gate was made.
	started time.Time
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
	return &LoadGate{cfg: cfg, gates: map[fleet.TargetID]*targetGate{}, requests: map[fleet.ServiceName]float64{}, life: firstLife, started: cfg.Clock()}
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

// waiter describes an attempt to the decision.
func (g *LoadGate) waiter(t fleet.Target, fwd *wire.Forward) *waiter {
	values := g.cfg.Snapshot().Effective(g.cfg.Self.Domain, fwd.Service, "")
	w := &waiter{
		account: fwd.Account, weight: fwd.Weight, work: float64(fwd.PromptTokens + fwd.AnswerTokens),
		priority: fwd.Priority, queueLength: values.Queue.Length,
		admitted: make(chan struct{}), displaced: make(chan struct{}),
		limits: placement.Limits{
			Multiple: values.Placement.LoadMultiple, ReuseWeight: values.Placement.ReuseWeight,
			Capacity: float64(values.Queue.TargetInFlight),
		},
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

func refusal(d placement.Decision) wire.End {
	return wire.Refused(d.Reason, wire.Hint{Target: d.Elsewhere, Load: d.Load, Bound: d.Bound})
}
