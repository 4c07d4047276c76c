package streamversion

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
)

// errNoHistory means that the store holds no history of a service.
var errNoHistory = errors.New("streamversion: no history in the store")

// readTimeout bounds a read of a history.
const readTimeout = 400 * time.Millisecond

// readQueue joins the reads of one history: those that wait for the next read share it.
// Service.mu guards it.
type readQueue struct {
	// running is the read in progress, next the one that follows it; nil if there is none.
	running, next *read
}

// read is one read of a history. Its result is valid once done is closed.
type read struct {
	done    chan struct{}
	history *History
	err     error
}

// readHistory reads a service's history. The result is at least as new as the call, so that
// it holds every split under which a stream that ended before may have begun.
func (s *Service) readHistory(ctx context.Context, service fleet.ServiceName) (*History, error) {
	r := s.joinRead(service)
	select {
	case <-r.done:
		return r.history, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// joinRead returns a read that begins now or later.
func (s *Service) joinRead(service fleet.ServiceName) *read {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := &s.stateOf(service).reads
	if queue.running == nil {
		queue.running = &read{done: make(chan struct{})}
		go s.runReads(service, queue.running)
		return queue.running
	}
	if queue.next == nil {
		queue.next = &read{done: make(chan struct{})}
	}
	return queue.next
}

// runReads makes a read, and then those that were requested meanwhile.
func (s *Service) runReads(service fleet.ServiceName, r *read) {
	for r != nil {
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		r.history, r.err = s.fetch(ctx, service)
		cancel()
		close(r.done)
		s.mu.Lock()
		queue := &s.stateOf(service).reads
		queue.running, queue.next = queue.next, nil
		r = queue.running
		s.mu.Unlock()
	}
}

// fetch reads a service's history from the store and adopts it.
func (s *Service) fetch(ctx context.Context, service fleet.ServiceName) (*History, error) {
	before, _, _ := s.known(service)
	asked := s.cfg.BootTime()
	object, err := s.cfg.Store().Get(ctx, Kind, string(service))
	if errors.Is(err, platform.ErrNotFound) {
		s.confirmNone(service, asked)
		return nil, errNoHistory
	}
	if err != nil {
		return nil, fmt.Errorf("streamversion: read history: %w", err)
	}
	s.mu.Lock()
	if st := s.stateOf(service); object.Revision < before && st.revision == before {
		// Another router told of a revision that the store does not have.
		st.revision = 0
	}
	s.mu.Unlock()
	history, err := s.adoptObject(service, object)
	if err != nil {
		return nil, err
	}
	s.confirmRead(service, object.Revision, history, asked)
	return history, nil
}

// confirmNone records that the store held no history at a time of the boot clock. That is lost if
// this router knows one.
func (s *Service) confirmNone(service fleet.ServiceName, asked time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stateOf(service)
	if st.missing = st.revision > 0; !st.missing {
		st.confirm(asked)
	}
}

// confirmRead records that a history was the newest at a time of the boot clock.
func (s *Service) confirmRead(service fleet.ServiceName, revision uint64, history *History, asked time.Duration) {
	window := s.window(service, lifetimeOf(s.cfg.View(), service))
	// Others knew the split before, or later.
	window.Unchanged = 0
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stateOf(service)
	if st.revision < revision {
		return
	}
	st.confirm(asked)
	if now := s.now(); st.revision == revision && !history.incomplete(window, now) && len(history.relevant(window, now)) == 1 {
		st.alone = true
	}
}

// isNoHistory reports whether an error means that the store holds no history.
func isNoHistory(err error) bool {
	return errors.Is(err, errNoHistory)
}

// adoptObject decodes and adopts an object of the store.
func (s *Service) adoptObject(service fleet.ServiceName, object platform.Object) (*History, error) {
	history, err := ParseHistory(object.Spec)
	if err != nil {
		return nil, err
	}
	history.Splits[0].Revision = object.Revision
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopt(Report{service, object.Revision, history.Current(), s.now()}, history)
	return history, nil
}
