package dispatch

import (
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/rendezvous"
)

const (
	// minKeyPace is the pace from which on a target counts as slow for keys. A moment in which a
	// target is slow is shorter than what a prompt read elsewhere delays. maxKeyPace bounds
	// the weight of a pace at a key's preferred target.
	minKeyPace = 1.3
	maxKeyPace = 3
	// drawnTargets is the number of targets, drawn at random, of which the best is chosen.
	drawnTargets = 2
	// ownDomainMultiple and ownDomainMargin bound the load, in requests, up to which targets of the
	// router's failure domain are drawn before others.
	ownDomainMultiple = 1.25
	ownDomainMargin   = 1.5
)

// keepsKey reports whether the preferred target of the query's key takes the request: its load,
// weighed by its pace where that is known, is within the bound. A faster target takes no
// more than others, since the bound on requests holds for it too.
func (sel *selection) keepsKey(first int) bool {
	t := sel.candidates.targets[first]
	load, bound := sel.state.Load(t), sel.keyBound()
	if load < bound && sel.query.Paced {
		load *= sel.keyPace(t)
	}
	return load < bound
}

// keyPace returns the weight of a target's pace for the loads of keys.
func (sel *selection) keyPace(t *catalog.Target) float64 {
	pace := sel.state.Pace(t)
	if pace < minKeyPace {
		return 1
	}
	return min(pace, maxKeyPace)
}

// keyBound returns the load from which on a target takes no more requests for its own keys.
func (sel *selection) keyBound() float64 {
	return keyLoadMultiple*sel.query.Mean + keyLoadMargin
}

// takesOverflow reports whether a target takes overflow from another one. Where paces are
// known, a slow one takes less of it.
func (sel *selection) takesOverflow(t *catalog.Target) bool {
	load := sel.state.Load(t)
	if sel.query.Paced {
		load *= sel.keyPace(t)
	}
	return load < overflowLoadMultiple*sel.query.Mean+overflowLoadMargin
}

// expectedTime returns the time that a request is expected to take at a target, in multiples of
// the time of one request at a target of mean pace that has one slot, and whether the target holds
// more requests than it may.
func (sel *selection) expectedTime(t *catalog.Target) (time float64, crowded bool) {
	load := sel.state.Load(t)
	time = (load+1)*sel.state.Pace(t)/float64(max(t.Slots, 1)) + sel.state.UnsoundLoad(t)
	return time, load >= sel.keyBound()
}

// bestDrawn returns the best of a few targets that are drawn at random from those that are as
// healthy as the best one and, if it is not, not crowded. Routers that know the same of the targets
// then do not all choose the same one.
func (sel *selection) bestDrawn(index int, best loadCandidate) int {
	var drawn [drawnTargets]drawnTarget
	n := 0
	for k := range min(sel.candidates.serving, maxSampled) {
		i := sel.sample(k)
		if sel.excluded(i) {
			continue
		}
		candidate := sel.evaluate(i)
		if candidate.health != best.health || candidate.crowded != best.crowded {
			continue
		}
		n = insertInOrder(&drawn, n, drawnTarget{i, sel.drawOrder(i, candidate), candidate})
	}
	if n == 0 {
		// Loads change meanwhile: the best one may have become crowded since it was found.
		return index
	}
	chosen := drawn[0]
	for _, d := range drawn[1:n] {
		if d.betterThan(chosen.loadCandidate) {
			chosen = d
		}
	}
	return chosen.index
}

// Flags of the order in which targets are drawn.
const (
	drawLater = 1 << 62
	drawLast  = 1 << 63
)

// drawOrder returns the place of a target in a random order: those of the router's failure domain
// that are not loaded come first, and cold ones last.
func (sel *selection) drawOrder(i int, c loadCandidate) uint64 {
	t := sel.candidates.targets[i]
	order := c.tie >> 1
	if sel.state.Load(t) >= ownDomainMultiple*sel.query.Mean+ownDomainMargin {
		order |= drawLater
	}
	if sel.state.Cold(t) {
		order |= drawLast
	}
	return order
}

// drawnTarget is a target with its place in the order.
type drawnTarget struct {
	index int
	order uint64
	loadCandidate
}

// insertInOrder inserts d into the first n of drawn and returns their new number. Of more than fit,
// the first ones are kept.
func insertInOrder(drawn *[drawnTargets]drawnTarget, n int, d drawnTarget) int {
	for i := range n {
		if d.order < drawn[i].order {
			d, drawn[i] = drawn[i], d
		}
	}
	if n < len(drawn) {
		drawn[n] = d
		n++
	}
	return n
}

// sample returns the index of the k-th target that is compared by load.
func (sel *selection) sample(k int) int {
	if sel.candidates.serving <= maxSampled {
		return k
	}
	return int(rendezvous.Mix(uint64(k), sel.query.Random) % uint64(sel.candidates.serving))
}
