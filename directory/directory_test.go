package directory

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

// scene is a directory before a stand-in of the store.
func newScene(t *testing.T) (*standin.Store, *Directory) {
	t.Helper()
	server, err := standin.StartStore("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	store := platform.NewStore(server.Addr(), nil)
	d := New(func() Store { return store }, true, zerolog.Nop(), nil)
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

func entry(addr, state string) map[string]any {
	return map[string]any{"Service": "s", "Address": addr, "Zone": "z", "Slots": 8, "State": state, "born": 1}
}

func configSpec(version int) map[string]any {
	return map[string]any{"Version": version, "Routes": []any{}, "Services": []any{}, "Limits": map[string]any{}}
}

func serving(d *Directory) int {
	return len(d.View().Targets["s"])
}

func TestFollowsTheStore(t *testing.T) {
	server, d := newScene(t)
	server.Put(platform.KindConfig, platform.ConfigName, configSpec(3))
	server.Put(platform.KindTargets, "a", entry("10.0.0.1:1", "ready"))
	runDirectory(t, d)
	await.Until(t, "a view", func() bool { return d.View().Ready() && serving(d) == 1 })
	server.Put(platform.KindTargets, "b", entry("10.0.0.2:1", "ready"))
	await.Until(t, "the second target", func() bool { return serving(d) == 2 })
	server.Put(platform.KindTargets, "a", entry("10.0.0.1:1", "draining"))
	await.Until(t, "the leaving target", func() bool { return serving(d) == 1 && len(d.View().Leaving["s"]) == 1 })
	server.Delete(platform.KindTargets, "a")
	server.Put(platform.KindTargets, "c", "not an entry")
	server.Compact()
	server.Put(platform.KindConfig, platform.ConfigName, configSpec(9))
	await.Until(t, "the new version", func() bool { return d.View().Config.Version == 9 })
	await.Until(t, "the end of the target", func() bool { return len(d.View().Leaving["s"]) == 0 && serving(d) == 1 })
}

func TestTheConfigurationNeverGoesBack(t *testing.T) {
	server, d := newScene(t)
	server.Put(platform.KindConfig, platform.ConfigName, configSpec(3))
	runDirectory(t, d)
	await.Until(t, "a configuration", func() bool { return d.View().Config != nil })
	held := d.Held()
	server.Put(platform.KindConfig, platform.ConfigName, configSpec(4))
	await.Until(t, "the next version", func() bool { return d.View().Config.Version == 4 })
	d.TakeHeld(held)
	if d.View().Config.Version != 4 {
		t.Error("another router's older version is in force")
	}
}

func TestServesOnWhileTheStoreIsAway(t *testing.T) {
	server, d := newScene(t)
	server.Put(platform.KindConfig, platform.ConfigName, configSpec(3))
	server.Put(platform.KindTargets, "a", entry("10.0.0.1:1", "ready"))
	server.Put(platform.KindTargets, "b", entry("10.0.0.2:1", "ready"))
	runDirectory(t, d)
	await.Until(t, "a view", func() bool { return d.View().Ready() && serving(d) == 2 })
	server.Fail(standin.Refusing)
	await.Until(t, "the outage", func() bool { return !d.Hears() })
	// The entries lapse while the store is away; one comes back in time.
	server.Delete(platform.KindTargets, "a")
	server.Delete(platform.KindTargets, "b")
	server.Compact()
	server.Fail(standin.Healthy)
	await.Until(t, "the store's return", d.Hears)
	if serving(d) != 2 {
		t.Errorf("%d targets right after the outage", serving(d))
	}
	server.Put(platform.KindTargets, "a", entry("10.0.0.1:1", "ready"))
	await.Until(t, "the end of the grace", func() bool { return serving(d) == 1 })
	if d.View().Targets["s"][0].ID != "a" {
		t.Error("the target that came back is gone")
	}
}

func TestRelyingOnAnotherRouter(t *testing.T) {
	server, watcher := newScene(t)
	server.Put(platform.KindConfig, platform.ConfigName, configSpec(3))
	server.Put(platform.KindTargets, "a", entry("10.0.0.1:1", "ready"))
	_, other := newScene(t)
	watcher.OnChange(other.Take)
	other.Watch(false)
	runDirectory(t, watcher)
	runDirectory(t, other)
	await.Until(t, "the watcher's view", func() bool { return watcher.View().Ready() })
	other.TakeHeld(watcher.Held())
	if !other.View().Ready() || serving(other) != 1 {
		t.Fatal("what the other router holds was not taken")
	}
	server.Put(platform.KindTargets, "b", entry("10.0.0.2:1", "ready"))
	server.Delete(platform.KindTargets, "a")
	await.Until(t, "the changes", func() bool { return serving(other) == 1 && other.View().Targets["s"][0].ID == "b" })
	_, here := watcher.Marks()
	if _, there := other.Marks(); here != there {
		t.Error("the digests differ although both hold the same")
	}
	if other.Hears() {
		t.Error("a router that does not watch says that it hears the store")
	}
}

// TestAWatcherThatIsCutOffBelievesOthers cuts a watching router off from the
// store: what another one saw there holds for it too, until it hears the store
// again.
func TestAWatcherThatIsCutOffBelievesOthers(t *testing.T) {
	server, d := newScene(t)
	server.Put(platform.KindConfig, platform.ConfigName, configSpec(3))
	server.Put(platform.KindTargets, "a", entry("10.0.0.1:1", "ready"))
	runDirectory(t, d)
	await.Until(t, "a view", func() bool { return d.View().Ready() && d.Hears() })
	spec, err := json.Marshal(entry("10.0.0.2:1", "ready"))
	if err != nil {
		t.Fatal(err)
	}
	push := []platform.Change{{Object: platform.Object{Name: "b", Revision: 1000, Spec: spec}}}
	d.Take(push)
	if serving(d) != 1 {
		t.Error("a router that hears the store believes another one")
	}
	server.Fail(standin.Refusing)
	await.Until(t, "the outage", func() bool { return !d.Hears() })
	d.Take(push)
	if serving(d) != 2 {
		t.Error("a push is not believed while the store is away")
	}
	held := Held{Targets: []platform.Object{push[0].Object}, Revision: 1001}
	d.TakeHeld(held)
	if serving(d) != 1 || d.View().Targets["s"][0].ID != "b" {
		t.Error("a list is not believed while the store is away")
	}
}

// TestEntriesAgreeInAnyOrder plays the changes of a store to two routers, one of
// which gets them late, twice and out of order: after all have arrived both hold
// what the store holds, and their digests agree.
func TestEntriesAgreeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		type op struct {
			object  platform.Object
			deleted bool
		}
		oracle := map[string]uint64{}
		var ops []op
		revision := uint64(0)
		for range rapid.IntRange(1, 60).Draw(r, "changes") {
			revision++
			name := fmt.Sprintf("o%d", rapid.IntRange(0, 5).Draw(r, "name"))
			if _, exists := oracle[name]; exists && rapid.Bool().Draw(r, "delete") {
				ops = append(ops, op{platform.Object{Name: name, Revision: revision}, true})
				delete(oracle, name)
				continue
			}
			oracle[name] = revision
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
		late := append(append([]op{}, ops...), ops[:len(ops)/2]...)
		// A deletion of an entry that has not arrived yet finds nothing; the whole
		// list that repairs such gaps is what the store holds.
		random.Shuffle(len(late), func(i, j int) { late[i], late[j] = late[j], late[i] })
		for _, o := range late {
			apply(shuffled, o)
		}
		for name := range shuffled.objects {
			if _, ok := oracle[name]; !ok {
				shuffled.remove(name, revision)
			}
		}
		for name, revision := range oracle {
			shuffled.put(platform.Object{Name: name, Revision: revision})
		}
		for _, e := range []*entries{ordered, shuffled} {
			if len(e.objects) != len(oracle) {
				r.Fatalf("holds %d of %d", len(e.objects), len(oracle))
			}
			for name, revision := range oracle {
				if e.objects[name].Revision != revision {
					r.Fatalf("%s at %d, want %d", name, e.objects[name].Revision, revision)
				}
			}
		}
		if ordered.digest != shuffled.digest {
			r.Fatal("the digests differ")
		}
	})
}

