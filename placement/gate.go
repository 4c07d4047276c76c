package placement

import (
	"math"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/reason"
)

// Verdict is what a gate does with an attempt.
type Verdict uint8

// The verdicts.
const (
	// Admit dispatches the attempt now.
	Admit Verdict = iota
	// Queue lets the attempt wait before the target.
	Queue
	// Refuse sends the attempt back to its entry router.
	Refuse
)

// TargetLoad is what a home knows of one target, in requests.
type TargetLoad struct {
	// InFlight is what the home has dispatched and not seen the end of.
	InFlight float64
	// Unaccounted is reported load that the home did not send.
	Unaccounted float64
	Weight      float64
	Leaving     bool
}

// Attempt is what a gate must know of an attempt.
type Attempt struct {
	Returning    bool
	PromptTokens int
	// ContextOnly attempts are for a target that holds the chat's context.
	ContextOnly bool
	// Redirected attempts come by a token or by another home's hint.
	Redirected bool
	// Wait says that every candidate was asked, so the attempt may queue.
	Wait bool
	// Known is the home's note of the chat, if it has one.
	Known   Context
	Noted   bool
	MaxWait time.Duration
}

// Limits are the settings that a gate follows.
type Limits struct {
	Multiple    float64
	ReuseWeight float64
	// Capacity is the most requests before one target; zero means no limit.
	Capacity float64
}

// Decision is a gate's verdict with what the entry router is told.
type Decision struct {
	Verdict Verdict
	Reason  reason.Code
	// Elsewhere is the target that holds the chat's context, for the reason
	// ContextElsewhere.
	Elsewhere fleet.TargetID
	// Load and Bound are those of the target in requests.
	Load, Bound float64
	// Wait is the longest wait of a queued attempt.
	Wait time.Duration
}

const (
	// prefillPerToken is the time that a wait for the context may cost for each
	// token that would otherwise be read again.
	prefillPerToken = 200 * time.Microsecond
	// maxContextWait bounds that wait.
	maxContextWait = 2 * time.Second
)

// Decide is the decision of a home on one attempt at one target.
func Decide(target fleet.TargetID, load TargetLoad, service ServiceLoad, a Attempt, limits Limits) Decision {
	if load.Leaving {
		return Decision{Verdict: Refuse, Reason: reason.TargetLeaving}
	}
	here := a.Redirected || (a.Noted && a.Known.Target == target)
	if a.Noted && !here {
		return Decision{Verdict: Refuse, Reason: reason.ContextElsewhere, Elsewhere: a.Known.Target}
	}
	if a.ContextOnly && !here {
		return Decision{Verdict: Refuse, Reason: reason.ContextElsewhere}
	}
	d := Decision{Load: load.InFlight + load.Unaccounted, Bound: targetBound(load, service, here || a.Wait, limits)}
	if limits.Capacity > 0 {
		d.Bound = min(d.Bound, limits.Capacity)
	}
	switch {
	case d.Load+oneRequest <= d.Bound:
		d.Verdict = Admit
	case a.Wait:
		d.Verdict, d.Reason, d.Wait = Queue, reason.LoadBound, a.MaxWait
	case here && limits.ReuseWeight > 0:
		d.Verdict, d.Reason, d.Wait = Queue, reason.LoadBound, contextWait(a, limits)
	default:
		d.Verdict, d.Reason = Refuse, reason.LoadBound
	}
	return d
}

const (
	// reserveShare scales the room that a gate leaves below the multiple: this
	// many square roots of the mean. Requests end at random, so the mean may
	// fall by about that much while a full target's requests go on.
	reserveShare = 0.75
	// reserveMost bounds the reserve as a share of the room between the mean and
	// its multiple, so that a load which grows finds room at every target.
	reserveMost = 0.7
)

// targetBound is the most the target may carry with the attempt. Chats whose
// context is on the target may go up to the multiple as far as reuse weighs,
// less the reserve, and so may attempts that found no room elsewhere; others only
// up to an even spread, so that they level the load and leave the room above the
// mean to returning chats.
func targetBound(load TargetLoad, service ServiceLoad, here bool, limits Limits) float64 {
	even := service.bound(1, load.Weight)
	if !here {
		return even
	}
	share := service.Mean() * normalWeight(load.Weight)
	above := (limits.Multiple - 1) * limits.ReuseWeight
	reserve := min(reserveShare*math.Sqrt(share), reserveMost*above*share)
	return max(even, service.bound(1+above, load.Weight)-reserve)
}

// contextWait is how long a wait for the context may last: as long as reading
// the prompt anew would take, scaled by the weight of reuse.
func contextWait(a Attempt, limits Limits) time.Duration {
	worth := time.Duration(float64(a.PromptTokens)*limits.ReuseWeight) * prefillPerToken
	return min(worth, maxContextWait)
}
