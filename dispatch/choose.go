package dispatch

import (
	"cmp"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
	"ragwortpond.example/ragwortpond/targethealth"
)

// Choice is the target chosen for a request.
type Choice struct {
	// Target is nil if no target is left.
	Target *catalog.Target
	// CacheSource is a target that probably holds the cache for the request's key when
	// Target may not; nil if there is none.
	CacheSource *catalog.Target
	Reason      ChoiceReason
	// Load and Health describe Target, for logs.
	Load   float64
	Health targethealth.Health
}

// Query holds the inputs of a choice other than the candidates and the target state.
type Query struct {
	// Key identifies the prompt part by which requests are kept on one target; zero
	// means that the request has none.
	Key uint64
	// Version is the software version of the targets that the request may be sent to; empty
	// means any.
	Version fleet.SoftwareVersion
	// Domain is the router's failure domain, which is preferred among otherwise
	// equal targets.
	Domain fleet.DomainName
	// Tried holds the targets that the request has already been sent to.
	Tried []fleet.TargetID
	// Mean is the mean load of the targets that accept requests.
	Mean float64
	// Paced means that the paces of the targets are known, by which their loads are weighed.
	Paced bool
	// Shared means that the loads come from reports which other routers have as well.
	Shared bool
	// Random is a random number that selects the sample of targets to compare by
	// load, if there are more than maxSampled, and breaks ties.
	Random uint64
}

// ChoiceReason is the reason for a choice, for logs.
type ChoiceReason string

// Reasons for a choice.
const (
	ReasonKey       ChoiceReason = "key"
	ReasonOverflow  ChoiceReason = "overflow"
	ReasonLeastLoad ChoiceReason = "least-load"
	// ReasonLimit means that the key's first target has used up its limit.
	ReasonLimit ChoiceReason = "limit"
	// ReasonCold means that the key's first target is cold and takes no more for the moment.
	ReasonCold ChoiceReason = "cold"
)

// Load bounds of targets chosen by key.
const (
	// keyLoadMultiple bounds the load of the key's preferred target, as a multiple of
	// the mean load of the service. keyLoadMargin is added in requests, which matters
	// where the mean is low.
	keyLoadMultiple = 1.5
	keyLoadMargin   = 2
	// overflowLoadMultiple and overflowLoadMargin bound the load of a target that
	// takes overflow from another, so that the overflow of a hot key leaves room for
	// the target's own keys.
	overflowLoadMultiple = 1
	overflowLoadMargin   = 1
	// excessLoadShare bounds the load of a target that takes what another may not because
	// of its limit, as a fraction of its slots.
	excessLoadShare = 0.75
	// coldLoadShare is the least load that a cold target counts as when targets are compared by
	// load, as a fraction of its slots, so that its few requests are left to its own keys until
	// the others are loaded.
	coldLoadShare = 0.5
	// maxLimitedAlternatives is the number of other targets with a limit that a request
	// may be sent to instead of its first.
	maxLimitedAlternatives = 1
)

// cacheWarmUp is how long after its start a target may lack the cache of keys that
// it has taken over: longer than it takes for most keys to be requested.
const cacheWarmUp = 30 * time.Second

// Bounds on the targets examined for one choice, so that it costs about the same
// with thousands of targets as with a hundred.
const (
	// maxRanks is how many targets of a key's order are checked for load and
	// health.
	maxRanks = 16
	// maxSampled is how many targets are compared by load.
	maxSampled = 256
)

// Choose returns the target for a request at the given time. It does not allocate.
//
// It is designed for steady load with hot keys: requests with the same key go to
// the same target, the first in the key's rendezvous order whose load is within its
// bound. Requests without a key go to the least loaded target. If a target other
// than the chosen one probably holds the key's cache, it is returned as the source:
// fetching the cache costs a fraction of processing the prompt again.
func Choose(a Query, f *Candidates, state TargetState, now time.Time) Choice {
	sel := selection{query: a, candidates: f, state: state}
	index, reason := -1, ReasonLeastLoad
	if a.Key == 0 {
		index = sel.leastLoaded()
	} else {
		index, reason = sel.byKey()
	}
	if index < 0 {
		return Choice{Reason: reason}
	}
	t := f.targets[index]
	choice := Choice{Target: t, Reason: reason, Load: state.Load(t), Health: state.Health(t)}
	if a.Key != 0 {
		choice.CacheSource = sel.cacheSource(index, now)
	}
	return choice
}

