package dispatch

import (
	"math"
	"time"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
	"ragwortpond.example/ragwortpond/suspicion"
)

// Candidate is a target as a router sees it at one moment.
type Candidate struct {
	Target *catalog.Target
	// Load is the estimated number of requests before the target, those of other
	// routers included.
	Load     float64
	Standing suspicion.Standing
	// Tried says that the request has been at the target already.
	Tried bool
	// Leaving targets take no work, but their cache can still be fetched.
	Leaving bool
}

// Choice is the target for a request; indexes are into the candidates.
type Choice struct {
	// Target is -1 if there is none left.
	Target int
	// Source is the target that probably holds the cache of the key's parts
	// where Target may not; -1 if there is none.
	Source int
	Basis  Basis
}

// Ask is what the choice of a target depends on besides the candidates.
type Ask struct {
	// Key is the part of the prompt by which requests are kept together; zero
	// means that the request has none.
	Key uint64
	// Domain is the router's failure domain, which is preferred among targets
	// that are equal otherwise.
	Domain fleet.DomainName
	// Random decides between equal targets.
	Random uint64
}

// Basis is what a choice rests on, for logs.
type Basis string

// The reasons of a choice.
const (
	BasisKey      Basis = "key"
	BasisOverflow Basis = "overflow"
	BasisLoad     Basis = "least-load"
)

// Bounds of the load of the target that a key prefers.
const (
	// keyMultiple is the load that a preferred target may carry, as a multiple
	// of the mean of its service, with keyMargin requests on top, which matter
	// where the mean is low.
	keyMultiple = 1.5
	keyMargin   = 2
	// spillMultiple and spillMargin bound a target that takes a key's overflow, so
	// that what a hot key spills leaves room for the keys that belong there.
	spillMultiple = 1
	spillMargin   = 1
)

// recentJoin is how long after its start a target may lack the cache of keys
// that it has taken over: longer than it takes for most keys to be asked for.
const recentJoin = 30 * time.Second

// Choose returns the target for a request at a time. It does not allocate.
//
// It answers steady load with hot keys: requests with the same key go to the
// same target, the first of the key's rendezvous order that is not above its
// share of the load. Requests without a key go to the least loaded target.
// Where another target than the one chosen probably holds the key's cache, it is
// named as the source: fetching costs a fraction of reading the prompt again.
func Choose(a Ask, candidates []Candidate, now time.Time) Choice {
	standing := bestStanding(candidates)
	if a.Key == 0 {
		return Choice{leastLoaded(a, candidates, standing), -1, BasisLoad}
	}
	mean := meanLoad(candidates)
	first := highestRanked(a.Key, candidates, standing, math.Inf(1))
	if first >= 0 && candidates[first].Load < keyMultiple*mean+keyMargin {
		return Choice{first, source(a.Key, candidates, first, now), BasisKey}
	}
	best := highestRanked(a.Key, candidates, standing, spillMultiple*mean+spillMargin)
	if best < 0 {
		best = leastLoaded(a, candidates, standing)
	}
	return Choice{best, source(a.Key, candidates, best, now), BasisOverflow}
}

// highestRanked is the first of the key's rendezvous order with less load than
// the bound; -1 if there is none.
func highestRanked(key uint64, candidates []Candidate, standing suspicion.Standing, bound float64) int {
	best, bestScore := -1, 0.0
	for i := range candidates {
		c := &candidates[i]
		if !c.takes(standing) || c.Load >= bound {
			continue
		}
		if s := c.score(key); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

func (c *Candidate) takes(standing suspicion.Standing) bool {
	return !c.Tried && !c.Leaving && c.Standing == standing
}

func (c *Candidate) score(key uint64) float64 {
	return rendezvous.Score(rendezvous.Mix(rendezvous.Seed(string(c.Target.ID)), key), 1)
}

// source returns the first of the key's rendezvous order besides the chosen
// target, if it ranks before that, or if the chosen target joined lately; else
// the chosen target holds the cache itself.
func source(key uint64, candidates []Candidate, chosen int, now time.Time) int {
	if chosen < 0 {
		return -1
	}
	best, bestScore := -1, 0.0
	for i := range candidates {
		c := &candidates[i]
		if i == chosen || c.Tried || c.Standing == suspicion.Shunned {
			continue
		}
		if s := c.score(key); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	joined := now.Sub(candidates[chosen].Target.Started) < recentJoin
	if best >= 0 && (joined || bestScore > candidates[chosen].score(key)) {
		return best
	}
	return -1
}

// bestStanding is the best standing among the targets that were not tried.
func bestStanding(candidates []Candidate) suspicion.Standing {
	best := suspicion.Shunned
	for i := range candidates {
		if !candidates[i].Tried && !candidates[i].Leaving {
			best = min(best, candidates[i].Standing)
		}
	}
	return best
}

func meanLoad(candidates []Candidate) float64 {
	if len(candidates) == 0 {
		return 0
	}
	sum, n := 0.0, 0
	for i := range candidates {
		if !candidates[i].Leaving {
			sum += candidates[i].Load
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// leastLoaded chooses by load for each slot, then by failure domain, then at
// random.
func leastLoaded(a Ask, candidates []Candidate, standing suspicion.Standing) int {
	best := -1
	var bestLoad float64
	var bestTie uint64
	for i := range candidates {
		c := &candidates[i]
		if !c.takes(standing) {
			continue
		}
		load := c.Load / float64(max(c.Target.Slots, 1))
		tie := rendezvous.Mix(rendezvous.Seed(string(c.Target.ID)), a.Random) >> 1
		if c.Target.Domain != a.Domain {
			tie |= 1 << 63
		}
		if best < 0 || load < bestLoad || (load == bestLoad && tie < bestTie) {
			best, bestLoad, bestTie = i, load, tie
		}
	}
	return best
}

// KeyOf returns the key by which a prompt's requests are kept together: its last
// shared part. The last part of all belongs to the request itself.
func KeyOf(prompt []call.Part) uint64 {
	if len(prompt) == 0 {
		return 0
	}
	return prompt[max(len(prompt)-2, 0)].ID | 1
}
