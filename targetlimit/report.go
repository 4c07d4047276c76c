package targetlimit

import (
	"math"
	"time"
)

// Report is what a target said of its limit at a time.
type Report struct {
	// PerSecond is the limit in requests per second, from all routers together. If the
	// target lifted the limit, it is the last one.
	PerSecond float64
	Lifted    bool
	At        time.Time
}

const (
	// reportLifetime is how long a limit holds after the last response that named it.
	reportLifetime = 30 * time.Second
	// minPerSecond is the rate at which requests are sent to a target with a lower
	// limit, since only its responses tell when the limit ends.
	minPerSecond = 1
	// maxPerSecond is the upper bound of limits.
	maxPerSecond = 1e6
	// When a limit ends, the rate doubles every rampDoubling, and nothing is limited
	// after rampPeriod, so that the requests do not return all at once.
	rampDoubling = time.Second
	rampPeriod   = 3 * time.Second
)

// tooOld reports whether the report says nothing more of a target. A lift is kept for as
// long as older limits may arrive from other routers.
func (r Report) tooOld(now time.Time) bool {
	return now.Sub(r.At) >= reportLifetime+rampPeriod
}

// endsAt returns when the target lifted its limit, or is taken to have done so because
// it no longer responds.
func (r Report) endsAt() time.Time {
	if r.Lifted {
		return r.At
	}
	return r.At.Add(reportLifetime)
}

// rate returns the rate that may be sent at a time, in requests per second, or false if
// it is not limited.
func (r Report) rate(now time.Time) (float64, bool) {
	if r.At.IsZero() {
		return 0, false
	}
	base := min(max(r.PerSecond, minPerSecond), maxPerSecond)
	since := now.Sub(r.endsAt())
	switch {
	case since >= rampPeriod:
		return 0, false
	case since > 0:
		return base * math.Exp2(since.Seconds()/rampDoubling.Seconds()), true
	default:
		return base, true
	}
}
