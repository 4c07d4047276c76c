package directory

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

// testPace is the pace of directories under test.
var testPace = NewPace(2 * time.Second)

// newTestDirectory returns a stand-in store and a directory that watches it.
func newTestDirectory(t *testing.T) (*standin.Store, *Directory) {
	t.Helper()
	server, err := standin.StartStore("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	store := platform.NewStore(server.Addr(), nil)
	d := New(func() Store { return store }, PrimaryWatch, testPace, zerolog.Nop(), nil)
	return server, d
}

func runDirectory(t *testing.T, d *Directory) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func targetSpec(addr, state string) map[string]any {
	return map[string]any{"Service": "s", "Address": addr, "Zone": "z", "Version": "v1", "Slots": 8, "State": state, "born": 1}
}

// readyTargets returns n entries of targets, of the revisions from 1 on.
func readyTargets(t *testing.T, n int) []platform.Object {
	t.Helper()
	spec, err := json.Marshal(targetSpec("10.0.0.1:1", "ready"))
	if err != nil {
		t.Fatal(err)
	}
	objects := make([]platform.Object, n)
	for i := range objects {
		objects[i] = platform.Object{Name: fmt.Sprint(i), Revision: uint64(i + 1), Spec: spec}
	}
	return objects
}

func configSpec(version int) map[string]any {
	return map[string]any{"Version": version, "Routes": []any{}, "Services": []any{}, "Limits": map[string]any{}}
}

func servingCount(d *Directory) int {
	return len(d.View().Targets["s"])
}

func TestFollowsStoreChanges(t *testing.T) {
	server, d := newTestDirectory(t)
	server.Put(platform.KindConfig, platform.ConfigName, configSpec(3))
	server.Put(platform.KindTargets, "a", targetSpec("10.0.0.1:1", "ready"))
	runDirectory(t, d)
	await.Until(t, "a view", func() bool { return d.View().Ready() && servingCount(d) == 1 })
	server.Put(platform.KindTargets, "b", targetSpec("10.0.0.2:1", "ready"))
	await.Until(t, "the second target", func() bool { return servingCount(d) == 2 })
	server.Put(platform.KindTargets, "a", targetSpec("10.0.0.1:1", "draining"))
	await.Until(t, "the leaving target", func() bool { return servingCount(d) == 1 && len(d.View().Leaving["s"]) == 1 })
	server.Delete(platform.KindTargets, "a")
	server.Put(platform.KindTargets, "c", "not an entry")
	server.Compact()
	server.Put(platform.KindConfig, platform.ConfigName, configSpec(9))
	await.Until(t, "the new version", func() bool { return d.View().Config.Version == 9 })
	await.Until(t, "the removal of the target", func() bool { return len(d.View().Leaving["s"]) == 0 && servingCount(d) == 1 })
}

func TestConfigRevisionNeverDecreases(t *testing.T) {
	server, d := newTestDirectory(t)
	server.Put(platform.KindConfig, platform.ConfigName, configSpec(3))
	runDirectory(t, d)
	await.Until(t, "a configuration", func() bool { return d.View().Config != nil })
	older := d.Snapshot()
	server.Put(platform.KindConfig, platform.ConfigName, configSpec(4))
	await.Until(t, "the next version", func() bool { return d.View().Config.Version == 4 })
	d.ApplySnapshot(older)
	if d.View().Config.Version != 4 {
		t.Errorf("after an older snapshot of a peer: got version %d, want 4", d.View().Config.Version)
	}
}

func TestKeepsTargetsDuringStoreOutage(t *testing.T) {
	server, d := newTestDirectory(t)
	server.Put(platform.KindConfig, platform.ConfigName, configSpec(3))
	server.Put(platform.KindTargets, "a", targetSpec("10.0.0.1:1", "ready"))
	server.Put(platform.KindTargets, "b", targetSpec("10.0.0.2:1", "ready"))
	runDirectory(t, d)
	await.Until(t, "a view", func() bool { return d.View().Ready() && servingCount(d) == 2 })
	server.Fail(standin.Refusing)
	await.Until(t, "the outage", func() bool { return !d.HasLiveWatch() })
	// Both entries disappear during the outage; that of target a reappears within
	// the grace period.
	server.Delete(platform.KindTargets, "a")
	server.Delete(platform.KindTargets, "b")
	server.Compact()
	server.Fail(standin.Healthy)
	await.Until(t, "the end of the outage", d.HasLiveWatch)
	if servingCount(d) != 2 {
		t.Errorf("right after the outage: got %d targets, want 2", servingCount(d))
	}
	server.Put(platform.KindTargets, "a", targetSpec("10.0.0.1:1", "ready"))
	await.Until(t, "the end of the grace period", func() bool { return servingCount(d) == 1 })
	if d.View().Targets["s"][0].ID != "a" {
		t.Error("the target whose entry reappeared was removed")
	}
}

// scriptedStore is a store that returns the same list to every call, or fails.
type scriptedStore struct {
	objects  []platform.Object
	revision uint64
	err      error
}

func (s *scriptedStore) List(context.Context, string, bool) ([]platform.Object, uint64, error) {
	return s.objects, s.revision, s.err
}

func (s *scriptedStore) Watch(_ context.Context, _ string, from uint64, _ time.Duration) ([]platform.Change, uint64, error) {
	return nil, from, s.err
}

// TestOutageSeenByOneKindProtectsTargets plays an outage that only the calls for one
// kind of object meet: the other kind has no call in flight while the store is away.
// The entries that lapsed meanwhile are kept for the grace period, whichever kind is
// read first afterwards, and removed at its end.
func TestOutageSeenByOneKindProtectsTargets(t *testing.T) {
	kinds := []string{platform.KindConfig, platform.KindTargets}
	for _, failing := range append(kinds, platform.KindEvacuations) {
		for _, first := range kinds {
			t.Run(failing+" fails, "+first+" returns first", func(t *testing.T) {
				clock := time.Unix(1000, 0)
				store := &scriptedStore{revision: 7}
				d := New(func() Store { return store }, PrimaryWatch, testPace, zerolog.Nop(), nil)
				d.now = func() time.Time { return clock }
				list := func(kind string) {
					handle := d.handleConfigList
					if kind == platform.KindTargets {
						handle = d.handleTargetList
					}
					if _, err := d.listOnce(t.Context(), kind, handle); err != nil {
						d.markUnavailable(kind, err)
					}
				}
				spec, err := json.Marshal(targetSpec("10.0.0.1:1", "ready"))
				if err != nil {
					t.Fatal(err)
				}
				store.objects = []platform.Object{{Name: "a", Revision: 5, Spec: spec}}
				list(platform.KindTargets)
				list(platform.KindConfig)

				store.err = platform.ErrUnavailable
				list(failing)
				clock = clock.Add(3 * time.Second)
				store.objects, store.revision, store.err = nil, 9, nil
				list(first)
				list(platform.KindTargets)
				if servingCount(d) != 1 {
					t.Errorf("right after the outage: got %d targets, want 1", servingCount(d))
				}
				clock = clock.Add(1900 * time.Millisecond)
				d.expire()
				if servingCount(d) != 1 {
					t.Errorf("within the grace period: got %d targets, want 1", servingCount(d))
				}
				clock = clock.Add(200 * time.Millisecond)
				list(platform.KindTargets)
				d.expire()
				if servingCount(d) != 0 {
					t.Errorf("after the grace period: got %d targets, want none", servingCount(d))
				}
			})
		}
	}
}

// TestTakeoverDuringCutCountsFromStoresReturn lets a router take over the watch while it is cut off,
// with or without a call that fails. Its first list lacks half of the targets. As other routers of
// their failure domain report that the store was there all the time, or since when, they must not be
// kept for the whole grace period.
func TestTakeoverDuringCutCountsFromStoresReturn(t *testing.T) {
	objects := readyTargets(t, 8)
	for _, calls := range []int{0, 1, 3} {
		for _, returned := range []time.Duration{-time.Hour, -1500 * time.Millisecond, -500 * time.Millisecond} {
			clock := time.Unix(1000, 0)
			store := &scriptedStore{objects: objects[:4], revision: 20, err: platform.ErrUnavailable}
			d := New(func() Store { return store }, NoWatch, testPace, zerolog.Nop(), nil)
			d.now = func() time.Time { return clock }
			d.ApplySnapshot(Snapshot{Targets: objects, TargetsRevision: 10})
			d.ConfirmCurrent(0)
			clock = clock.Add(time.Second)
			d.SetWatchRole(PrimaryWatch)
			for range calls {
				if _, err := d.listOnce(t.Context(), platform.KindTargets, d.handleTargetList); err != nil {
					d.markUnavailable(platform.KindTargets, err)
				}
				clock = clock.Add(time.Second)
			}
			clock = clock.Add(5 * time.Second)
			store.err = nil
			d.OnStoreReturn(func(_ fleet.DomainName, began time.Time) (time.Time, bool) {
				if at := time.Unix(1006, 0).Add(time.Duration(calls)*time.Second + returned); at.After(began) {
					return at, true
				}
				return began, true
			})
			for passed := time.Duration(0); passed <= 2*time.Second; passed += 100 * time.Millisecond {
				if _, err := d.listOnce(t.Context(), platform.KindTargets, d.handleTargetList); err != nil {
					t.Fatal(err)
				}
				d.expire()
				want := 8
				if passed-returned >= 2*time.Second {
					want = 4
				}
				if got := servingCount(d); got != want {
					t.Errorf("%d failed calls, store there for %v: got %d serving after %v, want %d", calls, -returned, got, passed, want)
					break
				}
				clock = clock.Add(100 * time.Millisecond)
			}
		}
	}
}

// TestStoreAwayAtStartProtectsTargets lets a router start while the store is away, with targets that
// another router sent it. They are kept for the grace period after its first answer.
func TestStoreAwayAtStartProtectsTargets(t *testing.T) {
	clock := time.Unix(1000, 0)
	store := &scriptedStore{err: platform.ErrUnavailable}
	d := New(func() Store { return store }, PrimaryWatch, testPace, zerolog.Nop(), nil)
	d.now = func() time.Time { return clock }
	list := func() {
		if _, err := d.listOnce(t.Context(), platform.KindTargets, d.handleTargetList); err != nil {
			d.markUnavailable(platform.KindTargets, err)
		}
	}
	list()
	d.ApplySnapshot(Snapshot{Targets: readyTargets(t, 1), TargetsRevision: 7})
	clock = clock.Add(time.Second)
	store.revision, store.err = 9, nil
	for _, test := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {1900 * time.Millisecond, 1}, {200 * time.Millisecond, 0}} {
		clock = clock.Add(test.after)
		list()
		d.expire()
		if got := servingCount(d); got != test.want {
			t.Errorf("got %d targets at %v, want %d", got, clock.Sub(time.Unix(1001, 0)), test.want)
		}
	}
}

