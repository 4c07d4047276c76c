package router

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/settings"
)

const (
	watchWait  = 10 * time.Second
	watchRetry = 200 * time.Millisecond
)

// source keeps the settings in force by a watch of the platform.
type source struct {
	store    platform.Store
	snapshot atomic.Pointer[settings.Snapshot]
	ready    chan struct{}
	objects  map[string]platform.Object
}

func newSource(store platform.Store) *source {
	return &source{store: store, ready: make(chan struct{}), objects: map[string]platform.Object{}}
}

// Snapshot returns the settings in force, nil before the first.
func (s *source) Snapshot() *settings.Snapshot {
	return s.snapshot.Load()
}

// Ready is closed once there are settings.
func (s *source) Ready() <-chan struct{} {
	return s.ready
}

// Run lists, then watches, until ctx ends.
func (s *source) Run(ctx context.Context) error {
	var revision uint64
	var err error
	for ctx.Err() == nil {
		if revision == 0 {
			revision, err = s.list(ctx)
		} else {
			revision, err = s.watch(ctx, revision)
		}
		if errors.Is(err, platform.ErrCompacted) {
			revision = 0
		}
		if err != nil {
			pause(ctx, watchRetry)
		}
	}
	return ctx.Err()
}

func (s *source) list(ctx context.Context) (uint64, error) {
	objects := map[string]platform.Object{}
	var lowest uint64
	for _, kind := range settings.Kinds() {
		list, revision, err := s.store.List(ctx, kind)
		if err != nil {
			return 0, err
		}
		if lowest == 0 || revision < lowest {
			lowest = revision
		}
		for _, o := range list {
			objects[o.Kind+"/"+o.Name] = o
		}
	}
	s.objects = objects
	s.publish()
	return lowest, nil
}

func (s *source) watch(ctx context.Context, from uint64) (uint64, error) {
	changes, revision, err := s.store.Watch(ctx, settings.Kinds(), from, watchWait)
	if err != nil {
		return from, err
	}
	for _, c := range changes {
		s.apply(c)
	}
	if len(changes) > 0 {
		s.publish()
	}
	return revision, nil
}

func (s *source) apply(c platform.Change) {
	key := c.Object.Kind + "/" + c.Object.Name
	if s.objects[key].Version >= c.Object.Version {
		return
	}
	if c.Deleted {
		delete(s.objects, key)
		return
	}
	s.objects[key] = c.Object
}

func (s *source) publish() {
	list := make([]platform.Object, 0, len(s.objects))
	for _, o := range s.objects {
		list = append(list, o)
	}
	snapshot, findings := settings.Build(list)
	if len(findings) > 0 {
		return
	}
	first := s.snapshot.Swap(snapshot) == nil
	if first {
		close(s.ready)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
