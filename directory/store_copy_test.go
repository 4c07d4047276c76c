package directory

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/fleet"
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
	follow(t, server, d)
	return server, d
}

// follow lets a directory follow a store with a configuration and target "a".
func follow(t *testing.T, server *standin.Store, d *Directory) {
	t.Helper()
	server.Put(platform.KindConfig, platform.ConfigName, configSpec(3))
	server.Put(platform.KindTargets, "a", processSpec("10.0.0.1:1", "ready", 5))
	runDirectory(t, d)
	await.Until(t, "a view", func() bool { return d.View().Ready() && servingCount(d) == 1 })
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

// processOfB is the entry of the process of target "b" that started at so many milliseconds.
func processOfB(born int, state string, sequence int) map[string]any {
	spec := processSpec(fmt.Sprintf("10.0.0.2:%d", born), state, sequence)
	spec["born"] = born
	return spec
}

// restartAfterCopy returns a store whose target "b" was restarted after the copy was made, a directory that follows it,
// and the number of restarts that this has seen.
func restartAfterCopy(t *testing.T) (*standin.Store, *Directory, *atomic.Int64, standin.Copy) {
	t.Helper()
	server, d := newTestDirectory(t)
	restarts := &atomic.Int64{}
	d.onRestart = func(fleet.TargetID) { restarts.Add(1) }
	follow(t, server, d)
	server.Put(platform.KindTargets, "b", processOfB(1, "ready", 50))
	await.Until(t, "the first process", func() bool { return servingCount(d) == 2 })
	copied := server.TakeCopy()
	server.Put(platform.KindTargets, "b", processOfB(2, "ready", 1))
	await.Until(t, "the second process", func() bool { return restarts.Load() == 1 })
	return server, d, restarts, copied
}

// TestEarlierProcessInCopyIsNoRestart guards against requests to a target that leaves, and a forgotten limit or notice of it,
// because the copy has the entry of the process before.
func TestEarlierProcessInCopyIsNoRestart(t *testing.T) {
	for name, leave := range map[string]func(*standin.Store){
		"draining": func(s *standin.Store) { s.Put(platform.KindTargets, "b", processOfB(2, "draining", 7)) },
		"removed":  func(s *standin.Store) { s.Delete(platform.KindTargets, "b") },
	} {
		t.Run(name, func(t *testing.T) {
			server, d, restarts, copied := restartAfterCopy(t)
			leave(server)
			await.Until(t, "the target to leave", func() bool { return servingCount(d) == 1 })
			check := func(when string, serving int, restarted int64) {
				t.Helper()
				if servingCount(d) != serving || restarts.Load() != restarted {
					t.Errorf("%s: got %d targets that take requests and %d restarts, want %d and %d", when, servingCount(d), restarts.Load(), serving, restarted)
				}
			}
			for range 2 {
				restore(t, server, d, copied)
				check("the store is back", 1, 1)
			}
			revision := d.View().TargetsRevision
			server.Put(platform.KindTargets, "b", processOfB(2, "draining", 8))
			await.Until(t, "the second process to write again", func() bool { return d.View().TargetsRevision > revision })
			check("the second process has written again", 1, 1)
			server.Put(platform.KindTargets, "b", processOfB(3, "ready", 1))
			await.Until(t, "the third process", func() bool { return servingCount(d) == 2 })
			check("a third process", 2, 2)
		})
	}
}

// TestServingProcessKeepsItsEntryThroughDrill guards against requests to the address of an earlier process.
func TestServingProcessKeepsItsEntryThroughDrill(t *testing.T) {
	server, d, restarts, copied := restartAfterCopy(t)
	restore(t, server, d, copied)
	serving := d.View().Targets["s"]
	if len(serving) != 2 || serving[1].Addr != "10.0.0.2:2" || restarts.Load() != 1 {
		t.Errorf("got %d targets and %d restarts, want 2 with the second process's address and 1", len(serving), restarts.Load())
	}
	// A clock that was set back: the entry is newer in the same era of the store.
	server.Put(platform.KindTargets, "b", processOfB(1, "ready", 1))
	await.Until(t, "the process whose clock was set back", func() bool { return restarts.Load() == 2 })
}
