package propagate

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/standin"
)

// runFleet runs routers whose Members are the given ones. stop ends them and
// waits until they have stopped.
func runFleet(t *testing.T, net *network, objects *standin.Objects, routers, members []fleet.Router) (nodes []*testNode, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, r := range routers {
		n := &testNode{self: r, store: &faultyStore{Store: objects, highestListed: &net.highestListed}}
		n.Service = New(Config{
			Self: r, Store: n.store, PeerClient: testCaller{net, r}, Members: func() []fleet.Router { return slices.Clone(members) },
			Timing: Timing{Digest: 20 * time.Millisecond, Role: 10 * time.Millisecond, Retry: 5 * time.Millisecond},
		})
		net.mu.Lock()
		net.nodes[r.PeerAddr] = n
		net.mu.Unlock()
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		running.Go(func() {
			if err := n.Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	return nodes, func() {
		cancel()
		running.Wait()
	}
}

func waitReady(t *testing.T, nodes []*testNode) {
	for _, n := range nodes {
		select {
		case <-n.Ready():
		case <-time.After(20 * time.Second):
			t.Fatalf("%s was not ready within 20 s", n.self.ID)
		}
	}
}

func put(t *testing.T, objects *standin.Objects, burst int) uint64 {
	data := fmt.Appendf(nil, `{"key_hashes":[],"settings":{"limits":{"burst":%d}}}`, burst)
	version, err := objects.Put(context.Background(), settings.KindAccounts, fmt.Sprintf("account-%d", burst), data, 0)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

func TestRunBringsChangesIntoForce(t *testing.T) {
	objects := standin.NewObjects(standin.ObjectsConfig{})
	put(t, objects, 1)
	routers := testRouters(8, "a", "b")
	nodes, stop := runFleet(t, newNetwork(), objects, routers, routers)
	defer stop()
	waitReady(t, nodes)
	revision := put(t, objects, 2)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if got := nodes[5].WaitInForce(ctx, revision); !got.InForce || len(got.Routers) != len(nodes) {
		t.Fatalf("got %+v, want revision %d in force on %d routers", got, revision, len(nodes))
	}
	for _, n := range nodes {
		if v := n.Snapshot().Effective("", "", "account-2"); v.Limits.Burst != 2 {
			t.Errorf("burst on %s: got %d, want 2", n.self.ID, v.Limits.Burst)
		}
	}
}

func TestWaitInForceReportsUnreachableRouter(t *testing.T) {
	objects := standin.NewObjects(standin.ObjectsConfig{})
	put(t, objects, 1)
	net := newNetwork()
	routers := testRouters(2, "a")
	nodes, stop := runFleet(t, net, objects, routers, routers)
	defer stop()
	waitReady(t, nodes)
	net.mu.Lock()
	delete(net.nodes, "a-r2")
	net.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	got := nodes[0].WaitInForce(ctx, 1)
	if got.InForce || got.Routers[0].Error != "" || got.Routers[1].Error == "" {
		t.Errorf("got %+v, want a fault for the second router only", got)
	}
}

func TestWaitInForceOmitsRoutersThatLeft(t *testing.T) {
	var asked atomic.Int64
	members := func() []fleet.Router {
		routers := testRouters(2, "a")
		if asked.Add(1) > 2 {
			return routers[:1]
		}
		return routers
	}
	p := New(Config{Self: testRouters(1, "a")[0], PeerClient: testCaller{network: newNetwork()}, Members: members})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	got := p.WaitInForce(ctx, 0)
	if !got.InForce || len(got.Routers) != 1 || ctx.Err() != nil {
		t.Errorf("got %+v, want revision 0 in force on one router", got)
	}
}

// While the platform is down, all routers of one failure domain restart at
// once. They must load the settings from the other domain.
func TestDomainRestartDuringPlatformOutage(t *testing.T) {
	objects := standin.NewObjects(standin.ObjectsConfig{})
	revision := put(t, objects, 1)
	net := newNetwork()
	routers := testRouters(2, "a", "b")
	nodes, stop := runFleet(t, net, objects, routers, routers)
	defer stop()
	waitReady(t, nodes)
	objects.SetFaults(standin.Faults{Outage: true})
	restarted, stopRestarted := runFleet(t, net, objects, routers[:2], routers)
	defer stopRestarted()
	waitReady(t, restarted)
	if got := restarted[0].Revision(); got < revision {
		t.Errorf("revision after the restart: got %d, want at least %d", got, revision)
	}
}

func TestBackoffDoublesUpToMaximum(t *testing.T) {
	b := backoff{initial: maxBackoff / 5}
	for i, want := range []time.Duration{maxBackoff / 5, 2 * maxBackoff / 5, 4 * maxBackoff / 5, maxBackoff, maxBackoff} {
		if wait, first := b.fail(); wait != want || first != (i == 0) {
			t.Errorf("failure %d: got wait %v, first %t, want wait %v, first %t", i, wait, first, want, i == 0)
		}
	}
	b.reset()
	if _, first := b.fail(); !first {
		t.Error("first failure after a reset: got first false, want true")
	}
}

// A child that never answers must not delay the pushes to the other children.
func TestSilentRouterDoesNotDelayPushes(t *testing.T) {
	self := domainOrder(testRouters(1, "a")[0], testRouters(6, "a"))[0]
	below := treeChildren(self, testRouters(6, "a"), defaultWatchers)
	caller := &partialCaller{silentAddr: below[0].PeerAddr, answered: make(chan string, 100)}
	p := New(Config{
		Self: self, PeerClient: caller, Members: func() []fleet.Router { return testRouters(6, "a") },
		Timing: Timing{Call: time.Hour},
	})
	ctx, cancel := context.WithCancel(context.Background())
	for range 3 {
		p.startPushes(ctx, Page{})
	}
	for range below[1:] {
		select {
		case <-caller.answered:
		case <-time.After(20 * time.Second):
			t.Fatal("a push was delayed by a router that does not answer")
		}
	}
	cancel()
	p.activePushes.running.Wait()
}

// partialCaller is a peer.Client for routers of which one never answers.
type partialCaller struct {
	silentAddr string
	answered   chan string
}

func (c *partialCaller) Send(string, peer.Method, any) error { return nil }

func (c *partialCaller) Call(ctx context.Context, addr string, _ peer.Method, _, _ any) error {
	if addr == c.silentAddr {
		<-ctx.Done()
		return ctx.Err()
	}
	c.answered <- addr
	return nil
}

func TestTreeReachesEveryRouterOnce(t *testing.T) {
	for _, count := range []int{1, 2, 3, 7, 50, 167} {
		routers := testRouters(count, "a")
		parents := map[fleet.RouterID]int{}
		watchers := 0
		for _, r := range routers {
			if isWatcher(r, routers, defaultWatchers) {
				watchers++
			}
			for _, c := range treeChildren(r, routers, defaultWatchers) {
				parents[c.ID]++
			}
		}
		if watchers != min(count, defaultWatchers) || len(parents) != count-watchers {
			t.Errorf("%d routers: got %d watchers and %d routers with a parent, want %d and %d",
				count, watchers, len(parents), min(count, defaultWatchers), count-watchers)
		}
		for id, n := range parents {
			if n != 1 {
				t.Errorf("%d routers: parents of %s: got %d, want 1", count, id, n)
			}
		}
	}
}

func TestPrunedTombstonesDoNotRevive(t *testing.T) {
	s := NewState()
	for v := uint64(1); v <= 3*maxTombstones; v += 2 {
		name := fmt.Sprintf("n%d", v)
		s.Apply(Page{From: v - 1, To: v, Entries: []Entry{{Kind: "k", Name: name, Version: v}}})
		s.Apply(Page{From: v, To: v + 1, Entries: []Entry{{Kind: "k", Name: name, Version: v + 1, Deleted: true}}})
	}
	if s.tombstones > maxTombstones || s.tombstoneFloor == 0 || len(s.entries) != s.tombstones {
		t.Errorf("got %d tombstones, %d entries, floor %d, want at most %d tombstones, no other entries, floor above 0",
			s.tombstones, len(s.entries), s.tombstoneFloor, maxTombstones)
	}
	if changed := s.Apply(Page{From: 0, To: 1, Entries: []Entry{{Kind: "k", Name: "n1", Version: 1}}}); len(changed) > 0 {
		t.Errorf("an old version undid a pruned deletion: got changes %+v, want none", changed)
	}
	if _, ok := s.Delta(s.tombstoneFloor-1, s.tombstoneFloor-1, 0, defaultPageBytes); ok {
		t.Error("Delta below the tombstone floor: got a page, want none")
	}
}
