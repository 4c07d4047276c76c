package targethealth

import (
	"math/bits"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
)

// Thresholds and durations of ejections: see docs/design/60-platform.md.
const (
	// historyLength is the number of a target's last attempts that are kept, one bit each.
	historyLength = 8
	// minUnsound is the number of unsound ones of them, and minUnsoundInRow that of the last
	// ones, either of which ejects a target if the unsound share exceeds that of its service
	// by excessUnsoundRate, or maxUnsoundRate.
	minUnsound        = 3
	minUnsoundInRow   = 2
	excessUnsoundRate = 0.25
	maxUnsoundRate    = 0.9
	// soundToReadmit is the number of sound attempts in a row that end an ejection.
	soundToReadmit = 3
	// minTrialDelay is the time from the ejection, or from a trial that failed, to the next
	// trial; it doubles up to maxTrialDelay.
	minTrialDelay = time.Second
	maxTrialDelay = 8 * time.Second
	// minProbeDelay and maxProbeDelay are the same of probes, which are priced, from the time on
	// at which a trial was due.
	minProbeDelay = 2 * time.Second
	maxProbeDelay = 32 * time.Second
	// probeDemand is how long after a request that may run once, and found the target
	// ejected, the target is probed.
	probeDemand = time.Second
	// lostAnswerTime is how long one unsound attempt counts as load, unsoundLoadTime several in
	// a row. Sound targets lose an answer now and then.
	lostAnswerTime  = 2 * time.Second
	unsoundLoadTime = 8 * time.Second
)

// Answer tells whether an attempt brought anything that belongs to it.
type Answer uint8

// Answers.
const (
	// Unsound means that the attempt was sent and brought nothing.
	Unsound Answer = iota
	// Sound means that it brought an answer, or the beginning of a stream.
	Sound
)

// Purpose tells what an attempt may be used for.
type Purpose uint8

// Purposes.
const (
	// Repeat is a further attempt of a request: neither a trial nor a reason for a probe.
	Repeat Purpose = iota
	// Trial is an attempt that may find out whether an ejected target is sound again, since its
	// request can be repeated at another target.
	Trial
	// Once is the attempt of a request that may run once.
	Once
)

// ejection is what a target's attempts say of its answers.
type ejection struct {
	// unsound holds the last count attempts, the newest in the lowest bit.
	unsound uint8
	count   int
	// unsoundInRow counts the unsound attempts since the last sound one, soundInRow the sound
	// ones since the last unsound one.
	unsoundInRow, soundInRow int
	lastUnsound, lastSound   time.Time
	ejected                  bool
	// inTrial is set while a trial is in flight or its result unknown. trialAt is when the next
	// one may begin, failedTrials the number of those that failed in a row.
	inTrial      bool
	trialAt      time.Time
	failedTrials int
	// probed is set once a probe was answered since the last unsound attempt. probeAt,
	// failedProbes are like trialAt, failedTrials; wantedAt is when a request that may run
	// once last found the target ejected.
	probed       bool
	probeAt      time.Time
	failedProbes int
	wantedAt     time.Time
}

// push adds an attempt to the history.
func (e *ejection) push(unsound bool) {
	e.unsound <<= 1
	if unsound {
		e.unsound |= 1
	}
	e.count = min(e.count+1, historyLength)
}

func (e *ejection) unsoundShare() float64 {
	return float64(bits.OnesCount8(e.unsound)) / float64(max(e.count, 1))
}

// recordSound records a sound attempt.
func (e *ejection) recordSound(now time.Time) {
	e.push(false)
	e.unsoundInRow, e.lastSound = 0, now
	e.soundInRow++
	e.inTrial, e.trialAt = false, now
	if e.ejected && e.soundInRow >= soundToReadmit {
		*e = ejection{lastSound: now, soundInRow: e.soundInRow, count: e.soundInRow}
	}
}

// recordUnsound records an unsound attempt. serviceShare is the unsound share of the service.
func (e *ejection) recordUnsound(serviceShare float64, now time.Time) {
	e.push(true)
	e.soundInRow, e.lastUnsound = 0, now
	e.unsoundInRow++
	switch {
	case e.ejected:
		if e.inTrial {
			e.failedTrials++
		}
		if e.probed {
			e.failedProbes += 2
		}
	case e.failsMoreThan(serviceShare):
		e.ejected = true
	default:
		return
	}
	e.inTrial, e.probed = false, false
	e.trialAt = now.Add(doubled(minTrialDelay, e.failedTrials, maxTrialDelay))
	e.probeAt = e.trialAt.Add(doubled(minProbeDelay, e.failedProbes, maxProbeDelay))
}

