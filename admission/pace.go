package admission

import (
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
)

const (
	// unknownTimePerToken is the time for one token of an answer while few answers have
	// shown it. firstEventTime leaves a margin for longer ones.
	unknownTimePerToken = 6 * time.Millisecond
	// minTimePerToken is the lower bound of what a Pace tells.
	minTimePerToken = 3 * time.Millisecond
	// paceSamples is the number of answers of a kind that a Pace remembers, minPaceSamples that
	// of those that it needs.
	paceSamples    = 32
	minPaceSamples = 8
	// paceMargin allows for answers that are slower than the slowest of these.
	paceMargin = 1.5
)

// Pace estimates how long a service takes for an answer, from its last complete ones. It is safe
// for concurrent use. The zero value is ready to use.
type Pace struct {
	mu sync.Mutex
	// perToken holds the times for one token of streams, streams those of whole streams that
	// set no bound, calls those of plain calls.
	perToken, streams, calls paceWindow
}

// paceWindow holds the last paceSamples durations.
type paceWindow struct {
	samples [paceSamples]time.Duration
	count   int
}

func (w *paceWindow) add(d time.Duration) {
	w.samples[w.count%paceSamples] = d
	w.count++
}

// slowest returns the longest of the durations with a margin, or false if there are few.
func (w *paceWindow) slowest() (time.Duration, bool) {
	if w.count < minPaceSamples {
		return 0, false
	}
	slowest := time.Duration(0)
	for _, sample := range w.samples[:min(w.count, paceSamples)] {
		slowest = max(slowest, sample)
	}
	return time.Duration(paceMargin * float64(slowest)), true
}

// RecordStream records a complete stream that took d for up to so many tokens, zero for no bound.
func (p *Pace) RecordStream(tokens int, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if tokens <= 0 {
		p.streams.add(d)
		return
	}
	p.perToken.add(d / time.Duration(tokens))
}

// RecordCall records a plain call whose answer took d.
func (p *Pace) RecordCall(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.add(d)
}

// TimePerToken returns the time for one token of a stream, which few exceed.
func (p *Pace) TimePerToken() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	slowest, ok := p.perToken.slowest()
	if !ok {
		return unknownTimePerToken
	}
	return max(slowest, minTimePerToken)
}

// StreamTime returns the time for a stream of up to so many tokens, zero for no bound, which few
// exceed.
func (p *Pace) StreamTime(tokens int) time.Duration {
	if tokens > 0 {
		return firstEventTime + time.Duration(tokens)*p.TimePerToken()
	}
	p.mu.Lock()
	slowest, ok := p.streams.slowest()
	p.mu.Unlock()
	if !ok {
		return firstEventTime + defaultAnswerTokens*p.TimePerToken()
	}
	return max(slowest, firstEventTime)
}

// AnswerTime returns the time for the answer to a request for a route; see StreamTime and CallTime.
func (p *Pace) AnswerTime(r *catalog.Route, answerTokens int) time.Duration {
	if r.Stream {
		return p.StreamTime(answerTokens)
	}
	return p.CallTime()
}

// CallTime returns the time for a plain call, which few exceed.
func (p *Pace) CallTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	slowest, _ := p.calls.slowest()
	return max(slowest, plainCallTime)
}
