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
}

// NewTargetSet returns an empty set.
func NewTargetSet() *TargetSet {
	return &TargetSet{targets: map[fleet.TargetID]*Target{}, lapsed: map[fleet.TargetID]time.Time{}}
}

// Revision returns the store's revision at which the set is current.
func (m *TargetSet) Revision() uint64 {
	return m.revision
}

// Loaded reports whether the set has been read at least once.
func (m *TargetSet) Loaded() bool {
	return m.loaded
}

// StartGracePeriod records that the store is available again after an outage.
func (m *TargetSet) StartGracePeriod(now time.Time) {
	m.graceUntil = now.Add(storeReturnGrace)
}

// MarkComplete records that the set holds all targets as of a revision.
func (m *TargetSet) MarkComplete(revision uint64) {
	m.revision = max(m.revision, revision)
	m.loaded = true
}

// IsRestart reports whether t is an entry of a new process of a known target.
func (m *TargetSet) IsRestart(t *Target) bool {
	old, ok := m.targets[t.ID]
	return ok && !old.StartedAt.Equal(t.StartedAt)
}

// Put adds or replaces an entry, unless the set holds a newer revision of it.
func (m *TargetSet) Put(t *Target) {
	if old, ok := m.targets[t.ID]; ok && old.Revision > t.Revision {
		return
	}
	m.targets[t.ID] = t
	delete(m.lapsed, t.ID)
}

// Remove handles the deletion of an entry and reports whether the target is no
// longer in the set. A target that was not leaving is kept during the grace period
// after an outage.
func (m *TargetSet) Remove(id fleet.TargetID, now time.Time) bool {
	t, ok := m.targets[id]
	if !ok {
		return true
	}
	if !t.Leaving && now.Before(m.graceUntil) {
		if _, recorded := m.lapsed[id]; !recorded {
			m.lapsed[id] = m.graceUntil
		}
		return false
	}
	delete(m.targets, id)
	delete(m.lapsed, id)
	return true
}

// IDs returns the IDs of all targets, in no particular order.
func (m *TargetSet) IDs() []fleet.TargetID {
	return slices.Collect(maps.Keys(m.targets))
}

// Expire removes the targets whose grace period has ended and returns their IDs.
func (m *TargetSet) Expire(now time.Time) []fleet.TargetID {
	var expired []fleet.TargetID
	for id, until := range m.lapsed {
		if now.Before(until) {
			continue
		}
		delete(m.lapsed, id)
		delete(m.targets, id)
		expired = append(expired, id)
	}
	return expired
}

// Serving returns the targets that accept requests, and those that are leaving.
func (m *TargetSet) Serving() (serving, leaving Targets) {
	serving, leaving = Targets{}, Targets{}
	for _, t := range m.targets {
		dst := serving
		if t.Leaving {
			dst = leaving
		}
		dst[t.Service] = append(dst[t.Service], t)
	}
	for _, set := range []Targets{serving, leaving} {
		for _, list := range set {
			slices.SortFunc(list, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
		}
	}
	return serving, leaving
}

// Len returns the number of targets, including leaving ones.
func (m *TargetSet) Len() int {
	return len(m.targets)
}