func TestViewBeforeAnythingIsKnown(t *testing.T) {
	_, d := newScene(t)
	if d.View().Ready() || d.View().Targets != nil {
		t.Error("an empty view is ready")
	}
	var none catalog.View
	if none.Ready() {
		t.Error("ready without a configuration")
	}
}

// TestAnOlderListDoesNotRemoveANewerTarget takes another router's list that was
// asked for before a target came.
func TestAnOlderListDoesNotRemoveANewerTarget(t *testing.T) {
	_, d := newScene(t)
	d.Watch(false)
	object := func(name string, revision uint64) platform.Object {
		spec, err := json.Marshal(entry("10.0.0.1:1", "ready"))
		if err != nil {
			t.Fatal(err)
		}
		return platform.Object{Name: name, Revision: revision, Spec: spec}
	}
	list := Held{Targets: []platform.Object{object("a", 2)}, Revision: 3}
	d.TakeHeld(list)
	d.Take([]platform.Change{{Object: object("b", 4)}})
	d.TakeHeld(list)
	if serving(d) != 2 || len(d.entries.objects) != 2 {
		t.Errorf("%d targets serve of %d entries", serving(d), len(d.entries.objects))
	}
}

// TestViewAndEntriesAgree plays pushes and lists of any age: the view holds
// exactly the targets of the entries, by which routers compare themselves.
func TestViewAndEntriesAgree(t *testing.T) {
	spec, err := json.Marshal(entry("10.0.0.1:1", "ready"))
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(r *rapid.T) {
		d := New(nil, false, zerolog.Nop(), nil)
		name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		revision := rapid.Uint64Range(1, 20)
		for range rapid.IntRange(1, 30).Draw(r, "steps") {
			if rapid.Bool().Draw(r, "list") {
				h := Held{Revision: revision.Draw(r, "revision")}
				for _, n := range rapid.SliceOfDistinct(name, func(s string) string { return s }).Draw(r, "names") {
					h.Targets = append(h.Targets, platform.Object{Name: n, Revision: min(revision.Draw(r, "entry"), h.Revision), Spec: spec})
				}
				d.TakeHeld(h)
			} else {
				d.Take([]platform.Change{{
					Object:  platform.Object{Name: name.Draw(r, "name"), Revision: revision.Draw(r, "entry"), Spec: spec},
					Deleted: rapid.Bool().Draw(r, "deleted"),
				}})
			}
			targets := d.View().Targets["s"]
			if len(targets) != len(d.entries.objects) {
				r.Fatalf("%d targets serve of %d entries", len(targets), len(d.entries.objects))
			}
			for _, target := range targets {
				if d.entries.objects[string(target.ID)].Revision != target.Revision {
					r.Fatalf("%s serves at another revision than its entry", target.ID)
				}
			}
		}
	})
}
