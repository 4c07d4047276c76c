// Package retry decides what follows an attempt: nothing more, another target,
// or going on with the broken stream. It is deterministic and does no I/O: time
// and randomness are passed in.
package retry

import (
	"time"

	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
)

// Action says what follows an attempt.
type Action uint8

// The actions.
const (
	// Finish means that the caller has its whole answer.
	Finish Action = iota
	// GiveUp means that no further attempt is made.
	GiveUp
	// Elsewhere means that the request is sent to the next candidate.
	Elsewhere
	// ResumeSame means that the attempt's stream is taken up again at its
	// offset, on the same target.
	ResumeSame
	// ResumeOther means that another target goes on from the text so far.
	ResumeOther
)

// String returns the action's name for logs.
func (a Action) String() string {
	names := [...]string{"finish", "give-up", "elsewhere", "resume-same", "resume-other"}
	if int(a) >= len(names) {
		return "invalid"
	}
	return names[a]
}

// End is how an attempt, or the resumption of one, ended.
type End struct {
	Outcome outcome.State
	Reason  reason.Code
	// Whole says that the target's whole answer reached the caller.
	Whole bool
	// Events is how many events of the attempt's stream have arrived so far.
	Events uint64
	// CallerGone says that the caller no longer waits.
	CallerGone bool
	// Status is the target's HTTP status, zero if there is none, and Err what broke;
	// both are for logs only.
	Status int
	Err    error
}

// Step is a decision.
type Step struct {
	Action Action
	// Wait is to be waited before the action.
	Wait time.Duration
	// Outcome and Reason are what is known of the request so far; with Finish
	// and GiveUp they are final.
	Outcome outcome.State
	Reason  reason.Code
	// Charged says that the step took from the allowance.
	Charged bool
}

// Final reports whether no attempt follows.
func (s Step) Final() bool {
	return s.Action == Finish || s.Action == GiveUp
}

// Config describes a request.
type Config struct {
	// Repeatable says that running the request twice does no harm.
	Repeatable bool
	// Stream says that the answer comes as numbered events that can be taken up
	// again at their target.
	Stream bool
	// Begun says that the request was dispatched before and that the caller may
	// have a part of the answer: the first attempt is a resumption.
	Begun bool
	// Deadline is zero where there is none.
	Deadline time.Time
	Terms    Terms
}

// leastLeft is the least time in which another attempt is worth while: a way to
// a target and back in another failure domain, and the least work there.
const leastLeft = 30 * time.Millisecond

// Request is the life cycle of one request through its attempts. It is used by
// one goroutine.
type Request struct {
	config    Config
	allowance *Allowance
	outcome   outcome.State
	reason    reason.Code
	counts    counts
	// resuming says that the present attempt was taken up again at events and
	// has not advanced since.
	resuming bool
	events   uint64
	// begun says that the caller has a part of the answer.
	begun bool
}

// New returns the life cycle of a request. It deposits the request's share in
// the allowance.
func New(c Config, a *Allowance, now time.Time) *Request {
	a.Deposit(now, c.Terms.Share)
	r := &Request{config: c, allowance: a, reason: reason.NoTarget}
	if c.Begun {
		r.begun, r.resuming = true, true
		r.outcome, r.reason = outcome.Dispatched, reason.StreamBroken
	}
	return r
}

// First is the step before the first attempt.
func (r *Request) First() Step {
	if r.config.Begun {
		return r.step(ResumeSame, r.reason)
	}
	return r.step(Elsewhere, reason.None)
}

// Outcome is how far the request got.
func (r *Request) Outcome() outcome.State {
	return r.outcome
}

// MayRepeat reports whether another run would be allowed after one that is
// under way, as far as the request itself goes.
func (r *Request) MayRepeat() bool {
	terms := r.config.Terms
	return r.config.Repeatable && (terms.Runs == 0 || r.counts.runs+1 < terms.Runs)
}

// Next takes the end of an attempt and says what follows. Jitter is uniform in
// [0, 1).
func (r *Request) Next(now time.Time, e End, jitter float64) Step {
	r.note(e)
	switch {
	case e.Whole:
		r.outcome = outcome.Answered
		return r.step(Finish, reason.None)
	case e.CallerGone:
		return r.step(GiveUp, r.reason)
	case r.expired(now):
		return r.step(GiveUp, reason.Deadline)
	}
	switch action := r.action(e); action {
	case GiveUp:
		return r.step(GiveUp, r.reason)
	case ResumeSame:
		r.resuming = true
		return r.step(ResumeSame, e.Reason)
	default:
		return r.leave(now, action, e, jitter)
	}
}

// Exhausted is the final step when Elsewhere or ResumeOther finds no further
// candidate.
func (r *Request) Exhausted() Step {
	return r.step(GiveUp, r.reason)
}

// Expired is the final step when the deadline passed, or the caller went,
// between attempts.
func (r *Request) Expired() Step {
	return r.step(GiveUp, reason.Deadline)
}

func (r *Request) step(a Action, why reason.Code) Step {
	return Step{Action: a, Outcome: r.outcome, Reason: why}
}

// note joins an end into what is known. The reason kept is that of the latest
// attempt which got furthest.
func (r *Request) note(e End) {
	if e.Outcome >= r.outcome {
		r.reason = e.Reason
	}
	r.outcome = outcome.Join(r.outcome, e.Outcome)
	if e.Events > r.events {
		r.events = e.Events
		r.resuming = false
	}
	r.begun = r.begun || e.Events > 0
}

func (r *Request) expired(now time.Time) bool {
	return !r.config.Deadline.IsZero() && !now.Before(r.config.Deadline)
}

// action chooses what would follow, were there allowance and time.
func (r *Request) action(e End) Action {
	if !r.config.Repeatable && !repeatsOnce {
		return r.onceOnly(e)
	}
	if !r.config.Stream {
		return Elsewhere
	}
	if e.Outcome != outcome.NotDispatched && !r.resuming && e.Reason != reason.AnswerMismatch {
		return ResumeSame
	}
	if r.begun {
		return ResumeOther
	}
	return Elsewhere
}

// onceOnly goes on with a request that must not run twice: only as long as it
// is certain that it has not run.
func (r *Request) onceOnly(e End) Action {
	if r.outcome != outcome.NotDispatched || (classOf(e) == rejected && !r.config.Terms.RejectionsProve) {
		return GiveUp
	}
	return Elsewhere
}

// leave gives up the present attempt for another and pays for it. Going on to
// the next candidate after a home's refusal costs nothing, since no target was
// touched.
func (r *Request) leave(now time.Time, a Action, e End, jitter float64) Step {
	class := classOf(e)
	free := class == untouched && !r.resuming
	r.resuming = false
	r.events = 0
	if free {
		return r.step(a, e.Reason)
	}
	terms := r.config.Terms
	r.counts.add(class)
	if r.counts.over(terms) {
		return r.step(GiveUp, r.reason)
	}
	wait := terms.Wait(r.counts.all, jitter)
	if r.expired(now.Add(wait + leastLeft)) {
		return r.step(GiveUp, reason.Deadline)
	}
	s := r.step(a, e.Reason)
	s.Wait = wait
	if class == unreached && terms.UnreachedFree {
		return s
	}
	if !r.allowance.Take(now) {
		return r.step(GiveUp, reason.RetryBudget)
	}
	s.Charged = true
	return s
}
