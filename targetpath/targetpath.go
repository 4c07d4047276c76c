// Package targetpath decides whether this router has lost its paths to the targets of a
// service, and keeps what it tells other routers of them. A router that alone is partitioned
// from the targets passes its requests on to others.
//
// The package does no I/O; the current time is a parameter. A Tracker is safe for
// concurrent use.
package targetpath

import (
	"slices"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
)

const (
	// resultLifetime is how long the result of a connection counts.
	resultLifetime = 5 * time.Second
	// minTried is the number of targets to which connections must have been tried lately to
	// tell that the paths are lost; all targets of a service with fewer.
	minTried = 12
	// lostShare is the share of failures among them from which on the paths are lost. Behind
	// the partition of a failure domain a router still reaches its own targets, a fifth or
	// more of all. The few that it may reach behind any other one could not take its load.
	lostShare = 0.85
	// probesPerCheck is the number of targets that are probed at a time, and checkInterval
	// the shortest time between two such checks.
	probesPerCheck = 3
	checkInterval  = 200 * time.Millisecond
)

// result is the result of the last connection to a target.
type result struct {
	failed bool
	at     time.Time
}

// servicePath is what is known of the paths to a service's targets.
type servicePath struct {
	// reachedAt is when a target last answered or accepted a connection; zero if never.
	reachedAt time.Time
	results   map[fleet.TargetID]result
	lost      bool
	checkedAt time.Time
}

// Tracker records connections to targets.
type Tracker struct {
	mu       sync.Mutex
	services map[fleet.ServiceName]*servicePath
}

// NewTracker returns a tracker without any record.
func NewTracker() *Tracker {
	return &Tracker{services: map[fleet.ServiceName]*servicePath{}}
}

// path returns the record of a service; t.mu must be held.
func (t *Tracker) path(service fleet.ServiceName) *servicePath {
	p := t.services[service]
	if p == nil {
		p = &servicePath{results: map[fleet.TargetID]result{}}
		t.services[service] = p
	}
	return p
}

// Answered records that a target of a service answered on a connection that was open before,
// which says nothing of new ones.
func (t *Tracker) Answered(service fleet.ServiceName, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.path(service).reachedAt = now
}

// Record records whether a connection to a target could be established. targets are those of
// its service that accept requests. It reports whether the paths to them were lost before
// and are now.
func (t *Tracker) Record(target *catalog.Target, ok bool, targets []*catalog.Target, now time.Time) (before, after bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(target.Service)
	p.results[target.ID] = result{!ok, now}
	if ok {
		p.reachedAt = now
	}
	before = p.lost
	tried, failed := p.count(targets, now)
	switch {
	case !mostlyFailed(tried, failed):
		p.lost = false
	case tried >= min(minTried, len(targets)):
		p.lost = true
	}
	return before, p.lost
}

// mostlyFailed reports whether so many connections failed that the paths may be lost.
func mostlyFailed(tried, failed int) bool {
	return failed > 0 && float64(failed) >= lostShare*float64(tried)
}

// count returns to how many of the targets connections were tried lately, and failed.
func (p *servicePath) count(targets []*catalog.Target, now time.Time) (tried, failed int) {
	for _, target := range targets {
		if r, ok := p.results[target.ID]; ok && now.Sub(r.at) < resultLifetime {
			tried++
			if r.failed {
				failed++
			}
		}
	}
	return tried, failed
}

// Lost reports whether the paths to a service's targets are lost.
func (t *Tracker) Lost(service fleet.ServiceName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.services[service]
	return p != nil && p.lost
}

// DueChecks returns the targets of a service to probe now: while the paths may be lost, some
// that were not tried lately, to tell a dead target from a lost path; while they are lost,
// any, to notice their return. permute returns a random permutation of the first n integers.
func (t *Tracker) DueChecks(service fleet.ServiceName, targets []*catalog.Target, permute func(n int) []int, now time.Time) []*catalog.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.services[service]
	if p == nil || len(p.results) == 0 && !p.lost || now.Sub(p.checkedAt) < checkInterval {
		return nil
	}
	if tried, failed := p.count(targets, now); !p.lost && !mostlyFailed(tried, failed) {
		return nil
	}
	p.checkedAt = now
	var due []*catalog.Target
	for _, i := range permute(len(targets)) {
		target := targets[i]
		r, ok := p.results[target.ID]
		untried := !ok || now.Sub(r.at) >= resultLifetime
		if len(due) < probesPerCheck && (p.lost || untried) {
			due = append(due, target)
		}
	}
	return due
}

// Report is what a router tells others of its paths to a service's targets.
type Report struct {
	Service   fleet.ServiceName
	ReachedAt time.Time
	Lost      bool
}

// Reports returns a report of each service of which a target was ever reached, those reached
// last first.
func (t *Tracker) Reports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Report
	for service, p := range t.services {
		if !p.reachedAt.IsZero() {
			list = append(list, Report{service, p.reachedAt, p.lost})
		}
	}
	slices.SortFunc(list, func(a, b Report) int { return b.ReachedAt.Compare(a.ReachedAt) })
	return list
}

// Prune drops results that no longer count.
func (t *Tracker) Prune(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.services {
		for id, r := range p.results {
			if now.Sub(r.at) >= resultLifetime {
				delete(p.results, id)
			}
		}
	}
}
