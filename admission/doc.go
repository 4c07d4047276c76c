// Package admission implements admission control: rate and concurrency limits
// of client accounts, services and the fleet, request deadlines, the bounded
// fair queue in front of a target, in which higher priorities displace lower
// ones, when refused requests come back, and the rules for requests during a planned
// stop.
//
// The package is deterministic and does no I/O; the current time is a parameter.
// Fleet-wide limits are divided between routers by demand: each router measures
// its own demand and receives that of the others. Types are not safe for
// concurrent use unless documented otherwise.
package admission

import (
	"fmt"
	"time"

	"ragwortpond.example/ragwortpond/reason"
)

// RefusalError is the error for a request that was not admitted and did not run.
type RefusalError struct {
	Reason reason.Code
	// RetryAfter is the delay after which a retry is useful; zero if unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (r *RefusalError) Error() string {
	return fmt.Sprintf("admission: refused: %s, retry after %v", r.Reason, r.RetryAfter)
}

// CheckDeadline returns a refusal if the deadline would pass during the expected
// wait, or nil if the request can proceed. A zero deadline means no deadline.
func CheckDeadline(now, deadline time.Time, expectedWait time.Duration) *RefusalError {
	if deadline.IsZero() || now.Add(expectedWait).Before(deadline) {
		return nil
	}
	return &RefusalError{Reason: reason.Deadline, RetryAfter: expectedWait}
}