// selection is the state of one choice.
type selection struct {
	query      Query
	candidates *Candidates
	state      TargetState
}

func (sel *selection) tried(i int) bool {
	return slices.Contains(sel.query.Tried, sel.candidates.targets[i].ID)
}

// unfit reports whether the request cannot be sent to a target: it was sent there before, the
// target wants no requests, or it runs another software version.
func (sel *selection) unfit(i int) bool {
	return sel.tried(i) || sel.state.Unavailable(sel.candidates.targets[i]) || (sel.query.Version != "" && sel.candidates.targets[i].Version != sel.query.Version)
}

// excluded reports whether a target is unfit or withheld.
func (sel *selection) excluded(i int) bool {
	return sel.unfit(i) || sel.state.Withheld(sel.candidates.targets[i])
}

// CanServeCache reports whether other targets can fetch the cache of a target.
func CanServeCache(state TargetState, t *catalog.Target) bool {
	return !state.Limited(t) && !state.Cold(t) && state.Health(t) != targethealth.Avoided
}

// byKey returns the first target in the key's order, unless its load exceeds the
// bound; then the first with room for overflow, or else the least loaded target. If the
// first target is withheld, it returns the target for its excess requests.
func (sel *selection) byKey() (int, ChoiceReason) {
	health, first := sel.firstByKey()
	if first < 0 {
		return -1, ReasonKey
	}
	switch target := sel.candidates.targets[first]; {
	case sel.state.Withheld(target) && sel.state.Cold(target):
		return sel.overflow(health, first), ReasonCold
	case sel.state.Withheld(target):
		return sel.excessTarget(health, first), ReasonLimit
	case sel.keepsKey(first):
		return first, ReasonKey
	default:
		return sel.overflow(health, first), ReasonOverflow
	}
}

// overflow returns the target for a request that its key's first target does not take: the next
// one in the order that is not cold and has room for overflow, or else the least loaded target.
func (sel *selection) overflow(health targethealth.Health, first int) int {
	order := rankIterator{candidates: sel.candidates, key: sel.query.Key, count: sel.candidates.serving, last: first}
	for range maxRanks {
		i := order.next()
		if i < 0 {
			break
		}
		t := sel.candidates.targets[i]
		if !sel.excluded(i) && !sel.state.Cold(t) && sel.state.Health(t) == health && sel.takesOverflow(t) {
			return i
		}
	}
	return sel.leastLoaded()
}

// excessTarget returns the target for a request whose first target in the key's order has
// used up its limit, or -1 if there is none: the first one in the order that names no
// limit and has room beside its own keys, or else the next one with a limit that is not
// used up. Others would have to process the prompt for few requests.
func (sel *selection) excessTarget(health targethealth.Health, first int) int {
	order := rankIterator{candidates: sel.candidates, key: sel.query.Key, count: sel.candidates.serving, last: first}
	limited, limitedSeen := -1, 0
	for range sel.candidates.serving {
		i := order.next()
		if i < 0 {
			break
		}
		t := sel.candidates.targets[i]
		if sel.unfit(i) || sel.state.Health(t) != health || (sel.state.Withheld(t) && !sel.state.Limited(t)) {
			continue
		}
		switch {
		case sel.state.Limited(t):
			if limitedSeen++; limited < 0 && limitedSeen <= maxLimitedAlternatives && !sel.state.Withheld(t) {
				limited = i
			}
		case t.Slots == 0 || sel.state.Load(t) < excessLoadShare*float64(t.Slots):
			return i
		}
	}
	return limited
}

// firstByKey returns the best health of any target, and the first target in the
// key's order that has it, or -1 if there is no target.
func (sel *selection) firstByKey() (targethealth.Health, int) {
	order := rankIterator{candidates: sel.candidates, key: sel.query.Key, count: sel.candidates.serving, last: -1}
	for range maxRanks {
		i := order.next()
		if i < 0 {
			break
		}
		if !sel.unfit(i) && sel.state.Health(sel.candidates.targets[i]) == targethealth.Healthy {
			return targethealth.Healthy, i
		}
	}
	return sel.firstByKeyFullScan()
}

