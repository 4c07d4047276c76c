// Package targethealth tracks the health of targets as seen by this router's requests:
// whether targets can be reached, answer completely, and fail more often than the
// other targets of their service.
//
// The package does no I/O; the current time is a parameter. A Tracker is safe for
// concurrent use.
package targethealth

import (
	"sync"
	"sync/atomic"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
)

// Observation is the result of one attempt or connection at a target.
type Observation uint8

// Observations.
const (
	// Succeeded means a complete answer that reports success.
	Succeeded Observation = iota
	// Failed means a complete answer that reports that the request failed.
	Failed
	// Incomplete means that the answer was missing or incomplete.
	Incomplete
	// Unreachable means that no connection could be established.
	Unreachable
	// Rejected means that the target rejected the request, usually because it was
	// full.
	Rejected
	// Connected means that a connection was established, without a request.
	Connected
)

// Durations and thresholds for avoiding targets.
const (
	// minAvoidance is how long a target is avoided after broken answers, and the
	// delay before an unreachable target is probed. It doubles with each further
	// failure up to maxAvoidance, which is about the time after which the store
	// drops a target that it no longer hears from.
	minAvoidance = 400 * time.Millisecond
	maxAvoidance = 4 * time.Second
	// rejectedAvoidance is how long a target is avoided after it rejected a request.
	rejectedAvoidance = 50 * time.Millisecond
	// brokenThreshold is the number of consecutive broken answers from which a
	// target is avoided.
	brokenThreshold = 2
	// decayTime is the time constant with which samples lose weight.
	decayTime = 4 * time.Second
	// excessFailureRate is how far a target's failure rate must exceed that of its
	// service for the target to be degraded; minSampleWeight is the total weight of
	// samples that this needs.
	excessFailureRate = 0.2
	minSampleWeight   = 4
	// minUnreachableTargets is how many targets of a failure domain must be
	// unreachable, without an answer from the domain since, before the whole domain
	// is avoided. It is avoided for domainAvoidance after the last such failure.
	minUnreachableTargets = 2
	domainAvoidance       = 1500 * time.Millisecond
)

// Health is the assessment of a target's health.
type Health uint8

// Health states, from best to worst.
const (
	// Healthy targets take any request.
	Healthy Health = iota
	// Degraded targets fail more often than others and are used only if no healthy
	// target is available.
	Degraded
	// Avoided targets are avoided as long as any other target is available.
	Avoided
)

// String returns the name used in logs.
func (s Health) String() string {
	names := [...]string{"sound", "doubtful", "shunned"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// targetRecord is the recorded history of one target.
type targetRecord struct {
	service fleet.ServiceName
	failureRate
	// consecutiveUnreachable counts consecutive failures to connect. While it is
	// not zero the target is avoided, and the next probe is due at avoidUntil.
	consecutiveUnreachable int
	consecutiveBroken      int
	avoidUntil             time.Time
	// answeredAt is the time of the last complete answer.
	answeredAt time.Time
	ejection   ejection
}

// domainRecord is the recorded reachability of a failure domain.
type domainRecord struct {
	// unreachable holds the targets that failed to connect since the domain's last
	// answer or connection.
	unreachable map[fleet.TargetID]bool
	lastFailure time.Time
}

// failureRate holds two sums that decay over time.
type failureRate struct {
	samples, failures float64
	decayedAt         time.Time
}

func (r *failureRate) add(now time.Time, failed bool) {
	r.decay(now)
	r.samples++
	if failed {
		r.failures++
	}
}

func (r *failureRate) decay(now time.Time) {
	elapsed := now.Sub(r.decayedAt)
	r.decayedAt = now
	if elapsed <= 0 || r.samples == 0 {
		return
	}
	factor := 1 / (1 + elapsed.Seconds()/decayTime.Seconds())
	r.samples *= factor
	r.failures *= factor
}

func (r *failureRate) share() float64 {
	if r.samples == 0 {
		return 0
	}
	return r.failures / r.samples
}

// Tracker records the observations of all targets and derives their health.
type Tracker struct {
	mu       sync.Mutex
	records  map[fleet.TargetID]*targetRecord
	services map[fleet.ServiceName]*failureRate
	// answers holds the unsound share of each service's attempts.
	answers map[fleet.ServiceName]*failureRate
	streams map[fleet.TargetID]*streamActivity
	domains map[fleet.DomainName]*domainRecord
	// heard holds what other routers report, resets when targets started again that were
	// reported before.
	heard  map[fleet.TargetID]*hearsay
	resets map[fleet.TargetID]time.Time
	// unsoundTargets is set once an attempt was unsound, so that the data path of sound fleets
	// needs no lock for it.
	unsoundTargets atomic.Bool
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		records: map[fleet.TargetID]*targetRecord{}, services: map[fleet.ServiceName]*failureRate{}, answers: map[fleet.ServiceName]*failureRate{},
		streams: map[fleet.TargetID]*streamActivity{}, domains: map[fleet.DomainName]*domainRecord{},
		heard: map[fleet.TargetID]*hearsay{}, resets: map[fleet.TargetID]time.Time{},
	}
}

// Record records an observation and returns the target's health before and after it. The
// health states do not consider silent streams and the failure domain.
func (b *Tracker) Record(t *catalog.Target, s Observation, now time.Time) (before, after Health) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.getOrCreate(t, now)
	serviceRate := b.services[t.Service]
	before = b.recordHealth(r, Trial, now)
	if s != Rejected && s != Connected {
		failed := s != Succeeded
		r.add(now, failed)
		serviceRate.add(now, failed)
	}
	if s == Succeeded || s == Failed || s == Rejected {
		r.answeredAt = now
	}
	r.update(s, now)
	b.recordReachability(t, s, now)
	return before, b.recordHealth(r, Trial, now)
}

