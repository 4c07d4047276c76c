package placement

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
)

// targetEntry is one live target with precomputed values for ranking.
type targetEntry struct {
	target *fleet.Target
	home   *fleet.Router
	seed   uint64
	weight float64
	phase  Phase
}

// stability returns the target's stability class at the time of a request.
func (e *targetEntry) stability(now time.Time) Stability {
	if e.phase.Stability == Settled || !now.Before(e.phase.Until) {
		return Settled
	}
	return e.phase.Stability
}

// serviceTable holds the live targets of one service. It is immutable.
type serviceTable struct {
	entries []targetEntry
	// uniform is set if all weights are equal, so that targets can be ranked by
	// their hashes alone.
	uniform bool
	indexes map[fleet.TargetID]int32
	// homeWeights is the total weight of the targets of each home router.
	homeWeights map[fleet.RouterID]float64
	totalWeight float64
}

// tableBuilder makes the service tables of a view from those of the previous
// one.
type tableBuilder struct {
	view  View
	pools *poolChanges
}

// buildTable returns the table of a service's targets, which is previous if no
// entry has changed. previous may be nil.
func (b *tableBuilder) buildTable(previous *serviceTable, targets []fleet.Target) *serviceTable {
	if previous == nil {
		previous = &serviceTable{}
	}
	if len(previous.entries) > 0 && b.unchanged(previous, targets) {
		return previous
	}
	entries := make([]targetEntry, 0, len(targets))
	for i := range targets {
		if t := &targets[i]; isLive(t) {
			entries = append(entries, b.newEntry(previous.findEntry(len(entries), t.ID), t))
		}
	}
	return newServiceTable(entries)
}

// unchanged reports whether a new table of the targets would equal previous.
func (b *tableBuilder) unchanged(previous *serviceTable, targets []fleet.Target) bool {
	n := 0
	for i := range targets {
		t := &targets[i]
		if !isLive(t) {
			continue
		}
		if n == len(previous.entries) || *previous.entries[n].target != *t {
			return false
		}
		old := &previous.entries[n]
		if e := b.newEntry(old, t); e.home != old.home || e.phase != old.phase {
			return false
		}
		n++
	}
	return n == len(previous.entries)
}

func isLive(t *fleet.Target) bool {
	return t.State == fleet.Live || t.State == ""
}

// findEntry returns the entry of a target, or nil if there is none. It looks at
// index i first, where the target is likely to be.
func (t *serviceTable) findEntry(i int, id fleet.TargetID) *targetEntry {
	if i < len(t.entries) && t.entries[i].target.ID == id {
		return &t.entries[i]
	}
	if i, ok := t.indexes[id]; ok {
		return &t.entries[i]
	}
	return nil
}

// newEntry makes the entry of a target. old is its previous entry, or nil.
func (b *tableBuilder) newEntry(old *targetEntry, t *fleet.Target) targetEntry {
	e := targetEntry{target: t, weight: normalWeight(t.Weight)}
	var home *fleet.Router
	if old == nil {
		e.seed = rendezvous.Seed(string(t.ID))
	} else {
		e.seed = old.seed
		if old.target.Domain == t.Domain {
			home = old.home
		}
	}
	e.home = b.pools.forDomain(t.Domain).home(e.seed, home)
	if b.view.Phase != nil {
		e.phase = b.view.Phase(t.ID)
	}
	return e
}

func newServiceTable(entries []targetEntry) *serviceTable {
	table := &serviceTable{
		entries: entries, uniform: true,
		indexes: make(map[fleet.TargetID]int32, len(entries)), homeWeights: map[fleet.RouterID]float64{},
	}
	for i := range entries {
		e := &entries[i]
		if e.home != nil {
			table.homeWeights[e.home.ID] += e.weight
		}
		table.totalWeight += e.weight
		table.indexes[e.target.ID] = int32(i)
		table.uniform = table.uniform && e.weight == entries[0].weight
	}
	return table
}