// firstByKeyFullScan is firstByKey without the bound of maxRanks, for the case that
// none of the first targets in the key's order is healthy.
func (sel *selection) firstByKeyFullScan() (targethealth.Health, int) {
	best, bestRank, bestHealth := -1, uint64(0), targethealth.Avoided
	for i := range sel.candidates.serving {
		if sel.unfit(i) {
			continue
		}
		health, rank := sel.state.Health(sel.candidates.targets[i]), sel.candidates.rank(i, sel.query.Key)
		if best < 0 || health < bestHealth || (health == bestHealth && rank > bestRank) {
			best, bestRank, bestHealth = i, rank, health
		}
	}
	return bestHealth, best
}

// cacheSource returns the first usable target in the key's order other than the
// chosen one, if it ranks before the chosen one or the chosen one started recently.
// Otherwise the chosen target holds the cache itself, and the result is nil.
func (sel *selection) cacheSource(chosen int, now time.Time) *catalog.Target {
	recentlyStarted := now.Sub(sel.candidates.targets[chosen].StartedAt) < cacheWarmUp
	order := rankIterator{candidates: sel.candidates, key: sel.query.Key, count: len(sel.candidates.targets), last: -1}
	for range maxRanks {
		i := order.next()
		switch {
		case i < 0, i == chosen && !recentlyStarted:
			return nil
		case i != chosen && !sel.tried(i) && CanServeCache(sel.state, sel.candidates.targets[i]):
			return sel.candidates.targets[i]
		}
	}
	return nil
}

// leastLoaded returns the best target by health, load per slot, failure domain,
// and then at random, or -1 if there is none. Of more than maxSampled targets, it
// compares a random sample. Where paces are known, it compares the bound on
// requests and the expected time instead of the load, and, if other routers know the same of the
// targets, only two of them.
func (sel *selection) leastLoaded() int {
	n := sel.candidates.serving
	best, bestCandidate := -1, loadCandidate{}
	for k := range min(n, maxSampled) {
		i := sel.sample(k)
		if sel.excluded(i) {
			continue
		}
		if candidate := sel.evaluate(i); best < 0 || candidate.betterThan(bestCandidate) {
			best, bestCandidate = i, candidate
		}
	}
	if best >= 0 && sel.query.Paced && sel.query.Shared {
		return sel.bestDrawn(best, bestCandidate)
	}
	return best
}

// loadCandidate is a target as compared with others by load.
type loadCandidate struct {
	health targethealth.Health
	// crowded is set if the target holds more requests than it may, which is looked at where
	// paces are known.
	crowded bool
	// load is the load per slot, or the expected time where paces are known.
	load float64
	tie  uint64
}

func (sel *selection) evaluate(i int) loadCandidate {
	t := sel.candidates.targets[i]
	c := loadCandidate{health: sel.state.Health(t), tie: rendezvous.Mix(sel.candidates.seeds[i], sel.query.Random) >> 1}
	if sel.query.Paced {
		c.load, c.crowded = sel.expectedTime(t)
	} else {
		c.load = sel.state.Load(t)/float64(max(t.Slots, 1)) + sel.state.UnsoundLoad(t)
	}
	if sel.state.Cold(t) {
		c.load = max(c.load, coldLoadShare)
	}
	if t.Domain != sel.query.Domain {
		c.tie |= 1 << 63
	}
	return c
}

func (c loadCandidate) betterThan(other loadCandidate) bool {
	if c.crowded != other.crowded && c.health == other.health {
		return other.crowded
	}
	return cmp.Or(cmp.Compare(c.health, other.health), cmp.Compare(c.load, other.load), cmp.Compare(c.tie, other.tie)) < 0
}

// PromptKey returns the key by which requests with a common prompt are kept on one
// target: its last shared part, or 0 if the prompt is empty. The last part of a
// prompt belongs to the request itself and is the key only if it is the sole part.
// The lowest bit is set, so that the key of a prompt is never 0.
func PromptKey(prompt []call.Part) uint64 {
	if len(prompt) == 0 {
		return 0
	}
	return prompt[max(len(prompt)-2, 0)].ID | 1
}
