package home

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/membership"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/router/targets"
	"ragwortpond.example/ragwortpond/router/wire"
	"ragwortpond.example/ragwortpond/settings"
)

func TestMain(m *testing.M) {
	flag.Parse()
	goleak.VerifyTestMain(m, goleak.Cleanup(os.Exit), goleak.IgnoreCurrent())
}

// fakeMeans provides a load of other homes that a test sets.
type fakeMeans struct {
	mu   sync.Mutex
	load placement.ServiceLoad
}

func (r *fakeMeans) PeerLoad(fleet.ServiceName) placement.ServiceLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.load
}

func (r *fakeMeans) set(l placement.ServiceLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.load = l
}

// testGate is a gate for targets e1 and e2, whose home is this router. Ten
// further targets have another home.
type testGate struct {
	*LoadGate
	clock   atomic.Int64
	others  *fakeMeans
	chats   *Chats
	targets map[fleet.TargetID]fleet.Target
}

// newTestGate returns a gate that has been home to its targets for a minute.
func newTestGate(others float64) *testGate {
	g := newTestGateAfterTakeover(others)
	for id := range g.targets {
		release, _ := g.acquire(id, wire.Forward{Resume: true})
		release()
	}
	g.clock.Add(int64(time.Minute))
	return g
}

// newTestGateAfterTakeover returns a gate that has just become home to its
// targets.
func newTestGateAfterTakeover(others float64) *testGate {
	self := fleet.Router{ID: "r1", Domain: "a"}
	e1 := fleet.Target{ID: "e1", Service: "chat", Domain: "a", Weight: 1}
	e2 := fleet.Target{ID: "e2", Service: "chat", Domain: "a", Weight: 1}
	all := []fleet.Target{e1, e2}
	for i := range 10 {
		all = append(all, fleet.Target{ID: fleet.TargetID(fmt.Sprintf("other-%d", i)), Service: "chat", Domain: "b", Weight: 1})
	}
	snapshot := &settings.Snapshot{Targets: map[fleet.ServiceName][]fleet.Target{"chat": all}}
	view := &membership.View{Routers: []fleet.Router{self, {ID: "r2", Domain: "b"}}}
	tracker := targets.New(targets.Config{
		Self: self, Clock: time.Now,
		Snapshot: func() *settings.Snapshot { return snapshot },
		View:     func() *membership.View { return view },
	})
	g := &testGate{
		others:  &fakeMeans{load: placement.ServiceLoad{Requests: others, Weight: 10}},
		chats:   NewChats(100, time.Now),
		targets: map[fleet.TargetID]fleet.Target{"e1": e1, "e2": e2},
	}
	g.clock.Store(time.Now().UnixNano())
	g.LoadGate = NewLoadGate(GateConfig{
		Self: self, Snapshot: func() *settings.Snapshot { return snapshot }, Targets: tracker,
		PeerLoads: g.others, Chats: g.chats, Clock: func() time.Time { return time.Unix(0, g.clock.Load()) },
	})
	return g
}

func (g *testGate) acquire(id fleet.TargetID, fwd wire.Forward) (func(), wire.End) {
	fwd.Service = "chat"
	return g.Acquire(context.Background(), g.targets[id], &fwd)
}

// fill admits attempts until the target refuses with LoadBound and returns
// their release functions.
func (g *testGate) fill(t *testing.T, id fleet.TargetID) []func() {
	t.Helper()
	var releases []func()
	for {
		release, refusal := g.acquire(id, wire.Forward{})
		if release == nil {
			if refusal.Reason != reason.LoadBound {
				t.Fatalf("got refusal %q, want %q", refusal.Reason, reason.LoadBound)
			}
			return releases
		}
		releases = append(releases, release)
	}
}

func TestGateEnforcesLoadBound(t *testing.T) {
	g := newTestGate(80)
	n := len(g.fill(t, "e1"))
	limit := placement.ServiceLoad{Requests: 80 + float64(n), Weight: 12}.Limit(1.25, 1)
	if float64(n) > limit || n < 6 {
		t.Errorf("got %d admitted attempts, want 6 to %v", n, limit)
	}
}

// A target must not be filled twice when its home changes: the new home counts
// the former home's attempts as load, even while no report includes them.
func TestNewHomeAssumesLoadOfFormerHome(t *testing.T) {
	g := newTestGateAfterTakeover(120)
	if n := len(g.fill(t, "e1")); n > 1 {
		t.Errorf("new home at a mean of 10: got %d attempts admitted at once, want at most 1", n)
	}
	g.clock.Add(int64(time.Minute))
	if n := len(g.fill(t, "e1")); n < 8 {
		t.Errorf("after the former home's attempts have ended: got %d attempts admitted, want at least 8", n)
	}
}

