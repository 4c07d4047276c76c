// Package engineorder decides which order to send to an engine next. It does no
// I/O and reads no clock: times are passed in as readings of one monotonic clock
// of the calling process.
package engineorder

import (
	"time"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
)

// Action is what the caller of Decide has to do.
type Action int

// The actions.
const (
	// Done means that the engine is in the desired state; there is nothing to send.
	Done Action = iota
	// Send means that Plan.Order has to be sent, if Plan.MaySend still allows it.
	Send
	// Wait means that nothing may be sent now: the router is not the target's
	// home, or the engine's state and the settings have to be read again first.
	Wait
	// Superseded means that the engine accepted an order with a newer fencing
	// number, so that the given desired state is outdated.
	Superseded
)

// Input is the input of Decide: the desired and the observed state of an engine,
// and when they were read.
type Input struct {
	// Desired is the state that the target's settings document specifies.
	Desired fleet.EngineState
	// FencingNumber is the fencing number: the platform version of that document.
	FencingNumber uint64
	// Observed is the state that the engine reported.
	Observed engine.State
	// ChecksFencing reports whether the engine refuses old fencing numbers.
	ChecksFencing bool
	// IsHome reports whether the deciding router is the target's home.
	IsHome bool
	// StateReadAt and SettingsReadAt are the times at which the reads of the
	// engine's state and of the settings document began.
	StateReadAt    time.Duration
	SettingsReadAt time.Duration
	// Validity is how long after the earlier of both reads an order may be sent
	// to an engine that does not check fencing numbers.
	Validity time.Duration
}

// Plan is the result of Decide: an action and, for Send, the order.
type Plan struct {
	Action Action
	Order  engine.Order
	// RequiresLoad reports whether the order makes the engine load from the weight store.
	RequiresLoad bool
	// HasDeadline means that the order may not be sent at or after Deadline.
	HasDeadline bool
	Deadline    time.Duration
}

// Decide returns what to do at now for the engine that v describes.
func Decide(v Input, now time.Duration) Plan {
	if !v.IsHome {
		return Plan{Action: Wait}
	}
	if v.Observed.Fence > v.FencingNumber {
		return Plan{Action: Superseded}
	}
	order, found := nextOrder(v)
	if !found {
		return Plan{Action: Done}
	}
	p := Plan{
		Action:       Send,
		Order:        order,
		RequiresLoad: order.Kind != engine.ChangeRole,
		HasDeadline:  !v.ChecksFencing,
		Deadline:     min(v.StateReadAt, v.SettingsReadAt) + v.Validity,
	}
	if !p.MaySend(now, true) {
		return Plan{Action: Wait}
	}
	return p
}

// MaySend reports whether the order may be sent at now; ownHome reports whether
// the router is still the target's home. Callers must check it directly before
// sending, since the process may have been paused after the decision.
func (p Plan) MaySend(now time.Duration, ownHome bool) bool {
	if p.Action != Send || !ownHome {
		return false
	}
	return !p.HasDeadline || now < p.Deadline
}

// nextOrder returns the order for the first field in which the engine differs from
// the desired state. If an engine that checks fencing numbers is in the desired
// state under an older number, nextOrder returns one order again, so that the
// engine refuses orders from older settings from then on.
func nextOrder(v Input) (engine.Order, bool) {
	fenceBehind := v.ChecksFencing && v.Observed.Fence < v.FencingNumber
	var repeated engine.Order
	for _, f := range stateFields(v) {
		if f.desired == "" {
			continue
		}
		order := engine.Order{Kind: f.kind, Value: f.desired, Fence: v.FencingNumber}
		if f.desired != f.observed {
			return order, true
		}
		repeated = order
	}
	return repeated, fenceBehind && repeated.Kind != ""
}

// stateField is one field of an engine's state. There is no order for a field
// whose desired value is empty.
type stateField struct {
	kind              engine.OrderKind
	desired, observed string
}

// stateFields returns the fields in the order in which an engine has to change
// them.
func stateFields(v Input) [4]stateField {
	return [4]stateField{
		{engine.LoadModel, v.Desired.Model, v.Observed.Model},
		{engine.LoadVersion, v.Desired.Version, v.Observed.Version},
		{engine.LoadAdapter, v.Desired.Adapter, v.Observed.Adapter},
		{engine.ChangeRole, v.Desired.Role, v.Observed.Role},
	}
}
