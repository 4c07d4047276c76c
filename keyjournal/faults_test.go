package keyjournal

import (
	"context"
	"errors"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/objectapi"
)

// faultSet is the set of injected faults of one router.
type faultSet struct {
	// isolated cuts the router off from the platform and the other routers,
	// peersUnreachable from the other routers only.
	isolated, peersUnreachable bool
	// writeDelay is how much later the next delayedWrites writes take effect;
	// their responses are lost.
	writeDelay    time.Duration
	delayedWrites int
	// lostReplies is the number of next calls to other routers whose replies are
	// lost.
	lostReplies int
}

type nodeFaults struct {
	mu      sync.Mutex
	current faultSet
}

func (f *nodeFaults) set(change func(*faultSet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.current)
}

func (f *nodeFaults) get() faultSet {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

func (f *nodeFaults) takeWriteDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.delayedWrites == 0 {
		return 0
	}
	f.current.delayedWrites--
	return f.current.writeDelay
}

func (f *nodeFaults) takeLostReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.lostReplies == 0 {
		return false
	}
	f.current.lostReplies--
	return true
}

// unconditionalStore ignores the version condition: every write takes effect.
type unconditionalStore struct {
	objectapi.Store
}

func (s unconditionalStore) Put(ctx context.Context, kind, name string, data []byte, ifVersion uint64) (uint64, error) {
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

// optimisticStore treats a lost response as success.
type optimisticStore struct {
	objectapi.Store
}

func (s optimisticStore) Put(ctx context.Context, kind, name string, data []byte, ifVersion uint64) (uint64, error) {
	version, err := s.Store.Put(ctx, kind, name, data, ifVersion)
	if errors.Is(err, objectapi.ErrResultUnknown) {
		return ifVersion + 1, nil
	}
	return version, err
}
