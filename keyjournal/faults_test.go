package keyjournal

import (
	"context"
	"errors"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/objectapi"
)

// faultSet is the faults of one router.
type faultSet struct {
	// cut takes the platform and the other routers away, apart the routers only.
	cut, apart bool
	// late makes the next writes land so much later, after their answer was lost.
	late      time.Duration
	lateCount int
	// lostCalls loses the next answers of calls to other routers.
	lostCalls int
}

type nodeFaults struct {
	mu  sync.Mutex
	now faultSet
}

func (f *nodeFaults) set(change func(*faultSet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.now)
}

func (f *nodeFaults) get() faultSet {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *nodeFaults) takeLate() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now.lateCount == 0 {
		return 0
	}
	f.now.lateCount--
	return f.now.late
}

func (f *nodeFaults) takeLostCall() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now.lostCalls == 0 {
		return false
	}
	f.now.lostCalls--
	return true
}

// unconditional breaks the platform's condition: a write always takes effect.
type unconditional struct {
	objectapi.Store
}

func (s unconditional) Put(ctx context.Context, kind, name string, data []byte, ifVersion uint64) (uint64, error) {
	for {
		version, err := s.Store.Put(ctx, kind, name, data, ifVersion)
		if !errors.Is(err, objectapi.ErrConflict) {
			return version, err
		}
		object, err := s.Store.Get(ctx, kind, name)
		if err != nil {
			return 0, err
		}
		ifVersion = object.Version
	}
}

// trusting takes a lost answer for success.
type trusting struct {
	objectapi.Store
}

func (s trusting) Put(ctx context.Context, kind, name string, data []byte, ifVersion uint64) (uint64, error) {
	version, err := s.Store.Put(ctx, kind, name, data, ifVersion)
	if errors.Is(err, objectapi.ErrUnknown) {
		return ifVersion + 1, nil
	}
	return version, err
}
