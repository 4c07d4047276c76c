// Package quarantine finds the requests and the parts of prompts that crash targets. It
// counts the crashes of targets under each of them since its last success, on this
// router and on the others with which it exchanges evidence. A verdict is on the set of
// those that were at the same crashes: one of its members is at fault, and the evidence does
// not tell which. A request with all members is refused. One with some of them is a trial,
// of which the fleet makes few at a time: its success clears the members that it has, and
// its crash leaves only those.
//
// The package does no I/O; the current time is a parameter. A Tracker is safe for
// concurrent use. The last part of a prompt belongs to one request alone and is never
// considered.
package quarantine

import (
	"slices"
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

// SettleTime is the time from a crash until the reports of all routers on it have arrived, unless
// some were lost. Sweep should be called then.
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
	// a known success, and the incidents among them, from which it is quarantined.
	minRequestCrashes   = 3
	minRequestIncidents = 2
	// maxAbsences is the number of crashes of the most suspect part or request at which
	// another part may have been absent and still be as suspect: one crash in a series may
	// have had another cause.
	maxAbsences = 1
	// reportTime is the time from a crash until reports that were lost at first have arrived
	// with heartbeats. Only then does the crash of a trial take members out of a verdict.
	reportTime = time.Second
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
	// maxParts is the number of shared parts of a prompt that a crash is held against. Of more
	// the lowest IDs are taken, which are hashes: those at all routers, at any place.
	maxParts = 1024
	// maxCrashes and maxCrashParts bound the known crashes and the sum of their parts. Parts
	// of a single crash are dropped first, the oldest first, then the oldest crashes.
	maxCrashes    = 512
	maxCrashParts = 16384
	// trimmedCrashParts is the sum down to which parts of single crashes are dropped then.
	trimmedCrashParts = 12288
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
	// OnTrial means that the attempt was admitted as a trial, see Admit. Only crashes need it.
	OnTrial bool
}

// distinctParts returns the shared parts of the prompt, each once.
func (r *Request) distinctParts() []uint64 {
	shared := call.SharedParts(r.Prompt)
	list, known := make([]uint64, 0, len(shared)+1), make(map[uint64]bool, len(shared))
	for _, p := range shared {
		if !known[p.ID] {
			known[p.ID] = true
			list = append(list, p.ID)
		}
	}
	return list
}

// LeftOut returns the number of shared parts of the prompt that a crash is not held against.
func (r *Request) LeftOut() int {
	return max(len(r.distinctParts())-maxParts, 0)
}

// subjects returns what a success with the request clears: the shared parts of its prompt, and then
// its digest if that is known.
func (r *Request) subjects() []uint64 {
	shared := call.SharedParts(r.Prompt)
	list := make([]uint64, 0, len(shared)+1)
	for _, p := range shared {
		list = append(list, p.ID)
	}
	if r.Digest != 0 {
		list = append(list, r.Digest)
	}
	return list
}

// subjectSet returns the subjects as a set.
func (r *Request) subjectSet() map[uint64]bool {
	set := map[uint64]bool{}
	for _, s := range r.subjects() {
		set[s] = true
	}
	return set
}

// crashAt returns the crash of a target under the request.
func (r *Request) crashAt(target uint32, at time.Time) crash {
	shared := r.distinctParts()
	c := crash{target: target, at: at, parts: shared, total: len(shared), request: r.Digest, started: r.StartedAt, onTrial: r.OnTrial}
	if len(shared) > maxParts {
		slices.Sort(shared)
		c.parts = shared[:maxParts:maxParts]
	}
	if r.Digest != 0 {
		c.parts = append(c.parts, r.Digest)
	}
	return c
}

// crash is an attempt that ended because its target crashed.
type crash struct {
	// target is the hash of the target's ID.
	target uint32
	at     time.Time
	// parts are the known shared parts of the request and then its digest, which is request,
	// or zero if it is not known. total is the number of shared parts.
	parts   []uint64
	total   int
	request uint64
	// started is when the attempt was sent to the target; zero if that is not known.
	started time.Time
	// onTrial means that the attempt was a trial.
	onTrial bool
}

// Decision tells that a verdict was given and on what it rests.
type Decision struct {
	// Verdict is its ID: that of its member, or a hash of several.
	Verdict uint64
	// Members are the parts and requests of which one is at fault.
	Members []uint64
	// Request means that there is one member, and that it is a request, as far as this
	// router knows.
	Request bool
	// Incidents and Crashes count what the verdict rests on; zero if another router gave
	// it. Since is the time of the first of these crashes.
	Incidents, Crashes int
	Since              time.Time
	// FromPeer means that another router gave the verdict.
	FromPeer bool
}

