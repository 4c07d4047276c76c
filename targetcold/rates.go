package targetcold

// Bounds bounds what cold targets get from all routers together.
type Bounds struct {
	// Over times a target's rate, and Slack more, is the largest number of requests that it
	// may get in any second. Over of zero means that nothing is bounded.
	Over, Slack float64
}

// InForce reports whether cold targets are bounded.
func (b Bounds) InForce() bool {
	return b.Over > 0
}

// PerSecond returns the largest number of requests in a second at a cold target that takes rate
// a second.
func (b Bounds) PerSecond(rate float64) float64 {
	return rate*b.Over + b.Slack
}

// Parts of the largest number of requests in a second.
const (
	// ownShare is the part for routers that reach neither the holder nor its deputy, all of
	// them together.
	ownShare = 0.1
	// depthShare is the part of the excess over the rate that may be granted at once, by each
	// of two routers that grant.
	depthShare         = 1.0 / 6
	minDepth, maxDepth = 1, 2
	// substituteShare is the least part of what is granted that substitutes may grant.
	substituteShare = 0.2
	// inFlight is the time in seconds by which sends may arrive later than others that were
	// granted before them.
	inFlight = 0.1
	// minTotalShare bounds what remains for grants where the excess is small.
	minTotalShare = 0.25
)

// rates holds the rates of grants at one target, in requests per second.
type rates struct {
	// total is that of all routers that grant, steady that of the holder, and substitute that
	// of a router that grants in its place while it may still grant too.
	total, steady, substitute float64
	// own is that of all routers that reach none of these, together.
	own float64
	// depth is the number of permits that may be granted at once.
	depth float64
}

// rates divides the bound for a target that takes rate a second. Whatever two routers grant and
// all others take as their own part stays within it in any second. The zero value, which grants
// nothing, stands for a bound below one request.
func (b Bounds) rates(rate float64) rates {
	bound := b.PerSecond(rate)
	if bound < 1 {
		return rates{}
	}
	r := rates{own: ownShare * bound, depth: min(max((bound-rate)*depthShare, minDepth), maxDepth)}
	r.total = max(bound-r.own-2*r.depth-inFlight*rate, minTotalShare*bound)
	r.substitute = max(r.total-rate, substituteShare*r.total)
	r.steady = min(rate, r.total-r.substitute)
	return r
}