// TestTakeoverRemovesTargetsThatLeft lets a router take over the watch of the store. Its
// first list lacks one target of eight, which left, so that the target must go at once;
// then it lacks half of them, which lapsed while the store was away, and they are kept
// for the grace period.
func TestTakeoverRemovesTargetsThatLeft(t *testing.T) {
	objects := readyTargets(t, 8)
	for _, test := range []struct{ listed, want int }{{7, 7}, {4, 8}} {
		clock := time.Unix(1000, 0)
		store := &scriptedStore{objects: objects[:test.listed], revision: 20}
		d := New(func() Store { return store }, NoWatch, testPace, zerolog.Nop(), nil)
		d.now = func() time.Time { return clock }
		d.ApplySnapshot(Snapshot{Targets: objects, TargetsRevision: 10})
		d.SetWatchRole(PrimaryWatch)
		if _, err := d.listOnce(t.Context(), platform.KindTargets, d.handleTargetList); err != nil {
			t.Fatal(err)
		}
		if got := servingCount(d); got != test.want {
			t.Errorf("%d of 8 targets listed: got %d serving, want %d", test.listed, got, test.want)
		}
		clock = clock.Add(2100 * time.Millisecond)
		if _, err := d.listOnce(t.Context(), platform.KindTargets, d.handleTargetList); err != nil {
			t.Fatal(err)
		}
		d.expire()
		if got := servingCount(d); got != test.listed {
			t.Errorf("%d of 8 targets listed: got %d serving after the grace period, want %d", test.listed, got, test.listed)
		}
	}
}

