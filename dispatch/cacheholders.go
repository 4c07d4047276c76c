package dispatch

import (
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/fleet"
)

const (
	// maxParts bounds the recorded parts; a large deployment has about 1,400 shared
	// parts.
	maxParts = 2048
	// holdersPerPart is the number of holders recorded for each part.
	holdersPerPart = 2
	// holderLifetime is how long a target is assumed to hold a part after its last
	// request with it.
	holderLifetime = 30 * time.Second
)

// CacheHolders records which targets hold which prompt parts in their cache, as a result
// of this router's requests. It is safe for concurrent use.
type CacheHolders struct {
	mu    sync.Mutex
	parts map[uint64]*partHolders
}

// partHolders holds the latest holders of a part, the most recent first.
type partHolders struct {
	ids [holdersPerPart]fleet.TargetID
	at  [holdersPerPart]time.Time
}

// NewCacheHolders returns an empty CacheHolders.
func NewCacheHolders() *CacheHolders {
	return &CacheHolders{parts: map[uint64]*partHolders{}}
}

// Record records that a target served a request. The last part of the prompt is
// ignored because it belongs to the request itself.
func (h *CacheHolders) Record(prompt []call.Part, id fleet.TargetID, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, part := range call.SharedParts(prompt) {
		held := h.parts[part.ID]
		if held == nil {
			h.evictIfFull()
			held = &partHolders{}
			h.parts[part.ID] = held
		}
		if held.ids[0] != id {
			held.ids[1], held.at[1] = held.ids[0], held.at[0]
		}
		held.ids[0], held.at[0] = id, now
	}
}

// evictIfFull drops an arbitrary part if there are maxParts. At worst, one prompt
// is processed again.
func (h *CacheHolders) evictIfFull() {
	if len(h.parts) < maxParts {
		return
	}
	for id := range h.parts {
		delete(h.parts, id)
		return
	}
}

// RemoveTarget removes a target that has restarted and lost its cache.
func (h *CacheHolders) RemoveTarget(id fleet.TargetID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, held := range h.parts {
		for i := range held.ids {
			if held.ids[i] == id {
				held.ids[i] = ""
			}
		}
	}
}

// BetterHolder returns a usable holder of the longest shared prefix of the prompt, or
// an empty ID if none is known or chosen holds as much. A non-empty fallback is
// returned, without a check by usable, unless a usable target or chosen is known to
// hold the whole shared prompt; it is ignored if the prompt has no shared part. usable
// reports whether a target can be the source.
func (h *CacheHolders) BetterHolder(prompt []call.Part, chosen, fallback fleet.TargetID, now time.Time, usable func(fleet.TargetID) bool) fleet.TargetID {
	h.mu.Lock()
	defer h.mu.Unlock()
	parts := call.SharedParts(prompt)
	for i := len(parts) - 1; i >= 0; i-- {
		if held := h.parts[parts[i].ID]; held != nil {
			if held.holds(chosen, now) {
				return ""
			}
			if id := held.firstUsable(now, usable); id != "" {
				return id
			}
		}
		if fallback != "" {
			return fallback
		}
	}
	return ""
}

func (h *partHolders) firstUsable(now time.Time, usable func(fleet.TargetID) bool) fleet.TargetID {
	for i, id := range h.ids {
		if id != "" && now.Sub(h.at[i]) < holderLifetime && usable(id) {
			return id
		}
	}
	return ""
}

func (h *partHolders) holds(id fleet.TargetID, now time.Time) bool {
	for i := range h.ids {
		if h.ids[i] == id && now.Sub(h.at[i]) < holderLifetime {
			return true
		}
	}
	return false
}
