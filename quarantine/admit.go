package quarantine

import (
	"math"
	"time"
)

const (
	// trialsPerSecond is how many requests with some members of a verdict the whole fleet
	// sends to targets in a second.
	trialsPerSecond = 3
	// trialBackoff is the factor by which trials become rarer with each crash since the verdict,
	// if they have more than half of the members: such a crash leaves most of them. One with
	// at most half of them is as likely to clear them, or leaves half.
	trialBackoff = 4
	// maxTrialBackoff bounds the number of these factors.
	maxTrialBackoff = 6
)

// Standing is what the verdicts say of a request.
type Standing int

const (
	// Unsuspected means that no verdict concerns the request.
	Unsuspected Standing = iota
	// OnTrial means that it has some members of a verdict, and that the fleet has not tried
	// such a request lately: what it does at its target tells more.
	OnTrial
	// Waiting means that it has some members of a verdict, and that others are on trial.
	Waiting
	// Quarantined means that it has all members of a verdict.
	Quarantined
)

// Admission is whether a request may be sent to a target.
type Admission struct {
	Standing Standing
	// Verdict is the ID of the verdict; zero if the request is unsuspected.
	Verdict uint64
	// Remaining is how long a quarantine lasts, or until the next trial of this router.
	Remaining time.Duration
}

// Admitted reports whether the request may be sent to a target.
func (a Admission) Admitted() bool {
	return a.Standing == Unsuspected || a.Standing == OnTrial
}

// Fleet is what the share of a router in the trials depends on.
type Fleet struct {
	// Routers is the number of routers of the fleet.
	Routers int
	// Draw is a random number from 0 to 1. The first trial of a router falls at a random
	// time, so that those of all routers are spread.
	Draw float64
}

// trials is the state of a router's trials for one verdict.
type trials struct {
	// from is when the verdict was known here, or the last trial began. The next one may begin
	// the share offset of the router's interval later.
	from   time.Time
	offset float64
	// drawn means that offset is set: it is random before the first trial.
	drawn bool
}

// interval returns the time between two trials of one router with a number of the members.
func (v *verdict) interval(routers, members int) time.Duration {
	backoff := 0
	if 2*members > len(v.members) {
		backoff = min(v.later, maxTrialBackoff)
	}
	seconds := float64(max(routers, 1)) / trialsPerSecond * math.Pow(trialBackoff, float64(backoff))
	return time.Duration(seconds * float64(time.Second))
}

// nextTrial returns when this router may make its next trial with a number of the members.
func (v *verdict) nextTrial(f Fleet, members int) time.Time {
	if !v.trials.drawn {
		v.trials.offset, v.trials.drawn = f.Draw, true
	}
	return v.trials.from.Add(time.Duration(v.trials.offset * float64(v.interval(f.Routers, members))))
}

// startTrial records that a trial begins.
func (v *verdict) startTrial(now time.Time) {
	v.trials = trials{from: now, offset: 1, drawn: true}
}

// Blocked returns the verdict whose members a request has all, and the time for which it
// lasts, or false if there is none.
func (t *Tracker) Blocked(r Request, now time.Time) (id uint64, remaining time.Duration, ok bool) {
	if t.blocked.Load() == 0 {
		return 0, 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.blockedBy(r.subjectSet(), now)
}

func (t *Tracker) blockedBy(subjects map[uint64]bool, now time.Time) (id uint64, remaining time.Duration, ok bool) {
	for _, v := range t.byID() {
		if now.Before(v.expiresAt()) && v.within(subjects) {
			return v.id(), v.expiresAt().Sub(now), true
		}
	}
	return 0, 0, false
}

// Admit reports whether a request may be sent to a target. If it is on trial, the next
// request with some members of the verdict waits.
func (t *Tracker) Admit(r Request, f Fleet, now time.Time) Admission {
	if t.blocked.Load() == 0 {
		return Admission{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	subjects := r.subjectSet()
	if id, remaining, ok := t.blockedBy(subjects, now); ok {
		return Admission{Quarantined, id, remaining}
	}
	admission := Admission{}
	var tried []*verdict
	for _, v := range t.byID() {
		suspected := t.countSuspected(v, subjects)
		if suspected == 0 || !now.Before(v.expiresAt()) {
			continue
		}
		if next := v.nextTrial(f, suspected); now.Before(next) {
			return Admission{Waiting, v.id(), next.Sub(now)}
		}
		admission = Admission{Standing: OnTrial, Verdict: v.id()}
		tried = append(tried, v)
	}
	for _, v := range tried {
		v.startTrial(now)
	}
	return admission
}

// countSuspected returns how many members of a verdict a request has, other than those that a
// known success makes less likely than the rest.
func (t *Tracker) countSuspected(v *verdict, subjects map[uint64]bool) int {
	unproven, n := t.anyUnproven(v.members), 0
	for _, m := range v.members {
		if subjects[m] && (!unproven || t.successes[m].IsZero()) {
			n++
		}
	}
	return n
}
