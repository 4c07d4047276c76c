package placement

import (
	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
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
)

// Choose returns the index of the target for a request, or -1 if every target
// was tried. It does not allocate.
//
// It answers steady load with hot keys: requests with the same key go to the
// same target, the first of the key's rendezvous order that is not above its
// share of the load. Requests without a key go to the least loaded target.
func Choose(a Ask, candidates []Candidate) (int, Basis) {
	standing := bestStanding(candidates)
	if a.Key == 0 {
		return leastLoaded(a, candidates, standing), BasisLoad
	}
	bound := keyMultiple*meanLoad(candidates) + keyMargin
	best, bestScore, skipped := -1, 0.0, false
	for i := range candidates {
		c := &candidates[i]
		if c.Tried || c.Standing != standing {
			continue
		}
		if c.Load >= bound {
			skipped = true
			continue
		}
		if s := score(mix(seed(string(c.Target.ID)), a.Key), 1); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	if best < 0 {
		return leastLoaded(a, candidates, standing), BasisOverflow
	}
	if skipped {
		return best, BasisOverflow
	}
	return best, BasisKey
}

// bestStanding is the best standing among the targets that were not tried.
func bestStanding(candidates []Candidate) suspicion.Standing {
	best := suspicion.Shunned
	for i := range candidates {
		if !candidates[i].Tried {
			best = min(best, candidates[i].Standing)
		}
	}
	return best
}

func meanLoad(candidates []Candidate) float64 {
	if len(candidates) == 0 {
		return 0
	}
	sum := 0.0
	for i := range candidates {
		sum += candidates[i].Load
	}
	return sum / float64(len(candidates))
}

// leastLoaded chooses by load for each slot, then by failure domain, then at
// random.
func leastLoaded(a Ask, candidates []Candidate, standing suspicion.Standing) int {
	best := -1
	var bestLoad float64
	var bestTie uint64
	for i := range candidates {
		c := &candidates[i]
		if c.Tried || c.Standing != standing {
			continue
		}
		load := c.Load / float64(max(c.Target.Slots, 1))
		tie := mix(seed(string(c.Target.ID)), a.Random) >> 1
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
