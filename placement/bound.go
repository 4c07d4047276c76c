package placement

import "math"

// oneRequest is the load of a single request.
const oneRequest = 1.0

// Bound returns the maximum load, in requests, that one target may carry after
// admitting one more request: multiple times the mean load that its service
// would then have over n targets, scaled by the target's weight. The bound is
// never below an even share rounded up to whole requests, so that some target
// always has room, and never below one request. total is the service's load
// before the request.
func Bound(multiple, total float64, n int, weight float64) float64 {
	if n <= 0 {
		return oneRequest
	}
	load := ServiceLoad{Requests: total, Weight: float64(n)}
	return load.limitAfterAdmit(multiple, weight)
}

// ServiceLoad is the combined load of a service's targets.
type ServiceLoad struct {
	// Requests is the number of requests that the targets carry.
	Requests float64
	// Weight is the sum of the targets' weights.
	Weight float64
}

// Mean returns the mean load, in requests, of a target of weight one. If the
// total weight is not positive, it returns all requests.
func (l ServiceLoad) Mean() float64 {
	if l.Weight <= 0 {
		return l.Requests
	}
	return l.Requests / l.Weight
}

// Limit returns the maximum load, in requests, of a target of the given weight
// at the current service load: multiple times the mean, with the same minimums
// as Bound. Unlike Bound it does not count a further request.
func (l ServiceLoad) Limit(multiple, weight float64) float64 {
	meanLoad := l.Mean() * normalWeight(weight)
	return max(oneRequest, multiple*meanLoad, math.Ceil(meanLoad))
}

func (l ServiceLoad) limitAfterAdmit(multiple, weight float64) float64 {
	after := ServiceLoad{Requests: max(l.Requests, 0) + oneRequest, Weight: max(l.Weight, normalWeight(weight))}
	return after.Limit(multiple, weight)
}
