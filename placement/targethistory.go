package placement

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// Stability classifies a target by how recently and how often it joined, which
// decides the chats that are sent to it.
type Stability uint8

// The stability classes.
const (
	// Settled targets are eligible for every chat.
	Settled Stability = iota
	// Joining targets receive only new chats and overflow.
	Joining
	// Flapping targets receive only overflow, after all other targets.
	Flapping
)

// String returns the name of the class for logs.
func (s Stability) String() string {
	switch s {
	case Settled:
		return "settled"
	case Joining:
		return "joining"
	case Flapping:
		return "flapping"
	default:
		return "invalid"
	}
}

// ChurnConfig holds the durations that define joining and flapping targets.
type ChurnConfig struct {
	// Ramp is how long a target is joining after it appears.
	Ramp time.Duration
	// FlapWindow is the window in which flapThreshold joins make a target
	// flapping. The target remains so until a whole window has passed since its
	// last join.
	FlapWindow time.Duration
}

// flapThreshold is the number of joins within the window that makes a target
// flapping.
const flapThreshold = 2

// Phase is a target's stability at one moment and the time until which it
// applies. Once Until has passed, the target counts as settled; Until is zero
// for settled targets.
type Phase struct {
	Stability Stability
	Until     time.Time
}

// targetPresence is the state of one target in a TargetHistory.
type targetPresence struct {
	present bool
	// joinedAt is the time of the last join, or zero if the target was present
	// in the first view.
	joinedAt time.Time
	// joinCount counts successive joins that are at most a flap window apart.
	joinCount int
	// lastRound is the last observation round that included the target.
	lastRound uint64
}

// TargetHistory tracks which targets appear and disappear. It is not safe for
// concurrent use.
type TargetHistory struct {
	churn   ChurnConfig
	started bool
	round   uint64
	targets map[fleet.TargetID]*targetPresence
}

// NewTargetHistory returns an empty history. The targets of the first non-empty
// observation count as settled.
func NewTargetHistory(churn ChurnConfig) *TargetHistory {
	return &TargetHistory{churn: churn, targets: map[fleet.TargetID]*targetPresence{}}
}

// SetChurn changes the durations that later calls use.
func (h *TargetHistory) SetChurn(churn ChurnConfig) {
	h.churn = churn
}

// Observe records the set of targets present at now. It deletes the history of
// absent targets whose last join is more than a flap window ago. Calls before
// the first non-empty set have no effect, because a router without settings
// would otherwise classify all its first targets as joining.
func (h *TargetHistory) Observe(now time.Time, present []fleet.TargetID) {
	if !h.started && len(present) == 0 {
		return
	}
	h.round++
	for _, id := range present {
		h.markPresent(id, now).lastRound = h.round
	}
	for id, p := range h.targets {
		if p.lastRound == h.round {
			continue
		}
		p.present = false
		if now.Sub(p.joinedAt) > h.churn.FlapWindow {
			delete(h.targets, id)
		}
	}
	h.started = true
}

func (h *TargetHistory) markPresent(id fleet.TargetID, now time.Time) *targetPresence {
	p := h.targets[id]
	switch {
	case p == nil && !h.started:
		p = &targetPresence{present: true}
		h.targets[id] = p
	case p == nil:
		p = &targetPresence{present: true, joinedAt: now, joinCount: 1}
		h.targets[id] = p
	case !p.present:
		if now.Sub(p.joinedAt) > h.churn.FlapWindow {
			p.joinCount = 0
		}
		p.present, p.joinedAt, p.joinCount = true, now, p.joinCount+1
	}
	return p
}

// Phase returns the target's stability at now. A target that was never observed
// counts as settled.
func (h *TargetHistory) Phase(id fleet.TargetID, now time.Time) Phase {
	p := h.targets[id]
	if p == nil || p.joinedAt.IsZero() {
		return Phase{}
	}
	if p.joinCount >= flapThreshold {
		if until := p.joinedAt.Add(h.churn.FlapWindow); now.Before(until) {
			return Phase{Flapping, until}
		}
	}
	if until := p.joinedAt.Add(h.churn.Ramp); now.Before(until) {
		return Phase{Joining, until}
	}
	return Phase{}
}
