package keyjournal

import "time"

const (
	paceBurst    = 4
	paceGrowth   = 2
	paceShrink   = 0.97
	paceLimit    = time.Second
	paceMinGrown = 10 * time.Millisecond
)

// Pace spaces one router's writes of a shard: at most one for each interval in
// the steady state, after a short burst. The interval grows when the platform
// refuses a write for its rate and shrinks with each write that is taken. It is
// not safe for concurrent use.
type Pace struct {
	// reserved is the time up to which writes are paid for.
	reserved time.Time
	// grown is the interval after refusals; zero when there was none of late.
	grown time.Duration
}

// Wait returns the time to gather operations for before the next write: at
// least batch.
func (p *Pace) Wait(now time.Time, batch, interval time.Duration) time.Duration {
	interval = max(interval, p.grown)
	due := p.reserved.Add(-paceBurst * interval)
	return max(batch, due.Sub(now), p.grown)
}

// Started notes that a write starts.
func (p *Pace) Started(now time.Time, interval time.Duration) {
	if p.reserved.Before(now) {
		p.reserved = now
	}
	p.reserved = p.reserved.Add(max(interval, p.grown))
}

// Refused notes a write that was refused for its rate.
func (p *Pace) Refused(interval time.Duration) {
	p.grown = min(paceLimit, max(paceMinGrown, interval, p.grown)*paceGrowth)
}

// Taken notes a write that was taken.
func (p *Pace) Taken() {
	p.grown = time.Duration(float64(p.grown) * paceShrink)
	if p.grown < paceMinGrown {
		p.grown = 0
	}
}