// Cause is why a verdict ended or has fewer members.
type Cause string

// Causes, as used in logs.
const (
	// CauseSuccess means that a success with the part became known.
	CauseSuccess Cause = "success"
	// CauseExpired means that the lifetime of the verdict passed.
	CauseExpired Cause = "expired"
	// CauseCrash means that targets crashed under other members only.
	CauseCrash Cause = "crash"
	// CausePeer means that another router knows more.
	CausePeer Cause = "peer"
	// CauseReplaced means that the number of verdicts reached its limit.
	CauseReplaced Cause = "replaced"
)

// Lift tells that a verdict ended.
type Lift struct {
	Verdict uint64
	Cause   Cause
}

// Narrowing tells that a verdict was replaced by one on some of its members, because of a
// success with the others or crashes without them. Late reports may bring some of them back.
type Narrowing struct {
	// From and To are the IDs of the verdicts, Members those of the new one.
	From, To uint64
	Members  []uint64
	Cause    Cause
}

// Changes is the result of a call that records something.
type Changes struct {
	// News is evidence that was new to this router and that other routers may lack.
	News Evidence
	// Answer contradicts a verdict of the router whose evidence was merged.
	Answer      Evidence
	Quarantined []Decision
	Narrowed    []Narrowing
	Lifted      []Lift
	// Trimmed is the number of crashes of which parts were dropped, or all, because of the
	// limits of the state.
	Trimmed int
}

// Empty reports whether nothing has changed.
func (c *Changes) Empty() bool {
	return c.News.Empty() && len(c.Quarantined)+len(c.Narrowed)+len(c.Lifted)+c.Trimmed == 0
}

// Add appends the changes of a later call.
func (c *Changes) Add(later Changes) {
	c.News.add(later.News)
	c.Answer.add(later.Answer)
	c.Quarantined = append(c.Quarantined, later.Quarantined...)
	c.Narrowed = append(c.Narrowed, later.Narrowed...)
	c.Lifted = append(c.Lifted, later.Lifted...)
	c.Trimmed += later.Trimmed
}

// suspect is what is known of the crashes of a part or request.
type suspect struct {
	last    time.Time
	crashes int
}

// Tracker holds the evidence and the verdicts of one router.
type Tracker struct {
	// known is the number of crashes and verdicts, blocked that of verdicts. They
	// spare the lock while there is nothing to look up.
	known, blocked atomic.Int32

	mu sync.Mutex
	// crashes are in the order of their time.
	crashes []crash
	// suspects holds what is known of the crashes of each part of one.
	suspects map[uint64]suspect
	// successes holds the last known success with a part; parts of no known crash are
	// there only if another router told of them.
	successes map[uint64]time.Time
	// verdicts holds the verdicts by their ID.
	verdicts map[uint64]*verdict
	// seenParts and seenRequests hold the last successes of this router.
	seenParts, seenRequests recentSuccesses
	// exports counts the calls of Export, which takes up the list of evidence that
	// does not fit at another place each time.
	exports int
}

// NewTracker returns a tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{suspects: map[uint64]suspect{}, successes: map[uint64]time.Time{}, verdicts: map[uint64]*verdict{}}
}

// QuarantinedParts returns the number of verdicts on parts and requests.
func (t *Tracker) QuarantinedParts() int {
	return int(t.blocked.Load())
}

// RecordRefusal records that a request was refused for a verdict.
func (t *Tracker) RecordRefusal(id uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.verdicts[id]; v != nil {
		v.seenAt = latest(v.seenAt, now)
	}
}

// RecordCrash records an attempt that ended at time at because its target crashed before
// it had written ClearingEvents events.
func (t *Tracker) RecordCrash(r Request, target fleet.TargetID, at, now time.Time) Changes {
	c := r.crashAt(target.Hash(), at)
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes Changes
	if c, ok := t.addCrash(&changes, c, now); ok {
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
	members := t.members()
	for _, subject := range r.subjects() {
		if subject == r.Digest {
			t.seenRequests.record(subject, now)
		} else {
			t.seenParts.record(subject, now)
		}
		if _, suspect := t.suspects[subject]; suspect || members[subject] {
			t.addSuccess(&changes, subject, now, now)
		}
	}
	if len(changes.Lifted)+len(changes.Narrowed) > 0 {
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
