package targethealth

import (
	"cmp"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
)

// Bounds of what other routers' reports do: see docs/design/60-platform.md.
const (
	// maxReporters is the number of routers whose reports on a target are kept.
	maxReporters = 8
	// minReporters is the number of routers on whose word a target is avoided. The word of
	// fewer counts as load.
	minReporters = 2
	// ejectedReportTime is how long after the last unsound attempt an ejection is reported, and
	// believed. Unsound attempts alone are for lostAnswerTime.
	ejectedReportTime = 30 * time.Second
	// freshSuccess is the age up to which a router's own sound attempt outweighs all reports.
	freshSuccess = 5 * time.Second
	// avoidedShare is the largest share of a service's targets that is avoided on reports,
	// those that this router has ejected itself included.
	avoidedShare = 0.5
)

// Report is what a router tells others of a target whose last attempt was unsound.
type Report struct {
	Target fleet.TargetID
	// At is the time of the last unsound attempt.
	At time.Time
	// Ejected is set if the router has ejected the target.
	Ejected bool
}

// valid reports whether a report still counts.
func (r *Report) valid(now time.Time) bool {
	age := now.Sub(r.At)
	return age < lostAnswerTime || (r.Ejected && age < ejectedReportTime)
}

// hearsay is what other routers report of a target.
type hearsay struct {
	reports map[fleet.RouterID]Report
	// used is the number of reporters whose word counts at present, as SettleHearsay found.
	used int
}

// Reports returns what this router knows by its own attempts of targets whose last one was
// unsound.
func (b *Tracker) Reports(now time.Time) []Report {
	if !b.unsoundTargets.Load() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Report
	for id, r := range b.records {
		report := Report{Target: id, At: r.ejection.lastUnsound, Ejected: r.ejection.ejected}
		if r.ejection.unsoundInRow > 0 && report.valid(now) {
			list = append(list, report)
		}
	}
	return list
}

// MergeReport adds what another router reports. A report from before the target's restart is
// ignored.
func (b *Tracker) MergeReport(from fleet.RouterID, report Report, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !report.valid(now) || !report.At.After(b.resets[report.Target]) {
		return
	}
	h := b.heard[report.Target]
	if h == nil {
		h = &hearsay{reports: map[fleet.RouterID]Report{}}
		b.heard[report.Target] = h
		b.unsoundTargets.Store(true)
	}
	if _, known := h.reports[from]; known || len(h.reports) < maxReporters {
		h.reports[from] = report
	}
}

// DropReports drops what other routers reported of a target, whose process has restarted, and ignores
// what they report of its unsound attempts until now.
func (b *Tracker) DropReports(id fleet.TargetID, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.heard, id)
	b.resets[id] = now
}

// Verdict is a change in what is believed of the reports on a target.
type Verdict struct {
	Target fleet.TargetID
	// Avoided is set if attempts that cannot be trials avoid the target.
	Avoided bool
	// Reporters are the routers whose word it is.
	Reporters []fleet.RouterID
}

// SettleHearsay decides which reports on the targets of services count, and returns the targets
// that are avoided now, or no longer.
func (b *Tracker) SettleHearsay(services catalog.Targets, now time.Time) []Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.heard) == 0 {
		return nil
	}
	before := map[fleet.TargetID]bool{}
	for id, h := range b.heard {
		before[id] = h.used >= minReporters
		h.dropExpired(now)
		h.used = 0
	}
	for _, targets := range services {
		b.settleService(targets, now)
	}
	var verdicts []Verdict
	for id, h := range b.heard {
		if avoided := h.used >= minReporters; avoided != before[id] {
			verdicts = append(verdicts, Verdict{Target: id, Avoided: avoided, Reporters: h.reporters()})
		}
		if len(h.reports) == 0 {
			delete(b.heard, id)
		}
	}
	return verdicts
}

// settleService decides which reports on the targets of a service count: those on the targets with
// the most reporters, up to avoidedShare. b.mu must be held.
func (b *Tracker) settleService(targets []*catalog.Target, now time.Time) {
	room := int(avoidedShare * float64(len(targets)))
	var list []*hearsay
	for _, t := range targets {
		r := b.records[t.ID]
		if r != nil && r.ejection.ejected {
			room--
			continue
		}
		own := r != nil && r.ejection.soundInRow > 0 && now.Sub(r.ejection.lastSound) < freshSuccess
		if h := b.heard[t.ID]; h != nil && len(h.reports) > 0 && !own {
			list = append(list, h)
		}
	}
	slices.SortStableFunc(list, func(a, b *hearsay) int { return cmp.Compare(len(b.reports), len(a.reports)) })
	for _, h := range list[:min(len(list), max(room, 0))] {
		h.used = len(h.reports)
	}
}

func (h *hearsay) dropExpired(now time.Time) {
	for from, report := range h.reports {
		if !report.valid(now) {
			delete(h.reports, from)
		}
	}
}

func (h *hearsay) reporters() []fleet.RouterID {
	var list []fleet.RouterID
	for from := range h.reports {
		list = append(list, from)
	}
	slices.Sort(list)
	return list
}

// hearsayOn returns the number of routers whose word counts against a target; b.mu must be held.
func (b *Tracker) hearsayOn(id fleet.TargetID) int {
	if h := b.heard[id]; h != nil {
		return h.used
	}
	return 0
}
