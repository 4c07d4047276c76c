package mesh

import (
	"slices"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
)

// TestRouterThatKnowsOnlyTheCopyLearnsNewerConfiguration guards against a watcher that serves by the old configuration
// of a store's copy beside routers that were cut off from the store before.
func TestRouterThatKnowsOnlyTheCopyLearnsNewerConfiguration(t *testing.T) {
	before, after := startStore(t, 4), startStore(t, 3)
	after.Restore(after.TakeCopy())
	cut := startRouter(t, 0, platform.NewStore(before.Addr(), nil), []string{freeAddr(t, 0)})
	await.Until(t, "a view", func() bool { return cut.directory.View().Ready() })
	before.Fail(standin.Refusing)
	started := startRouter(t, 1, platform.NewStore(after.Addr(), nil), []string{freeAddr(t, 0)})
	version := func(r *testRouter) uint64 {
		if c := r.directory.View().Config; c != nil {
			return c.Version
		}
		return 0
	}
	await.Until(t, "the newer configuration", func() bool { return version(started) == 4 })
	if version(cut) != 4 {
		t.Errorf("got version %d at the router that had the newer one, want 4", version(cut))
	}
	after.Put(platform.KindConfig, platform.ConfigName, map[string]any{"Version": 5})
	await.Until(t, "the version after the drill", func() bool { return version(started) == 5 && version(cut) == 5 })
	time.Sleep(2 * heartbeatInterval)
	if version(started) != 5 || version(cut) != 5 {
		t.Errorf("got versions %d and %d, want 5", version(started), version(cut))
	}
}

// TestOnlyWatchersListAfterDrill guards against a herd of list calls when the store comes back from a copy.
func TestOnlyWatchersListAfterDrill(t *testing.T) {
	const routers, kinds = 9, 2
	server := startStore(t, 1)
	server.Put(platform.KindTargets, "a", targetSpec(1))
	var fleet []*testRouter
	for i := range routers {
		fleet = append(fleet, startRouter(t, i, platform.NewStore(server.Addr(), nil), []string{freeAddr(t, 0)}))
	}
	watching := func() int {
		n := 0
		for _, r := range fleet {
			if r.directory.HasLiveWatch() {
				n++
			}
		}
		return n
	}
	for _, r := range fleet {
		await.Until(t, "all routers to know each other and the target", func() bool { return r.mesh.FleetSize() == routers && targetCount(r) == 1 })
	}
	await.Until(t, "three watchers", func() bool { return watching() == watchersPerDomain })
	copied := server.TakeCopy()
	server.Put(platform.KindTargets, "b", targetSpec(2))
	for _, r := range fleet {
		await.Until(t, "the target that is lost", func() bool { return targetCount(r) == 2 })
	}
	lists, writes := server.Calls("list"), server.Calls("write")
	server.Restore(copied)
	server.Put(platform.KindTargets, "c", targetSpec(3))
	for _, r := range fleet {
		await.Until(t, "a target of the new era", func() bool {
			return slices.ContainsFunc(r.directory.View().Targets["s"], func(t *catalog.Target) bool { return t.ID == "c" })
		})
	}
	time.Sleep(4 * heartbeatInterval)
	lists, writes = server.Calls("list")-lists, server.Calls("write")-writes
	t.Logf("%d lists and %d writes of %d routers", lists, writes, routers)
	if most := watchersPerDomain * kinds; lists > most || writes > 0 {
		t.Errorf("got %d lists and %d writes after the drill, want at most %d and none", lists, writes, most)
	}
}
