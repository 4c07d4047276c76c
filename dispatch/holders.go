package dispatch

import (
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/fleet"
)

const (
	// mostParts bounds the parts that are remembered; a grown deployment has
	// about 1,400 shared parts.
	mostParts = 2048
	// holdersEach is how many holders are remembered of a part.
	holdersEach = 2
	// holderLife is how long a target is taken to keep a part after its last
	// request with it.
	holderLife = 30 * time.Second
)

// Holders remembers which targets this router's requests left parts of prompts
// at. It is safe for concurrent use.
type Holders struct {
	mu    sync.Mutex
	parts map[uint64]*holding
}

// holding is the latest holders of a part, the last one first.
type holding struct {
	ids [holdersEach]fleet.TargetID
	at  [holdersEach]time.Time
}

// NewHolders returns an empty memory.
func NewHolders() *Holders {
	return &Holders{parts: map[uint64]*holding{}}
}

// Note takes a request that a target has served. The last part belongs to the
// request itself.
func (h *Holders) Note(prompt []call.Part, id fleet.TargetID, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, part := range shared(prompt) {
		held := h.parts[part.ID]
		if held == nil {
			h.makeRoom()
			held = &holding{}
			h.parts[part.ID] = held
		}
		if held.ids[0] != id {
			held.ids[1], held.at[1] = held.ids[0], held.at[0]
		}
		held.ids[0], held.at[0] = id, now
	}
}

// makeRoom drops some part, which costs no more than a prompt read once more.
func (h *Holders) makeRoom() {
	if len(h.parts) < mostParts {
		return
	}
	for id := range h.parts {
		delete(h.parts, id)
		return
	}
}

// Renewed drops a target that knows nothing of before.
func (h *Holders) Renewed(id fleet.TargetID) {
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

// Beyond returns a target that holds more of a prompt than the chosen one is
// known to: guess where it is set, unless this router knows a holder of the
// whole shared prompt, else the holder of its longest beginning. usable says
// which targets can be asked. The result is empty if none is known.
func (h *Holders) Beyond(prompt []call.Part, chosen, guess fleet.TargetID, now time.Time, usable func(fleet.TargetID) bool) fleet.TargetID {
	h.mu.Lock()
	defer h.mu.Unlock()
	parts := shared(prompt)
	for i := len(parts) - 1; i >= 0; i-- {
		if held := h.parts[parts[i].ID]; held != nil {
			if held.has(chosen, now) {
				return ""
			}
			if id := held.usable(now, usable); id != "" {
				return id
			}
		}
		if guess != "" {
			return guess
		}
	}
	return ""
}

func (h *holding) usable(now time.Time, usable func(fleet.TargetID) bool) fleet.TargetID {
	for i, id := range h.ids {
		if id != "" && now.Sub(h.at[i]) < holderLife && usable(id) {
			return id
		}
	}
	return ""
}

func (h *holding) has(id fleet.TargetID, now time.Time) bool {
	for i := range h.ids {
		if h.ids[i] == id && now.Sub(h.at[i]) < holderLife {
			return true
		}
	}
	return false
}

// shared is the parts of a prompt that other requests may share.
func shared(prompt []call.Part) []call.Part {
	return prompt[:max(len(prompt)-1, 0)]
}
