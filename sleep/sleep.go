// Package sleep waits for a time or for the end of a context.
package sleep

import (
	"context"
	"time"
)

// For waits for d and returns nil, or the error of ctx if that ends first.
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
