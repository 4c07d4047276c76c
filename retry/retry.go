// Package retry decides what follows an attempt: no further attempt, an attempt at
// another target, or resumption of the broken stream. It is deterministic and does
// no I/O: time and randomness are parameters.
package retry

import (
	"time"

	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
)

// Action is what follows an attempt.
type Action uint8

// Actions.
const (
	// Finish means that the caller has received its complete answer.
	Finish Action = iota
	// GiveUp means that no further attempt is made.
	GiveUp
	// NextTarget means that the request is sent to the next candidate.
	NextTarget
	// ResumeOnSameTarget means that the stream of the attempt is resumed at its offset, on
	// the same target.
	ResumeOnSameTarget
	// ResumeOnOtherTarget means that another target continues from the text sent so far.
	ResumeOnOtherTarget
)

// String returns the action's name for logs.
func (a Action) String() string {
	names := [...]string{"finish", "give-up", "elsewhere", "resume-same", "resume-other"}
	if int(a) >= len(names) {
		return "invalid"
	}
	return names[a]
}

// AttemptResult describes how an attempt, or its resumption, ended.
type AttemptResult struct {
	Outcome outcome.State
	Reason  reason.Code
	// Complete reports whether the target's complete answer reached the caller.
	Complete bool
	// Events is the number of events of the attempt's stream received so far.
	Events uint64
	// Committed reports whether the caller has part of an answer that no other attempt
	// can continue.
	Committed bool
	// CallerDisconnected reports whether the caller has disconnected.
	CallerDisconnected bool
	// Status is the target's HTTP status, zero if there is none; Err is the
	// underlying error. Both are only for logs.
	Status int
	Err    error
}

// Step is a decision on how to proceed.
type Step struct {
	Action Action
	// Delay is the delay before the action.
	Delay time.Duration
	// Outcome and Reason describe the request so far. They are final with Finish and
	// GiveUp.
	Outcome outcome.State
	Reason  reason.Code
	// Charged reports whether the step took a retry from the retry budget.
	Charged bool
}

// Final reports whether no further attempt follows.
func (s Step) Final() bool {
	return s.Action == Finish || s.Action == GiveUp
}

// Config describes a request to be retried.
type Config struct {
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// Stream reports whether the answer consists of numbered events that can be
	// resumed at their target.
	Stream bool
	// Resumed reports whether the request was dispatched earlier and the caller may
	// have part of the answer: the first attempt is a resumption.
	Resumed bool
	// Deadline is zero if the request has none.
	Deadline time.Time
	Policy   Policy
}

// minTimeLeft is the minimum time before the deadline for another attempt: a round
// trip to a target in another failure domain and the shortest work there.
const minTimeLeft = 30 * time.Millisecond

// Request is the state of one request across its attempts. It must be used by one
// goroutine only.
type Request struct {
	config  Config
	budget  *Budget
	outcome outcome.State
	reason  reason.Code
	counts  attemptCounts
	// resuming reports whether the current attempt was resumed at events and has
	// received no further event since.
	resuming bool
	events   uint64
	// answerStarted reports whether the caller has part of the answer.
	answerStarted bool
	// reserved reports whether a retry was taken from the budget by Reserve and has not
	// been used.
	reserved bool
}

// New returns the state of a request before its first attempt. It deposits the
// request's share in the retry budget.
func New(c Config, a *Budget, now time.Time) *Request {
	a.Deposit(now, c.Policy.BudgetShare)
	r := &Request{config: c, budget: a, reason: reason.NoTarget}
	if c.Resumed {
		r.answerStarted, r.resuming = true, true
		r.outcome, r.reason = outcome.Dispatched, reason.StreamBroken
	}
	return r
}

// First returns the step for the first attempt.
func (r *Request) First() Step {
	if r.config.Resumed {
		return r.newStep(ResumeOnSameTarget, r.reason)
	}
	return r.newStep(NextTarget, reason.None)
}

// Outcome returns the furthest outcome that the request's attempts have reached.
func (r *Request) Outcome() outcome.State {
	return r.outcome
}

// CanRunAgain reports whether the request may run once more after the attempt in
// progress. It does not consider the retry budget and the deadline.
func (r *Request) CanRunAgain() bool {
	counts := r.counts
	counts.add(classDispatched)
	return r.config.Repeatable && !counts.exceeds(r.config.Policy)
}

// Reserve takes the retry for another attempt from the budget before the attempt in
// progress has ended, so that it can be abandoned without ending the request. It
// reports whether another attempt may follow.
func (r *Request) Reserve(now time.Time) bool {
	maxDelay := r.config.Policy.Delay(r.counts.total+1, 1)
	if !r.CanRunAgain() || r.expired(now.Add(maxDelay+2*minTimeLeft)) {
		return false
	}
	r.reserved = r.reserved || r.budget.Take(now)
	return r.reserved
}