// getOrCreate returns the record of a target, whose service then has its rates; b.mu must be held.
func (b *Tracker) getOrCreate(t *catalog.Target, now time.Time) *targetRecord {
	r := b.records[t.ID]
	if r == nil {
		r = &targetRecord{service: t.Service, failureRate: failureRate{decayedAt: now}}
		b.records[t.ID] = r
	}
	if b.services[t.Service] == nil {
		b.services[t.Service] = &failureRate{decayedAt: now}
		b.answers[t.Service] = &failureRate{decayedAt: now}
	}
	return r
}

// HeardSince reports whether a target has ended an answer, or sent an event of one in
// progress, later than since.
func (b *Tracker) HeardSince(id fleet.TargetID, since time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.records[id]; r != nil && r.answeredAt.After(since) {
		return true
	}
	activity := b.streams[id]
	return activity != nil && activity.lastEvent.After(since)
}

// recordReachability records whether a failure domain can be reached.
func (b *Tracker) recordReachability(t *catalog.Target, s Observation, now time.Time) {
	d := b.domains[t.Domain]
	switch s {
	case Incomplete:
	case Unreachable:
		if d == nil {
			d = &domainRecord{unreachable: map[fleet.TargetID]bool{}}
			b.domains[t.Domain] = d
		}
		d.unreachable[t.ID] = true
		d.lastFailure = now
	default:
		delete(b.domains, t.Domain)
	}
}

func (b *Tracker) domainUnreachable(domain fleet.DomainName, now time.Time) bool {
	d := b.domains[domain]
	return d != nil && len(d.unreachable) >= minUnreachableTargets && now.Sub(d.lastFailure) < domainAvoidance
}

// DueProbes returns the unreachable targets to be probed now. A returned target is due
// again only after its backoff.
func (b *Tracker) DueProbes(now time.Time) []fleet.TargetID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var due []fleet.TargetID
	for id, r := range b.records {
		if r.consecutiveUnreachable > 0 && !now.Before(r.avoidUntil) {
			r.avoidUntil = now.Add(backoff(r.consecutiveUnreachable))
			due = append(due, id)
		}
	}
	return due
}

func (r *targetRecord) update(s Observation, now time.Time) {
	switch s {
	case Succeeded, Failed, Connected:
		r.consecutiveUnreachable, r.consecutiveBroken = 0, 0
		r.avoidUntil = time.Time{}
	case Rejected:
		r.avoidUntil = latest(r.avoidUntil, now.Add(rejectedAvoidance))
	case Incomplete:
		r.consecutiveBroken++
		if r.consecutiveBroken >= brokenThreshold {
			r.avoidUntil = latest(r.avoidUntil, now.Add(backoff(r.consecutiveBroken-brokenThreshold)))
		}
	case Unreachable:
		r.consecutiveUnreachable++
		r.avoidUntil = latest(r.avoidUntil, now.Add(backoff(r.consecutiveUnreachable-1)))
	}
}

func backoff(failures int) time.Duration {
	return doubled(minAvoidance, failures, maxAvoidance)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// State is StateFor for an attempt that may be a trial.
func (b *Tracker) State(id fleet.TargetID, domain fleet.DomainName, now time.Time) Health {
	return b.StateFor(id, domain, Trial, now)
}

// StateFor returns the health of a target of a failure domain to an attempt with a purpose.
func (b *Tracker) StateFor(id fleet.TargetID, domain fleet.DomainName, p Purpose, now time.Time) Health {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.silent(id, domain, now) {
		return Avoided
	}
	if b.domainUnreachable(domain, now) {
		return Avoided
	}
	health := Healthy
	if r := b.records[id]; r != nil {
		health = b.recordHealth(r, p, now)
	}
	if p != Trial && health == Healthy && b.hearsayOn(id) >= minReporters {
		return Degraded
	}
	return health
}

// recordHealth returns the health of a recorded target. An ejected one that admits the
// attempt counts as healthy, so that it is tried.
func (b *Tracker) recordHealth(r *targetRecord, p Purpose, now time.Time) Health {
	switch {
	case r.consecutiveUnreachable > 0 || !r.ejection.admits(p, now):
		return Avoided
	case r.ejection.ejected:
		return Healthy
	case now.Before(r.avoidUntil):
		return Avoided
	}
	serviceRate := b.services[r.service]
	r.decay(now)
	serviceRate.decay(now)
	if r.samples >= minSampleWeight && r.share() > serviceRate.share()+excessFailureRate {
		return Degraded
	}
	return Healthy
}

// Retain drops the records of all targets for which keep returns false.
func (b *Tracker) Retain(keep func(fleet.TargetID) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.records {
		if !keep(id) {
			delete(b.records, id)
		}
	}
	for id := range b.resets {
		if !keep(id) {
			delete(b.resets, id)
		}
	}
}

// Reset drops the record of a target whose process has restarted.
func (b *Tracker) Reset(id fleet.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.records, id)
}
