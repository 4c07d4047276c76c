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
)

// router is one router's mesh and directory, without its other parts.
type router struct {
	mesh      *Mesh
	directory *directory.Directory
	stop      func()
	mu        sync.Mutex
	heard     map[fleet.TargetID]int
	// sent counts the bytes sent.
	sent atomic.Int64
}

// freeAddr is an address on loopback that is free for datagrams and connections.
func freeAddr(t *testing.T, i int) string {
	t.Helper()
	// All routers of a deployment use the same port, so that each gets an address
	// of its own.
	return fmt.Sprintf("127.0.77.%d:17340", i+1)
}

// startStore starts a store that holds a version of the configuration.
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

func startRouter(t *testing.T, i int, store *platform.Store, seeds []string) *router {
	t.Helper()
	return startRouterIn(t, "d", i, store, seeds)
}

func startRouterIn(t *testing.T, domain fleet.DomainName, i int, store *platform.Store, seeds []string) *router {
	t.Helper()
	r := &router{heard: map[fleet.TargetID]int{}}
	r.directory = directory.New(func() directory.Store { return store }, true, zerolog.Nop(), nil)
	var err error
	r.mesh, err = New(Config{
		Self: fleet.RouterID(fmt.Sprintf("r%d", i)), Domain: domain, Addr: freeAddr(t, i), Directory: r.directory,
		Seeds: func() []string { return seeds }, Log: zerolog.Nop(),
		Heard: func(id fleet.TargetID, work int, _ time.Time) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.heard[id] = work
		},
		Bytes: func(direction string, n int) {
			if direction == "sent" {
				r.sent.Add(int64(n))
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	r.directory.OnChange(r.mesh.Changed)
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

func entry(i int) map[string]any {
	return map[string]any{"Service": "s", "Address": fmt.Sprintf("10.0.0.%d:80", i), "Zone": "z", "Slots": 8, "State": "ready", "born": 1}
}

func count(r *router) int {
	return len(r.directory.View().Targets["s"])
}

// TestAFailureDomainWatchesWithFew starts a failure domain of seven routers: all
// follow the store, three watch it, and others take over when those are lost.
func TestAFailureDomainWatchesWithFew(t *testing.T) {
	const n = 7
	server := startStore(t, 1)
	server.Put(platform.KindTargets, "a", entry(1))
	store := platform.NewStore(server.Addr(), nil)
	seeds := []string{freeAddr(t, 0), "127.0.77.200:9"}
	var routers []*router
	for i := range n {
		routers = append(routers, startRouter(t, i, store, seeds))
	}
	watching := func() (who []int) {
		for i, r := range routers {
			if r != nil && r.directory.Hears() {
				who = append(who, i)
			}
		}
		return who
	}
	await.Until(t, "three watchers", func() bool { return len(watching()) == watchersEach && routers[n-1].mesh.Fleet() == n })
	all := func(what string, f func(r *router) bool) {
		t.Helper()
		for _, r := range routers {
			if r != nil {
				await.Until(t, what, func() bool { return f(r) })
			}
		}
	}
	all("the first target", func(r *router) bool { return r.directory.View().Ready() && count(r) == 1 })
	server.Put(platform.KindTargets, "b", entry(2))
	server.Put(platform.KindConfig, platform.ConfigName, map[string]any{"Version": 2})
	all("the changes", func(r *router) bool { return count(r) == 2 && r.directory.View().Config.Version == 2 })
	for _, i := range watching() {
		routers[i].stop()
		routers[i] = nil
	}
	server.Put(platform.KindTargets, "c", entry(3))
	all("a change after the loss of all watchers", func(r *router) bool { return count(r) == 3 })
	var one *router
	for _, r := range routers {
		if r != nil {
			one = r
		}
	}
	// A count is passed on for two seconds; it is given again until all have it.
	all("a target's load", func(r *router) bool {
		one.mesh.Report("a", 7, time.Now())
		r.mu.Lock()
		defer r.mu.Unlock()
		return r == one || r.heard["a"] == 7
	})
}

// TestAStartingRouterServesByAnothersView starts a router while the store is
// away.
func TestAStartingRouterServesByAnothersView(t *testing.T) {
	server := startStore(t, 4)
	server.Put(platform.KindTargets, "a", entry(1))
	store := platform.NewStore(server.Addr(), nil)
	first := startRouter(t, 20, store, nil)
	await.Until(t, "the first router", func() bool { return first.directory.View().Ready() })
	server.Fail(standin.Refusing)
	second := startRouter(t, 21, store, []string{freeAddr(t, 20)})
	await.Until(t, "the second router", func() bool {
		v := second.directory.View()
		return v.Ready() && v.Config.Version == 4 && count(second) == 1
	})
}

// TestAFleetWithManyTargetsStartsCheaply starts a failure domain at once before a
// store with thousands of targets: what the routers send each other on the way to
// the same view is a fraction of the entries' own size for each of them.
func TestAFleetWithManyTargetsStartsCheaply(t *testing.T) {
	const n, targets = 8, 3000
	server := startStore(t, 1)
	size := 0
	for i := range targets {
		spec := entry(i % 250)
		data, err := json.Marshal(spec)
		if err != nil {
			t.Fatal(err)
		}
		size += len(data)
		server.Put(platform.KindTargets, fmt.Sprintf("i-%010d", i), spec)
	}
	store := platform.NewStore(server.Addr(), nil)
	var routers []*router
	for i := range n {
		routers = append(routers, startRouter(t, i, store, []string{freeAddr(t, 0)}))
	}
	for _, r := range routers {
		await.Until(t, "all targets", func() bool { return count(r) == targets })
	}
	var sent int64
	for _, r := range routers {
		sent += r.sent.Load()
	}
	if most := int64(n * size / 3); sent > most {
		t.Errorf("%d KB sent for %d KB of entries at %d routers", sent>>10, size>>10, n)
	}
}

// TestManyChangesAtOnceReachAll releases more targets at once than are passed on
// one by one.
func TestManyChangesAtOnceReachAll(t *testing.T) {
	const n = 5
	server := startStore(t, 1)
	server.Put(platform.KindTargets, "a", entry(1))
	store := platform.NewStore(server.Addr(), nil)
	var routers []*router
	for i := range n {
		routers = append(routers, startRouter(t, i, store, []string{freeAddr(t, 0)}))
	}
	for _, r := range routers {
		await.Until(t, "the first target", func() bool { return count(r) == 1 && r.mesh.Fleet() == n })
	}
	for i := range 2 * mostPushed {
		server.Put(platform.KindTargets, fmt.Sprintf("t%d", i), entry(i))
	}
	server.Delete(platform.KindTargets, "a")
	for _, r := range routers {
		await.Until(t, "the changes", func() bool { return count(r) == 2*mostPushed })
	}
}

// TestACutOffDomainHearsOfConfigurations cuts all routers of a failure domain off
// from the store: they take a new configuration from those of another one.
func TestACutOffDomainHearsOfConfigurations(t *testing.T) {
	server := startStore(t, 1)
	server.Put(platform.KindTargets, "a", entry(1))
	refusing := startStore(t, 1)
	refusing.Fail(standin.Refusing)
	seeds := []string{freeAddr(t, 0)}
	near := startRouterIn(t, "d", 0, platform.NewStore(server.Addr(), nil), seeds)
	await.Until(t, "the view of the first", func() bool { return near.directory.View().Ready() })
	var cut []*router
	for i := 1; i <= 3; i++ {
		cut = append(cut, startRouterIn(t, "e", i, platform.NewStore(refusing.Addr(), nil), seeds))
	}
	for _, r := range cut {
		await.Until(t, "the first configuration", func() bool { return r.directory.View().Ready() })
	}
	server.Put(platform.KindConfig, platform.ConfigName, map[string]any{"Version": 2})
	for _, r := range cut {
		await.Until(t, "the second configuration", func() bool { return r.directory.View().Config.Version == 2 })
	}
}

// TestTheSocketIsClosedWhenRunReturns ends meshes that get datagrams all the while
// and opens their address again at once.
func TestTheSocketIsClosedWhenRunReturns(t *testing.T) {
	const addr = "127.0.77.201:17340"
	server := startStore(t, 1)
	store := platform.NewStore(server.Addr(), nil)
	sender, err := net.Dial("udp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	for range 200 {
		d := directory.New(func() directory.Store { return store }, false, zerolog.Nop(), nil)
		m, err := New(Config{
			Self: "r", Domain: "d", Addr: addr, Directory: d, Seeds: func() []string { return nil }, Log: zerolog.Nop(),
			Heard: func(fleet.TargetID, int, time.Time) {},
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := make(chan error, 1)
		go func() { done <- m.Run(ctx) }()
		for i := range 50 {
			// Nobody may listen any more, which the sender is told at the next write.
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
