package placement

// maxRanked is the maximum number of targets in a ranking.
const maxRanked = 8

// ranked is one target in a ranking.
type ranked struct {
	score float64
	index int32
}

// ranking holds the targets with the highest scores in descending order.
// Targets are inserted by ascending index, so of equal scores the lower index
// comes first.
type ranking struct {
	top [maxRanked]ranked
	n   int
	// floor is the score that a target must exceed to enter a full ranking.
	floor float64
}

// insert adds a target to the ranking if its score is among the highest.
func (r *ranking) insert(score float64, index int32) {
	if r.n == maxRanked && score <= r.floor {
		return
	}
	if r.n < maxRanked {
		r.n++
	}
	i := r.n - 1
	for i > 0 && r.top[i-1].score < score {
		r.top[i] = r.top[i-1]
		i--
	}
	r.top[i] = ranked{score, index}
	if r.n == maxRanked {
		r.floor = r.top[maxRanked-1].score
	}
}

// mergeRanked calls f for the targets of a and b in descending order of score.
func mergeRanked(a, b []ranked, f func(index int32)) {
	for len(a) > 0 || len(b) > 0 {
		if len(b) == 0 || (len(a) > 0 && a[0].score >= b[0].score) {
			f(a[0].index)
			a = a[1:]
			continue
		}
		f(b[0].index)
		b = b[1:]
	}
}