func TestNonWatchingRouterFollowsPeer(t *testing.T) {
	server, watcher := newTestDirectory(t)
	server.Put(platform.KindConfig, platform.ConfigName, configSpec(3))
	server.Put(platform.KindTargets, "a", targetSpec("10.0.0.1:1", "ready"))
	_, follower := newTestDirectory(t)
	watcher.OnChange(follower.ApplyChanges)
	follower.SetWatchRole(NoWatch)
	runDirectory(t, watcher)
	runDirectory(t, follower)
	await.Until(t, "the watcher's view", func() bool { return watcher.View().Ready() })
	follower.ApplySnapshot(watcher.Snapshot())
	if !follower.View().Ready() || servingCount(follower) != 1 {
		t.Fatal("the watcher's snapshot was not applied")
	}
	server.Put(platform.KindTargets, "b", targetSpec("10.0.0.2:1", "ready"))
	server.Delete(platform.KindTargets, "a")
	await.Until(t, "the changes", func() bool { return servingCount(follower) == 1 && follower.View().Targets["s"][0].ID == "b" })
	watcherDigest := watcher.Versions().TargetsDigest
	if watcherDigest != follower.Versions().TargetsDigest {
		t.Error("got different digests for the same targets")
	}
	if follower.HasLiveWatch() {
		t.Error("got a live watch at a router that does not watch the store")
	}
}

