package overload

import "time"

const (
	// recentAnswers is the number of a route's answers of which the shortest time is known.
	recentAnswers = 16
	// answerMemory is how long that is known after the last answer: a route whose requests are all refused has none.
	answerMemory = 2 * time.Second
	// maxRoutes bounds the routes whose answers are remembered.
	maxRoutes = 1024
)

// answerTimes holds the times to the last answers of each route.
type answerTimes map[uint64]*routeTimes

type routeTimes struct {
	took     [recentAnswers]time.Duration
	answered int
	lastAt   time.Time
}

func (a answerTimes) add(route uint64, took time.Duration, now time.Time) {
	r := a[route]
	if r == nil {
		if len(a) >= maxRoutes {
			return
		}
		r = &routeTimes{}
		a[route] = r
	}
	r.took[r.answered%recentAnswers] = took
	r.answered++
	r.lastAt = now
}

// shortest returns the shortest time of a route's recent answers, zero if there are few.
func (a answerTimes) shortest(route uint64, now time.Time) time.Duration {
	r := a[route]
	if r == nil || r.answered < recentAnswers || now.Sub(r.lastAt) > answerMemory {
		return 0
	}
	shortest := r.took[0]
	for _, took := range r.took {
		shortest = min(shortest, took)
	}
	return shortest
}
