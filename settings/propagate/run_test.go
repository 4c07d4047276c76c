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
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/standin"
)

// runFleet starts routers, who see the given members, with their loops and
// returns what ends them.
func runFleet(t *testing.T, net *network, objects *standin.Objects, routers, members []fleet.Router) (nodes []*node, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, r := range routers {
		n := &node{self: r, store: &cutStore{Store: objects, listed: &net.listed}}
		n.Service = New(Config{
			Self: r, Store: n.store, Caller: link{net, r}, Members: func() []fleet.Router { return slices.Clone(members) },
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

func waitReady(t *testing.T, nodes []*node) {
	for _, n := range nodes {
		select {
		case <-n.Ready():
		case <-time.After(20 * time.Second):
			t.Fatalf("%s is not ready", n.self.ID)
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
		t.Fatalf("not in force: %+v", got)
	}
	for _, n := range nodes {
		if v := n.Snapshot().Effective("", "", "account-2"); v.Limits.Burst != 2 {
			t.Errorf("%s has burst %d", n.self.ID, v.Limits.Burst)
		}
	}
}

func TestWaitInForceNamesTheRouterBehind(t *testing.T) {
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
	if got.InForce || got.Routers[0].Fault != "" || got.Routers[1].Fault == "" {
		t.Errorf("got %+v", got)
	}
}

func TestWaitInForceLeavesOutRoutersThatLeft(t *testing.T) {
	var asked atomic.Int64
	members := func() []fleet.Router {
		routers := testRouters(2, "a")
		if asked.Add(1) > 2 {
			return routers[:1]
		}
		return routers
	}
	p := New(Config{Self: testRouters(1, "a")[0], Caller: link{net: newNetwork()}, Members: members})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	got := p.WaitInForce(ctx, 0)
	if !got.InForce || len(got.Routers) != 1 || ctx.Err() != nil {
		t.Errorf("got %+v", got)
	}
}

// TestDomainRestartsDuringOutage replaces every router of a failure domain
// while the platform is down: the other domain has the settings.
func TestDomainRestartsDuringOutage(t *testing.T) {
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
		t.Errorf("restarted at %d, want %d", got, revision)
	}
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
			for _, c := range children(r, routers, defaultWatchers) {
				parents[c.ID]++
			}
		}
		if watchers != min(count, defaultWatchers) || len(parents) != count-watchers {
			t.Errorf("%d routers: %d watchers, %d routers below others", count, watchers, len(parents))
		}
		for id, n := range parents {
			if n != 1 {
				t.Errorf("%d routers: %s has %d parents", count, id, n)
			}
		}
	}
}

func TestTombstonesAreForgottenButSafe(t *testing.T) {
	s := NewState()
	for v := uint64(1); v <= 3*maxTombstones; v += 2 {
		name := fmt.Sprintf("n%d", v)
		s.Apply(Page{From: v - 1, To: v, Entries: []Entry{{Kind: "k", Name: name, Version: v}}})
		s.Apply(Page{From: v, To: v + 1, Entries: []Entry{{Kind: "k", Name: name, Version: v + 1, Deleted: true}}})
	}
	if s.tombstones > maxTombstones || s.floor == 0 || len(s.entries) != s.tombstones {
		t.Errorf("%d tombstones, %d entries, floor %d", s.tombstones, len(s.entries), s.floor)
	}
	if changed := s.Apply(Page{From: 0, To: 1, Entries: []Entry{{Kind: "k", Name: "n1", Version: 1}}}); len(changed) > 0 {
		t.Errorf("a forgotten deletion was undone: %+v", changed)
	}
	if _, ok := s.Delta(s.floor-1, s.floor-1, 0, defaultPageBytes); ok {
		t.Error("a page that lacks deletions was handed out")
	}
}