// TestWatcherAcceptsPeerChangesDuringStoreOutage checks that a watching router
// ignores changes and snapshots of peers while the store responds, and applies them
// while its own calls to the store fail.
func TestWatcherAcceptsPeerChangesDuringStoreOutage(t *testing.T) {
	server, d := newTestDirectory(t)
	server.Put(platform.KindConfig, platform.ConfigName, configSpec(3))
	server.Put(platform.KindTargets, "a", targetSpec("10.0.0.1:1", "ready"))
	runDirectory(t, d)
	await.Until(t, "a view", func() bool { return d.View().Ready() && d.HasLiveWatch() })
	spec, err := json.Marshal(targetSpec("10.0.0.2:1", "ready"))
	if err != nil {
		t.Fatal(err)
	}
	changes := []platform.Change{{Object: platform.Object{Name: "b", Revision: 1000, Spec: spec}}}
	d.ApplyChanges(changes)
	if servingCount(d) != 1 {
		t.Error("a router with a live watch applied a peer's change")
	}
	server.Fail(standin.Refusing)
	await.Until(t, "the outage", func() bool { return !d.HasLiveWatch() })
	d.ApplyChanges(changes)
	if servingCount(d) != 2 {
		t.Error("a peer's change was not applied during the outage")
	}
	snapshot := Snapshot{Targets: []platform.Object{changes[0].Object}, TargetsRevision: 1001}
	d.ApplySnapshot(snapshot)
	if servingCount(d) != 1 || d.View().Targets["s"][0].ID != "b" {
		t.Error("a peer's snapshot was not applied during the outage")
	}
}

// TestEntriesConvergeInAnyOrder applies a store's changes to two routers, to one of
// them out of order and partly twice. After the final list both must hold the
// store's entries and have the same digest.
func TestEntriesConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		type op struct {
			object  platform.Object
			deleted bool
		}
		want := map[string]uint64{}
		var ops []op
		revision := uint64(0)
		for range rapid.IntRange(1, 60).Draw(r, "changes") {
			revision++
			name := fmt.Sprintf("o%d", rapid.IntRange(0, 5).Draw(r, "name"))
			if _, exists := want[name]; exists && rapid.Bool().Draw(r, "delete") {
				ops = append(ops, op{platform.Object{Name: name, Revision: revision}, true})
				delete(want, name)
				continue
			}
			want[name] = revision
			ops = append(ops, op{platform.Object{Name: name, Revision: revision}, false})
		}
		apply := func(e *entries, o op) {
			if o.deleted {
				e.remove(o.object.Name, o.object.Revision)
			} else {
				e.put(o.object)
			}
		}
		ordered, shuffled := newEntries(), newEntries()
		for _, o := range ops {
			apply(ordered, o)
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "order"), 1))
		deliveries := append(append([]op{}, ops...), ops[:len(ops)/2]...)
		// A deletion that arrives before its entry has no effect. As in production,
		// the complete list, applied below, repairs that.
		random.Shuffle(len(deliveries), func(i, j int) { deliveries[i], deliveries[j] = deliveries[j], deliveries[i] })
		for _, o := range deliveries {
			apply(shuffled, o)
		}
		for name := range shuffled.objects {
			if _, ok := want[name]; !ok {
				shuffled.remove(name, revision)
			}
		}
		for name, revision := range want {
			shuffled.put(platform.Object{Name: name, Revision: revision})
		}
		for _, e := range []*entries{ordered, shuffled} {
			if len(e.objects) != len(want) {
				r.Fatalf("got %d entries, want %d", len(e.objects), len(want))
			}
			for name, revision := range want {
				if e.objects[name].Revision != revision {
					r.Fatalf("%s: got revision %d, want %d", name, e.objects[name].Revision, revision)
				}
			}
		}
		if ordered.digest != shuffled.digest {
			r.Fatalf("got digests %x and %x, want equal ones", ordered.digest, shuffled.digest)
		}
	})
}

