package directory

import (
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
)

// processSpec is targetSpec with the number of writes of the target's process.
func processSpec(addr, state string, sequence int) map[string]any {
	spec := targetSpec(addr, state)
	spec["Sequence"] = sequence
	return spec
}

// followedStore returns a stand-in store with a configuration and target "a", and a directory that
// follows it.
func followedStore(t *testing.T) (*standin.Store, *Directory) {
	t.Helper()
	server, d := newTestDirectory(t)
	server.Put(platform.KindConfig, platform.ConfigName, configSpec(3))
	server.Put(platform.KindTargets, "a", processSpec("10.0.0.1:1", "ready", 5))
	runDirectory(t, d)
	await.Until(t, "a view", func() bool { return d.View().Ready() && servingCount(d) == 1 })
	return server, d
}

// restore brings the store back from a copy, and waits until the directory has seen it.
func restore(t *testing.T, server *standin.Store, d *Directory, copied standin.Copy) {
	t.Helper()
	before := platform.EraOf(d.View().TargetsRevision)
	server.Restore(copied)
	await.Until(t, "the store to be back", func() bool { return platform.EraOf(d.View().TargetsRevision) > before })
}

// TestTargetThatLeftDoesNotReturnWithCopyOfStore guards against requests to targets whose leaving the copy lacks.
func TestTargetThatLeftDoesNotReturnWithCopyOfStore(t *testing.T) {
	server, d := followedStore(t)
	server.Put(platform.KindTargets, "b", processSpec("10.0.0.2:1", "ready", 5))
	await.Until(t, "the second target", func() bool { return servingCount(d) == 2 })
	copied := server.TakeCopy()
	server.Delete(platform.KindTargets, "b")
	await.Until(t, "the target to be gone", func() bool { return servingCount(d) == 1 })
	restore(t, server, d, copied)
	if got := servingCount(d); got != 1 {
		t.Errorf("after the store came back: got %d targets that take requests, want 1", got)
	}
	restore(t, server, d, copied)
	if got := servingCount(d); got != 1 {
		t.Errorf("after the store came back once more: got %d targets that take requests, want 1", got)
	}
	server.Put(platform.KindTargets, "b", processSpec("10.0.0.2:1", "ready", 6))
	await.Until(t, "the target that has written since", func() bool { return servingCount(d) == 2 })
}

// TestProcessThatStartedAfterCopyIsUsed guards against taking a new process for the one that left.
func TestProcessThatStartedAfterCopyIsUsed(t *testing.T) {
	server, d := followedStore(t)
	copied := server.TakeCopy()
	server.Delete(platform.KindTargets, "a")
	await.Until(t, "the target to be gone", func() bool { return servingCount(d) == 0 })
	restore(t, server, d, copied)
	fresh := processSpec("10.0.0.1:1", "ready", 1)
	fresh["born"] = 2
	server.Put(platform.KindTargets, "a", fresh)
	await.Until(t, "the new process", func() bool { return servingCount(d) == 1 })
}

// TestStoreMayComeBackFromCopyTwice guards against routers that follow one drill only.
func TestStoreMayComeBackFromCopyTwice(t *testing.T) {
	server, d := followedStore(t)
	version := func() uint64 { return d.View().Config.Version }
	for drill := range 3 {
		copied := server.TakeCopy()
		lost := 10 * (drill + 1)
		server.Put(platform.KindConfig, platform.ConfigName, configSpec(lost))
		for i := range 20 {
			server.Put("other", "x", i)
		}
		await.Until(t, "the version that is lost", func() bool { return version() == uint64(lost) })
		restore(t, server, d, copied)
		if version() != uint64(lost) {
			t.Fatalf("drill %d: got version %d, want %d, which the store had confirmed", drill, version(), lost)
		}
		server.Put(platform.KindConfig, platform.ConfigName, configSpec(lost))
		server.Put(platform.KindConfig, platform.ConfigName, configSpec(lost+1))
		await.Until(t, "the version after the drill", func() bool { return version() == uint64(lost+1) })
	}
}

// TestRouterThatStartsAfterDrillTakesNewerVersionOfOthers guards against a router that serves by the old configuration of
// the copy although others know the newer one.
func TestRouterThatStartsAfterDrillTakesNewerVersionOfOthers(t *testing.T) {
	server, d := followedStore(t)
	copied := server.TakeCopy()
	server.Put(platform.KindConfig, platform.ConfigName, configSpec(4))
	await.Until(t, "the version that is lost", func() bool { return d.View().Config.Version == 4 })
	known := d.Snapshot()
	restore(t, server, d, copied)
	store := platform.NewStore(server.Addr(), nil)
	started := New(func() Store { return store }, PrimaryWatch, testPace, d.log, nil)
	runDirectory(t, started)
	await.Until(t, "a view", func() bool { return started.View().Ready() })
	started.ApplySnapshot(known)
	if got := started.View().Config.Version; got != 4 {
		t.Errorf("got version %d, want 4, which others know", got)
	}
	server.Put(platform.KindConfig, platform.ConfigName, configSpec(4))
	time.Sleep(50 * time.Millisecond)
	server.Put(platform.KindConfig, platform.ConfigName, configSpec(5))
	await.Until(t, "the version after the drill", func() bool { return started.View().Config.Version == 5 && d.View().Config.Version == 5 })
}
