package soak

import (
	"context"
	"slices"
	"time"
)

const (
	// coldPerSecond is the rate that cold targets take, and coldOver and coldSlack what all
	// routers together may send beyond it.
	coldPerSecond = 3
	coldOver      = 1.5
	coldSlack     = 3.5
	// coldBound is the largest number of requests in a second, coldFall the one beyond which a
	// cold target falls over.
	coldBound = 8
	coldFall  = 2 * coldBound
	// coldTime is how long a target is cold, coldPause the time between two turns of half of the
	// engines.
	coldTime  = 6 * time.Second
	coldPause = time.Second
	// coldDelay is the time that routers have to learn that a target has become cold.
	coldDelay = time.Second
)

// ColdTime is a time in which a target was cold.
type ColdTime struct {
	Target   string
	From, To time.Time
}

// coldFor returns how much longer the target stays cold.
func (t *target) coldFor() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Until(t.coldUntil)
}

// coolDown makes a target cold from now on, as it tells in its entry.
func (env *environment) coolDown(t *target) {
	from := time.Now()
	t.mu.Lock()
	t.coldUntil = from.Add(coldTime)
	t.mu.Unlock()
	env.putTarget(t, "ready")
	env.mu.Lock()
	defer env.mu.Unlock()
	env.colds = append(env.colds, ColdTime{t.ID, from, from.Add(coldTime)})
}

// allColds returns the times in which targets were cold so far.
func (env *environment) allColds() []ColdTime {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.colds)
}

// coolTargets makes the first and the second half of the engines cold by turns until ctx ends.
func (i *injector) coolTargets(ctx context.Context) {
	env := i.environment
	if !i.awaitStart(ctx) {
		return
	}
	for turn := 0; ctx.Err() == nil; turn++ {
		env.mu.Lock()
		targets := slices.DeleteFunc(slices.Clone(env.active), func(t *target) bool { return t.Cold == nil || env.leaving[t] })
		env.mu.Unlock()
		i.countPlanned("cold")
		for n, t := range targets {
			if n%2 == turn%2 {
				env.coolDown(t)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(coldTime + coldPause):
		}
	}
}

// checkCold checks that a cold target gets no more requests in any second than it may, from
// coldDelay after the store could tell that it has become cold. Requests that a cut to a target
// has held up count for no second.
func (c *checker) checkCold(cold ColdTime) {
	known := c.storeTellsAt(cold.From).Add(coldDelay)
	var times []time.Time
	for _, a := range c.h.Arrivals {
		if a.Target == cold.Target && a.At.After(known) && a.At.Before(cold.To) {
			times = append(times, a.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	for i, to := range times {
		from := to.Add(-time.Second)
		n := i + 1 - countBefore(times, from)
		if n > coldBound && !c.heldUp(from, to) {
			c.add("cold", "", "target %s, cold since %v, got %d requests in the second until %v, want at most %d", cold.Target, cold.From.UTC().Format(time.StampMilli), n,
				to.UTC().Format(time.StampMilli), coldBound)
			return
		}
	}
}

// storeTellsAt returns when the store could tell of a change: at once, or at the end of the faults
// of the store as a whole that were present or followed before it was told. Calls that the store
// has left without an answer end only by their timeouts, after settleTime.
func (c *checker) storeTellsAt(change time.Time) time.Time {
	tells := change
	for again := true; again; {
		again = false
		for _, f := range c.h.Faults {
			end := f.To
			switch f.Kind {
			case "store-silent":
				end = end.Add(settleTime)
			case "store-refuses":
			default:
				continue
			}
			if f.From.Before(tells.Add(coldDelay)) && end.After(tells) {
				tells, again = end, true
			}
		}
	}
	return tells
}

// heldUp reports whether a cut to a target may have held up requests that arrived in a time.
func (c *checker) heldUp(from, to time.Time) bool {
	return slices.ContainsFunc(c.h.Faults, func(f FaultInterval) bool {
		return f.Kind == "target-cut" && f.From.Before(to) && f.To.After(from.Add(-time.Second))
	})
}