// A router that has just started must not fill its targets before it has
// received load reports from the other homes.
func TestNewRouterWaitsForLoadReports(t *testing.T) {
	g := newTestGateAfterTakeover(120)
	g.others.set(placement.ServiceLoad{})
	if n := len(g.fill(t, "e1")); n > 1 {
		t.Errorf("before the first load report: got %d attempts admitted, want at most 1", n)
	}
	g.others.set(placement.ServiceLoad{Requests: 120, Weight: 10})
	if n := len(g.fill(t, "e1")); n > 1 {
		t.Errorf("with the former home's load assumed: got %d attempts admitted, want at most 1", n)
	}
}

func TestGateAdmitsQueuedAttemptAfterRelease(t *testing.T) {
	g := newTestGate(80)
	releases := g.fill(t, "e1")
	admitted := make(chan func())
	go func() {
		release, _ := g.acquire("e1", wire.Forward{Wait: true})
		admitted <- release
	}()
	for g.queueLength("e1") == 0 {
		time.Sleep(time.Millisecond)
	}
	select {
	case <-admitted:
		t.Fatal("attempt was admitted above the load bound")
	default:
	}
	releases[0]()
	if release := <-admitted; release == nil {
		t.Error("queued attempt was refused, want admitted")
	}
}

func TestGateAdmitsQueuedAttemptWhenMeanRises(t *testing.T) {
	g := newTestGate(80)
	g.fill(t, "e1")
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	wait.Go(func() { _ = g.Run(ctx) })
	g.others.set(placement.ServiceLoad{Requests: 200, Weight: 10})
	if release, end := g.acquire("e1", wire.Forward{Wait: true}); release == nil {
		t.Errorf("got refusal %q after the mean rose, want admitted", end.Reason)
	}
}

func TestGateRedirectsChatToItsContext(t *testing.T) {
	g := newTestGate(80)
	g.chats.Record(7, "e2", 100)
	_, refusal := g.acquire("e1", wire.Forward{Chat: 7, Returning: true})
	if refusal.Reason != reason.ContextElsewhere || refusal.Hint.Target != "e2" {
		t.Errorf("got reason %q with hint %q, want %q with hint e2", refusal.Reason, refusal.Hint.Target, reason.ContextElsewhere)
	}
	g.chats.Record(8, "gone", 100)
	if release, refusal := g.acquire("e1", wire.Forward{Chat: 8, Returning: true}); release == nil {
		t.Errorf("chat whose target no longer exists: got refusal %q, want admitted", refusal.Reason)
	}
}

func TestQueueOrdersByPriorityAndArrival(t *testing.T) {
	var q waitQueue
	low := &waiter{priority: 1, maxQueueLength: 3}
	first, second := &waiter{priority: 5, maxQueueLength: 3}, &waiter{priority: 5, maxQueueLength: 3}
	for _, w := range []*waiter{low, first, second} {
		if _, refusal := q.push(w); refusal != nil {
			t.Fatal(refusal)
		}
	}
	for _, want := range []*waiter{first, second, low} {
		if q.head() != want {
			t.Fatalf("got head %+v, want %+v", q.head(), want)
		}
		q.remove(want)
	}
}

func TestQueueAlternatesBetweenAccounts(t *testing.T) {
	var q waitQueue
	for range 4 {
		if _, refusal := q.push(&waiter{account: "loud", maxQueueLength: 8}); refusal != nil {
			t.Fatal(refusal)
		}
	}
	quiet := &waiter{account: "quiet", maxQueueLength: 8}
	if _, refusal := q.push(quiet); refusal != nil {
		t.Fatal(refusal)
	}
	q.pop()
	if q.head() != quiet {
		t.Error("the quiet account waits for more than one request of the other account")
	}
}

func TestFullQueueShedsRequestOfBusiestAccount(t *testing.T) {
	g := newTestGate(80)
	releases := g.fill(t, "e1")
	ends := make(chan wire.End)
	length := settings.Defaults().Queue.Length
	for range length {
		go func() {
			release, end := g.acquire("e1", wire.Forward{Account: "loud", Wait: true})
			if release != nil {
				release()
			}
			ends <- end
		}()
	}
	for g.queueLength("e1") < length {
		time.Sleep(time.Millisecond)
	}
	go func() {
		release, end := g.acquire("e1", wire.Forward{Account: "quiet", Wait: true})
		if release != nil {
			release()
		}
		ends <- end
	}()
	if end := <-ends; end.Reason != reason.Shed {
		t.Errorf("first end from a full queue: got %q, want %q", end.Reason, reason.Shed)
	}
	for _, release := range releases {
		release()
	}
	for range length {
		<-ends
	}
}

// queueLength returns the number of attempts queued for a target.
func (g *LoadGate) queueLength(id fleet.TargetID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if gate := g.gates[id]; gate != nil {
		return gate.queue.len()
	}
	return 0
}
