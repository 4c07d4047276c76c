package admission

import (
	"sync"
	"time"
)

const (
	// unknownTimePerToken is the time for one token of an answer while few answers have
	// shown it. firstEventTime leaves a margin for longer ones.
	unknownTimePerToken = 6 * time.Millisecond
	// minTimePerToken is the lower bound of what a Pace tells.
	minTimePerToken = 3 * time.Millisecond
	// paceSamples is the number of answers that a Pace remembers, minPaceSamples that of
	// those that it needs.
	paceSamples    = 32
	minPaceSamples = 8
	// paceMargin allows for answers that are slower than the slowest of these.
	paceMargin = 1.5
)

// Pace estimates how long a service's engines take for one token of an answer, from the last
// complete answers. It is safe for concurrent use. The zero value is ready to use.
type Pace struct {
	mu      sync.Mutex
	samples [paceSamples]time.Duration
	count   int
}

// Record records a complete answer that took d for up to so many tokens. Answers without a
// bound tell nothing.
func (p *Pace) Record(tokens int, d time.Duration) {
	if tokens <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.samples[p.count%paceSamples] = d / time.Duration(tokens)
	p.count++
}

// TimePerToken returns the time for one token of an answer, which few answers exceed.
func (p *Pace) TimePerToken() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count < minPaceSamples {
		return unknownTimePerToken
	}
	slowest := time.Duration(0)
	for _, sample := range p.samples[:min(p.count, paceSamples)] {
		slowest = max(slowest, sample)
	}
	return max(time.Duration(paceMargin*float64(slowest)), minTimePerToken)
}
