package journal

import "time"

const (
	paceGrowth   = 2
	paceShrink   = 0.97
	paceLimit    = time.Second
	paceMinGrown = 10 * time.Millisecond
)

// Pace is the time between one router's writes of one cell. It doubles when the
// platform refuses a write for its rate and shrinks with each write that is
// taken. It is not safe for concurrent use.
type Pace struct {
	wait time.Duration
}

// Wait returns the time to gather operations for, at least batch.
func (p *Pace) Wait(batch time.Duration) time.Duration {
	return max(batch, p.wait)
}

// Refused notes a write that was refused for its rate.
func (p *Pace) Refused(batch time.Duration) {
	p.wait = min(paceLimit, max(paceMinGrown, p.Wait(batch)*paceGrowth))
}

// Taken notes a write that was taken.
func (p *Pace) Taken() {
	p.wait = time.Duration(float64(p.wait) * paceShrink)
}