// takeRetry takes a retry from the budget, or the one that Reserve took.
func (r *Request) takeRetry(now time.Time) bool {
	if r.reserved {
		r.reserved = false
		return true
	}
	return r.budget.Take(now)
}

// Next records the end of an attempt and returns the next step. jitter must be
// uniform in [0, 1).
func (r *Request) Next(now time.Time, e AttemptResult, jitter float64) Step {
	r.record(e)
	switch {
	case e.Complete:
		r.outcome = outcome.Answered
		return r.newStep(Finish, reason.None)
	case e.CallerDisconnected:
		return r.newStep(GiveUp, r.reason)
	case r.expired(now):
		return r.newStep(GiveUp, reason.Deadline)
	case e.Committed:
		return r.newStep(GiveUp, r.reason)
	}
	switch action := r.nextAction(e); action {
	case GiveUp:
		return r.newStep(GiveUp, r.reason)
	case ResumeOnSameTarget:
		r.resuming = true
		return r.newStep(ResumeOnSameTarget, e.Reason)
	default:
		return r.abandonAttempt(now, action, e, jitter)
	}
}

// Exhausted returns the final step for when NextTarget or ResumeOnOtherTarget finds no
// further candidate.
func (r *Request) Exhausted() Step {
	return r.newStep(GiveUp, r.reason)
}

// Expired returns the final step for when the request's context ends between
// attempts. The reason is Deadline even if the caller disconnected.
func (r *Request) Expired() Step {
	return r.newStep(GiveUp, reason.Deadline)
}

// newStep returns a step without delay. A final one returns a reserved retry to the
// budget.
func (r *Request) newStep(a Action, code reason.Code) Step {
	step := Step{Action: a, Outcome: r.outcome, Reason: code}
	if step.Final() && r.reserved {
		r.reserved = false
		r.budget.putBack()
	}
	return step
}

// record merges the end of an attempt into the request's state. The reason kept is
// that of the latest attempt with the furthest outcome.
func (r *Request) record(e AttemptResult) {
	if e.Outcome >= r.outcome {
		r.reason = e.Reason
	}
	r.outcome = outcome.Join(r.outcome, e.Outcome)
	if e.Events > r.events {
		r.events = e.Events
		r.resuming = false
	}
	r.answerStarted = r.answerStarted || e.Events > 0
}

func (r *Request) expired(now time.Time) bool {
	return !r.config.Deadline.IsZero() && !now.Before(r.config.Deadline)
}

// nextAction returns the action after an end, regardless of budget and time.
func (r *Request) nextAction(e AttemptResult) Action {
	if !r.config.Repeatable && !retryRunOnce {
		return r.runOnceAction(e)
	}
	if !r.config.Stream {
		return NextTarget
	}
	if e.Outcome != outcome.NotDispatched && !r.resuming && e.Reason != reason.AnswerMismatch {
		return ResumeOnSameTarget
	}
	if r.answerStarted {
		return ResumeOnOtherTarget
	}
	return NextTarget
}

// runOnceAction returns the action for a request that must not run twice: it is
// retried only if it certainly has not run.
func (r *Request) runOnceAction(e AttemptResult) Action {
	if r.outcome != outcome.NotDispatched || (classify(e) == classRejected && !r.config.Policy.RejectionMeansNotRun) {
		return GiveUp
	}
	return NextTarget
}

// abandonAttempt returns the step after a failed attempt: action a, charged to the
// retry budget, or GiveUp if a limit, the deadline or the budget rules it out. An
// attempt refused before a target was contacted, such as by the home router, is
// neither counted nor charged, unless it was a resumption. If the policy says so, an
// attempt at a target that could not be reached is counted but not charged.
func (r *Request) abandonAttempt(now time.Time, a Action, e AttemptResult, jitter float64) Step {
	class := classify(e)
	uncounted := class == classNotSent && !r.resuming
	r.resuming = false
	r.events = 0
	if uncounted {
		return r.newStep(a, e.Reason)
	}
	terms := r.config.Policy
	r.counts.add(class)
	if r.counts.exceeds(terms) {
		return r.newStep(GiveUp, r.reason)
	}
	wait := terms.Delay(r.counts.total, jitter)
	if r.expired(now.Add(wait + minTimeLeft)) {
		return r.newStep(GiveUp, reason.Deadline)
	}
	s := r.newStep(a, e.Reason)
	s.Delay = wait
	if class == classUnreached && terms.UnreachedNotCharged {
		return s
	}
	if !r.takeRetry(now) {
		return r.newStep(GiveUp, reason.RetryBudget)
	}
	s.Charged = true
	return s
}
