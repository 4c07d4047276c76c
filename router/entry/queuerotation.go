package entry

import (
	"time"

	"ragwortpond.example/ragwortpond/router/wire"
)

// initialQueueWait is how long a request first queues at one target; each
// further wait is twice as long. A home bounds the load of its target by the
// mean load. If all requests queued at one target while others are idle, the
// mean load and thus the bound would stay low, so a request moves on after each
// wait. The waits get longer because a request far back in a queue, behind the
// few that one short wait serves, would otherwise time out again and again.
const initialQueueWait = 200 * time.Millisecond

// utilizationStep is the difference in utilization below which targets count as
// equally utilized.
const utilizationStep = 0.1

// queueCandidate is a target that refused an attempt because of its load bound.
type queueCandidate struct {
	candidate candidate
	// utilization is the load as a share of the bound, in units of
	// utilizationStep.
	utilization int
	// tieBreaker is random and decides between targets of equal utilization, so
	// that the chats of one group do not all queue at the same target.
	tieBreaker uint64
	// waits is how often the request has queued at this target.
	waits int
}

// queueRotation lets a request for which no target had capacity queue at one
// target after the other, least utilized first, until the maximum wait is over.
type queueRotation struct {
	candidates []queueCandidate
	deadline   time.Time
	nextWait   time.Duration
}

// add adds a target that refused because of its load bound. The target that
// holds the chat's context counts as least utilized.
func (r *queueRotation) add(c candidate, hint wire.Hint, tieBreaker uint64) {
	utilization := utilizationLevel(hint)
	if c.redirected || c.ContextOnly {
		utilization = 0
	}
	c.ContextOnly = false
	r.candidates = append(r.candidates, queueCandidate{candidate: c, utilization: utilization, tieBreaker: tieBreaker})
}

// updateUtilization updates a target's utilization from the hint sent when the
// wait there ended.
func (r *queueRotation) updateUtilization(c candidate, hint wire.Hint) {
	for i := range r.candidates {
		if r.candidates[i].candidate.Target == c.Target {
			r.candidates[i].utilization = utilizationLevel(hint)
		}
	}
}

func utilizationLevel(hint wire.Hint) int {
	return int(hint.Load / max(hint.Bound, 1) / utilizationStep)
}

// next returns the target at which to queue next. It returns false if there is
// none or if maxWait, counted from the first call, is over.
func (r *queueRotation) next(now time.Time, maxWait time.Duration) (candidate, bool) {
	if r.deadline.IsZero() {
		r.deadline = now.Add(maxWait)
		r.nextWait = initialQueueWait
	}
	remaining := r.deadline.Sub(now)
	best := r.leastUtilized()
	if best == nil || remaining <= 0 {
		return candidate{}, false
	}
	best.waits++
	c := best.candidate
	c.wait = min(r.nextWait, remaining)
	r.nextWait *= 2
	return c, true
}

// leastUtilized returns the least utilized target among those with the fewest
// waits.
func (r *queueRotation) leastUtilized() *queueCandidate {
	var best *queueCandidate
	for i := range r.candidates {
		c := &r.candidates[i]
		if best == nil || c.less(best) {
			best = c
		}
	}
	return best
}

func (c *queueCandidate) less(other *queueCandidate) bool {
	if c.waits != other.waits {
		return c.waits < other.waits
	}
	if c.utilization != other.utilization {
		return c.utilization < other.utilization
	}
	return c.tieBreaker < other.tieBreaker
}
