package placement

import "math"

// oneRequest is the load of one request.
const oneRequest = 1.0

// Bound returns the most load, in requests, that one target may carry once it
// has taken one request more: multiple times the mean that its service would
// then have over n targets, scaled by the target's weight. It is never below
// the whole requests of an even spread, so that some target always has room,
// and never below one request. total is the service's load before the request.
func Bound(multiple, total float64, n int, weight float64) float64 {
	if n <= 0 {
		return oneRequest
	}
	service := ServiceLoad{Requests: total, Weight: float64(n)}
	return service.bound(multiple, weight)
}

// ServiceLoad is the load of a service's targets together.
type ServiceLoad struct {
	// Requests is what the targets carry, in requests.
	Requests float64
	// Weight is the sum of the targets' weights.
	Weight float64
}

// Mean returns the load of a target of weight one.
func (l ServiceLoad) Mean() float64 {
	if l.Weight <= 0 {
		return l.Requests
	}
	return l.Requests / l.Weight
}

// Limit returns the most that a target of the given weight may carry at this
// load without exceeding the multiple. Bound is the limit after one request
// more.
func (l ServiceLoad) Limit(multiple, weight float64) float64 {
	share := l.Mean() * normalWeight(weight)
	return max(oneRequest, multiple*share, math.Ceil(share))
}

func (l ServiceLoad) bound(multiple, weight float64) float64 {
	after := ServiceLoad{Requests: max(l.Requests, 0) + oneRequest, Weight: max(l.Weight, normalWeight(weight))}
	return after.Limit(multiple, weight)
}
