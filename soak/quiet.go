package soak

import (
	"context"
	"slices"
	"strconv"
	"time"

	"ragwortpond.example/ragwortpond/platform/standin"
)

const (
	// quietTime is the Retry-After of rejections, quietRejections the fraction of requests
	// that are rejected with it.
	quietTime       = 2 * time.Second
	quietRejections = 0.3
	// quietPhase is how long targets do so.
	quietPhase = 6 * time.Second
)

// retryAfterText returns the Retry-After header of rejections.
func (t *target) retryAfterText() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.quiet {
		return ""
	}
	return strconv.FormatFloat(quietTime.Seconds(), 'f', -1, 64)
}

func (t *target) setQuiet(quiet bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quiet = quiet
}

// askForQuiet lets every other target reject some requests and ask for quiet for a while.
func (i *injector) askForQuiet(ctx context.Context) {
	env := i.environment
	if !i.awaitStart(ctx) {
		return
	}
	env.mu.Lock()
	targets := slices.Clone(env.active)
	env.mu.Unlock()
	i.during("quiet", func() {
		for n, t := range targets {
			if n%2 == 0 {
				t.setQuiet(true)
				t.setMisbehavior(standin.Reject, quietRejections)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(quietPhase):
		}
		for n, t := range targets {
			if n%2 == 0 {
				t.setMisbehavior(standin.Serve, 0)
				t.setQuiet(false)
			}
		}
	})
}
