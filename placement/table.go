package placement

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
)

// entry is one live target, ready for picking.
type entry struct {
	target *fleet.Target
	home   *fleet.Router
	seed   uint64
	weight float64
	phase  Phase
}

// standing is the target's standing at the time of a request.
func (e *entry) standing(now time.Time) Standing {
	if e.phase.Standing == Settled || !now.Before(e.phase.Until) {
		return Settled
	}
	return e.phase.Standing
}

// serviceTable holds the live targets of one service. It is immutable.
type serviceTable struct {
	entries []entry
	// uniform says that all weights are equal, so that hashes rank alone.
	uniform bool
	indexes map[fleet.TargetID]int32
	// weights sums the targets' weights by home router.
	weights map[fleet.RouterID]float64
	weight  float64
}

// builder makes the service tables of one view from those before.
type builder struct {
	view  View
	pools *pools
}

// table returns the table of a service's targets: the one before when none of
// its entries changed. Before may be nil.
func (b *builder) table(before *serviceTable, targets []fleet.Target) *serviceTable {
	if before == nil {
		before = &serviceTable{}
	}
	if len(before.entries) > 0 && b.unchanged(before, targets) {
		return before
	}
	entries := make([]entry, 0, len(targets))
	for i := range targets {
		if t := &targets[i]; takesWork(t) {
			entries = append(entries, b.entry(before.entry(len(entries), t.ID), t))
		}
	}
	return newServiceTable(entries)
}

// unchanged reports whether the table of the targets would equal that before.
func (b *builder) unchanged(before *serviceTable, targets []fleet.Target) bool {
	n := 0
	for i := range targets {
		t := &targets[i]
		if !takesWork(t) {
			continue
		}
		if n == len(before.entries) || *before.entries[n].target != *t {
			return false
		}
		old := &before.entries[n]
		if e := b.entry(old, t); e.home != old.home || e.phase != old.phase {
			return false
		}
		n++
	}
	return n == len(before.entries)
}

func takesWork(t *fleet.Target) bool {
	return t.State == fleet.Live || t.State == ""
}

// entry returns the entry of a target, which is probably the i-th; nil when
// there is none.
func (t *serviceTable) entry(i int, id fleet.TargetID) *entry {
	if i < len(t.entries) && t.entries[i].target.ID == id {
		return &t.entries[i]
	}
	if i, ok := t.indexes[id]; ok {
		return &t.entries[i]
	}
	return nil
}

// entry makes the entry of a target; old is its entry before, if any.
func (b *builder) entry(old *entry, t *fleet.Target) entry {
	e := entry{target: t, weight: normalWeight(t.Weight)}
	var home *fleet.Router
	if old == nil {
		e.seed = rendezvous.Seed(string(t.ID))
	} else {
		e.seed = old.seed
		if old.target.Domain == t.Domain {
			home = old.home
		}
	}
	e.home = b.pools.change(t.Domain).home(e.seed, home)
	if b.view.Phase != nil {
		e.phase = b.view.Phase(t.ID)
	}
	return e
}

func newServiceTable(entries []entry) *serviceTable {
	table := &serviceTable{
		entries: entries, uniform: true,
		indexes: make(map[fleet.TargetID]int32, len(entries)), weights: map[fleet.RouterID]float64{},
	}
	for i := range entries {
		e := &entries[i]
		if e.home != nil {
			table.weights[e.home.ID] += e.weight
		}
		table.weight += e.weight
		table.indexes[e.target.ID] = int32(i)
		table.uniform = table.uniform && e.weight == entries[0].weight
	}
	return table
}
