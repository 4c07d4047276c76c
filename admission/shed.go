package admission

import (
	"sync"
	"time"
)

const (
	// shedMemory is the time over which signs of slowness count: a few times what a
	// request takes at a plain target.
	shedMemory = time.Second
	// shedStep is the time between two changes of the share that is taken.
	shedStep = 250 * time.Millisecond
	// slowShare of a request's objective is what an answer from a target may take;
	// the way there and back takes the rest.
	slowShare = 0.8
	// mostSlow is the share of slow answers and rejections above which less is taken.
	mostSlow = 0.5
	// shedFactor and shedGain change the share that is taken: down by a factor, up
	// by steps, so that many routers come to a balance without talking.
	shedFactor = 0.9
	shedGain   = 0.02
	// fewSlow is the share below which the overload is over, and the steps up are
	// calmGain.
	fewSlow  = 0.1
	calmGain = 0.08
	// leastTaken is the least share that is taken.
	leastTaken = 0.3
	// overloadEnds is how long after the last rejection, and with everything taken,
	// slow answers are no longer seen as a sign of overload.
	overloadEnds = 5 * time.Second
)

// Shedder decides which share of a service's requests is taken while its targets
// have more work than they can do in time. Without it their queues stay full under
// overload, and every request is late; with it those that are taken are on time,
// and the others are told at once to come back.
//
// Only rejections by targets begin it: answers that are slow for another reason
// would not become faster. It is safe for concurrent use.
type Shedder struct {
	mu    sync.Mutex
	taken float64
	// slow is the weight of the latest slow signs, all that of all signs.
	slow, all float64
	noted     time.Time
	stepped   time.Time
	// overload is the end of the overload, unless further signs come.
	overload time.Time
}

// NewShedder returns a shedder that takes everything.
func NewShedder() *Shedder {
	return &Shedder{taken: 1}
}

// Rejected notes that a target had no room.
func (s *Shedder) Rejected(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overload = now.Add(overloadEnds)
	s.note(now, true)
}

// Answered notes how long a target took for a request with an objective.
func (s *Shedder) Answered(took, objective time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note(now, objective > 0 && float64(took) > slowShare*float64(objective))
}

// note adds a sign and, once in a while, changes the share.
func (s *Shedder) note(now time.Time, slow bool) {
	if elapsed := now.Sub(s.noted); elapsed > 0 {
		keep := 1 / (1 + elapsed.Seconds()/shedMemory.Seconds())
		s.slow *= keep
		s.all *= keep
	}
	s.noted = now
	s.all++
	if slow {
		s.slow++
	}
	if now.Sub(s.stepped) < shedStep {
		return
	}
	s.stepped = now
	switch {
	case !now.Before(s.overload), s.slow < fewSlow*s.all:
		s.taken = min(1, s.taken+calmGain)
	case s.slow > mostSlow*s.all:
		s.taken = max(leastTaken, s.taken*shedFactor)
	default:
		s.taken = min(1, s.taken+shedGain)
	}
	if s.taken < 1 && now.Before(s.overload) {
		s.overload = now.Add(overloadEnds)
	}
}

// Take decides whether a request is taken; point is uniform in [0, 1).
func (s *Shedder) Take(point float64) bool {
	return point < s.Taken()
}

// Taken is the share that is taken.
func (s *Shedder) Taken() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.taken
}
