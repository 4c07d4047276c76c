package crashrecord

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/quarantine"
)

// fakeStore holds one object.
type fakeStore struct {
	mu            sync.Mutex
	object        platform.Object
	away          bool
	wrote, failed int
}

func (s *fakeStore) Get(context.Context, string, string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.away:
		return platform.Object{}, platform.ErrUnavailable
	case s.object.Revision == 0:
		return platform.Object{}, platform.ErrNotFound
	}
	return s.object, nil
}

func (s *fakeStore) Put(_ context.Context, _ string, o platform.Object) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.away:
		s.failed++
		return platform.Object{}, platform.ErrUnavailable
	case o.Revision != s.object.Revision:
		return platform.Object{}, platform.ErrConflict
	}
	s.wrote++
	o.Revision++
	s.object = o
	return o, nil
}

func (s *fakeStore) set(f func(s *fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *fakeStore) writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wrote
}

// router is a router with a tracker and a recorder.
type router struct {
	*quarantine.Tracker
	recorder *Recorder
	stop     func()
}

func (r *router) ExportEvidence(now time.Time, maxBytes int) quarantine.Evidence {
	return r.Export(now, maxBytes)
}

func (r *router) MergeEvidence(e quarantine.Evidence, now time.Time) (forward, answer quarantine.Evidence) {
	changes := r.Merge(e, now)
	return changes.News, changes.Answer
}

