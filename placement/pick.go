package placement

import (
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
)

// contextQueries is the number of top-ranked candidates, besides the anchor,
// that are queried for the context of a returning chat without a token.
const contextQueries = 2

// rankingKey returns the key for ranking a request's targets. The chats of a
// prefix group are mapped to as many distinct keys as the group uses targets.
func rankingKey(r *Request) uint64 {
	if r.Prefix == 0 {
		return uint64(r.Chat)
	}
	slot := jumpHash(uint64(r.Chat), max(r.Spread, 1))
	return rendezvous.Mix(uint64(r.Prefix), uint64(slot)+1)
}

// jumpHash implements jump consistent hashing: it maps a key to one of n slots
// such that few keys move when n changes.
func jumpHash(key uint64, n int) int {
	slot, next := int64(-1), int64(0)
	for next < int64(n) {
		slot = next
		key = key*2862933555777941757 + 1
		next = int64(float64(slot+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
	}
	return int(slot)
}

// rankEntry adds an entry to a ranking by its score for a key. With unequal
// weights it computes the score only if an upper bound that needs no logarithm
// exceeds the ranking's floor.
func (t *serviceTable) rankEntry(r *ranking, i int, key uint64) {
	e := &t.entries[i]
	hash := rendezvous.Mix(e.seed, key)
	if t.uniform {
		if s := float64(hash >> 12); s > r.floor {
			r.insert(s, int32(i))
		}
		return
	}
	if rendezvous.MayExceed(hash, e.weight, r.floor) {
		r.insert(rendezvous.Score(hash, e.weight), int32(i))
	}
}

// rank ranks all targets by their score for a key.
func (t *serviceTable) rank(key uint64) *ranking {
	var r ranking
	for i := range t.entries {
		t.rankEntry(&r, i, key)
	}
	return &r
}

// rankByLoad ranks the targets by increasing load per weight. A random term
// below 0.5 breaks ties; it can also reorder targets whose load per weight
// differs by less than that.
func (t *serviceTable) rankByLoad(req Request) *ranking {
	var r ranking
	for i := range t.entries {
		e := &t.entries[i]
		tie := float64(rendezvous.Mix(e.seed, req.Random)>>11) / (1 << 53)
		r.insert(-req.Load(e.target.ID)/e.weight+tie/2, int32(i))
	}
	return &r
}

// addBaseline adds the ranking of a baseline policy to a plan.
func (t *serviceTable) addBaseline(plan *Plan, r *ranking) {
	for i := range r.n {
		e := &t.entries[r.top[i].index]
		plan.add(Step{Target: e.target, Home: e.home, Reason: ByBaseline})
	}
}

// stabilityRankings holds one ranking for each stability class.
type stabilityRankings [Flapping + 1]ranking

// fillPlan makes the plan of the Ragwortpond policy: the target named by the
// token, or the targets to be queried for the context of a returning chat
// without one, then candidates by hash, then overflow.
func (t *serviceTable) fillPlan(plan *Plan, r *Request) {
	var ranks stabilityRankings
	t.rankByStability(&ranks, r)
	settled, joining := ranks[Settled].slice(), ranks[Joining].slice()
	anchor := t.anchor(r, settled)
	if anchor >= 0 {
		e := &t.entries[anchor]
		plan.anchor = Step{Target: e.target, Home: e.home, Reason: ByContext}
	}
	if i, ok := t.indexes[r.Context]; ok {
		t.addStep(plan, i, ByToken, false)
	} else if r.Returning {
		t.addContextQueries(plan, anchor, settled)
	}
	if r.Returning && len(settled) > 0 {
		t.addStep(plan, settled[0].index, ByHash, false)
		settled = settled[1:]
	}
	mergeRanked(settled, joining, func(i int32) { t.addStep(plan, i, t.nextStepReason(plan), false) })
	for _, f := range ranks[Flapping].slice() {
		t.addStep(plan, f.index, ByOverflow, false)
	}
}

func (r *ranking) slice() []ranked {
	return r.top[:r.n]
}

func (t *serviceTable) rankByStability(ranks *stabilityRankings, r *Request) {
	key := rankingKey(r)
	for i := range t.entries {
		e := &t.entries[i]
		t.rankEntry(&ranks[e.stability(r.Now)], i, key)
	}
}

// anchor returns the index of the target whose home is queried first for the
// context of a returning chat without a token: the settled target that ranks
// first by the chat's own hash, regardless of its group, or -1 if no target is
// settled. The spread of a group differs between routers and changes over time;
// the anchor depends on neither.
func (t *serviceTable) anchor(r *Request, settled []ranked) int32 {
	if len(settled) == 0 {
		return -1
	}
	if r.Prefix == 0 {
		return settled[0].index
	}
	best, top := int32(-1), 0.0
	for i := range t.entries {
		e := &t.entries[i]
		if e.stability(r.Now) != Settled {
			continue
		}
		if s := rendezvous.Score(rendezvous.Mix(e.seed, uint64(r.Chat)), e.weight); best < 0 || s > top {
			best, top = int32(i), s
		}
	}
	return best
}

// addContextQueries adds the targets that may hold the context of a returning
// chat without a token, or whose home may know its location: the anchor and the
// first settled candidates, which leave out recently joined targets. Two
// candidates are queried because the first may be a target that joined after
// the chat was placed and has settled since.
func (t *serviceTable) addContextQueries(plan *Plan, anchor int32, settled []ranked) {
	if anchor >= 0 {
		t.addStep(plan, anchor, ByContext, true)
	}
	for i := range min(contextQueries, len(settled)) {
		if settled[i].index != anchor {
			t.addStep(plan, settled[i].index, ByContext, true)
		}
	}
}

func (t *serviceTable) nextStepReason(plan *Plan) StepReason {
	for i := range plan.n {
		if plan.steps[i].Reason == ByHash {
			return ByOverflow
		}
	}
	return ByHash
}

func (t *serviceTable) addStep(plan *Plan, index int32, why StepReason, contextOnly bool) {
	e := &t.entries[index]
	if plan.hasUnconditionalStep(e.target) {
		return
	}
	plan.add(Step{Target: e.target, Home: e.home, Reason: why, ContextOnly: contextOnly})
}

// RedirectStep returns the step to the target that a home named as holding the
// chat's context. It returns false if the service has no such live target.
func (p *Picker) RedirectStep(service fleet.ServiceName, id fleet.TargetID) (Step, bool) {
	target, home, ok := p.Target(service, id)
	if !ok {
		return Step{}, false
	}
	return Step{Target: target, Home: home, Reason: ByContext}, true
}
