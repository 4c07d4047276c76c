// Package sleep provides a sleep that a context can end.
package sleep

import (
	"context"
	"time"
)

// For waits for d and returns nil, or returns the error of ctx if ctx ends first.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
