package admission

import (
	"slices"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
)

const (
	// plainCallTime covers a plain call with a second attempt, as long as no slower ones are
	// known.
	plainCallTime = 1600 * time.Millisecond
	// paceSamples is the number of answers of a kind that a Pace remembers, minPaceSamples that
	// of those that it needs.
	paceSamples    = 32
	minPaceSamples = 8
	// callMargin allows for plain calls that are slower than the slowest of these. A call that
	// is cut is lost whole.
	callMargin = 1.5
)

// Pace estimates how long a service takes for an answer, from its last complete ones. It is safe
// for concurrent use. The zero value is ready to use.
type Pace struct {
	mu sync.Mutex
	// perToken holds the times of streams divided by the maximum numbers of tokens that their
	// requests named, streams those of whole streams that named none, calls those of plain
	// calls.
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

// sorted returns the durations in ascending order, or nil if there are few.
func (w *paceWindow) sorted() []time.Duration {
	if w.count < minPaceSamples {
		return nil
	}
	return slices.Sorted(slices.Values(w.samples[:min(w.count, paceSamples)]))
}

// median returns the median of the durations, or zero if there are few.
func (w *paceWindow) median() time.Duration {
	if d := w.sorted(); d != nil {
		return d[len(d)/2]
	}
	return 0
}

// slowest returns the longest of the durations, or zero if there are few.
func (w *paceWindow) slowest() time.Duration {
	if d := w.sorted(); d != nil {
		return d[len(d)-1]
	}
	return 0
}

// RecordStream records a complete stream that took d. tokens is the maximum that its request
// named, zero for none.
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

// AnswerTime returns the time that most answers to requests for a route take, or zero if that is
// not known. answerTokens is the maximum number of tokens that a request for a stream names,
// zero for none.
func (p *Pace) AnswerTime(r *catalog.Route, answerTokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !r.Stream:
		return max(time.Duration(callMargin*float64(p.calls.slowest())), plainCallTime)
	case answerTokens > 0:
		return time.Duration(answerTokens) * p.perToken.median()
	default:
		return p.streams.median()
	}
}
