package directory

import (
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
)

// maxGoneTargets bounds a goneTargets; all are dropped when it is reached.
const maxGoneTargets = 4096

// goneTarget is the last entry of a target that was removed.
type goneTarget struct {
	startedAt time.Time
	sequence  uint64
	// era is the store's era at the time.
	era uint64
}

// goneTargets holds what is known of removed targets, so that their entries are recognized if the
// store comes back from a copy that still has them. It is not safe for concurrent use.
type goneTargets map[fleet.TargetID]goneTarget

// record remembers a target that was removed at a revision of the store.
func (g goneTargets) record(t *catalog.Target, revision uint64) {
	if len(g) >= maxGoneTargets {
		clear(g)
	}
	g[t.ID] = goneTarget{t.StartedAt, t.Sequence, platform.EraOf(revision)}
}
