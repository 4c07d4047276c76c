package placement

import (
	"math"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/reason"
)

// Verdict is the outcome of an admission decision.
type Verdict uint8

// The verdicts.
const (
	// Admit dispatches the attempt immediately.
	Admit Verdict = iota
	// Queue makes the attempt wait for the target.
	Queue
	// Refuse returns the attempt to its entry router.
	Refuse
)

// TargetLoad is the load of one target as its home router sees it, in requests.
type TargetLoad struct {
	// InFlight is the load of the attempts that the home has dispatched and
	// that have not ended.
	InFlight float64
	// ExternalLoad is load that was not sent by this home: load that the target
	// reported beyond the home's own, or load assumed to be left by a former
	// home.
	ExternalLoad float64
	Weight       float64
	Leaving      bool
}

// Attempt is the input of an admission decision about one attempt.
type Attempt struct {
	Returning    bool
	PromptTokens int
	// ContextOnly attempts may only run on a target that holds the chat's
	// context.
	ContextOnly bool
	// Redirected is set if the attempt follows a context token or a home's
	// hint, or if the chat's recorded context is not available. The home then
	// does not redirect it and decides as if the target held the context.
	Redirected bool
	// MayQueue is set once every candidate has been tried; the attempt may then
	// queue.
	MayQueue bool
	// Context is the home's record of the chat's context; it is valid if HasContext is
	// set.
	Context    ContextLocation
	HasContext bool
	MaxWait    time.Duration
}

// Limits holds the settings that apply to an admission decision.
type Limits struct {
	Multiple    float64
	ReuseWeight float64
	// Capacity is the maximum number of requests at one target; zero means no
	// limit.
	Capacity float64
}

// Decision is a verdict with the details that the entry router receives.
type Decision struct {
	Verdict Verdict
	Reason  reason.Code
	// ContextTarget is the target that holds the chat's context. It is set only
	// with the reason ContextElsewhere, and empty if that target is not known.
	ContextTarget fleet.TargetID
	// Load and Bound are the target's load and load bound, in requests.
	Load, Bound float64
	// Wait is the maximum time that a queued attempt may wait.
	Wait time.Duration
}

const (
	// prefillTimePerToken is the allowed wait for a target that holds the
	// context, for each prompt token that another target would have to prefill
	// again.
	prefillTimePerToken = 200 * time.Microsecond
	// maxContextWait is the upper limit of that wait.
	maxContextWait = 2 * time.Second
)

// Decide returns a home router's decision about one attempt at one target.
func Decide(target fleet.TargetID, load TargetLoad, service ServiceLoad, a Attempt, limits Limits) Decision {
	if load.Leaving {
		return Decision{Verdict: Refuse, Reason: reason.TargetLeaving}
	}
	hasContext := a.Redirected || (a.HasContext && a.Context.Target == target)
	if a.HasContext && !hasContext {
		return Decision{Verdict: Refuse, Reason: reason.ContextElsewhere, ContextTarget: a.Context.Target}
	}
	if a.ContextOnly && !hasContext {
		return Decision{Verdict: Refuse, Reason: reason.ContextElsewhere}
	}
	d := Decision{Load: load.InFlight + load.ExternalLoad, Bound: targetBound(load, service, hasContext || a.MayQueue, limits)}
	if limits.Capacity > 0 {
		d.Bound = min(d.Bound, limits.Capacity)
	}
	switch {
	case d.Load+oneRequest <= d.Bound:
		d.Verdict = Admit
	case a.MayQueue:
		d.Verdict, d.Reason, d.Wait = Queue, reason.LoadBound, a.MaxWait
	case hasContext && limits.ReuseWeight > 0:
		d.Verdict, d.Reason, d.Wait = Queue, reason.LoadBound, contextWait(a, limits)
	default:
		d.Verdict, d.Reason = Refuse, reason.LoadBound
	}
	return d
}

const (
	// reserveFactor times the square root of the mean load is the part of the
	// headroom, the room between the mean and its multiple, that is kept free.
	// Requests end at random times, so the mean may fall by about that much
	// while the requests of a full target are still running.
	reserveFactor = 0.75
	// maxReserveShare limits the reserve to a share of the headroom, so that a
	// growing load finds room at every target.
	maxReserveShare = 0.7
)

// targetBound returns the maximum load of the target including the attempt.
// With useHeadroom, for chats whose context is on the target and for attempts
// that found no room elsewhere, the bound is the mean load plus the headroom
// scaled by the reuse weight, minus the reserve. Other attempts are limited to
// an even share, which levels the load and keeps the rest for returning chats.
func targetBound(load TargetLoad, service ServiceLoad, useHeadroom bool, limits Limits) float64 {
	evenShare := service.limitAfterAdmit(1, load.Weight)
	if !useHeadroom {
		return evenShare
	}
	meanLoad := service.Mean() * normalWeight(load.Weight)
	headroom := (limits.Multiple - 1) * limits.ReuseWeight
	reserve := min(reserveFactor*math.Sqrt(meanLoad), maxReserveShare*headroom*meanLoad)
	return max(evenShare, service.limitAfterAdmit(1+headroom, load.Weight)-reserve)
}

// contextWait returns the maximum wait for a target that holds the chat's
// context: the time that another target would need to prefill the prompt,
// scaled by the reuse weight and limited to maxContextWait.
func contextWait(a Attempt, limits Limits) time.Duration {
	prefillTime := time.Duration(float64(a.PromptTokens)*limits.ReuseWeight) * prefillTimePerToken
	return min(prefillTime, maxContextWait)
}
