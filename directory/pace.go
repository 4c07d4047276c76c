package directory

import "time"

// Pace is how long a watcher of the store waits after a change, so that changes in
// quick succession are read with one call.
type Pace struct {
	// Primary and Standby are the waits of the routers with these roles.
	Primary, Standby time.Duration
}

// Shares of the time within which a change must be in force that a watcher may wait.
const (
	primaryWaitShare = 1.0 / 8
	standbyWaitShare = 1.0 / 3
)

// NewPace returns the pace of a deployment in which a change must be in force within
// bound.
func NewPace(bound time.Duration) Pace {
	return Pace{
		Primary: time.Duration(primaryWaitShare * float64(bound)),
		Standby: time.Duration(standbyWaitShare * float64(bound)),
	}
}
