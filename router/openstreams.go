package router

import (
	"sync"

	"ragwortpond.example/ragwortpond/fleet"
)

// cancelable is a stream that can be ended at any time.
type cancelable interface {
	Cancel()
}

// openStreams knows the streams that are open to each router.
type openStreams struct {
	mu      sync.Mutex
	streams map[fleet.RouterID]map[cancelable]struct{}
}

func newOpenStreams() *openStreams {
	return &openStreams{streams: map[fleet.RouterID]map[cancelable]struct{}{}}
}

// add notes an open stream until the returned function is called.
func (o *openStreams) add(to fleet.RouterID, s cancelable) func() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.streams[to] == nil {
		o.streams[to] = map[cancelable]struct{}{}
	}
	o.streams[to][s] = struct{}{}
	return func() { o.remove(to, s) }
}

func (o *openStreams) remove(to fleet.RouterID, s cancelable) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.streams[to], s)
	if len(o.streams[to]) == 0 {
		delete(o.streams, to)
	}
}

// cut cancels the streams to the given routers.
func (o *openStreams) cut(gone map[fleet.RouterID]bool) {
	for _, s := range o.to(gone) {
		s.Cancel()
	}
}

func (o *openStreams) to(gone map[fleet.RouterID]bool) []cancelable {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []cancelable
	for id, streams := range o.streams {
		if !gone[id] {
			continue
		}
		for s := range streams {
			found = append(found, s)
		}
	}
	return found
}
