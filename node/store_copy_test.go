package node

import (
	"net/http"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
)

// copyConfig returns a version of the configuration with one route for each path.
func copyConfig(version int, paths ...string) map[string]any {
	var routes []any
	for _, path := range paths {
		routes = append(routes, map[string]any{"Name": path, "Host": "h", "PathPrefix": path, "RouteType": "non_idempotent", "Service": "s", "TimeoutMs": 5000})
	}
	return map[string]any{
		"Version": version, "Routes": routes, "Services": []any{map[string]any{"Name": "s"}}, "Limits": map[string]any{"MaxBodyBytes": 1000, "IdleTimeoutMs": 300},
	}
}

// TestRouterFollowsStoreThatCameBackFromCopy guards against routers that ignore what is written after revisions went
// back (review case 2).
func TestRouterFollowsStoreThatCameBackFromCopy(t *testing.T) {
	s := startFixture(t, nextAddress())
	version := func() uint64 { return s.node.directory.View().Config.Version }
	second := &standin.Target{ID: "t2", Service: "s", Zone: "d"}
	if err := second.Start(""); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(second.Close)
	s.store.Put(platform.KindConfig, platform.ConfigName, copyConfig(2, "/p/"))
	copied := s.store.TakeCopy()
	// What follows is lost: a target, a version, and revisions far above those to come.
	s.store.Put(platform.KindTargets, "t2", second.Entry("ready"))
	s.store.Put(platform.KindConfig, platform.ConfigName, copyConfig(5, "/p/", "/q/"))
	for i := range 50 {
		s.store.Put("other", "x", i)
	}
	s.store.Put(platform.KindTargets, "t", s.target.Entry("draining"))
	within(t, followTime, "view of what will be lost", func() bool { return version() == 5 && s.knows("t2") && !s.knows("t") })
	s.store.Restore(copied)
	listed := s.store.Calls("list")
	within(t, followTime, "list after the store came back", func() bool { return s.store.Calls("list") >= listed+2 })
	time.Sleep(200 * time.Millisecond)
	if version() != 5 || !s.knows("t2") || s.knows("t") {
		t.Errorf("got version %d, target t2 known %t, leaving target in use %t; want what was in force before", version(), s.knows("t2"), s.knows("t"))
	}
	s.store.Put(platform.KindConfig, platform.ConfigName, copyConfig(5, "/p/", "/q/"))
	s.store.Put(platform.KindTargets, "t2", second.Entry("ready"))
	s.store.Put(platform.KindTargets, "t", s.target.Entry("draining"))
	s.store.Put(platform.KindConfig, platform.ConfigName, copyConfig(6, "/q/"))
	within(t, followTime, "version that was written after that", func() bool { return version() == 6 })
	if response, _, err := s.post(http.DefaultClient, "a1"); err != nil || response.StatusCode != http.StatusNotFound {
		t.Errorf("got response %v, error %v for a route that was taken away, want status 404", response, err)
	}
	time.Sleep(2500 * time.Millisecond)
	if !s.knows("t2") || s.knows("t") {
		t.Errorf("after the time for entries to return: got t2 known %t, leaving target in use %t", s.knows("t2"), s.knows("t"))
	}
	s.store.Put(platform.KindTargets, "t2", second.Entry("draining"))
	within(t, followTime, "end of the second target", func() bool { return !s.knows("t2") })
}
