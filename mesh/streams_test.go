package mesh

import (
	"context"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/streamversion"
)

func TestRecordOfStreamOutlivesOtherRouters(t *testing.T) {
	store := platform.NewStore(startStore(t, 1).Addr(), nil)
	var routers []*testRouter
	for i, domain := range []fleet.DomainName{"a", "a", "b", "c"} {
		routers = append(routers, startRouterInDomain(t, domain, i, store, []string{freeAddr(t, 0)}))
	}
	for _, r := range routers {
		await.Until(t, "the routers to know each other", func() bool { return r.mesh.FleetSize() == len(routers) })
	}
	const streams = 50
	for key := range streamversion.Key(streams) {
		routers[0].mesh.RecordStream(key, streamversion.Origin(key+7))
	}
	await.Until(t, "the records to arrive", func() bool { return knownStreams(routers[3], streams) == streams })
	routers[0].stop()
	routers[1].stop()
	if got := knownStreams(routers[3], streams); got != streams {
		t.Errorf("after the end of a failure domain: got %d of %d streams known, want all", got, streams)
	}
	routers[2].stop()
	if got := knownStreams(routers[3], streams); got != streams {
		t.Errorf("after the end of all others: got %d of %d streams known to the last router, want all", got, streams)
	}
	started := time.Now()
	if _, ok := routers[3].mesh.FindStream(context.Background(), 1000); ok {
		t.Error("a stream that never was is known")
	}
	if elapsed := time.Since(started); elapsed > 2*streamTimeout {
		t.Errorf("asking took %v, want at most about %v", elapsed, streamTimeout)
	}
}

// knownStreams returns how many of the first n streams a router finds, by itself or by asking
// others.
func knownStreams(r *testRouter, n int) int {
	found := 0
	for key := range streamversion.Key(n) {
		origin, ok := r.mesh.cfg.StreamVersions.Registry().Find(key, time.Now())
		if !ok {
			origin, ok = r.mesh.FindStream(context.Background(), key)
		}
		if ok && origin == streamversion.Origin(key+7) {
			found++
		}
	}
	return found
}
