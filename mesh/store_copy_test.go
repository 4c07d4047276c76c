package mesh

import (
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
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
