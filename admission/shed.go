package admission

import (
	"time"

	"ragwortpond.example/ragwortpond/reason"
)

// HighestPriority is never shed.
const HighestPriority = 9

// shedFrom is the fill of a queue from which on low priorities are shed.
const shedFrom = 0.5

// LowestAdmitted returns the lowest priority that is admitted when a queue is
// filled to the given part, 0 to 1. It rises from 0 at half full to
// HighestPriority at full.
func LowestAdmitted(fill float64) int {
	if fill <= shedFrom {
		return 0
	}
	over := min((fill-shedFrom)/(1-shedFrom), 1)
	return int(over * HighestPriority)
}

// CheckPriority sheds a request whose priority is too low for the fill of the
// queue that it would wait in.
func CheckPriority(priority int, fill float64, expectedWait time.Duration) *Refusal {
	if priority >= LowestAdmitted(fill) {
		return nil
	}
	return &Refusal{Reason: reason.Shed, RetryAfter: expectedWait}
}
