package targetlimit

import (
	"math"
	"math/bits"
	"time"
)

// Precedence orders the sends to a target; those with a higher one go first.
type Precedence uint8

const (
	// Foreign is the precedence of sends that would be as well off at another target.
	Foreign Precedence = 0
	// Home is the lowest precedence of sends to the first target of their key.
	Home Precedence = 1
	// maxPrecedence is the highest precedence.
	maxPrecedence = 15
	// minLossTokens is the number of tokens up to which a loss of cached prompt does not
	// count. Each doubling raises the precedence by one.
	minLossTokens = 64
)

// HomePrecedence returns the precedence of a send to the first target of its key, by the
// tokens of its prompt that another target would have to process again.
func HomePrecedence(lossTokens int) Precedence {
	return min(Home+Precedence(bits.Len(uint(max(lossTokens, 0)/minLossTokens))), maxPrecedence)
}

// demandPeriod is the time constant of the measured demand: some seconds, since there are
// only a few sends per second to a target with a limit.
const demandPeriod = 4 * time.Second

// permits is what the holder of a target grants.
type permits struct {
	bucket bucket
	// demand is the rate of requests for permits by precedence, per second, as an
	// exponentially weighted mean that was updated at demandAt.
	demand   [maxPrecedence + 1]float64
	demandAt time.Time
}

// take grants a send under a limit in requests per second, or returns the time until there
// may be a permit. Sends get what those with a higher precedence leave. If that is not
// enough for all with the same precedence, a permit is kept for the others.
func (p *permits) take(limit float64, precedence Precedence, now time.Time) (bool, time.Duration) {
	precedence = min(precedence, maxPrecedence)
	p.recordDemand(precedence, now)
	left := steadyRate(limit)
	for _, d := range p.demand[precedence+1:] {
		left -= d
	}
	switch {
	case left <= 0:
		return false, MaxWait
	case left < p.demand[precedence]:
		return p.bucket.take(limit, reserve, now)
	default:
		return p.bucket.take(limit, 0, now)
	}
}

func (p *permits) recordDemand(precedence Precedence, now time.Time) {
	if elapsed := now.Sub(p.demandAt); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / demandPeriod.Seconds())
		for i := range p.demand {
			p.demand[i] *= decay
		}
		p.demandAt = now
	}
	p.demand[precedence] += 1 / demandPeriod.Seconds()
}
