// Package quarantine finds the requests and the parts of prompts that crash targets. It
// counts the crashes of targets under each of them since its last success, on this
// router and on the others with which it exchanges evidence, and gives a verdict on one
// under which targets crash again and again.
//
// The package does no I/O; the current time is a parameter. A Tracker is safe for
// concurrent use. The last part of a prompt belongs to one request alone and is never
// considered.
package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/fleet"
)

// ClearingEvents is the number of events of a stream from which the attempt counts as a
// success with the parts of its prompt. A target that crashes earlier counts as crashed
// under them.
const ClearingEvents = 4

// SettleTime is the time from a crash until the reports of all routers on it have arrived.
// Sweep should be called then.
const SettleTime = 250 * time.Millisecond

// Rules of the verdicts.
const (
	// minIncidents is the number of incidents since the last success with a part from
	// which it is quarantined.
	minIncidents = 3
	// minProvenIncidents applies instead to a part with which a success is known from
	// before its crashes. A sound part has none in between if all targets crash.
	minProvenIncidents = 6
	// minTargets is the number of targets that crashed under a part without a known
	// success from which it is quarantined, even if they did so in one incident: a
	// sound part whose requests are at so many targets has succeeded before.
	minTargets = 5
	// minRequests is the number of different requests with a part under which targets
	// must have crashed, since otherwise the request itself may be the cause.
	minRequests = 2
	// minRequestCrashes and minRequestIncidents are the crashes under a request without
	// a known success, and the incidents among them, from which it is quarantined. With
	// minAmbiguousCrashes this is so even if another request was at all of its crashes.
	minRequestCrashes   = 3
	minRequestIncidents = 2
	minAmbiguousCrashes = 5
	// Crashes within incidentWindow are one incident, because a common cause, such as
	// the loss of a rack, ends several targets at once. If a request was sent to a target
	// after the first of them, its crash has another cause; startTolerance allows for times
	// in whole milliseconds.
	incidentWindow = 250 * time.Millisecond
	startTolerance = 5 * time.Millisecond
	// Crashes of the same target within targetWindow are one incident. A target takes
	// longer to restart.
	targetWindow = time.Second
	// verdictLifetime is how long a verdict lasts after the last crash or refused
	// request with the part.
	verdictLifetime = 10 * time.Minute
	// maxVerdictAge is how long after its first crash a verdict lasts at most, since no
	// success can lift a wrong one while all requests with the part are refused.
	maxVerdictAge = time.Hour
	// crashLifetime is how long a crash counts.
	crashLifetime = 30 * time.Minute
	// Times grow by the transit time with each exchange between routers. What expires
	// within expiryMargin is no longer exchanged, and a verdict is prolonged by that
	// of another router only by more than expiryMargin; otherwise routers would
	// prolong each other's verdicts without end.
	expiryMargin = time.Minute
	// timeTolerance is the difference up to which two times of another router are
	// taken for the same.
	timeTolerance = 250 * time.Millisecond
)

// Limits of the state.
const (
	// maxParts is the number of shared parts of a prompt that are considered, counted
	// from the last one.
	maxParts = 32
	// maxCrashes and maxCrashParts bound the known crashes and the sum of their parts;
	// the oldest crashes are dropped first.
	maxCrashes    = 512
	maxCrashParts = 2048
	// maxForeignSuccesses bounds the successes received from others with parts of no
	// known crash, whose crash may be in transit.
	maxForeignSuccesses = 256
	maxVerdicts         = 64
	// maxSeen is the number of parts, and of requests, with a recent success of this
	// router after which the older half of them is forgotten.
	maxSeen = 2048
)

// Request is what an attempt asked of its target.
type Request struct {
	Prompt []call.Part
	// Digest stands for the request as a whole, see NewDigest; zero if it is not known.
	Digest uint64
	// StartedAt is when the attempt was sent to its target; zero if that is not known.
	// Only crashes need it.
	StartedAt time.Time
}

// LeftOut returns the number of shared parts of the prompt beyond maxParts, which are not
// considered.
func (r *Request) LeftOut() int {
	return max(len(call.SharedParts(r.Prompt))-maxParts, 0)
}

// subjects returns what a crash under the request may be held against: the last maxParts
// shared parts of its prompt in order, and then its digest if that is known.
func (r *Request) subjects() []uint64 {
	shared := call.SharedParts(r.Prompt)
	shared = shared[max(len(shared)-maxParts, 0):]
	list := make([]uint64, 0, len(shared)+1)
	for _, p := range shared {
		list = append(list, p.ID)
	}
	if r.Digest != 0 {
		list = append(list, r.Digest)
	}
	return list
}

// crash is an attempt that ended because its target crashed.
type crash struct {
	// target is the hash of the target's ID.
	target uint32
	at     time.Time
	// parts are the subjects of the request, and request is the last of them if that is
	// its digest, or zero.
	parts   []uint64
	request uint64
	// started is when the attempt was sent to the target; zero if that is not known.
	started time.Time
}

// verdict is the verdict on a quarantined part.
type verdict struct {
	// since is the first of the crashes that it rests on; a later success lifts it.
	// seenAt is the last crash or refused request.
	since, seenAt time.Time
	// incidents is the number of incidents that it rests on.
	incidents int
}

// expiresAt returns when the lifetime of a verdict passes.
func (v *verdict) expiresAt() time.Time {
	end, last := v.seenAt.Add(verdictLifetime), v.since.Add(maxVerdictAge)
	if last.Before(end) {
		return last
	}
	return end
}