func startRouter(t *testing.T, store *fakeStore, precedence int) *router {
	t.Helper()
	r := &router{Tracker: quarantine.NewTracker()}
	r.recorder = New(Config{Store: func() Store { return store }, Evidence: r, Precedence: func() int { return precedence }, Log: zerolog.Nop()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := r.recorder.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	r.stop = func() { cancel(); <-done }
	t.Cleanup(r.stop)
	await.Until(t, "the first read", r.recorder.WasTried)
	return r
}

func prompt(n int) []call.Part {
	return []call.Part{{ID: 1}, {ID: uint64(1000 + n)}, {ID: 99}}
}

// crash records crashes under prompts that have part 1 in common.
func (r *router) crash(from, to int) {
	now := time.Now()
	for n := from; n < to; n++ {
		r.RecordCrash(quarantine.Request{Prompt: prompt(n), Digest: uint64(500 + n)}, fleet.TargetID(fmt.Sprint("t", n)), now.Add(time.Duration(n-10)*time.Second), now)
	}
	r.recorder.Changed()
}

func (r *router) blocks() bool {
	_, _, ok := r.Blocked(quarantine.Request{Prompt: prompt(77)}, time.Now())
	return ok
}

// TestEvidenceOutlivesRouters ends the only router that knows two crashes, and then the one that knows
// the verdict.
func TestEvidenceOutlivesRouters(t *testing.T) {
	store := &fakeStore{}
	first := startRouter(t, store, 0)
	first.crash(0, 2)
	await.Until(t, "the crashes in the store", func() bool { return store.writes() == 1 })
	first.stop()
	second := startRouter(t, store, 0)
	second.crash(2, 3)
	if !second.blocks() {
		t.Fatal("two crashes of an earlier router and one of this one gave no verdict")
	}
	await.Until(t, "the verdict in the store", func() bool { return store.writes() == 2 })
	second.stop()
	if third := startRouter(t, store, 1); !third.blocks() {
		t.Error("the verdict is forgotten")
	}
}

// TestLiftIsWritten guards against a verdict that outlasts its lift in the store.
func TestLiftIsWritten(t *testing.T) {
	store := &fakeStore{}
	r := startRouter(t, store, 0)
	r.crash(0, 3)
	await.Until(t, "the verdict in the store", func() bool { return store.writes() == 1 })
	r.RecordSuccess(quarantine.Request{Prompt: prompt(5)}, time.Now())
	r.recorder.Changed()
	await.Until(t, "the lift in the store", func() bool { return store.writes() == 2 })
	if next := startRouter(t, store, 1); next.QuarantinedParts() != 0 {
		t.Error("a router that starts has the lifted verdict")
	}
}

func TestStoreThatIsAwayKeepsNoRouterFromStarting(t *testing.T) {
	store := &fakeStore{away: true}
	r := startRouter(t, store, 0)
	r.crash(0, 3)
	store.set(func(s *fakeStore) { s.away = false })
	await.Until(t, "the verdict in the store once it is back", func() bool { return store.writes() == 1 })
}

// TestFailedWriteIsTriedAgain lets the store be away when the evidence changes, and no later change.
func TestFailedWriteIsTriedAgain(t *testing.T) {
	t.Parallel()
	store := &fakeStore{}
	r := startRouter(t, store, 0)
	store.set(func(s *fakeStore) { s.away = true })
	r.crash(0, 3)
	await.Until(t, "a write", func() bool {
		store.mu.Lock()
		defer store.mu.Unlock()
		return store.failed > 0
	})
	store.set(func(s *fakeStore) { s.away = false })
	await.Until(t, "the verdict in the store", func() bool { return store.writes() == 1 })
}

// TestStoreBackFromCopy loses the object, and brings an older one back: what is missing is written with
// the next change.
func TestStoreBackFromCopy(t *testing.T) {
	store := &fakeStore{}
	r := startRouter(t, store, 0)
	r.crash(0, 1)
	await.Until(t, "the first crash in the store", func() bool { return store.writes() == 1 })
	var copied platform.Object
	store.set(func(s *fakeStore) { copied = s.object })
	r.crash(1, 2)
	await.Until(t, "the second crash in the store", func() bool { return store.writes() == 2 })
	store.set(func(s *fakeStore) { s.object, s.object.Revision = copied, 7 })
	r.crash(2, 3)
	await.Until(t, "the verdict in the store", func() bool { return store.writes() == 3 })
	if next := startRouter(t, store, 1); !next.blocks() {
		t.Error("the verdict is not in the store")
	}
}

// TestSecondRouterWritesOnlyWhatIsMissing changes the evidence of two routers in the same way.
func TestSecondRouterWritesOnlyWhatIsMissing(t *testing.T) {
	store := &fakeStore{}
	first, second, third := startRouter(t, store, 0), startRouter(t, store, 1), startRouter(t, store, writers)
	for _, r := range []*router{first, second, third} {
		r.crash(0, 3)
	}
	await.Until(t, "the verdict in the store", func() bool { return store.writes() == 1 })
	time.Sleep(writeDelay + 3*precedenceDelay)
	if got := store.writes(); got != 1 {
		t.Errorf("got %d writes, want one", got)
	}
}

// TestAgesGoOnWhileAllRoutersAreGone guards against a verdict that a fleet takes over after its
// lifetime.
func TestAgesGoOnWhileAllRoutersAreGone(t *testing.T) {
	store := &fakeStore{}
	r := startRouter(t, store, 0)
	r.crash(0, 3)
	await.Until(t, "the verdict in the store", func() bool { return store.writes() == 1 })
	store.set(func(s *fakeStore) {
		var d document
		if err := json.Unmarshal(s.object.Spec, &d); err != nil {
			t.Error(err)
		}
		d.WrittenAt -= time.Hour.Milliseconds()
		s.object.Spec, _ = json.Marshal(d)
	})
	if next := startRouter(t, store, 1); next.QuarantinedParts() != 0 {
		t.Error("the verdict outlasts its lifetime")
	}
}

func TestUnreadableDocumentIsReplaced(t *testing.T) {
	store := &fakeStore{object: platform.Object{Name: Name, Revision: 3, Spec: json.RawMessage(`{"evidence":7}`)}}
	r := startRouter(t, store, 0)
	r.crash(0, 3)
	await.Until(t, "the verdict in the store", func() bool { return store.writes() == 1 })
	if next := startRouter(t, store, 1); !next.blocks() {
		t.Error("the verdict is not in the store")
	}
}
