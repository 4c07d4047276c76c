package dispatch

import (
	"slices"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
	"ragwortpond.example/ragwortpond/suspicion"
)

// Field is the targets of one service as a view names them, prepared for many
// choices. It is immutable.
type Field struct {
	// targets are those that take work, then those that are leaving, whose cache
	// can still be fetched.
	targets []*catalog.Target
	serving int
	seeds   []uint64
}

// NewField returns the field of the targets that take work and of those that are
// leaving.
func NewField(serving, leaving []*catalog.Target) *Field {
	f := &Field{targets: slices.Concat(serving, leaving), serving: len(serving)}
	f.seeds = make([]uint64, len(f.targets))
	for i, t := range f.targets {
		f.seeds[i] = rendezvous.Seed(string(t.ID))
	}
	return f
}

// Serving returns the targets that take work.
func (f *Field) Serving() []*catalog.Target {
	return f.targets[:f.serving]
}

// Find returns a target by its name; nil if there is none.
func (f *Field) Find(id fleet.TargetID) *catalog.Target {
	for _, t := range f.targets {
		if t.ID == id {
			return t
		}
	}
	return nil
}

// Signs tells how targets are at the moment of a choice.
type Signs interface {
	// Load is the estimated number of requests before a target, those of other
	// routers included.
	Load(t *catalog.Target) float64
	// Standing is the judgement on a target.
	Standing(t *catalog.Target) suspicion.Standing
}

// ranks goes through targets in a key's rendezvous order without sorting them
// all: each step looks for the highest rank below the last one.
type ranks struct {
	field *Field
	key   uint64
	// among is how many of the field's targets take part.
	among int
	// last is the place of the last target returned, -1 before the first.
	last int
}

// next returns the place of the next target, -1 after the last.
func (r *ranks) next() int {
	best, bestRank := -1, uint64(0)
	limit := ^uint64(0)
	if r.last >= 0 {
		limit = r.field.rank(r.last, r.key)
	}
	for i := range r.among {
		rank := r.field.rank(i, r.key)
		if r.last >= 0 && (rank > limit || (rank == limit && i <= r.last)) {
			continue
		}
		if best < 0 || rank > bestRank {
			best, bestRank = i, rank
		}
	}
	r.last = best
	return best
}

// rank is a target's place value in a key's order, the highest first.
func (f *Field) rank(i int, key uint64) uint64 {
	return rendezvous.Mix(f.seeds[i], key)
}
