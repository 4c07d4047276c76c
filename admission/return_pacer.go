package admission

import (
	"sync"
	"time"
)

const (
	// minReturnTime keeps refused requests from coming back before the state that they
	// were refused for can have changed.
	minReturnTime = 200 * time.Millisecond
	// maxReturnTime bounds the time after which a refused request may come back. New
	// requests compete with those that come back, so that a longer time does not make
	// it surer that they are admitted.
	maxReturnTime = 5 * time.Second
)

// ReturnPacer tells refused requests when to come back, so that they do so at the rate at
// which they can be admitted. It is safe for concurrent use.
type ReturnPacer struct {
	mu   sync.Mutex
	next time.Time
}

// Next returns the time after which a request refused now should come back, if perSecond
// requests are admitted per second.
func (p *ReturnPacer) Next(perSecond float64, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	latest := now.Add(maxReturnTime)
	if earliest := now.Add(minReturnTime); p.next.Before(earliest) {
		p.next = earliest
	}
	at := p.next
	if perSecond > 0 {
		p.next = p.next.Add(min(time.Duration(float64(time.Second)/perSecond), maxReturnTime))
	} else {
		at = latest
	}
	if p.next.After(latest) {
		p.next = latest
	}
	return at.Sub(now)
}