func TestEmptyViewIsNotReady(t *testing.T) {
	_, d := newTestDirectory(t)
	if d.View().Ready() || d.View().Targets != nil {
		t.Error("got a ready view or targets before anything was read")
	}
	var none catalog.View
	if none.Ready() {
		t.Error("got a ready view without a configuration")
	}
}

// TestOlderListKeepsNewerTarget guards against a peer's snapshot that was requested
// before a target was added, and arrives after it: it must not remove that target.
func TestOlderListKeepsNewerTarget(t *testing.T) {
	_, d := newTestDirectory(t)
	d.SetWatchRole(NoWatch)
	object := func(name string, revision uint64) platform.Object {
		spec, err := json.Marshal(targetSpec("10.0.0.1:1", "ready"))
		if err != nil {
			t.Fatal(err)
		}
		return platform.Object{Name: name, Revision: revision, Spec: spec}
	}
	list := Snapshot{Targets: []platform.Object{object("a", 2)}, TargetsRevision: 3}
	d.ApplySnapshot(list)
	d.ApplyChanges([]platform.Change{{Object: object("b", 4)}})
	d.ApplySnapshot(list)
	if servingCount(d) != 2 || len(d.entries.objects) != 2 {
		t.Errorf("got %d serving targets and %d entries, want 2 and 2", servingCount(d), len(d.entries.objects))
	}
}

// TestViewMatchesEntries applies changes and snapshots of any age. The view must
// always hold exactly the targets of the entries, because routers compare their
// data by the digest of the entries.
func TestViewMatchesEntries(t *testing.T) {
	spec, err := json.Marshal(targetSpec("10.0.0.1:1", "ready"))
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(r *rapid.T) {
		d := New(nil, NoWatch, testPace, zerolog.Nop(), nil)
		name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		revision := rapid.Uint64Range(1, 20)
		for range rapid.IntRange(1, 30).Draw(r, "steps") {
			if rapid.Bool().Draw(r, "list") {
				snapshot := Snapshot{TargetsRevision: revision.Draw(r, "revision")}
				for _, n := range rapid.SliceOfDistinct(name, func(s string) string { return s }).Draw(r, "names") {
					snapshot.Targets = append(snapshot.Targets, platform.Object{Name: n, Revision: min(revision.Draw(r, "entry"), snapshot.TargetsRevision), Spec: spec})
				}
				d.ApplySnapshot(snapshot)
			} else {
				d.ApplyChanges([]platform.Change{{
					Object:  platform.Object{Name: name.Draw(r, "name"), Revision: revision.Draw(r, "entry"), Spec: spec},
					Deleted: rapid.Bool().Draw(r, "deleted"),
				}})
			}
			targets := d.View().Targets["s"]
			if len(targets) != len(d.entries.objects) {
				r.Fatalf("got %d serving targets for %d entries, want as many", len(targets), len(d.entries.objects))
			}
			for _, target := range targets {
				if d.entries.objects[string(target.ID)].Revision != target.Revision {
					r.Fatalf("%s: got revision %d in the view, want %d as in its entry", target.ID, target.Revision, d.entries.objects[string(target.ID)].Revision)
				}
			}
		}
	})
}
