// Package suspicion judges targets by what this router's requests meet there:
// whether they can be reached, answer whole, and fail more often than the other
// targets of their service.
//
// The package does no I/O; the time is passed in. A Book is safe for concurrent
// use.
package suspicion

import (
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
)

// Sign is what one attempt shows of a target.
type Sign uint8

// The signs.
const (
	// Served means a whole answer of success.
	Served Sign = iota
	// Failure means a whole answer that says that the request failed.
	Failure
	// Broken means that an answer did not come or was not whole.
	Broken
	// Unreachable means that no connection came about.
	Unreachable
	// Full means that the target rejected the request.
	Full
	// Reached means that a connection came about, without a request.
	Reached
)

// Times and shares of the judgement.
const (
	// firstShun is how long a target is avoided after its answers broke, and the
	// time to the first trial whether an unreachable one can be reached again. It
	// doubles with each further failure up to longestShun, which is about the time
	// after which the store drops a silent target.
	firstShun   = 400 * time.Millisecond
	longestShun = 4 * time.Second
	// fullShun is how long a target that was full is avoided.
	fullShun = 50 * time.Millisecond
	// brokenInRow is how many answers in a row may fail to come before the
	// target is avoided.
	brokenInRow = 2
	// memory is the time constant with which signs are forgotten.
	memory = 4 * time.Second
	// excess is the failure rate, beyond the one usual in the service, from
	// which a target is doubted; leastSigns is the weight of signs needed.
	excess     = 0.2
	leastSigns = 4
	// cutTargets is how many targets of a failure domain must be unreachable, with
	// no answer from the domain since, before all of it is avoided, for cutShun
	// after the last of them.
	cutTargets = 2
	cutShun    = 1500 * time.Millisecond
)

// Standing is the judgement on a target.
type Standing uint8

// The standings, from best to worst.
const (
	// Sound targets take any work.
	Sound Standing = iota
	// Doubtful targets fail more often than others; work goes elsewhere if it
	// can.
	Doubtful
	// Shunned targets are avoided as long as there is any other.
	Shunned
)

// String returns the name used in logs.
func (s Standing) String() string {
	names := [...]string{"sound", "doubtful", "shunned"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// record is what is known of one target.
type record struct {
	service fleet.ServiceName
	rate
	// unreachable counts trials in a row without a connection; the target is
	// avoided until one succeeds, and the next trial is due at shunUntil.
	unreachable int
	broken      int
	shunUntil   time.Time
}

// reach is what is known of the way to a failure domain.
type reach struct {
	// unreachable are the targets without a connection since the last answer.
	unreachable map[fleet.TargetID]bool
	last        time.Time
}

// rate is a pair of sums that decay with time.
type rate struct {
	signs, failures float64
	at              time.Time
}

func (r *rate) add(now time.Time, failed bool) {
	r.decay(now)
	r.signs++
	if failed {
		r.failures++
	}
}

func (r *rate) decay(now time.Time) {
	elapsed := now.Sub(r.at)
	r.at = now
	if elapsed <= 0 || r.signs == 0 {
		return
	}
	keep := 1 / (1 + elapsed.Seconds()/memory.Seconds())
	r.signs *= keep
	r.failures *= keep
}

func (r *rate) share() float64 {
	if r.signs == 0 {
		return 0
	}
	return r.failures / r.signs
}

// Book keeps the signs of all targets.
type Book struct {
	mu       sync.Mutex
	records  map[fleet.TargetID]*record
	services map[fleet.ServiceName]*rate
	hearings map[fleet.TargetID]*hearing
	domains  map[fleet.DomainName]*reach
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{
		records: map[fleet.TargetID]*record{}, services: map[fleet.ServiceName]*rate{},
		hearings: map[fleet.TargetID]*hearing{}, domains: map[fleet.DomainName]*reach{},
	}
}

// Note takes a sign and returns the standing before and after it.
func (b *Book) Note(t *catalog.Target, s Sign, now time.Time) (before, after Standing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[t.ID]
	if r == nil {
		r = &record{service: t.Service, rate: rate{at: now}}
		b.records[t.ID] = r
	}
	usual := b.services[t.Service]
	if usual == nil {
		usual = &rate{at: now}
		b.services[t.Service] = usual
	}
	before = b.standing(r, now)
	if s != Full && s != Reached {
		failed := s != Served
		r.add(now, failed)
		usual.add(now, failed)
	}
	r.note(s, now)
	b.noteReach(t, s, now)
	return before, b.standing(r, now)
}

// noteReach keeps whether a failure domain can be reached.
func (b *Book) noteReach(t *catalog.Target, s Sign, now time.Time) {
	d := b.domains[t.Domain]
	switch s {
	case Broken:
	case Unreachable:
		if d == nil {
			d = &reach{unreachable: map[fleet.TargetID]bool{}}
			b.domains[t.Domain] = d
		}
		d.unreachable[t.ID] = true
		d.last = now
	default:
		delete(b.domains, t.Domain)
	}
}

func (b *Book) cut(domain fleet.DomainName, now time.Time) bool {
	d := b.domains[domain]
	return d != nil && len(d.unreachable) >= cutTargets && now.Sub(d.last) < cutShun
}

// Due returns the targets whose reachability is to be tried now; a target is
// due again only after the time to its next trial.
func (b *Book) Due(now time.Time) []fleet.TargetID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var due []fleet.TargetID
	for id, r := range b.records {
		if r.unreachable > 0 && !now.Before(r.shunUntil) {
			r.shunUntil = now.Add(backoff(r.unreachable))
			due = append(due, id)
		}
	}
	return due
}

func (r *record) note(s Sign, now time.Time) {
	switch s {
	case Served, Failure, Reached:
		r.unreachable, r.broken = 0, 0
		r.shunUntil = time.Time{}
	case Full:
		r.shunUntil = later(r.shunUntil, now.Add(fullShun))
	case Broken:
		r.broken++
		if r.broken >= brokenInRow {
			r.shunUntil = later(r.shunUntil, now.Add(backoff(r.broken-brokenInRow)))
		}
	case Unreachable:
		r.unreachable++
		r.shunUntil = later(r.shunUntil, now.Add(backoff(r.unreachable-1)))
	}
}

func backoff(failures int) time.Duration {
	wait := firstShun
	for range failures {
		if wait >= longestShun {
			break
		}
		wait *= 2
	}
	return min(wait, longestShun)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Standing judges a target of a failure domain.
func (b *Book) Standing(id fleet.TargetID, domain fleet.DomainName, now time.Time) Standing {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.mute(id, domain, now) {
		return Shunned
	}
	if b.cut(domain, now) {
		return Shunned
	}
	r := b.records[id]
	if r == nil {
		return Sound
	}
	return b.standing(r, now)
}

func (b *Book) standing(r *record, now time.Time) Standing {
	if r.unreachable > 0 || now.Before(r.shunUntil) {
		return Shunned
	}
	usual := b.services[r.service]
	r.decay(now)
	usual.decay(now)
	if r.signs >= leastSigns && r.share() > usual.share()+excess {
		return Doubtful
	}
	return Sound
}

// Forget drops what is known of targets that keep does not name.
func (b *Book) Forget(keep func(fleet.TargetID) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.records {
		if !keep(id) {
			delete(b.records, id)
		}
	}
}

// Renew drops what is known of a target whose process started anew.
func (b *Book) Renew(id fleet.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.records, id)
}
