package placement

import "math"

// oneRequest is the least bound: a target may always carry one request.
const oneRequest = 1.0

// Bound returns the most load, in requests, that one target may carry once it
// has taken one request more: multiple times the mean that its service would
// then have over n targets, scaled by the target's weight, and never below one
// request. total is the service's load before the request.
func Bound(multiple, total float64, n int, weight float64) float64 {
	if n <= 0 {
		return oneRequest
	}
	mean := (max(total, 0) + oneRequest) / float64(n)
	return math.Max(oneRequest, multiple*mean*normalWeight(weight))
}
