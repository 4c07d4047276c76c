package placement

import "ragwortpond.example/ragwortpond/fleet"

// MaxSteps bounds the steps of a plan.
const MaxSteps = 12

// Why says for what reason a target stands in a plan.
type Why uint8

// The reasons.
const (
	// ByHash targets follow from the chat's or its group's hash.
	ByHash Why = iota
	// ByToken is the target that the caller's context token names.
	ByToken
	// ByContext targets are asked whether they hold the chat's context.
	ByContext
	// ByOverflow targets take what the ones before them have no room for.
	ByOverflow
	// ByBaseline targets come from a baseline policy.
	ByBaseline
)

// String returns the reason's name for logs.
func (w Why) String() string {
	names := [...]string{"hash", "token", "context", "overflow", "baseline"}
	if int(w) >= len(names) {
		return "invalid"
	}
	return names[w]
}

// Step is one target of a plan with its home router.
type Step struct {
	Target *fleet.Target
	// Home is nil when no router is known.
	Home *fleet.Router
	Why  Why
	// ContextOnly asks the home to take the request only if it knows that the
	// chat's context is on the target, or else to say where it is.
	ContextOnly bool
}

// Plan is the order in which an entry router tries targets. The steps point
// into the picker's tables and must not be changed.
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

// Anchor returns the step whose home is asked first when the chat returns
// without a token, so that it can be told where else the chat went; false under
// baseline policies and when no target is settled.
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

// holds reports whether a target already has an unconditional step.
func (p *Plan) holds(t *fleet.Target) bool {
	for i := range p.n {
		if p.steps[i].Target == t && !p.steps[i].ContextOnly {
			return true
		}
	}
	return false
}
