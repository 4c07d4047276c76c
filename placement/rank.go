package placement

// rankLimit is how many targets of one standing are ranked.
const rankLimit = 8

// ranked is one target's place in a ranking.
type ranked struct {
	score float64
	index int32
}

// ranking keeps the targets with the highest scores in falling order. Of equal
// scores the target with the lower index goes first.
type ranking struct {
	top [rankLimit]ranked
	n   int
	// floor is the score that a target must exceed to be ranked.
	floor float64
}

// offer puts a target in the ranking if it is among the highest.
func (r *ranking) offer(score float64, index int32) {
	if r.n == rankLimit && score <= r.floor {
		return
	}
	if r.n < rankLimit {
		r.n++
	}
	i := r.n - 1
	for i > 0 && r.top[i-1].score < score {
		r.top[i] = r.top[i-1]
		i--
	}
	r.top[i] = ranked{score, index}
	if r.n == rankLimit {
		r.floor = r.top[rankLimit-1].score
	}
}

// merge calls f for the targets of a and b together in falling order.
func merge(a, b []ranked, f func(index int32)) {
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