// contradictedBy reports whether a verdict cannot stand beside a success at a time: one
// since its crashes began, or any one if it rests on few incidents.
func (v *verdict) contradictedBy(success time.Time) bool {
	return !success.Before(v.since) || v.incidents < minProvenIncidents
}

// Decision tells that a part or a request was quarantined and by what.
type Decision struct {
	Part uint64
	// Request means that it is a request, as far as this router knows.
	Request bool
	// Incidents and Crashes count what the verdict rests on; zero if another router gave
	// it. Since is the time of the first of these crashes.
	Incidents, Crashes int
	Since              time.Time
	// FromPeer means that another router gave the verdict.
	FromPeer bool
	// Alike is the number of other parts and requests that were at the same incidents without
	// a success since, so that the evidence does not tell them apart.
	Alike int
}

// Cause is why a verdict ended.
type Cause string

// Causes, as used in logs.
const (
	// CauseSuccess means that a success with the part became known.
	CauseSuccess Cause = "success"
	// CauseExpired means that the lifetime of the verdict passed.
	CauseExpired Cause = "expired"
	// CauseReplaced means that the number of verdicts reached its limit.
	CauseReplaced Cause = "replaced"
)

// Lift tells that the verdict on a part or a request ended.
type Lift struct {
	Part  uint64
	Cause Cause
}

// Changes is the result of a call that records something.
type Changes struct {
	// News is evidence that was new to this router and that other routers may lack.
	News Evidence
	// Answer contradicts a verdict of the router whose evidence was merged.
	Answer      Evidence
	Quarantined []Decision
	Lifted      []Lift
}

// Add appends the changes of a later call.
func (c *Changes) Add(later Changes) {
	c.News.add(later.News)
	c.Answer.add(later.Answer)
	c.Quarantined = append(c.Quarantined, later.Quarantined...)
	c.Lifted = append(c.Lifted, later.Lifted...)
}

// Tracker holds the evidence and the verdicts of one router.
type Tracker struct {
	// known is the number of crashes and verdicts, blocked that of verdicts. They
	// spare the lock while there is nothing to look up.
	known, blocked atomic.Int32

	mu sync.Mutex
	// crashes are in the order of their time.
	crashes []crash
	// suspects holds the time of the last known crash of each part of one.
	suspects map[uint64]time.Time
	// successes holds the last known success with a part; parts of no known crash are
	// there only if another router told of them.
	successes map[uint64]time.Time
	verdicts  map[uint64]*verdict
	// seenParts and seenRequests hold the last successes of this router.
	seenParts, seenRequests recentSuccesses
	// exports counts the calls of Export, which takes up the list of evidence that
	// does not fit at another place each time.
	exports int
}

// NewTracker returns a tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{suspects: map[uint64]time.Time{}, successes: map[uint64]time.Time{}, verdicts: map[uint64]*verdict{}}
}

// Blocked returns the first quarantined part of a request's prompt, or its digest if the
// request itself is quarantined, and the time for which the verdict lasts, or false if
// there is none.
func (t *Tracker) Blocked(r Request, now time.Time) (part uint64, remaining time.Duration, ok bool) {
	if t.blocked.Load() == 0 {
		return 0, 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, subject := range r.subjects() {
		if v := t.verdicts[subject]; v != nil && now.Before(v.expiresAt()) {
			return subject, v.expiresAt().Sub(now), true
		}
	}
	return 0, 0, false
}

// QuarantinedParts returns the number of quarantined parts and requests.
func (t *Tracker) QuarantinedParts() int {
	return int(t.blocked.Load())
}

// RecordRefusal records that a request was refused for a quarantined part or digest.
func (t *Tracker) RecordRefusal(part uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.verdicts[part]; v != nil {
		v.seenAt = latest(v.seenAt, now)
	}
}

// RecordCrash records an attempt that ended at time at because its target crashed before
// it had written ClearingEvents events.
func (t *Tracker) RecordCrash(r Request, target fleet.TargetID, at, now time.Time) Changes {
	c := crash{target: target.Hash(), at: at, parts: r.subjects(), request: r.Digest, started: r.StartedAt}
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes Changes
	if t.addCrash(c, now) {
		t.reportCrash(&changes.News, c, now)
		t.decide(&changes, now)
	}
	t.updateCounts()
	return changes
}

// RecordSuccess records a complete answer to a request, or a stream that has reached
// ClearingEvents events.
func (t *Tracker) RecordSuccess(r Request, now time.Time) Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes Changes
	for _, subject := range r.subjects() {
		if subject == r.Digest {
			t.seenRequests.record(subject, now)
		} else {
			t.seenParts.record(subject, now)
		}
		if _, suspect := t.suspects[subject]; suspect || t.verdicts[subject] != nil {
			t.addSuccess(&changes, subject, now, now)
		}
	}
	if len(changes.Lifted) > 0 {
		t.decide(&changes, now)
	}
	t.updateCounts()
	return changes
}

// Sweep drops what has expired and decides what was left open until the reports on a crash
// had arrived. It must be called every few seconds.
func (t *Tracker) Sweep(now time.Time) Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes Changes
	t.dropExpiredCrashes(now)
	t.decide(&changes, now)
	t.updateCounts()
	return changes
}

// updateCounts updates the counters that are read without the lock; t.mu must be held.
func (t *Tracker) updateCounts() {
	t.known.Store(int32(len(t.crashes) + len(t.verdicts)))
	t.blocked.Store(int32(len(t.verdicts)))
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
