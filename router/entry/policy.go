package entry

import (
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/placement"
)

// Policy orders the targets of a service for one request. Implementations are
// safe for concurrent use.
type Policy interface {
	// Candidates returns the targets to try, best first.
	Candidates(req *Request, targets []fleet.Target) []fleet.Target
}

// Rendezvous is the policy that orders targets by rendezvous hashing of the
// chat alone. Requests without a chat are spread by their id.
type Rendezvous struct{}

// Candidates implements Policy.
func (Rendezvous) Candidates(req *Request, targets []fleet.Target) []fleet.Target {
	return placement.Order(make([]fleet.Target, 0, len(targets)), chatOf(req), targets)
}
