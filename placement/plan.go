package placement

import "ragwortpond.example/ragwortpond/fleet"

// MaxSteps is the maximum number of steps in a plan.
const MaxSteps = 12

// StepReason says why a target is in a plan.
type StepReason uint8

// The reasons.
const (
	// ByHash targets are chosen by the hash of the chat or its prefix group.
	ByHash StepReason = iota
	// ByToken is the target named by the caller's context token.
	ByToken
	// ByContext targets may hold the chat's context: they are queried for it,
	// or a home has named them as holding it.
	ByContext
	// ByOverflow targets receive requests for which the preceding targets have
	// no room.
	ByOverflow
	// ByBaseline targets are chosen by a baseline policy.
	ByBaseline
)

// String returns the name of the reason for logs.
func (w StepReason) String() string {
	names := [...]string{"hash", "token", "context", "overflow", "baseline"}
	if int(w) >= len(names) {
		return "invalid"
	}
	return names[w]
}

// Step is one target of a plan with its home router.
type Step struct {
	Target *fleet.Target
	// Home is nil if there are no routers.
	Home   *fleet.Router
	Reason StepReason
	// ContextOnly asks the home to accept the request only if the chat's
	// context is recorded at the target, and otherwise to return the target
	// that holds it.
	ContextOnly bool
}

// Plan is the order in which an entry router tries targets. The steps point
// into the picker's tables and must not be modified.
type Plan struct {
	steps  [MaxSteps]Step
	n      int
	anchor Step
}

// Len returns the number of steps.
func (p *Plan) Len() int {
	return p.n
}

// Step returns step i, counted from zero.
func (p *Plan) Step(i int) Step {
	return p.steps[i]
}

// Anchor returns the step whose home is queried first when the chat returns
// without a token. That home should therefore be notified if the chat runs
// elsewhere. It returns false for baseline policies and if no target is
// settled.
func (p *Plan) Anchor() (Step, bool) {
	return p.anchor, p.anchor.Target != nil
}

// add appends a step unless the plan is full.
func (p *Plan) add(s Step) {
	if p.n == MaxSteps {
		return
	}
	p.steps[p.n] = s
	p.n++
}

// hasUnconditionalStep reports whether the plan has a step to the target that
// is not ContextOnly.
func (p *Plan) hasUnconditionalStep(t *fleet.Target) bool {
	for i := range p.n {
		if p.steps[i].Target == t && !p.steps[i].ContextOnly {
			return true
		}
	}
	return false
}
