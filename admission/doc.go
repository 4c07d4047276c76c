// Package admission decides which requests may go on and in what order: rates
// and concurrency of client accounts, services and the fleet, deadlines,
// and the bounded fair queue before a target, which sheds by priority.
//
// It is deterministic and does no I/O; the time is passed in. Limits of the
// fleet are divided between routers by demand: each router measures the demand
// that reaches it, and is told the others'. Types are not safe for concurrent
// use unless they say so.
package admission

import (
	"fmt"
	"time"

	"ragwortpond.example/ragwortpond/reason"
)

// Refusal is why a request may not go on; it was not run. It is an error.
type Refusal struct {
	Reason reason.Code
	// RetryAfter is when a repeat is useful; zero where it is not known.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("admission: refused: %s, retry after %v", r.Reason, r.RetryAfter)
}

// CheckDeadline refuses a request whose deadline will have passed after the
// expected wait. A zero deadline never passes.
func CheckDeadline(now, deadline time.Time, expectedWait time.Duration) *Refusal {
	if deadline.IsZero() || now.Add(expectedWait).Before(deadline) {
		return nil
	}
	return &Refusal{Reason: reason.Deadline, RetryAfter: expectedWait}
}
