package suspicion

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// Times after which a target with open streams is taken to be cut off or dead.
// An engine sends an event about every 30 ms and pauses for the reading of a
// long prompt; several streams that are silent at once show more than one.
const (
	muteOne  = 800 * time.Millisecond
	muteMany = 400 * time.Millisecond
	// manyStreams is the number of streams from which muteMany holds.
	manyStreams = 2
	// muteTargets is how many targets of a failure domain must be mute, with none
	// heard, before the whole domain is taken to be cut off.
	muteTargets = 2
)

// hearing is what is heard of a target's open streams.
type hearing struct {
	domain fleet.DomainName
	open   int
	last   time.Time
}

func (h *hearing) mute(now time.Time) bool {
	silent := now.Sub(h.last)
	return (h.open >= manyStreams && silent >= muteMany) || (h.open > 0 && silent >= muteOne)
}

// StreamBegan notes that a target began to answer with a stream; the returned
// functions note a further event and the stream's end.
func (b *Book) StreamBegan(id fleet.TargetID, domain fleet.DomainName, now time.Time) (heard func(time.Time), ended func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.hearings[id]
	if h == nil {
		h = &hearing{domain: domain}
		b.hearings[id] = h
	}
	h.open++
	h.last = now
	heard = func(now time.Time) {
		b.mu.Lock()
		h.last = now
		b.mu.Unlock()
	}
	ended = func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		h.open--
		if h.open == 0 && b.hearings[id] == h {
			delete(b.hearings, id)
		}
	}
	return heard, ended
}

// Mute reports whether nothing is heard of a target, or of any target of its
// failure domain, although streams are open there.
func (b *Book) Mute(id fleet.TargetID, domain fleet.DomainName, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mute(id, domain, now)
}

func (b *Book) mute(id fleet.TargetID, domain fleet.DomainName, now time.Time) bool {
	if h := b.hearings[id]; h != nil {
		return h.mute(now)
	}
	muted := 0
	for _, h := range b.hearings {
		if h.domain != domain {
			continue
		}
		if !h.mute(now) {
			return false
		}
		muted++
	}
	return muted >= muteTargets
}
