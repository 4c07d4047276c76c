package mesh

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
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
)

// storeGate is one router's way to the store, which a test can close.
type storeGate struct {
	closed atomic.Bool
	// held is set if calls are held up, those in progress included.
	held   atomic.Bool
	proxy  *httputil.ReverseProxy
	server *httptest.Server
}

func newStoreGate(t *testing.T, store *standin.Store) *storeGate {
	t.Helper()
	g := &storeGate{proxy: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store.Addr()})}
	g.proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
	g.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.closed.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		g.proxy.ServeHTTP(w, r)
		for g.held.Load() && r.Context().Err() == nil {
			time.Sleep(5 * time.Millisecond)
		}
	}))
	t.Cleanup(g.server.Close)
	return g
}

// addr returns the gate's address.
func (g *storeGate) addr() string {
	return strings.TrimPrefix(g.server.URL, "http://")
}

// hold holds up all calls from now on.
func (g *storeGate) hold() {
	g.held.Store(true)
}

// close closes the gate and cuts the calls in progress.
func (g *storeGate) close() {
	g.closed.Store(true)
	g.server.CloseClientConnections()
}

// returnFleet is three routers, one in failure domain d and two in e, with gates to one store, and
// four targets in each domain.
type returnFleet struct {
	store   *standin.Store
	routers []*testRouter
	gates   []*storeGate
}

// startReturnFleet starts a fleet, waits until all routers know all targets and of each other, and
// returns the targets' IDs, those of domain d first.
func startReturnFleet(t *testing.T) (*returnFleet, []string) {
	t.Helper()
	f := &returnFleet{store: startStore(t, 1)}
	seeds := []string{freeAddr(t, 0), freeAddr(t, 1)}
	for i, domain := range []fleet.DomainName{"d", "e", "e"} {
		f.gates = append(f.gates, newStoreGate(t, f.store))
		f.routers = append(f.routers, startRouterInDomain(t, domain, i, platform.NewStore(f.gates[i].addr(), nil), seeds))
	}
	ids := []string{"d1", "d22", "d333", "d4444", "e1", "e22", "e333", "e4444"}
	for _, id := range ids {
		f.put(id)
	}
	for i, r := range f.routers {
		await.Until(t, "all targets", func() bool { return targetCount(r) == len(ids) && r.directory.HasLiveWatch() && f.has(i, "e4444") })
	}
	time.Sleep(2 * heartbeatInterval)
	return f, ids
}

func (f *returnFleet) put(id string) {
	spec := targetSpec(len(id))
	spec["Zone"] = id[:1]
	f.store.Put(platform.KindTargets, id, spec)
}

// has reports whether router i uses a target.
func (f *returnFleet) has(i int, id string) bool {
	for _, target := range f.routers[i].directory.View().Targets["s"] {
		if target.ID == fleet.TargetID(id) {
			return true
		}
	}
	return false
}

// goneWithin waits until router i no longer uses a target, and returns how long that took from a
// point in time on.
func (f *returnFleet) goneWithin(t *testing.T, i int, id string, from time.Time) time.Duration {
	t.Helper()
	await.Until(t, fmt.Sprintf("target %s to be gone at router %d", id, i), func() bool { return !f.has(i, id) })
	return time.Since(from)
}

// watchMissing records each moment at which a router does not use one of the targets, until stop is
// closed, and returns what it saw.
func (f *returnFleet) watchMissing(ids []string) (stop func() []string) {
	done, seen := make(chan struct{}), map[string]bool{}
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			for i := range f.routers {
				for _, id := range ids {
					if !f.has(i, id) {
						seen[fmt.Sprintf("%s at router %d", id, i)] = true
					}
				}
			}
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	})
	return func() []string {
		close(done)
		wait.Wait()
		var list []string
		for s := range seen {
			list = append(list, s)
		}
		slices.Sort(list)
		return list
	}
}

// Times of the tests below.
const (
	// returnTime is how long the entry of a live target may be missing after the store's return.
	returnTime = 2 * time.Second
	// noticeTime is how long it may take until a router has received what the others report:
	// the time after which it counts them as absent.
	noticeTime = minWatcherTimeout
)

// TestTargetsThatLeftDuringCutAreGone guards against a router that takes the end of its own cut for the
// return of the store. The two routers of failure domain e are cut off the store while targets of both
// domains leave; one of them reaches it again later than the other. What left must be gone two
// seconds after the first of them reached the store, and in the other domain, whose router was never
// cut off, as soon as that is known.
func TestTargetsThatLeftDuringCutAreGone(t *testing.T) {
	for _, seed := range []uint64{0, 6, 7} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 15))
			f, ids := startReturnFleet(t)
			early := 1 + rng.IntN(2)
			late := 3 - early
			f.gates[1].close()
			f.gates[2].close()
			time.Sleep(silentStoreTime + time.Duration(rng.IntN(500))*time.Millisecond)
			leftD, leftE := ids[rng.IntN(4)], ids[4+rng.IntN(4)]
			f.store.Delete(platform.KindTargets, leftE)
			f.gates[early].closed.Store(false)
			await.Until(t, "the first to reach the store", func() bool { return f.routers[early].directory.HasLiveWatch() })
			returned := time.Now()
			time.Sleep(time.Duration(1500+rng.IntN(500)) * time.Millisecond)
			f.store.Delete(platform.KindTargets, leftD)
			f.gates[late].closed.Store(false)
			await.Until(t, "the second to reach the store", func() bool { return f.routers[late].directory.HasLiveWatch() })
			reached := time.Now()
			if took := f.goneWithin(t, late, leftD, reached); took > noticeTime {
				t.Errorf("a target that left in the domain that was not cut off was used for %v after the store was reached, want %v", took, noticeTime)
			}
			for _, i := range []int{early, late} {
				if took := f.goneWithin(t, i, leftE, returned); took > returnTime+noticeTime {
					t.Errorf("router %d used a target that left for %v after the first router of its domain reached the store, want %v", i, took, returnTime+noticeTime)
				}
			}
		})
	}
}

// TestTargetsThatLapseWhileStoreIsAwayAreKept is the other side: the store is away for all, which the
// routers notice at different times, and entries that lapsed come back up to 1.8 s after its return.
// No router may cease to use their targets.
func TestTargetsThatLapseWhileStoreIsAwayAreKept(t *testing.T) {
	for _, seed := range []uint64{7, 8} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 16))
			f, ids := startReturnFleet(t)
			stop := f.watchMissing(ids)
			order := rng.Perm(3)
			for _, i := range order {
				f.gates[i].close()
				time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			}
			for _, id := range ids {
				f.store.Delete(platform.KindTargets, id)
			}
			f.store.Compact()
			time.Sleep(time.Duration(rng.IntN(2*int(silentStoreTime.Milliseconds()))) * time.Millisecond)
			for _, g := range f.gates {
				g.closed.Store(false)
			}
			returned := time.Now()
			rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
			for n, id := range ids {
				// The last one is back after 1.8 s.
				time.Sleep(time.Until(returned.Add(time.Duration(n+1) * 225 * time.Millisecond)))
				f.put(id)
			}
			if late := time.Since(returned); late > returnTime-100*time.Millisecond {
				t.Logf("not judged: on this machine the last entry was back only after %v", late)
				_ = stop()
				return
			}
			time.Sleep(time.Second)
			if missing := stop(); len(missing) > 0 {
				t.Errorf("not used for a time: %v", missing)
			}
		})
	}
}
