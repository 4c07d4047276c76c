package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/targetconn"
)

// Bounds on requests with a prompt part that crashes targets.
const (
	crashesBeforeWindow = 5
	stabilityWindow     = 3 * time.Second
	maxArrivalsAfter    = 3
)

// Sizes and times of the fleet with crashing targets.
const (
	crashRouters       = 3
	crashTargets       = 10
	crashEntryLifetime = 900 * time.Millisecond
	crashRestartAfter  = time.Second
	crashPart          = "bad"
	// maxCrashRequests bounds the wait for crashesBeforeWindow crashes.
	maxCrashRequests = 60
	crashInterval    = 200 * time.Millisecond
	// soundRequests is the number of sound requests per router in a measurement.
	soundRequests  = 20
	soundInterval  = 25 * time.Millisecond
	requestTimeout = 2 * time.Second
)

// crashFleet is a fleet of routers before targets that crash on crashPart.
type crashFleet struct {
	targets []*standin.Replica
	routers []*fixture
	client  *http.Client
	// position is the place of crashPart among the shared parts.
	position int
	// started counts the requests with crashPart.
	started atomic.Int64
}

// crashConfig returns a configuration with a route of streams, which may be repeated and resumed or
// run once.
func crashConfig(resumable bool) map[string]any {
	attempts := 1
	if resumable {
		attempts = 3
	}
	return map[string]any{
		"Version": 1,
		"Routes": []any{map[string]any{
			"Name": "r", "Host": "h", "PathPrefix": "/p/", "RouteType": "streaming", "StreamResume": resumable, "SessionAffinity": true, "MaxAttempts": attempts,
			"Service": "s", "TimeoutMs": 5000, "TargetLatencyMs": 500, "GapAimMs": 200,
		}},
		"Services": []any{map[string]any{"Name": "s", "Engine": map[string]any{"Slots": 8}}},
		"Tenants":  []any{map[string]any{"Name": "x", "ApiKeys": []string{"key-x"}}, map[string]any{"Name": "y", "ApiKeys": []string{"key-y"}}},
		"Limits":   map[string]any{"MaxBodyBytes": 1000, "IdleTimeoutMs": 300},
	}
}

func startCrashFleet(t *testing.T, position int) *crashFleet {
	t.Helper()
	return startCrashFleetWith(t, position, crashConfig(true), func(int) targetconn.ConnectFunc { return nil })
}

