// Package evacuation decides which failure domains are evacuated: an operator asks that
// nothing more be sent to their targets until the request is taken back. A State merges what
// the platform's store and other routers tell, in any order.
//
// The package does no I/O; the current time is a parameter. A State is not safe for
// concurrent use.
package evacuation

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
)

// MaxRecords bounds the failure domains of which a State keeps a record.
const MaxRecords = 64

// Record is what is known of the evacuation of a failure domain.
type Record struct {
	Domain fleet.DomainName
	// Requested is the store's revision of the request. Ended is the revision as of which it
	// was taken back, zero while it is in force.
	Requested, Ended uint64
	// Since is when a router first knew the record as it is.
	Since time.Time
	// FoundAtStart is set if this router, which had just started, did not see the request come into force. It
	// may be older than Since.
	FoundAtStart bool
}

// InForce reports whether the failure domain is evacuated.
func (r *Record) InForce() bool {
	return r.Ended == 0
}

// compare orders the records of one failure domain: the newest revision counts, and an end at the
// revision of a request is the end of that request.
func (r *Record) compare(other *Record) int {
	if c := cmp.Compare(max(r.Requested, r.Ended), max(other.Requested, other.Ended)); c != 0 {
		return c
	}
	return cmp.Compare(min(r.Ended, 1), min(other.Ended, 1))
}

// Report is what one router tells others.
type Report struct {
	// CompleteAsOf is the store's revision as of which Records holds each evacuation in force;
	// zero if it may lack some.
	CompleteAsOf uint64
	Records      []Record
}

// State holds the evacuations that a router knows, those that have ended included: another
// router, or a copy that the store comes back from, may still have them.
type State struct {
	records map[fleet.DomainName]Record
	// completeAsOf is the store's revision as of which all are known; zero if never.
	completeAsOf uint64
}

// NewState returns a State that knows nothing.
func NewState() *State {
	return &State{records: map[fleet.DomainName]Record{}}
}

// Known reports whether the evacuations were complete as of some revision of the store.
func (s *State) Known() bool {
	return s.completeAsOf > 0
}

// InForce returns the evacuations in force, sorted by failure domain.
func (s *State) InForce() []Record {
	var list []Record
	for _, r := range s.records {
		if r.InForce() {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.Domain, b.Domain) })
	return list
}

// ApplyList applies the store's complete list of requests as of a revision, and reports whether
// a record changed. A record's Since is the earliest time at which the request may have been made,
// zero for now. A list of a new era may be that of an older copy: it ends no request of
// an earlier era.
func (s *State) ApplyList(list []Record, asOf uint64, now time.Time) bool {
	changed := false
	listed := map[fleet.DomainName]bool{}
	for _, r := range list {
		listed[r.Domain] = true
		since := now
		if !r.Since.IsZero() {
			since = r.Since
		}
		changed = s.ApplyRequest(r.Domain, r.Requested, since) || changed
	}
	changed = s.endUnlisted(listed, asOf, now) || changed
	s.completeAsOf = max(s.completeAsOf, asOf)
	return changed
}

// endUnlisted ends the requests that a complete list as of a revision lacks.
func (s *State) endUnlisted(listed map[fleet.DomainName]bool, asOf uint64, now time.Time) bool {
	changed := false
	for domain, r := range s.records {
		if listed[domain] || !r.InForce() || r.Requested > asOf || platform.EraOf(r.Requested) != platform.EraOf(asOf) {
			continue
		}
		r.Ended, r.Since = asOf, now
		s.records[domain] = r
		changed = true
	}
	return changed
}

// ApplyRequest applies a request as the store has it, and reports whether the record changed. What
// has ended and comes back with a copy of the store stays ended.
func (s *State) ApplyRequest(domain fleet.DomainName, revision uint64, now time.Time) bool {
	r := Record{Domain: domain, Requested: revision, Since: now}
	known, ok := s.records[domain]
	if ok && !known.InForce() && platform.EraOf(known.Requested) < platform.EraOf(revision) &&
		platform.CarriedOver(known.Requested, platform.EraOf(revision)) == revision {
		r.Ended = revision
	}
	return s.merge(r)
}

// ApplyRemoval applies the removal of a request from the store, and reports whether the
// record changed. revision is that of the removal or of the request itself.
func (s *State) ApplyRemoval(domain fleet.DomainName, revision uint64, now time.Time) bool {
	known := s.records[domain]
	if known.InForce() && known.Requested > revision {
		return false
	}
	return s.merge(Record{Domain: domain, Requested: min(cmp.Or(known.Requested, revision), revision), Ended: revision, Since: now})
}

// Merge adds what another router tells, and reports whether a record changed.
func (s *State) Merge(report Report, now time.Time) bool {
	changed := false
	listed := map[fleet.DomainName]bool{}
	for _, r := range report.Records[:min(len(report.Records), MaxRecords)] {
		listed[r.Domain] = true
		_, known := s.records[r.Domain]
		if !known && r.InForce() && s.hasEnded(r.Requested) {
			continue
		}
		changed = s.merge(r) || changed
	}
	if report.CompleteAsOf > 0 {
		changed = s.endUnlisted(listed, report.CompleteAsOf, now) || changed
		s.completeAsOf = max(s.completeAsOf, report.CompleteAsOf)
	}
	return changed
}

// hasEnded reports whether a request of which this router has no record must have ended.
func (s *State) hasEnded(requested uint64) bool {
	return requested <= s.completeAsOf && platform.EraOf(requested) == platform.EraOf(s.completeAsOf)
}

// merge keeps a record if it is newer than the known one, and reports whether it did.
func (s *State) merge(r Record) bool {
	known, ok := s.records[r.Domain]
	if ok && r.compare(&known) <= 0 {
		return false
	}
	if !ok && !s.makeRoom(r) {
		return false
	}
	if ok && known.InForce() && r.InForce() {
		// The same evacuation, written again.
		r.Since = known.Since
	}
	r.FoundAtStart = !s.Known() || (ok && known.InForce() && known.FoundAtStart)
	s.records[r.Domain] = r
	return true
}

// makeRoom reports whether there is room for a record. The oldest one that has ended gives way.
func (s *State) makeRoom(r Record) bool {
	if len(s.records) < MaxRecords {
		return true
	}
	var oldest *Record
	for _, known := range s.records {
		if !known.InForce() && (oldest == nil || known.compare(oldest) < 0) {
			oldest = &known
		}
	}
	if oldest == nil || (!r.InForce() && r.compare(oldest) < 0) {
		return false
	}
	delete(s.records, oldest.Domain)
	return true
}

// Report returns what to tell other routers: up to n records, or nil if nothing is known. Of more than
// n it returns the newest half and others at random.
func (s *State) Report(n int, random func(int) int) *Report {
	if !s.Known() && len(s.records) == 0 {
		return nil
	}
	list := make([]Record, 0, len(s.records))
	for _, r := range s.records {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b Record) int {
		return cmp.Or(b.compare(&a), cmp.Compare(a.Domain, b.Domain))
	})
	if len(list) <= n && len(list) < MaxRecords {
		return &Report{CompleteAsOf: s.completeAsOf, Records: list}
	}
	n = min(n, len(list))
	rest := list[n/2:]
	for i := range n - n/2 {
		j := i + random(len(rest)-i)
		rest[i], rest[j] = rest[j], rest[i]
	}
	return &Report{Records: list[:n]}
}

// All returns a report of all records, or nil if nothing is known.
func (s *State) All() *Report {
	return s.Report(MaxRecords, rand.IntN)
}
