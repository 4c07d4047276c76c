package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// storeReturnGrace is how long after the end of a store outage the entry of a live
// target may still be missing. The store's contract guarantees this bound.
const storeReturnGrace = 2 * time.Second

// TargetSet is the set of targets listed in the store. Targets whose entries lapse
// during a store outage are kept until their entries have had time to return. It
// must be used by one goroutine only.
type TargetSet struct {
	targets  map[fleet.TargetID]*Target
	revision uint64
	loaded   bool
	// lapsed holds the targets that are kept although the store does not list them,
	// with the time at which they are removed.
	lapsed map[fleet.TargetID]time.Time
	// graceUntil is the end of the period in which a deletion is not final.
	graceUntil time.Time
	// outageBegan is when this router met the outage after which that period began; zero if
	// it began for another reason.
	outageBegan time.Time
}

// NewTargetSet returns an empty set.
func NewTargetSet() *TargetSet {
	return &TargetSet{targets: map[fleet.TargetID]*Target{}, lapsed: map[fleet.TargetID]time.Time{}}
}

// Revision returns the store's revision at which the set is current.
func (s *TargetSet) Revision() uint64 {
	return s.revision
}

// Loaded reports whether the set has been read at least once.
func (s *TargetSet) Loaded() bool {
	return s.loaded
}

// StartGracePeriod records that entries of live targets may be missing from now on for a while.
func (s *TargetSet) StartGracePeriod(now time.Time) {
	s.graceUntil, s.outageBegan = now.Add(storeReturnGrace), time.Time{}
}

// StartGraceAfterOutage is StartGracePeriod for an outage that this router met at began, zero if
// that is not known, and that was over at returned.
func (s *TargetSet) StartGraceAfterOutage(began, returned time.Time) {
	s.graceUntil, s.outageBegan = returned.Add(storeReturnGrace), began
}

// InGraceAfterOutage reports whether the period after an outage that this router met has not ended.
func (s *TargetSet) InGraceAfterOutage(now time.Time) bool {
	return !s.outageBegan.IsZero() && now.Before(s.graceUntil)
}

// KeepsLapsed reports whether targets are kept although the store does not list them.
func (s *TargetSet) KeepsLapsed() bool {
	return len(s.lapsed) > 0
}

// LapsedAfterOutage returns the failure domains of the targets that are kept after an outage, and
// when this router met it.
func (s *TargetSet) LapsedAfterOutage() (domains []fleet.DomainName, began time.Time) {
	if s.outageBegan.IsZero() {
		return nil, time.Time{}
	}
	for id := range s.lapsed {
		if t, ok := s.targets[id]; ok && !slices.Contains(domains, t.Domain) {
			domains = append(domains, t.Domain)
		}
	}
	return domains, s.outageBegan
}

// outageShare is the share of the targets that must be missing from a complete list for
// the store to have been away: an outage lets all entries lapse, while other causes end
// few targets between two lists.
const outageShare = 0.25

// LapsedInOutage reports whether so many of the targets that were not leaving are missing
// from a complete list of the store that their entries must have lapsed during an
// outage. It is for a router that was not watching while the entries vanished.
func (s *TargetSet) LapsedInOutage(listed func(fleet.TargetID) bool) bool {
	present, missing := 0, 0
	for id, t := range s.targets {
		switch {
		case listed(id):
			present++
		case !t.Leaving:
			missing++
		}
	}
	return float64(missing) > outageShare*float64(present+missing)
}

// MarkComplete records that the set holds all targets as of a revision.
func (s *TargetSet) MarkComplete(revision uint64) {
	s.revision = max(s.revision, revision)
	s.loaded = true
}

// Find returns a target of the set, or false.
func (s *TargetSet) Find(id fleet.TargetID) (*Target, bool) {
	t, ok := s.targets[id]
	return t, ok
}

// IsRestart reports whether t is an entry of a new process of a known target.
func (s *TargetSet) IsRestart(t *Target) bool {
	old, ok := s.targets[t.ID]
	return ok && t.Process().Replaces(old.Process())
}

// Put adds or replaces an entry, unless the set holds a newer revision of it. It sets the end
// of the target's cold time.
func (s *TargetSet) Put(t *Target) {
	old := s.targets[t.ID]
	if old != nil && old.Revision > t.Revision {
		return
	}
	t.setColdUntil(old)
	s.targets[t.ID] = t
	delete(s.lapsed, t.ID)
}

// Remove handles the deletion of an entry and reports whether the target is no
// longer in the set. A target that was not leaving is kept during the grace period
// after an outage.
func (s *TargetSet) Remove(id fleet.TargetID, now time.Time) bool {
	t, ok := s.targets[id]
	if !ok {
		return true
	}
	if !t.Leaving && now.Before(s.graceUntil) {
		if _, recorded := s.lapsed[id]; !recorded {
			s.lapsed[id] = s.graceUntil
		}
		return false
	}
	delete(s.targets, id)
	delete(s.lapsed, id)
	return true
}

// IDs returns the IDs of all targets, in no particular order.
func (s *TargetSet) IDs() []fleet.TargetID {
	return slices.Collect(maps.Keys(s.targets))
}

// Expire removes the targets whose grace period ended by readAsOf, the time as of which the entries
// were read, and returns them. returned holds the failure domains for which the store is known to
// have been there from an earlier time on.
func (s *TargetSet) Expire(readAsOf time.Time, returned map[fleet.DomainName]time.Time) []*Target {
	var expired []*Target
	for id, until := range s.lapsed {
		t, ok := s.targets[id]
		if ok {
			if at, known := returned[t.Domain]; known && at.Add(storeReturnGrace).Before(until) {
				until = at.Add(storeReturnGrace)
			}
		}
		if readAsOf.Before(until) {
			continue
		}
		if ok {
			expired = append(expired, t)
		}
		delete(s.lapsed, id)
		delete(s.targets, id)
	}
	return expired
}

// Partition returns the targets that accept requests, those that are leaving, and all for
// which isEvacuated returns true.
func (s *TargetSet) Partition(isEvacuated func(*Target) bool) (serving, leaving, evacuated Targets) {
	serving, leaving, evacuated = Targets{}, Targets{}, Targets{}
	for _, t := range s.targets {
		dst := serving
		switch {
		case isEvacuated(t):
			dst = evacuated
		case t.Leaving:
			dst = leaving
		}
		dst[t.Service] = append(dst[t.Service], t)
	}
	for _, set := range []Targets{serving, leaving, evacuated} {
		for _, list := range set {
			slices.SortFunc(list, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
		}
	}
	return serving, leaving, evacuated
}

// CountIn returns the number of targets in a failure domain.
func (s *TargetSet) CountIn(domain fleet.DomainName) int {
	count := 0
	for _, t := range s.targets {
		if t.Domain == domain {
			count++
		}
	}
	return count
}

// Len returns the number of targets, including leaving ones.
func (s *TargetSet) Len() int {
	return len(s.targets)
}