// failsMoreThan reports whether enough of the last attempts were unsound, by the unsound share of
// the service, for the target to be ejected.
func (e *ejection) failsMoreThan(serviceShare float64) bool {
	enough := bits.OnesCount8(e.unsound) >= minUnsound || e.unsoundInRow >= minUnsoundInRow
	return enough && e.unsoundShare() > min(serviceShare+excessUnsoundRate, maxUnsoundRate)
}

// admits reports whether an attempt may be sent to the target as if that were not ejected.
func (e *ejection) admits(p Purpose, now time.Time) bool {
	if !e.ejected {
		return true
	}
	if p == Once {
		e.wantedAt = now
	}
	return (p == Trial || (p == Once && e.probed)) && !now.Before(e.trialAt)
}

// recentlyUnsound reports whether the last attempt was unsound and counts as load.
func (e *ejection) recentlyUnsound(now time.Time) bool {
	age := now.Sub(e.lastUnsound)
	return age < lostAnswerTime && e.unsoundInRow > 0 || age < unsoundLoadTime && e.unsoundInRow > 1
}

// beginTrial records that a request was sent to an ejected target. Its result is waited for as
// long as that of a trial that failed would delay the next one.
func (e *ejection) beginTrial(now time.Time) {
	e.inTrial = true
	e.trialAt = now.Add(doubled(minTrialDelay, e.failedTrials+1, maxTrialDelay))
}

// doubled returns the wait, doubled n times, at most longest.
func doubled(wait time.Duration, n int, longest time.Duration) time.Duration {
	for range n {
		if wait >= longest {
			break
		}
		wait *= 2
	}
	return min(wait, longest)
}

// RecordAnswer records what an attempt that was sent at a time brought, and reports whether the
// target was ejected before and is after. An unsound attempt that was sent before the target's last
// unsound one ended is ignored: what ended both may be neither's fault.
func (b *Tracker) RecordAnswer(t *catalog.Target, a Answer, sentAt, now time.Time) (before, after bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.getOrCreate(t, now)
	service := b.answers[t.Service]
	e := &r.ejection
	before = e.ejected
	switch {
	case a == Sound:
		service.add(now, false)
		e.recordSound(now)
	case sentAt.After(e.lastUnsound):
		service.add(now, true)
		e.recordUnsound(service.share(), now)
	}
	if a == Unsound {
		b.unsoundTargets.Store(true)
	}
	return before, e.ejected
}

// UnsoundLoad returns the load that a target's unsound attempts stand for, as a multiple of its
// slots: none for an attempt that is to be a trial. To attempts that cannot be trials, other routers'
// reports stand for one more.
func (b *Tracker) UnsoundLoad(id fleet.TargetID, p Purpose, now time.Time) float64 {
	if !b.unsoundTargets.Load() {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	load := 0.0
	if p != Trial && b.hearsayOn(id) > 0 {
		load++
	}
	r := b.records[id]
	if r == nil {
		return load
	}
	e := &r.ejection
	if !e.recentlyUnsound(now) || (e.ejected && e.admits(p, now)) {
		return load
	}
	return load + float64(e.unsoundInRow)
}

// BeginTrial records that a request is sent to a target, which is a trial if the target is
// ejected.
func (b *Tracker) BeginTrial(id fleet.TargetID, now time.Time) {
	if !b.unsoundTargets.Load() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.records[id]; r != nil && r.ejection.ejected {
		r.ejection.beginTrial(now)
	}
}

// DueHealthProbes returns the ejected targets whose health is to be asked for now, because
// requests that may run once arrive for them. A returned target is due again only after its delay.
func (b *Tracker) DueHealthProbes(now time.Time) []fleet.TargetID {
	if !b.unsoundTargets.Load() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var due []fleet.TargetID
	unsound := len(b.heard) > 0
	defer func() { b.unsoundTargets.Store(unsound) }()
	for id, r := range b.records {
		e := &r.ejection
		unsound = unsound || e.ejected || e.recentlyUnsound(now)
		if !e.ejected || e.probed || now.Before(e.probeAt) || now.Sub(e.wantedAt) > probeDemand {
			continue
		}
		e.probeAt = now.Add(doubled(minProbeDelay, e.failedProbes+1, maxProbeDelay))
		due = append(due, id)
	}
	return due
}

// RecordHealthProbe records whether a target answered a probe of its health soundly.
func (b *Tracker) RecordHealthProbe(id fleet.TargetID, a Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[id]
	if r == nil || !r.ejection.ejected {
		return
	}
	if r.ejection.probed = a == Sound; a != Sound {
		r.ejection.failedProbes++
	}
}
