package targetlimit

import (
	"math"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

const (
	// brittleLifetime is how long a target is taken for brittle after the last response that
	// said so.
	brittleLifetime = 10 * time.Second
	// rejectionWindow is the span in which a brittle target counts its rejections.
	rejectionWindow = time.Second
	// rejectionShare is the share of the rejections that a target bears which all routers
	// together cause before no more is sent to it. The rest is for sends in flight.
	rejectionShare = 0.5
	// maxRejectionsKept bounds the rejections of one target that are kept.
	maxRejectionsKept = 256
	// Once there are steadyShare of the rejections that a target bears, the rate of sends
	// becomes rateAfterRejection of what it was, at most once in ratePause. Then it grows by
	// rateGrowth a second.
	steadyShare        = 0.25
	rateAfterRejection = 0.8
	ratePause          = time.Second
	rateGrowth         = 0.08
	// quietGrowth is the growth once there was no rejection for quietPeriod.
	quietGrowth = 0.5
	quietPeriod = time.Second
	minRate     = 1
	// maxOverRate bounds the rate as a multiple of what was granted lately.
	maxOverRate = 2
	// rateDepth is the number of sends that may follow each other at once.
	rateDepth = 1.5
	// rateLifetime is the time without rejections after which the rate is no longer bounded.
	rateLifetime = 15 * time.Second
	// grantPeriod is the time constant of the measured rate of grants.
	grantPeriod = time.Second
	// maxDenial bounds how long a router does not ask again after a denial.
	maxDenial = 100 * time.Millisecond
)

// BrittleReport is what a target said of the rejections that it bears.
type BrittleReport struct {
	// Rejections is the number in a second beyond which it falls over.
	Rejections float64
	// Sound means that the target said nothing of it any more.
	Sound bool
	At    time.Time
}

// brittle is the state of a brittle target.
type brittle struct {
	report BrittleReport
	// rejections holds the times of the newest rejections that this router knows of: all of
	// the fleet's at the target's holder.
	rejections []time.Time
	// rate bounds the grants per second; zero means that it does not. tokens, at refilledAt,
	// are what may be granted at once.
	rate, tokens float64
	refilledAt   time.Time
	loweredAt    time.Time
	// granted is the measured rate of grants at grantedAt.
	granted                  float64
	grantingSince, grantedAt time.Time
	// deniedUntil is until when this router does not ask for a permit.
	deniedUntil time.Time
}

func (b *brittle) active(now time.Time) bool {
	return b != nil && !b.report.Sound && now.Sub(b.report.At) < brittleLifetime
}

// RecordBrittle records that a target named the rejections that it bears in a response.
func (t *Tracker) RecordBrittle(id fleet.TargetID, rejections float64, now time.Time) (changed bool) {
	return t.MergeBrittle(id, BrittleReport{Rejections: rejections, At: now}, now)
}

// RecordSound records a response in which a target named none.
func (t *Tracker) RecordSound(id fleet.TargetID, now time.Time) (changed bool) {
	if t.knownBrittle.Load() == 0 {
		return false
	}
	return t.MergeBrittle(id, BrittleReport{Sound: true, At: now}, now)
}

// MergeBrittle adds what another router knows. It reports whether the target became brittle
// or is no longer.
func (t *Tracker) MergeBrittle(id fleet.TargetID, r BrittleReport, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.At.After(now) {
		r.At = now
	}
	b := t.brittle[id]
	if now.Sub(r.At) >= brittleLifetime || (b != nil && !r.At.After(b.report.At)) {
		return false
	}
	if b == nil {
		if r.Sound || len(t.brittle) >= maxTargets {
			return false
		}
		b = &brittle{}
		t.brittle[id] = b
		t.knownBrittle.Store(int32(len(t.brittle)))
	}
	was := b.active(now)
	b.report = r
	return was != b.active(now)
}

// Brittle returns what a brittle target said, or false if the target is not known to be one.
func (t *Tracker) Brittle(id fleet.TargetID, now time.Time) (BrittleReport, bool) {
	if t.knownBrittle.Load() == 0 {
		return BrittleReport{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.brittle[id]
	if !b.active(now) {
		return BrittleReport{}, false
	}
	return b.report, true
}

// BrittleReports returns what is known of brittle targets, and of those that no longer are.
func (t *Tracker) BrittleReports(now time.Time) map[fleet.TargetID]BrittleReport {
	if t.knownBrittle.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := map[fleet.TargetID]BrittleReport{}
	for id, b := range t.brittle {
		if now.Sub(b.report.At) < brittleLifetime {
			reports[id] = b.report
		}
	}
	return reports
}

// NeedsPermit reports whether sends to a target need permits, because it names a limit or is
// brittle.
func (t *Tracker) NeedsPermit(id fleet.TargetID, now time.Time) bool {
	if _, ok := t.Brittle(id, now); ok {
		return true
	}
	return t.IsLimited(id, now)
}

// RecordRejection records that a brittle target rejected a request for want of room.
func (t *Tracker) RecordRejection(id fleet.TargetID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.brittle[id]
	if b == nil {
		return
	}
	if len(b.rejections) == maxRejectionsKept {
		b.rejections = slices.Delete(b.rejections, 0, 1)
	}
	b.rejections = append(b.rejections, now)
	measured := !b.grantingSince.IsZero() && now.Sub(b.grantingSince) >= grantPeriod
	if !measured || now.Sub(b.loweredAt) < ratePause || float64(b.rejectionsLately(now)) < steadyShare*b.report.Rejections {
		return
	}
	// What was granted before nothing more was sent to the target is what it was offered.
	rate := b.granted
	if b.rate > 0 {
		rate = min(b.rate, maxOverRate*rate)
	}
	b.rate, b.loweredAt, b.refilledAt, b.tokens = max(rateAfterRejection*rate, minRate), now, now, 0
}

// RecordDenial keeps this router from asking again at once for a permit of a brittle target.
func (t *Tracker) RecordDenial(id fleet.TargetID, wait time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.brittle[id]; b != nil {
		b.deniedUntil = now.Add(min(wait, maxDenial))
	}
}

// Denied reports whether a permit of a brittle target was denied so lately that another one
// would be too.
func (t *Tracker) Denied(id fleet.TargetID, now time.Time) bool {
	if t.knownBrittle.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.brittle[id]
	return b.active(now) && now.Before(b.deniedUntil)
}

// grantRate returns the measured rate of grants per second.
func (b *brittle) grantRate(now time.Time) float64 {
	return b.granted * math.Exp(-now.Sub(b.grantedAt).Seconds()/grantPeriod.Seconds())
}

// take grants a send to a brittle target, or returns the time until there may be another
// one. share is the fraction of the rejections that may be caused by what is granted here.
func (b *brittle) take(share float64, now time.Time) (bool, time.Duration) {
	if wait := b.closedFor(share, now); wait > 0 {
		return false, wait
	}
	b.refill(now)
	if b.rate > 0 && b.tokens < 1 {
		return false, max(time.Duration((1-b.tokens)/b.rate*float64(time.Second)), time.Millisecond)
	}
	b.tokens--
	if b.grantingSince.IsZero() {
		b.grantingSince = now
	}
	b.granted, b.grantedAt = b.grantRate(now)+1/grantPeriod.Seconds(), now
	return true, 0
}

// takeBrittle is brittle.take for a target, which need not be brittle; t.mu must be held.
func (t *Tracker) takeBrittle(id fleet.TargetID, share float64, now time.Time) (bool, time.Duration) {
	b := t.brittle[id]
	if !b.active(now) {
		return true, 0
	}
	return b.take(share, now)
}

// closedFor returns how long nothing may be sent because of the rejections within
// rejectionWindow.
func (b *brittle) closedFor(share float64, now time.Time) time.Duration {
	allowed := max(int(rejectionShare*share*b.report.Rejections), 1)
	if b.rejectionsLately(now) < allowed {
		return 0
	}
	return rejectionWindow - now.Sub(b.rejections[len(b.rejections)-allowed])
}

// rejectionsLately drops the rejections before rejectionWindow and returns the number of the
// others.
func (b *brittle) rejectionsLately(now time.Time) int {
	b.rejections = slices.DeleteFunc(b.rejections, func(at time.Time) bool { return now.Sub(at) >= rejectionWindow })
	return len(b.rejections)
}

// refill raises the rate and adds its tokens.
func (b *brittle) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 || b.rate == 0 {
		return
	}
	if now.Sub(b.loweredAt) >= rateLifetime {
		b.rate = 0
		return
	}
	b.tokens = min(b.tokens+b.rate*elapsed.Seconds(), rateDepth)
	growth := rateGrowth
	if now.Sub(b.loweredAt) >= quietPeriod {
		growth = quietGrowth
	}
	b.rate *= 1 + growth*elapsed.Seconds()
	b.refilledAt = now
}
