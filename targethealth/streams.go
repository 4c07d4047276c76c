package targethealth

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// Time without events after which a target with open streams is avoided, because it
// is probably unreachable or dead. An engine sends an event about every 30 ms and
// pauses while it processes a long prompt. Several streams that are silent at the
// same time are stronger evidence than one, so the timeout is shorter.
const (
	singleStreamTimeout = 800 * time.Millisecond
	multiStreamTimeout  = 400 * time.Millisecond
	// minMultiStreams is the number of open streams at which multiStreamTimeout applies.
	minMultiStreams = 2
	// minSilentTargets is how many targets of a failure domain must be silent, and
	// none sending, before the domain's targets without open streams are avoided too.
	minSilentTargets = 2
)

// streamActivity tracks the open streams of a target.
type streamActivity struct {
	domain      fleet.DomainName
	openStreams int
	lastEvent   time.Time
}

func (a *streamActivity) silent(now time.Time) bool {
	idle := now.Sub(a.lastEvent)
	return (a.openStreams >= minMultiStreams && idle >= multiStreamTimeout) || (a.openStreams > 0 && idle >= singleStreamTimeout)
}

// TrackStream records that a target began to answer with a stream. The caller must
// call onEvent for each further event and onEnd once when the stream ends.
func (b *Tracker) TrackStream(id fleet.TargetID, domain fleet.DomainName, now time.Time) (onEvent func(time.Time), onEnd func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	activity := b.streams[id]
	if activity == nil {
		activity = &streamActivity{domain: domain}
		b.streams[id] = activity
	}
	activity.openStreams++
	activity.lastEvent = now
	onEvent = func(now time.Time) {
		b.mu.Lock()
		activity.lastEvent = now
		b.mu.Unlock()
	}
	onEnd = func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		activity.openStreams--
		if activity.openStreams == 0 && b.streams[id] == activity {
			delete(b.streams, id)
		}
	}
	return onEvent, onEnd
}

// silent reports whether a target is silent although streams are open there. For a
// target without open streams, it reports whether all targets of the failure
// domain with open streams are silent, provided there are at least two. b.mu must be
// held.
func (b *Tracker) silent(id fleet.TargetID, domain fleet.DomainName, now time.Time) bool {
	if activity := b.streams[id]; activity != nil {
		return activity.silent(now)
	}
	silentTargets := 0
	for _, activity := range b.streams {
		if activity.domain != domain {
			continue
		}
		if !activity.silent(now) {
			return false
		}
		silentTargets++
	}
	return silentTargets >= minSilentTargets
}
