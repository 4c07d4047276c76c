package retry

import (
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
)

// Ending is how an attempt at a target ended.
type Ending uint8

// The endings.
const (
	// Unreached means that no byte of the request left.
	Unreached Ending = iota
	// Rejected means that the target said that it did not run the request.
	Rejected
	// Lost means that the request left and no whole answer came.
	Lost
	// Failed means that the target ran the request and answered with a failure.
	Failed
)

// String returns the ending's name for logs.
func (e Ending) String() string {
	names := [...]string{"unreached", "rejected", "lost", "failed"}
	if int(e) >= len(names) {
		return "invalid"
	}
	return names[e]
}

// Verdict is what follows an attempt that did not give the whole answer.
type Verdict uint8

// The verdicts.
const (
	// TryAgain means another attempt, at another target; a stream goes on after
	// the last event that the client has.
	TryAgain Verdict = iota
	// PassOn means that the client gets the target's failure.
	PassOn
	// RefuseNotRun means that the client is told that the request has not run.
	RefuseNotRun
	// TellUnknown means that the client is told that the request failed and may
	// have run.
	TellUnknown
)

// String returns the verdict's name for logs.
func (v Verdict) String() string {
	names := [...]string{"try-again", "pass-on", "refuse-not-run", "tell-unknown"}
	if int(v) >= len(names) {
		return "invalid"
	}
	return names[v]
}

// Bounds of one request's attempts.
const (
	// mostUnreached is how many targets that cannot be reached are passed over.
	mostUnreached = 4
	// mostRejections is how many targets may reject a request; each rejection is
	// an arrival that counts as a repeat.
	mostRejections = 3
	// leastLeft is the least time in which another attempt is worth while.
	leastLeft = 30 * time.Millisecond
)

// Life is the course of one request through its attempts at targets. It belongs
// to one goroutine.
type Life struct {
	// Repetition and MaxRuns come from the request's route.
	Repetition catalog.Repetition
	MaxRuns    int
	// Budget is shared by all requests for a service.
	Budget *Allowance

	runs, unreached, rejections int
	outcome                     outcome.State
}

// Outcome is how far the request got.
func (l *Life) Outcome() outcome.State {
	return l.outcome
}

// Runs is the number of attempts that may have run.
func (l *Life) Runs() int {
	return l.runs
}

// MayRepeat reports whether another run would be allowed after one that is
// under way, as far as the request itself goes.
func (l *Life) MayRepeat() bool {
	return l.Repetition != catalog.Once && l.runs+1 < l.MaxRuns
}

// Next takes the ending of an attempt, with the time that is left for the
// request, and says what follows and why.
func (l *Life) Next(e Ending, left time.Duration, now time.Time) (Verdict, reason.Code) {
	switch e {
	case Unreached:
		l.unreached++
		return l.unless(l.unreached > mostUnreached, left, reason.TargetDown)
	case Rejected:
		l.rejections++
		if l.rejections > mostRejections {
			return l.final(), reason.TargetRefused
		}
		return l.paid(left, now, reason.TargetRefused)
	case Failed:
		return l.ran(left, now, PassOn, reason.TargetFailed)
	default:
		return l.ran(left, now, TellUnknown, reason.AnswerTruncated)
	}
}

// ran follows an attempt that has or may have run.
func (l *Life) ran(left time.Duration, now time.Time, otherwise Verdict, why reason.Code) (Verdict, reason.Code) {
	l.runs++
	l.outcome = outcome.Join(l.outcome, outcome.Dispatched)
	once := l.Repetition == catalog.Once && !repeatsOnce
	if once || (l.runs >= l.MaxRuns && !repeatsOnce) || left < leastLeft {
		return otherwise, why
	}
	if !l.Budget.Take(now) {
		return otherwise, reason.RetryBudget
	}
	return TryAgain, why
}

func (l *Life) unless(over bool, left time.Duration, why reason.Code) (Verdict, reason.Code) {
	if over || left < leastLeft {
		return l.final(), why
	}
	return TryAgain, why
}

func (l *Life) paid(left time.Duration, now time.Time, why reason.Code) (Verdict, reason.Code) {
	if left < leastLeft {
		return l.final(), why
	}
	if !l.Budget.Take(now) {
		return l.final(), reason.RetryBudget
	}
	return TryAgain, why
}

// Exhausted is the verdict when no target is left to try.
func (l *Life) Exhausted() Verdict {
	return l.final()
}

func (l *Life) final() Verdict {
	if l.outcome == outcome.NotDispatched {
		return RefuseNotRun
	}
	return TellUnknown
}
