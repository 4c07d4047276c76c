package entry

import (
	"time"

	"ragwortpond.example/ragwortpond/router/wire"
)

// waitSlice is how long a request first queues before one target; each further
// wait is twice as long. A home bounds its target by the mean, so requests that
// all queue before one target while others idle would keep the mean, and with it
// the bound, low. Waits that stayed short would leave out, time and again, the
// requests behind the few that one wait serves.
const waitSlice = 200 * time.Millisecond

// fillStep is the difference in fill below which targets count as equally full.
const fillStep = 0.1

// waitFor is a target that refused for its bound.
type waitFor struct {
	step step
	// fill is the load as a share of the bound, in steps of fillStep.
	fill int
	// order is random and decides between targets that are equally full, so
	// that the chats of one group do not all queue before one target.
	order uint64
	// round is the number of rounds in which the request queued there.
	round int
}

// rounds lets a request that found no room queue before one target after the
// other, those that are least full first, until its time is over.
type rounds struct {
	targets []waitFor
	until   time.Time
	slice   time.Duration
}

// add takes a target that refused for its bound. The one that holds the chat's
// context counts as least full.
func (r *rounds) add(s step, hint wire.Hint, order uint64) {
	fill := fillOf(hint)
	if s.redirected || s.ContextOnly {
		fill = 0
	}
	s.ContextOnly = false
	r.targets = append(r.targets, waitFor{step: s, fill: fill, order: order})
}

// timedOut takes what the target told when the wait there was over.
func (r *rounds) timedOut(s step, hint wire.Hint) {
	for i := range r.targets {
		if r.targets[i].step.Target == s.Target {
			r.targets[i].fill = fillOf(hint)
		}
	}
}

func fillOf(hint wire.Hint) int {
	return int(hint.Load / max(hint.Bound, 1) / fillStep)
}

// next returns the target to queue before, and false when there is none or the
// longest wait, counted from the first call, is over.
func (r *rounds) next(now time.Time, longest time.Duration) (step, bool) {
	if r.until.IsZero() {
		r.until = now.Add(longest)
		r.slice = waitSlice
	}
	left := r.until.Sub(now)
	best := r.leastFull()
	if best == nil || left <= 0 {
		return step{}, false
	}
	best.round++
	s := best.step
	s.wait = min(r.slice, left)
	r.slice *= 2
	return s, true
}

// leastFull returns the target that is least full among those with the fewest
// rounds.
func (r *rounds) leastFull() *waitFor {
	var best *waitFor
	for i := range r.targets {
		t := &r.targets[i]
		if best == nil || t.before(best) {
			best = t
		}
	}
	return best
}

func (t *waitFor) before(other *waitFor) bool {
	if t.round != other.round {
		return t.round < other.round
	}
	if t.fill != other.fill {
		return t.fill < other.fill
	}
	return t.order < other.order
}
