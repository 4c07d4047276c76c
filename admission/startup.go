package admission

import "time"

// Bounds on how long a request waits for the first view of a router that has just
// started.
const (
	// maxFirstViewWait is longer than a router takes to get its view from the store or
	// from another router. Clients give up a router that keeps them waiting for a second.
	maxFirstViewWait = 700 * time.Millisecond
	// firstViewWaitShare is the share of the client's timeout that a request may wait,
	// so that enough is left for another router if the view does not come.
	firstViewWaitShare = 0.25
)

// FirstViewWait returns how long a request may wait for the first view of a router;
// clientTimeout is the time that its client waits for the answer, zero if unknown.
//
// It answers the restart of a whole fleet: requests arrive as soon as the routers
// listen, and all routers lack a view for the same moment. A refusal would send each
// client to another router without a view, and use up its attempts.
func FirstViewWait(clientTimeout time.Duration) time.Duration {
	if clientTimeout <= 0 {
		return maxFirstViewWait
	}
	return min(maxFirstViewWait, time.Duration(firstViewWaitShare*float64(clientTimeout)))
}
