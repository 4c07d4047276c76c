package router

import (
	"sync"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/membership"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/settings"
)

// homes finds the home router of a target and remembers it as long as the view
// and the settings stay the same.
type homes struct {
	view     func() *membership.View
	snapshot func() *settings.Snapshot

	mu       sync.Mutex
	seenView *membership.View
	seenSet  *settings.Snapshot
	known    map[fleet.TargetID]fleet.Router
}

func newHomes(view func() *membership.View, snapshot func() *settings.Snapshot) *homes {
	return &homes{view: view, snapshot: snapshot, known: map[fleet.TargetID]fleet.Router{}}
}

// Home implements entry.Router.
func (h *homes) Home(t fleet.Target) (fleet.Router, bool) {
	view, snapshot := h.view(), h.snapshot()
	h.mu.Lock()
	defer h.mu.Unlock()
	if view != h.seenView || snapshot != h.seenSet {
		h.seenView, h.seenSet = view, snapshot
		clear(h.known)
	}
	if found, ok := h.known[t.ID]; ok {
		return found, true
	}
	region := func(d fleet.DomainName) fleet.RegionName { return snapshot.Domains[d] }
	found, ok := placement.Home(t, view.Routers, region)
	if ok {
		h.known[t.ID] = found
	}
	return found, ok
}
