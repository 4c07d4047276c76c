// Package membership detects which routers are alive and gives each router a
// view of the others.
//
// Table is the deterministic core: it takes messages, the platform's VM list
// and the time, and returns messages to send. Service exchanges the messages
// over package peer and publishes an immutable View.
//
// Routers are arranged in several rings, each ordered by a different hash of
// the router IDs. A router sends heartbeats to its successor in each ring and
// monitors its predecessors. A predecessor that stays silent becomes a suspect.
// The suspicion, like every other change, spreads by gossip: as an update
// carried by heartbeats. The suspected router refutes it with a higher
// incarnation number; otherwise each router removes it after a timeout measured
// on its own clock. The platform's VM list, which lags behind, names routers
// that have sent nothing yet and routers to probe after a partition.
package membership

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// State is the state of one router in the table of another.
type State uint8

// The states. At the same incarnation number a later state supersedes an
// earlier one.
const (
	Alive State = iota
	Leaving
	Suspect
	Removed
)

var stateNames = [...]string{"alive", "leaving", "suspect", "gone"}

// String returns the state's name, or "invalid".
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
	// Leaving is set, in any State, if the router announced that it leaves or the
	// platform lists its VM as leaving.
	Leaving bool
}

// Timing holds the ring count and the timeouts of a Table. All must be
// positive.
type Timing struct {
	// Rings is the number of rings, and so the maximum number of routers that get
	// a heartbeat in each period.
	Rings int
	// Suspect is the silence after which a predecessor becomes a suspect.
	Suspect time.Duration
	// Remove is the time from suspicion to removal.
	Remove time.Duration
}

const (
	// probeInterval is the time between probes of absent listed routers.
	probeInterval = 2 * time.Second
	// tombstoneTTL is how long a removed router stays in the table as Removed.
	tombstoneTTL = 5 * time.Minute
	// minDigestMismatch is how long a neighbour's digest must differ before a
	// sync.
	minDigestMismatch = 3 * time.Second
	// syncInterval is the minimum time between syncs; syncFollowUpInterval applies
	// after a sync that changed the table.
	syncInterval         = 5 * time.Second
	syncFollowUpInterval = time.Second
	// leavingVMTTL is how long a leaving VM reported by another router is kept.
	leavingVMTTL = 90 * time.Second
	// maxTickGap is the time between ticks above which this process counts as
	// having been paused.
	maxTickGap    = time.Second
	maxEntries    = 16384
	maxLeavingVMs = 4096
	// recordIntervalTicks is the number of ticks between heartbeats that carry the
	// sender's record.
	recordIntervalTicks = 20
	// sendsPerUpdate is the number of rounds in which an update is sent.
	sendsPerUpdate = 2
	// updateBytesPerSecond and updateBurstBytes are the rate and the depth of the
	// token bucket for updates.
	updateBytesPerSecond     = 1500
	updateBurstBytes         = 64 << 10
	maxUpdateBytesPerMessage = 900
	// updateBaseBytes and recordBaseBytes are the estimated encoded sizes without
	// strings.
	updateBaseBytes      = 20
	recordBaseBytes      = 16
	syncBuckets          = 64
	maxSyncBytes         = 1 << 20
	maxUpdatesPerMessage = 256
)

// entry is the table's record of one router. Its incarnation is zero until the
// router or an update gives one.
type entry struct {
	router  fleet.Router
	state   State
	leaving bool
	// shutdown is set if the router itself announced that it stopped.
	shutdown bool
	// since is the time at which the state was entered, or at which this process
	// resumed after a pause.
	since time.Time
}

// present reports whether the entry takes part in the rings.
func (e *entry) present() bool {
	return e.state != Removed && e.router.Incarnation > 0
}
