package quarantine

import "slices"

// explanation tells which of the known crashes some verdicts explain.
type explanation struct {
	crashes []crash
	// members are those of all verdicts.
	members map[uint64]bool
	// wholly is set for each crash that a verdict explains as far as all parts and requests
	// are concerned: it has a part that is a member. A request that is one does not explain
	// its own crashes, since one of its parts may be the cause.
	wholly []bool
	// culprits holds, for each crash, the crashes of the same target at about the same time
	// that have a member of a verdict which explains them.
	culprits [][]int
}

// newExplanation finds what verdicts explain: the crash of a target at which all members of
// one were, or a trial with some of them. t.mu must be held.
func (t *Tracker) newExplanation(verdicts []*verdict) *explanation {
	e := &explanation{crashes: t.crashes, members: map[uint64]bool{}, wholly: make([]bool, len(t.crashes)), culprits: make([][]int, len(t.crashes))}
	if len(verdicts) == 0 {
		return e
	}
	for _, v := range verdicts {
		for _, m := range v.members {
			e.members[m] = true
		}
	}
	for _, together := range crashesByTarget(t.crashes) {
		for _, v := range verdicts {
			e.add(v, together)
		}
	}
	return e
}

// crashesByTarget returns the indices of the crashes of each target that are at about the same
// time.
func crashesByTarget(crashes []crash) [][]int {
	var groups [][]int
	current := map[uint32]int{}
	for i, c := range crashes {
		group, ok := current[c.target]
		if !ok || c.at.Sub(crashes[groups[group][0]].at) > targetWindow {
			group = len(groups)
			groups = append(groups, nil)
			current[c.target] = group
		}
		groups[group] = append(groups[group], i)
	}
	return groups
}

// add adds what a verdict explains of the crashes of a target at about the same time.
func (e *explanation) add(v *verdict, together []int) {
	// present are the members at these crashes; tried is set if a trial with some was there.
	present, tried := map[uint64]bool{}, false
	var culprits []int
	for _, i := range together {
		has := false
		for _, part := range e.crashes[i].parts {
			if v.isMember(part) {
				present[part], has = true, true
			}
		}
		if has {
			culprits = append(culprits, i)
			tried = tried || e.crashes[i].onTrial
		}
	}
	if len(present) < len(v.members) && !tried {
		return
	}
	for _, i := range together {
		e.culprits[i] = append(e.culprits[i], culprits...)
	}
	for _, i := range culprits {
		c := &e.crashes[i]
		e.wholly[i] = e.wholly[i] || slices.ContainsFunc(c.parts, func(part uint64) bool { return part != c.request && v.isMember(part) })
	}
}

// besideCulprit reports whether a crash is explained as far as a part or request is concerned,
// because one that has a culprit does not have that.
func (e *explanation) besideCulprit(i int, part uint64) bool {
	return slices.ContainsFunc(e.culprits[i], func(culprit int) bool { return !slices.Contains(e.crashes[culprit].parts, part) })
}
