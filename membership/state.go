// Package membership tells each router which other routers are alive.
//
// Table is the deterministic core: it takes messages, the platform's VM list
// and the time, and returns messages to send. Service carries them over package
// peer and publishes an immutable View.
//
// Routers are arranged in several rings, each ordered by another hash of their
// ids. A router sends heartbeats to its successor in each ring and watches its
// predecessors. A silent predecessor is suspected; suspicion, like every other
// change, spreads as a rumour on the heartbeats, and the suspected router
// refutes it with a higher incarnation number. Each router counts down from
// suspicion to removal on its own clock. The platform's lagging VM list names
// routers that have not been heard of yet and those worth probing after a
// partition.
package membership

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// State is what a router holds of another.
type State uint8

// The states in the order in which they supersede each other at one
// incarnation number.
const (
	Alive State = iota
	Leaving
	Suspect
	Gone
)

var stateNames = [...]string{"alive", "leaving", "suspect", "gone"}

// String returns the state's name.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// Member is one router in a View.
type Member struct {
	Router fleet.Router
	State  State
	// Leaving says that the router announced its leaving, whatever its state.
	Leaving bool
}

// Timing is the table's periods. All must be positive.
type Timing struct {
	// Rings is the number of rings, thus of heartbeats sent a period.
	Rings int
	// Suspect is the silence after which a predecessor is suspected.
	Suspect time.Duration
	// Remove is the time from suspicion to removal.
	Remove time.Duration
}

const (
	probeInterval     = 2 * time.Second
	tombstoneLife     = 5 * time.Minute
	syncDelay         = 3 * time.Second
	syncInterval      = 5 * time.Second
	syncFollowUp      = time.Second
	leavingVMLife     = 90 * time.Second
	longestTick       = time.Second
	maxEntries        = 16384
	maxLeavingVMs     = 4096
	recordEvery       = 20
	rumourSends       = 2
	eventBytesPerSec  = 1500
	eventBytesBurst   = 64 << 10
	maxEventBytes     = 900
	rumourBaseBytes   = 20
	recordExtraBytes  = 16
	syncBuckets       = 64
	maxSyncBytes      = 1 << 20
	maxRumoursMessage = 256
)

// entry is what the table keeps of one router.
type entry struct {
	router  fleet.Router
	state   State
	leaving bool
	// left says that the router itself announced its end.
	left bool
	// since is when the state was entered.
	since time.Time
}

// present reports whether the entry takes part in the rings.
func (e *entry) present() bool {
	return e.state != Gone && e.router.Incarnation > 0
}
