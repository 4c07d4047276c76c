package dispatch

import (
	"slices"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
	"ragwortpond.example/ragwortpond/targethealth"
)

// Candidates holds the targets of one service in a view, prepared for many choices. It
// is immutable.
type Candidates struct {
	// targets holds those that accept requests, then those that are leaving, whose
	// cache can still be fetched.
	targets []*catalog.Target
	serving int
	seeds   []uint64
}

// NewCandidates returns the candidates: the targets that accept requests and those that are
// leaving.
func NewCandidates(serving, leaving []*catalog.Target) *Candidates {
	f := &Candidates{targets: slices.Concat(serving, leaving), serving: len(serving)}
	f.seeds = make([]uint64, len(f.targets))
	for i, t := range f.targets {
		f.seeds[i] = rendezvous.Seed(string(t.ID))
	}
	return f
}

// Serving returns the targets that accept requests. It must not be modified.
func (f *Candidates) Serving() []*catalog.Target {
	return f.targets[:f.serving]
}

// Find returns the target with an ID, or nil if there is none.
func (f *Candidates) Find(id fleet.TargetID) *catalog.Target {
	for _, t := range f.targets {
		if t.ID == id {
			return t
		}
	}
	return nil
}

// TargetState provides the state of targets at the time of a choice.
type TargetState interface {
	// Load returns the estimated number of requests at a target, queued or running,
	// including those of other routers.
	Load(t *catalog.Target) float64
	// UnsoundLoad returns the load that unsound answers of the target stand for, as a multiple of
	// its slots. A target that fails fast is not idle.
	UnsoundLoad(t *catalog.Target) float64
	// Pace returns how long work is expected to take at a target, as a multiple of the mean of its
	// service; 1 if nothing is known. It is used if Query.Paced is set.
	Pace(t *catalog.Target) float64
	// Health returns the target's health.
	Health(t *catalog.Target) targethealth.Health
	// Limited reports whether the target names a limit on its requests. Other targets
	// do not fetch cache from it.
	Limited(t *catalog.Target) bool
	// Withheld reports whether no request may be sent to the target for the moment
	// because of its limit, or because it is cold.
	Withheld(t *catalog.Target) bool
	// Cold reports whether the target is cold, so that it takes few requests. Other targets do
	// not fetch cache from it.
	Cold(t *catalog.Target) bool
	// Unavailable reports whether the target wants no requests, so that it is as if it were
	// not there.
	Unavailable(t *catalog.Target) bool
}

// rankIterator iterates over targets in a key's rendezvous order without sorting
// them all: each step searches for the highest rank below the last one.
type rankIterator struct {
	candidates *Candidates
	key        uint64
	// count is the number of candidates to iterate over, from the first.
	count int
	// last is the index of the target returned last, -1 before the first.
	last int
}

// next returns the index of the next target, or -1 after the last.
func (r *rankIterator) next() int {
	best, bestRank := -1, uint64(0)
	limit := ^uint64(0)
	if r.last >= 0 {
		limit = r.candidates.rank(r.last, r.key)
	}
	for i := range r.count {
		rank := r.candidates.rank(i, r.key)
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

// rank returns a target's rank in a key's order, the highest being first.
func (f *Candidates) rank(i int, key uint64) uint64 {
	return rendezvous.Mix(f.seeds[i], key)
}
