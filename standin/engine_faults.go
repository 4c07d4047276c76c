package standin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// EngineFaults configures the faults that an engine injects. Rates are fractions
// of the requests, 0 to 1.
type EngineFaults struct {
	// Delay is the delay before the response headers of every answer.
	Delay time.Duration
	// DelayRate is the rate of answers whose headers are delayed by ExtraDelay more.
	DelayRate  float64
	ExtraDelay time.Duration
	// WrongAttemptRate is the rate of answers that carry another attempt's ID.
	WrongAttemptRate float64
	// DuplicateRate is the rate of streams whose events are each sent twice.
	DuplicateRate float64
	// TruncatedRate is the rate of answers that end halfway: a stream without a
	// connection error, a JSON body before its Content-Length.
	TruncatedRate float64
	// BrokenRate is the rate of answers whose connection breaks halfway; a JSON body
	// is truncated as with TruncatedRate.
	BrokenRate float64
	// LostRate is the rate of requests that are accepted but whose connection
	// breaks before the response headers.
	LostRate float64
	// RefuseRate is the rate of refused requests.
	RefuseRate float64
	// NoResume makes the engine cancel and delete a run when its connection ends
	// early, so that the stream cannot be resumed.
	NoResume bool
	// CacheEventDelay is the delay until a cache event becomes visible.
	CacheEventDelay time.Duration
	// CacheEventGapRate is the rate of cache events that are lost.
	CacheEventGapRate float64
	// LoadReportDelay is the age up to which a load report is returned again instead of a
	// new one.
	LoadReportDelay time.Duration
	// CrashAfter is the number of accepted requests after which the engine is
	// killed; zero means never.
	CrashAfter int
}

// faultSampler decides from a seeded generator which requests get a fault. It is
// safe for concurrent use.
type faultSampler struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newFaultSampler(seed uint64) *faultSampler {
	return &faultSampler{rng: rand.New(rand.NewPCG(seed, seed))}
}

// sample returns true with the probability rate.
func (d *faultSampler) sample(rate float64) bool {
	if rate <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64() < rate
}
