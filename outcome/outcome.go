// Package outcome defines how far a request got, as a lattice of three states.
// Every message between entry and home carries a state, and states only increase.
package outcome

// State is how far an attempt, or a request with all its attempts, got.
type State uint8

// The states in lattice order.
const (
	// NotDispatched means that no byte of the request was sent to a target, or
	// that every target it was sent to definitely refused it.
	NotDispatched State = iota
	// Dispatched means that a target may have run the request.
	Dispatched
	// Answered means that a target's complete answer arrived.
	Answered
)

// Join returns the higher of two states. It is commutative, associative and
// idempotent, so states can be merged in any order and more than once.
func Join(a, b State) State {
	return max(a, b)
}

// Label is a value of the Ragwort-Outcome header.
type Label string

// The values of the Ragwort-Outcome header. Unknown means that the request may have
// run.
const (
	Completed Label = "completed"
	NotRun    Label = "not-run"
	Unknown   Label = "unknown"
)

// Label returns the header value for a final state.
func (s State) Label() Label {
	switch s {
	case NotDispatched:
		return NotRun
	case Answered:
		return Completed
	default:
		return Unknown
	}
}

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case NotDispatched:
		return "not-dispatched"
	case Dispatched:
		return "dispatched"
	case Answered:
		return "answered"
	default:
		return "invalid"
	}
}
