package placement

import (
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
)

// contextProbes is how many candidates besides the anchor are asked for the
// context of a returning chat that brought no token.
const contextProbes = 2

// placementKey is the key by which a request's targets are ranked. The chats
// of a prefix group share as many keys as the group uses targets.
func placementKey(r *Request) uint64 {
	if r.Prefix == 0 {
		return uint64(r.Chat)
	}
	slot := jump(uint64(r.Chat), max(r.Spread, 1))
	return rendezvous.Mix(uint64(r.Prefix), uint64(slot)+1)
}

// jump is jump consistent hashing: it maps a key to one of n slots so that few
// keys move when n changes.
func jump(key uint64, n int) int {
	slot, next := int64(-1), int64(0)
	for next < int64(n) {
		slot = next
		key = key*2862933555777941757 + 1
		next = int64(float64(slot+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
	}
	return int(slot)
}

// offer offers an entry to a ranking by its score for a key. The score is only
// worked out where a bound on it, which costs no logarithm, exceeds the floor.
func (t *serviceTable) offer(r *ranking, i int, key uint64) {
	e := &t.entries[i]
	hash := rendezvous.Mix(e.seed, key)
	if t.uniform {
		if s := float64(hash >> 12); s > r.floor {
			r.offer(s, int32(i))
		}
		return
	}
	if rendezvous.MayExceed(hash, e.weight, r.floor) {
		r.offer(rendezvous.Score(hash, e.weight), int32(i))
	}
}

// rank ranks all targets for a key.
func (t *serviceTable) rank(key uint64) *ranking {
	var r ranking
	for i := range t.entries {
		t.offer(&r, i, key)
	}
	return &r
}

// rankByLoad ranks the targets by rising load for their weight; equal loads
// are ordered at random.
func (t *serviceTable) rankByLoad(req Request) *ranking {
	var r ranking
	for i := range t.entries {
		e := &t.entries[i]
		tie := float64(rendezvous.Mix(e.seed, req.Random)>>11) / (1 << 53)
		r.offer(-req.Load(e.target.ID)/e.weight+tie/2, int32(i))
	}
	return &r
}

// addAll adds a baseline's ranking to a plan.
func (t *serviceTable) addAll(plan *Plan, r *ranking) {
	for i := range r.n {
		e := &t.entries[r.top[i].index]
		plan.add(Step{Target: e.target, Home: e.home, Why: ByBaseline})
	}
}

// standings is one ranking for each standing.
type standings [Flapping + 1]ranking

// plan makes the plan of the Ragwortpond policy: the token's target, then
// candidates by hash that are asked for the chat's context, then candidates by
// hash, then overflow.
func (t *serviceTable) plan(plan *Plan, r *Request) {
	var ranks standings
	t.rankStandings(&ranks, r)
	settled, joining := ranks[Settled].slice(), ranks[Joining].slice()
	anchor := t.anchor(r, settled)
	if anchor >= 0 {
		e := &t.entries[anchor]
		plan.anchor = Step{Target: e.target, Home: e.home, Why: ByContext}
	}
	if i, ok := t.indexes[r.Context]; ok {
		t.add(plan, i, ByToken, false)
	} else if r.Returning {
		t.addProbes(plan, anchor, settled)
	}
	if r.Returning && len(settled) > 0 {
		t.add(plan, settled[0].index, ByHash, false)
		settled = settled[1:]
	}
	merge(settled, joining, func(i int32) { t.add(plan, i, t.hashOrOverflow(plan), false) })
	for _, f := range ranks[Flapping].slice() {
		t.add(plan, f.index, ByOverflow, false)
	}
}

func (r *ranking) slice() []ranked {
	return r.top[:r.n]
}

func (t *serviceTable) rankStandings(ranks *standings, r *Request) {
	key := placementKey(r)
	for i := range t.entries {
		e := &t.entries[i]
		t.offer(&ranks[e.standing(r.Now)], i, key)
	}
}

// anchor is the settled target that the chat's own hash ranks first, whatever
// its group, and -1 when no target is settled. The spread of a group differs
// from router to router and from minute to minute; the anchor does not.
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
		if e.standing(r.Now) != Settled {
			continue
		}
		if s := rendezvous.Score(rendezvous.Mix(e.seed, uint64(r.Chat)), e.weight); best < 0 || s > top {
			best, top = int32(i), s
		}
	}
	return best
}

// addProbes adds the targets that may hold the context of a returning chat
// that brought no token, or whose home knows where it is: the anchor, and the
// first candidates as they stood before recent joins. The second of them is
// for a chat whose first candidate joined longer ago.
func (t *serviceTable) addProbes(plan *Plan, anchor int32, settled []ranked) {
	if anchor >= 0 {
		t.add(plan, anchor, ByContext, true)
	}
	for i := range min(contextProbes, len(settled)) {
		if settled[i].index != anchor {
			t.add(plan, settled[i].index, ByContext, true)
		}
	}
}

func (t *serviceTable) hashOrOverflow(plan *Plan) Why {
	for i := range plan.n {
		if plan.steps[i].Why == ByHash {
			return ByOverflow
		}
	}
	return ByHash
}

func (t *serviceTable) add(plan *Plan, index int32, why Why, contextOnly bool) {
	e := &t.entries[index]
	if plan.holds(e.target) {
		return
	}
	plan.add(Step{Target: e.target, Home: e.home, Why: why, ContextOnly: contextOnly})
}

// Redirect returns the step to the target that a home named as holding the
// chat's context, and false when the service has no such live target.
func (p *Picker) Redirect(service fleet.ServiceName, id fleet.TargetID) (Step, bool) {
	target, home, ok := p.Target(service, id)
	if !ok {
		return Step{}, false
	}
	return Step{Target: target, Home: home, Why: ByContext}, true
}