func startCrashFleetWith(t *testing.T, position int, config map[string]any, connect func(i int) targetconn.ConnectFunc) *crashFleet {
	t.Helper()
	f := &crashFleet{position: position, client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(f.client.CloseIdleConnections)
	f.targets, f.routers = startReplicasWith(t, crashRouters, crashTargets, crashRestartAfter, standin.AwayRefuses, config, func(id string) *standin.Target {
		return &standin.Target{
			ID: id, Service: "s", Zone: "d", Events: 3, EventInterval: 5 * time.Millisecond,
			CrashOn: func(r *http.Request) bool { return standin.HasSharedPart(r, crashPart) },
		}
	}, connect)
	return f
}

// startReplicas starts routers that know each other before targets that start again some time
// after a crash. newTarget returns the target with an ID.
func startReplicas(t *testing.T, routers, targets int, restartAfter time.Duration, away standin.Away, config map[string]any, newTarget func(id string) *standin.Target) ([]*standin.Replica, []*fixture) {
	t.Helper()
	return startReplicasWith(t, routers, targets, restartAfter, away, config, newTarget, func(int) targetconn.ConnectFunc { return nil })
}

// startReplicasWith is startReplicas with a function to open connections to targets for each router.
func startReplicasWith(t *testing.T, routers, targets int, restartAfter time.Duration, away standin.Away, config map[string]any, newTarget func(id string) *standin.Target, connect func(i int) targetconn.ConnectFunc) ([]*standin.Replica, []*fixture) {
	t.Helper()
	store, err := standin.StartStore("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	store.Put(platform.KindConfig, platform.ConfigName, config)
	var replicas []*standin.Replica
	for i := range targets {
		replica := &standin.Replica{
			Store: store, Kind: platform.KindTargets, EntryLifetime: crashEntryLifetime, RestartAfter: restartAfter, Away: away,
			OnError: func(err error) { t.Error(err) },
			New:     func(n int) *standin.Target { return newTarget(fmt.Sprintf("t%d-%d", i, n)) },
		}
		// The port is outside the range from which the kernel takes ports for
		// connections, so it stays free until the next target starts there.
		if err := replica.Start(nextAddress() + ":18005"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(replica.Close)
		replicas = append(replicas, replica)
	}
	return replicas, startRoutersWith(t, store, routers, targets, connect)
}

// startRouters starts routers and waits until they know each other and all targets.
func startRouters(t *testing.T, store *standin.Store, routers, targets int) []*fixture {
	t.Helper()
	return startRoutersWith(t, store, routers, targets, func(int) targetconn.ConnectFunc { return nil })
}

// startRoutersWith is startRouters with a function to open connections to targets for each
// router.
func startRoutersWith(t *testing.T, store *standin.Store, routers, targets int, connect func(i int) targetconn.ConnectFunc) []*fixture {
	t.Helper()
	var addresses, seeds []string
	for range routers {
		address := nextAddress()
		addresses, seeds = append(addresses, address), append(seeds, address+":18003")
	}
	var fixtures []*fixture
	for i, address := range addresses {
		r := &fixture{store: store, done: make(chan error, 1), connect: connect(i)}
		r.cfg = settings.NodeFile{
			ID: fleet.RouterID(fmt.Sprintf("n%d", i)), Domain: "d", ClientAddr: address + ":18001", ReadyAddr: address + ":18002", PeerAddr: address + ":18003",
			MetricsAddr: address + ":18004", StoreAddr: store.Addr(), Seeds: seeds, MemoryMB: 200, GraceSeconds: 1,
			RetryBudget: settings.RetryBudget{Ratio: 0.2, Extra: 50, WindowSeconds: 10},
		}
		r.start(t)
		fixtures = append(fixtures, r)
	}
	for _, r := range fixtures {
		await.Until(t, "the routers to know each other", func() bool { return r.node.mesh.FleetSize() == routers })
		await.Until(t, "all targets", func() bool { return len(r.node.directory.View().Targets["s"]) == targets })
	}
	return fixtures
}

// sharedParts returns the shared parts of sound request n: the system prompt and
// two more, each of which other requests have too.
func sharedParts(n int) []string {
	return []string{"first", fmt.Sprintf("mid-%d", n%2), fmt.Sprintf("key-%d", n%3)}
}

// sendSound sends a sound request and returns whether the answer was complete. One
// in four is of another client account than the requests with crashPart.
func (f *crashFleet) sendSound(router, n int, id string) bool {
	key := "key-x"
	if n%4 == 3 {
		key = "key-y"
	}
	return f.send(router, id, key, sharedParts(n))
}

// sendCrashing sends a request with crashPart. The other parts are shared with
// sound requests.
func (f *crashFleet) sendCrashing(router, n int, id string) {
	f.started.Add(1)
	parts := sharedParts(n)
	parts[f.position] = crashPart
	f.send(router, id, "key-x", parts)
}

func (f *crashFleet) send(router int, id, key string, shared []string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.routers[router].cfg.ClientAddr+"/p/x", strings.NewReader("body"))
	if err != nil {
		return false
	}
	r.Host = "h"
	standin.SetRequestHeaders(r, id, key, requestTimeout, 0)
	standin.SetPrompt(r, strings.Join(shared, ":400,")+":400,own-"+id+":50")
	response, err := f.client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && string(body) == standin.EventText(1)+standin.EventText(2)+standin.EventText(3)
}

// sendCrashingUntil sends requests with crashPart to all routers until ctx ends.
// Each is repeated once, at another router.
func (f *crashFleet) sendCrashingUntil(ctx context.Context, loop int) {
	for n := 0; ctx.Err() == nil; n++ {
		f.sendCrashing((loop+n)%crashRouters, n/2, fmt.Sprintf("%s-%d-%d", crashPart, loop, n/2))
		pause(ctx, crashInterval)
	}
}

// sendSoundUntil sends sound requests to one router until ctx ends.
func (f *crashFleet) sendSoundUntil(ctx context.Context, router int) {
	for n := 0; ctx.Err() == nil; n++ {
		f.sendSound(router, n, fmt.Sprintf("steady-%d-%d", router, n))
		pause(ctx, 2*soundInterval)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// served sends soundRequests to each router at a fixed rate and returns how many
// are served.
func (f *crashFleet) served(phase string) int {
	var served atomic.Int64
	var all sync.WaitGroup
	for n := range soundRequests {
		for router := range f.routers {
			all.Go(func() {
				if f.sendSound(router, n, fmt.Sprintf("%s-%d-%d", phase, router, n)) {
					served.Add(1)
				}
			})
		}
		time.Sleep(soundInterval)
	}
	all.Wait()
	return int(served.Load())
}

// crashTimes returns the times of all crashes in order.
func crashTimes(targets []*standin.Replica) []time.Time {
	var all []time.Time
	for _, r := range targets {
		all = append(all, r.Crashes()...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// crashingArrivals returns the arrivals with crashPart at all targets later than
// after.
func (f *crashFleet) crashingArrivals(after time.Time) []standin.Arrival {
	var late []standin.Arrival
	for _, r := range f.targets {
		for _, a := range r.Arrivals() {
			if strings.HasPrefix(a.Request, crashPart) && a.At.After(after) {
				late = append(late, a)
			}
		}
	}
	return late
}

// restart stops a router and starts it again at the same address.
func (s *fixture) restart(t *testing.T) {
	t.Helper()
	stopAll(t, []*fixture{s})
	s.startAgain(t)
}

// stopAll stops routers together and waits until all have ended.
func stopAll(t *testing.T, routers []*fixture) {
	t.Helper()
	for _, s := range routers {
		s.stop()
	}
	for _, s := range routers {
		if err := <-s.done; err != nil {
			t.Fatal(err)
		}
	}
}

// startAgain starts a router that has stopped at the same address.
func (s *fixture) startAgain(t *testing.T) {
	t.Helper()
	await.Until(t, "the router's addresses to be free", func() bool {
		conn, err := net.ListenPacket("udp4", s.cfg.PeerAddr)
		return err == nil && conn.Close() == nil
	})
	// The stopped router goes on to answer on connections to its readiness address.
	http.DefaultClient.CloseIdleConnections()
	s.start(t)
}

// TestPromptPartThatCrashesTargetsIsQuarantined guards against requests with one prompt part that crash target after target.
func TestPromptPartThatCrashesTargetsIsQuarantined(t *testing.T) {
	for position, name := range []string{"first", "middle", "last shared"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startCrashFleet(t, position)
			before := f.served("before")
			if want := soundRequests * crashRouters; before != want {
				t.Fatalf("before the first crash: got %d of %d sound requests served, want all", before, want)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var traffic sync.WaitGroup
			for i := range crashRouters {
				traffic.Go(func() { f.sendCrashingUntil(ctx, i) })
				traffic.Go(func() { f.sendSoundUntil(ctx, i) })
			}
			await.Until(t, "the fifth crash", func() bool {
				return len(crashTimes(f.targets)) >= crashesBeforeWindow || f.started.Load() >= maxCrashRequests
			})
			bounded := time.Now()
			time.Sleep(stabilityWindow)
			f.routers[0].restart(t)
			for i := range soundRequests {
				f.sendCrashing(0, i, fmt.Sprintf("%s-restarted-%d", crashPart, i))
			}
			time.Sleep(time.Until(bounded.Add(2 * stabilityWindow)))
			after := f.served("after")
			cancel()
			traffic.Wait()
			crashes := crashTimes(f.targets)
			t.Logf("%d requests with the part, %d crashes, %d arrivals; sound requests served: %d before, %d after", f.started.Load(), len(crashes), len(f.crashingArrivals(time.Time{})), before, after)
			if 2*after < before {
				t.Errorf("from two windows after the fifth crash: got %d sound requests served, want at least half of the %d before", after, before)
			}
			if len(crashes) < crashesBeforeWindow {
				// Without a fifth crash there is no bound on arrivals.
				return
			}
			late := f.crashingArrivals(crashes[crashesBeforeWindow-1].Add(stabilityWindow))
			restarted := 0
			for _, a := range late {
				if strings.Contains(a.Request, "restarted") {
					restarted++
				}
			}
			if len(late) > maxArrivalsAfter {
				t.Errorf("later than %v after the fifth crash: got %d requests with the part at targets, %d of them from the restarted router, want at most %d", stabilityWindow, len(late), restarted, maxArrivalsAfter)
			}
		})
	}
}
