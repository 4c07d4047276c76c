// Package weights is the client of the rate-limited weight store, which holds
// models, adapters and versions for engines to load.
package weights

import (
	"context"
	"errors"
	"time"
)

// ErrNotFound means that the store has no such artifact.
var ErrNotFound = errors.New("weights: not found")

// Ticket is a grant to load one artifact.
type Ticket struct {
	Artifact string `json:"artifact"`
	// Wait is how long the load has to wait for the store's rate; zero means
	// that it may start now.
	Wait time.Duration `json:"wait"`
}

// Store grants loads. Implementations are safe for concurrent use.
type Store interface {
	Reserve(ctx context.Context, artifact string) (Ticket, error)
}
