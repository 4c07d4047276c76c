package placement

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// Standing says how far a target is trusted with chats.
type Standing uint8

// The standings.
const (
	// Settled targets take every chat.
	Settled Standing = iota
	// Joining targets take new chats and overflow only.
	Joining
	// Flapping targets take overflow only, after every other target.
	Flapping
)

// String returns the standing's name for logs.
func (s Standing) String() string {
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

// Churn holds the times by which joining and flapping are judged.
type Churn struct {
	// Ramp is how long a target is joining after it came.
	Ramp time.Duration
	// FlapWindow is the window in which a target that came flapJoins times is
	// flapping; it stays so until it has been present for a whole window.
	FlapWindow time.Duration
}

// flapJoins is how many joins within the window make a target flapping.
const flapJoins = 2

// Phase is a target's standing at one moment and the moment at which it ends;
// a zero Until means that it does not end by itself.
type Phase struct {
	Standing Standing
	Until    time.Time
}

// presence is what a history knows of one target.
type presence struct {
	present bool
	// joined is when the target last came; zero if it was there at the start.
	joined time.Time
	// joins counts joins, none further apart than the window.
	joins int
	// round is the last observation that had the target.
	round uint64
}

// History follows which targets come and go. It is not safe for concurrent
// use.
type History struct {
	churn   Churn
	started bool
	round   uint64
	targets map[fleet.TargetID]*presence
}

// NewHistory returns an empty history. The targets of its first view count as
// settled.
func NewHistory(churn Churn) *History {
	return &History{churn: churn, targets: map[fleet.TargetID]*presence{}}
}

// SetChurn changes the times by which later phases are judged.
func (h *History) SetChurn(churn Churn) {
	h.churn = churn
}

// Observe takes the targets that are present now. Targets absent for a whole
// flap window are forgotten. Until there is a target nothing is observed: a
// router that has no settings yet must not take all targets for newcomers.
func (h *History) Observe(now time.Time, present []fleet.TargetID) {
	if !h.started && len(present) == 0 {
		return
	}
	h.round++
	for _, id := range present {
		h.arrive(id, now).round = h.round
	}
	for id, p := range h.targets {
		if p.round == h.round {
			continue
		}
		p.present = false
		if now.Sub(p.joined) > h.churn.FlapWindow {
			delete(h.targets, id)
		}
	}
	h.started = true
}

func (h *History) arrive(id fleet.TargetID, now time.Time) *presence {
	p := h.targets[id]
	switch {
	case p == nil && !h.started:
		p = &presence{present: true}
		h.targets[id] = p
	case p == nil:
		p = &presence{present: true, joined: now, joins: 1}
		h.targets[id] = p
	case !p.present:
		if now.Sub(p.joined) > h.churn.FlapWindow {
			p.joins = 0
		}
		p.present, p.joined, p.joins = true, now, p.joins+1
	}
	return p
}

// Phase returns the target's standing. A target that was never observed counts
// as settled.
func (h *History) Phase(id fleet.TargetID, now time.Time) Phase {
	p := h.targets[id]
	if p == nil || p.joined.IsZero() {
		return Phase{}
	}
	if p.joins >= flapJoins {
		if until := p.joined.Add(h.churn.FlapWindow); now.Before(until) {
			return Phase{Flapping, until}
		}
	}
	if until := p.joined.Add(h.churn.Ramp); now.Before(until) {
		return Phase{Joining, until}
	}
	return Phase{}
}
