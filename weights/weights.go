// Package weights implements a client for the rate-limited weight store, which
// holds the models, adapters and versions that engines load.
package weights

import (
	"context"
	"errors"
	"time"
)

// ErrNotFound means that the store has no such artifact.
var ErrNotFound = errors.New("weights: not found")

// Reservation is the permission to load one artifact.
type Reservation struct {
	Artifact string `json:"artifact"`
	// Delay is how long the load must be delayed because of the store's rate limit;
	// zero means that it may start immediately.
	Delay time.Duration `json:"wait"`
}

// Store grants permission to load artifacts. Implementations must be safe for
// concurrent use.
type Store interface {
	// Reserve reserves a load of an artifact and returns the reservation. Errors
	// wrap ErrNotFound or ErrUnavailable.
	Reserve(ctx context.Context, artifact string) (Reservation, error)
}
