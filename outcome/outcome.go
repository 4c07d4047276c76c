// Package outcome is the three-state lattice that says how far a request got.
// Every message between entry and home carries one, and states only move up.
package outcome

// State says how far an attempt, or a request with all its attempts, got.
type State uint8

// The states in lattice order.
const (
	// NotDispatched means that no byte of the request left for a target, or
	// that every target it left for refused it definitely.
	NotDispatched State = iota
	// Dispatched means that a target may have run the request.
	Dispatched
	// Answered means that a target's whole answer arrived.
	Answered
)

// Join returns the higher of two states. It is commutative, associative and
// idempotent.
func Join(a, b State) State {
	return max(a, b)
}

// Word is what a caller is told in the Ragwort-Outcome header.
type Word string

// The words of the Ragwort-Outcome header.
const (
	Completed Word = "completed"
	NotRun    Word = "not-run"
	Unknown   Word = "unknown"
)

// Word maps a final state to the caller's word.
func (s State) Word() Word {
	switch s {
	case NotDispatched:
		return NotRun
	case Answered:
		return Completed
	default:
		return Unknown
	}
}

// String returns the state's name for logs.
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
