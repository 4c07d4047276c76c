package standin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// EngineFaults are the fault knobs of an engine. Rates are the share of
// requests, 0 to 1.
type EngineFaults struct {
	// Delay is waited before the head of every answer.
	Delay time.Duration
	// LateRate is how often the head comes LateBy late.
	LateRate float64
	LateBy   time.Duration
	// CrossedRate is how often an answer carries another attempt's id.
	CrossedRate float64
	// DoubledRate is how often every event of a stream is sent twice.
	DoubledRate float64
	// TruncatedRate is how often an answer ends cleanly but early.
	TruncatedRate float64
	// BrokenRate is how often the connection breaks in the middle of an answer.
	BrokenRate float64
	// LostRate is how often the connection breaks before the head, after the
	// request was accepted.
	LostRate float64
	// RefuseRate is how often a request is refused.
	RefuseRate float64
	// NoResume makes the engine forget streams whose connection broke.
	NoResume bool
	// CacheEventDelay is how late cache events show.
	CacheEventDelay time.Duration
	// CacheEventGapRate is how often a cache event is never shown.
	CacheEventGapRate float64
	// LoadLag is how old a load report may be.
	LoadLag time.Duration
	// CrashAfter kills the engine when it has accepted so many requests; zero
	// means never.
	CrashAfter int
}

// dice draws faults from a seed. It is safe for concurrent use.
type dice struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newDice(seed uint64) *dice {
	return &dice{rng: rand.New(rand.NewPCG(seed, seed))}
}

func (d *dice) hit(rate float64) bool {
	if rate <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64() < rate
}
