package mesh

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/directory"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
	"ragwortpond.example/ragwortpond/quarantine"
)

// testRouter is a router reduced to its mesh and directory.
type testRouter struct {
	mesh          *Mesh
	directory     *directory.Directory
	stop          func()
	mu            sync.Mutex
	receivedLoads map[fleet.TargetID]int
	sentBytes     atomic.Int64
	evidence      *testEvidence
}

// freeAddr returns the loopback address of router i, for datagrams and connections.
func freeAddr(t *testing.T, i int) string {
	t.Helper()
	// All routers of a deployment use the same port, so each needs its own IP
	// address.
	return fmt.Sprintf("127.0.77.%d:17340", i+1)
}

// startStore starts a store that holds a configuration of the given version.
func startStore(t *testing.T, version int) *standin.Store {
	t.Helper()
	server, err := standin.StartStore("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	server.Put(platform.KindConfig, platform.ConfigName, map[string]any{"Version": version})
	return server
}

// startRouter starts router i in failure domain "d".
func startRouter(t *testing.T, i int, store *platform.Store, seeds []string) *testRouter {
	t.Helper()
	return startRouterInDomain(t, "d", i, store, seeds)
}

// startRouterInDomain starts router i, which watches the store from the start, and
// stops it at the end of the test.
func startRouterInDomain(t *testing.T, domain fleet.DomainName, i int, store *platform.Store, seeds []string) *testRouter {
	t.Helper()
	return startPreparedRouter(t, domain, i, store, seeds, func(*testRouter) {})
}

// startPreparedRouter is startRouterInDomain with a function that is called before the router runs.
func startPreparedRouter(t *testing.T, domain fleet.DomainName, i int, store *platform.Store, seeds []string, prepare func(*testRouter)) *testRouter {
	t.Helper()
	r := &testRouter{receivedLoads: map[fleet.TargetID]int{}, evidence: &testEvidence{quarantine.NewTracker()}}
	r.directory = directory.New(func() directory.Store { return store }, directory.PrimaryWatch, directory.NewPace(2*time.Second), zerolog.Nop(), nil)
	var err error
	r.mesh, err = New(Config{
		Self: fleet.RouterID(fmt.Sprintf("r%d", i)), Domain: domain, Addr: freeAddr(t, i), Directory: r.directory,
		Seeds: func() []string { return seeds }, Log: zerolog.Nop(), Evidence: r.evidence,
		OnPeerLoad: func(id fleet.TargetID, work int, _ float64, _ time.Time) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.receivedLoads[id] = work
		},
		CountBytes: func(direction string, n int) {
			if direction == "sent" {
				r.sentBytes.Add(int64(n))
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	r.directory.OnChange(r.mesh.PublishChanges)
	r.directory.OnWatchLost(r.mesh.AnnounceWatch)
	r.directory.OnStoreReturn(r.mesh.StoreReturn)
	prepare(r)
	l, err := net.Listen("tcp4", freeAddr(t, i))
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: r.mesh}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = server.Serve(l) })
	tasks.Go(func() { _ = r.directory.Run(ctx) })
	tasks.Go(func() { _ = r.mesh.Run(ctx) })
	r.stop = sync.OnceFunc(func() {
		cancel()
		_ = server.Close()
		tasks.Wait()
	})
	t.Cleanup(r.stop)
	return r
}

func targetSpec(i int) map[string]any {
	return map[string]any{"Service": "s", "Address": fmt.Sprintf("10.0.0.%d:80", i), "Zone": "z", "Version": "v1", "Slots": 8, "State": "ready", "born": 1}
}

// targetCount returns the number of targets in a router's view.
func targetCount(r *testRouter) int {
	return len(r.directory.View().Targets["s"])
}

// TestFewRoutersWatchStorePerDomain starts a failure domain of seven routers. All
// must follow the store while only three watch it, and others must take over when
// these three stop.
func TestFewRoutersWatchStorePerDomain(t *testing.T) {
	const n = 7
	server := startStore(t, 1)
	server.Put(platform.KindTargets, "a", targetSpec(1))
	store := platform.NewStore(server.Addr(), nil)
	seeds := []string{freeAddr(t, 0), "127.0.77.200:9"}
	var routers []*testRouter
	for i := range n {
		routers = append(routers, startRouter(t, i, store, seeds))
	}
	watching := func() (watchers []int) {
		for i, r := range routers {
			if r != nil && r.directory.HasLiveWatch() {
				watchers = append(watchers, i)
			}
		}
		return watchers
	}
	await.Until(t, "three watchers", func() bool { return len(watching()) == watchersPerDomain && routers[n-1].mesh.FleetSize() == n })
	awaitAll := func(what string, f func(r *testRouter) bool) {
		t.Helper()
		for _, r := range routers {
			if r != nil {
				await.Until(t, what, func() bool { return f(r) })
			}
		}
	}
	awaitAll("the first target", func(r *testRouter) bool { return r.directory.View().Ready() && targetCount(r) == 1 })
	server.Put(platform.KindTargets, "b", targetSpec(2))
	server.Put(platform.KindConfig, platform.ConfigName, map[string]any{"Version": 2})
	awaitAll("the changes", func(r *testRouter) bool { return targetCount(r) == 2 && r.directory.View().Config.Version == 2 })
	for _, i := range watching() {
		routers[i].stop()
		routers[i] = nil
	}
	server.Put(platform.KindTargets, "c", targetSpec(3))
	awaitAll("a change after all watchers stopped", func(r *testRouter) bool { return targetCount(r) == 3 })
	var survivor *testRouter
	for _, r := range routers {
		if r != nil {
			survivor = r
		}
	}
	// A load is sent on for two seconds only, so it is reported again until all
	// routers have it.
	awaitAll("a target's load", func(r *testRouter) bool {
		survivor.mesh.ReportLoad("a", 7, 2.5, time.Now())
		r.mu.Lock()
		defer r.mu.Unlock()
		return r == survivor || r.receivedLoads["a"] == 7
	})
}

// TestStartingRouterFetchesViewFromPeer starts a router while the store is
// unavailable: it must get its view from another router.
func TestStartingRouterFetchesViewFromPeer(t *testing.T) {
	server := startStore(t, 4)
	server.Put(platform.KindTargets, "a", targetSpec(1))
	store := platform.NewStore(server.Addr(), nil)
	first := startRouter(t, 20, store, nil)
	await.Until(t, "the first router", func() bool { return first.directory.View().Ready() })
	server.Fail(standin.Refusing)
	second := startRouter(t, 21, store, []string{freeAddr(t, 20)})
	await.Until(t, "the second router", func() bool {
		v := second.directory.View()
		return v.Ready() && v.Config.Version == 4 && targetCount(second) == 1
	})
}

// TestStartupTrafficIsBounded starts all routers of a failure domain at once with a
// store of thousands of targets. The routers may send each other, per router, at most
// a third of the size of all entries until all have the same view.
func TestStartupTrafficIsBounded(t *testing.T) {
	const n, targets = 8, 3000
	server := startStore(t, 1)
	size := 0
	for i := range targets {
		spec := targetSpec(i % 250)
		data, err := json.Marshal(spec)
		if err != nil {
			t.Fatal(err)
		}
		size += len(data)
		server.Put(platform.KindTargets, fmt.Sprintf("i-%010d", i), spec)
	}
	store := platform.NewStore(server.Addr(), nil)
	var routers []*testRouter
	for i := range n {
		routers = append(routers, startRouter(t, i, store, []string{freeAddr(t, 0)}))
	}
	for _, r := range routers {
		await.Until(t, "all targets", func() bool { return targetCount(r) == targets })
	}
	var sent int64
	for _, r := range routers {
		sent += r.sentBytes.Load()
	}
	if limit := int64(n * size / 3); sent > limit {
		t.Errorf("got %d KB sent for %d KB of entries at %d routers, want at most %d KB", sent>>10, size>>10, n, limit>>10)
	}
}

// TestBulkChangesReachAllRouters changes more targets at once than are sent
// individually (maxPushedChanges). All routers must get the changes.
func TestBulkChangesReachAllRouters(t *testing.T) {
	const n = 5
	server := startStore(t, 1)
	server.Put(platform.KindTargets, "a", targetSpec(1))
	store := platform.NewStore(server.Addr(), nil)
	var routers []*testRouter
	for i := range n {
		routers = append(routers, startRouter(t, i, store, []string{freeAddr(t, 0)}))
	}
	for _, r := range routers {
		await.Until(t, "the first target", func() bool { return targetCount(r) == 1 && r.mesh.FleetSize() == n })
	}
	for i := range 2 * maxPushedChanges {
		server.Put(platform.KindTargets, fmt.Sprintf("t%d", i), targetSpec(i))
	}
	server.Delete(platform.KindTargets, "a")
	for _, r := range routers {
		await.Until(t, "the changes", func() bool { return targetCount(r) == 2*maxPushedChanges })
	}
}

// TestPartitionedDomainGetsConfigFromOtherDomain makes the store unavailable to all
// routers of a failure domain: they must get a new configuration from a router of
// another domain.
func TestPartitionedDomainGetsConfigFromOtherDomain(t *testing.T) {
	server := startStore(t, 1)
	server.Put(platform.KindTargets, "a", targetSpec(1))
	refusing := startStore(t, 1)
	refusing.Fail(standin.Refusing)
	seeds := []string{freeAddr(t, 0)}
	connected := startRouterInDomain(t, "d", 0, platform.NewStore(server.Addr(), nil), seeds)
	await.Until(t, "the view of the first router", func() bool { return connected.directory.View().Ready() })
	var partitioned []*testRouter
	for i := 1; i <= 3; i++ {
		partitioned = append(partitioned, startRouterInDomain(t, "e", i, platform.NewStore(refusing.Addr(), nil), seeds))
	}
	for _, r := range partitioned {
		await.Until(t, "the first configuration", func() bool { return r.directory.View().Ready() })
	}
	server.Put(platform.KindConfig, platform.ConfigName, map[string]any{"Version": 2})
	for _, r := range partitioned {
		await.Until(t, "the second configuration", func() bool { return r.directory.View().Config.Version == 2 })
	}
}

// TestSocketClosedWhenRunReturns stops meshes that receive datagrams continuously,
// and opens a socket at the same address at once. This fails if Run returns on a
// datagram before the socket is closed.
func TestSocketClosedWhenRunReturns(t *testing.T) {
	const addr = "127.0.77.201:17340"
	server := startStore(t, 1)
	store := platform.NewStore(server.Addr(), nil)
	sender, err := net.Dial("udp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	for range 200 {
		d := directory.New(func() directory.Store { return store }, directory.NoWatch, directory.NewPace(2*time.Second), zerolog.Nop(), nil)
		m, err := New(Config{
			Self: "r", Domain: "d", Addr: addr, Directory: d, Seeds: func() []string { return nil }, Log: zerolog.Nop(),
			OnPeerLoad: func(fleet.TargetID, int, float64, time.Time) {},
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := make(chan error, 1)
		go func() { done <- m.Run(ctx) }()
		for i := range 50 {
			// Write may fail once the receiving socket is closed.
			_, _ = sender.Write([]byte("no beat"))
			if i == 25 {
				cancel()
			}
		}
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
}
