package soak

import (
	"context"
	"slices"
	"strconv"
	"time"
)

const (
	// limitPerSecond is the rate limit that targets name. It is a fraction of what they
	// get without one.
	limitPerSecond = 2
	// limitTime is how long they name it.
	limitTime = 9 * time.Second
)

// limitText returns the limit that the target names.
func (t *target) limitText() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limit == 0 {
		return ""
	}
	return strconv.Itoa(t.limit)
}

func (t *target) setLimit(perSecond int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = perSecond
}

// limitTargets lets every other target name a limit for a while. It returns the limits.
func (i *injector) limitTargets(ctx context.Context) []Limit {
	env := i.environment
	if !i.awaitStart(ctx) {
		return nil
	}
	env.mu.Lock()
	targets := slices.Clone(env.active)
	env.mu.Unlock()
	from := time.Now()
	var limited []*target
	for n, t := range targets {
		if n%2 == 0 {
			t.setLimit(limitPerSecond)
			limited = append(limited, t)
		}
	}
	i.countPlanned("limits")
	select {
	case <-ctx.Done():
	case <-time.After(limitTime):
	}
	var limits []Limit
	for _, t := range limited {
		t.setLimit(0)
		limits = append(limits, Limit{Target: t.ID, PerSecond: limitPerSecond, From: from, To: time.Now()})
	}
	return limits
}
