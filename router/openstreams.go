package router

import (
	"sync"

	"ragwortpond.example/ragwortpond/fleet"
)

// cancelable is a stream that can be cancelled at any time.
type cancelable interface {
	Cancel()
}

// openStreams tracks the open streams to each router. It is safe for concurrent
// use.
type openStreams struct {
	mu      sync.Mutex
	streams map[fleet.RouterID]map[cancelable]struct{}
}

func newOpenStreams() *openStreams {
	return &openStreams{streams: map[fleet.RouterID]map[cancelable]struct{}{}}
}

// add tracks an open stream until the returned function is called.
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

// cancelTo cancels the open streams to the given routers.
func (o *openStreams) cancelTo(routers map[fleet.RouterID]bool) {
	for _, s := range o.streamsTo(routers) {
		s.Cancel()
	}
}

func (o *openStreams) streamsTo(routers map[fleet.RouterID]bool) []cancelable {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []cancelable
	for id, streams := range o.streams {
		if !routers[id] {
			continue
		}
		for s := range streams {
			list = append(list, s)
		}
	}
	return list
}
