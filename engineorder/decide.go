// Package engineorder decides which order an engine is to be sent next. It does
// no I/O and reads no clock: times are passed in as readings of one monotonic
// clock of the deciding process.
package engineorder

import (
	"time"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
)

// Action is what a decision asks for.
type Action int

// The actions.
const (
	// Done means that the engine serves what is desired; nothing is to be sent.
	Done Action = iota
	// Send means that Plan.Order is to be sent, if Plan.MaySend still allows it.
	Send
	// Wait means that the state and the settings are to be read again first.
	Wait
	// Superseded means that the engine took an order of a newer fencing number:
	// the desired state at hand is old.
	Superseded
)

// View is what a decision rests on.
type View struct {
	// Desired is the state that the target's settings document names.
	Desired fleet.EngineState
	// Fence is the platform version of that document.
	Fence uint64
	// Observed is the state that the engine reported.
	Observed engine.State
	// ChecksFencing says whether the engine refuses old fencing numbers.
	ChecksFencing bool
	// OwnHome says whether the deciding router is the target's home.
	OwnHome bool
	// StateReadAt and SettingsReadAt are when the reads of the engine's state
	// and of the settings document began.
	StateReadAt    time.Duration
	SettingsReadAt time.Duration
	// Validity bounds how long after both reads an order may be sent to an
	// engine that does not check fencing numbers.
	Validity time.Duration
}

// Plan is a decision: an action and, for Send, the order.
type Plan struct {
	Action Action
	Order  engine.Order
	// Load says that the order makes the engine load from the weight store.
	Load bool
	// Bounded says that the order may not be sent from Until on.
	Bounded bool
	Until   time.Duration
}

// Decide returns what to do at now about the engine that v describes.
func Decide(v View, now time.Duration) Plan {
	if !v.OwnHome {
		return Plan{Action: Wait}
	}
	if v.Observed.Fence > v.Fence {
		return Plan{Action: Superseded}
	}
	order, found := next(v)
	if !found {
		return Plan{Action: Done}
	}
	p := Plan{
		Action:  Send,
		Order:   order,
		Load:    order.Kind != engine.ChangeRole,
		Bounded: !v.ChecksFencing,
		Until:   min(v.StateReadAt, v.SettingsReadAt) + v.Validity,
	}
	if !p.MaySend(now, true) {
		return Plan{Action: Wait}
	}
	return p
}

// MaySend reports whether the order may be sent at now by a router that is, or
// is not, the target's home. It is asked again directly before sending, since
// the router may have been paused after the decision.
func (p Plan) MaySend(now time.Duration, ownHome bool) bool {
	if p.Action != Send || !ownHome {
		return false
	}
	return !p.Bounded || now < p.Until
}

// next returns the first order that the engine still lacks. An engine that
// checks fencing numbers and serves all that is desired under an older number
// is sent one order again, so that it refuses the older settings from then on.
func next(v View) (engine.Order, bool) {
	raise := v.ChecksFencing && v.Observed.Fence < v.Fence
	var restate engine.Order
	for _, s := range steps(v) {
		if s.want == "" {
			continue
		}
		order := engine.Order{Kind: s.kind, Value: s.want, Fence: v.Fence}
		if s.want != s.have {
			return order, true
		}
		restate = order
	}
	return restate, raise && restate.Kind != ""
}

type step struct {
	kind       engine.OrderKind
	want, have string
}

// steps lists the fields in the order in which an engine is to change them.
func steps(v View) [4]step {
	return [4]step{
		{engine.LoadModel, v.Desired.Model, v.Observed.Model},
		{engine.LoadVersion, v.Desired.Version, v.Observed.Version},
		{engine.LoadAdapter, v.Desired.Adapter, v.Observed.Adapter},
		{engine.ChangeRole, v.Desired.Role, v.Observed.Role},
	}
}
