package node

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/streamversion"
	"ragwortpond.example/ragwortpond/targetconn"
)

// startVersionFleetWith is startVersionFleet with a function to open connections to targets for each router.
func startVersionFleetWith(t *testing.T, connect func(router int) targetconn.ConnectFunc, versions ...string) *versionFleet {
	t.Helper()
	f := newVersionFleet(t, nil, versions...)
	f.routers = startRoutersWith(t, f.store, versionRouters, len(f.targets), connect)
	return f
}

// splitHas reports whether a router knows a split with a version.
func splitHas(r *fixture, version string) bool {
	return slices.ContainsFunc(r.node.versions.Reports(), func(report streamversion.Report) bool {
		return slices.ContainsFunc(report.Split, func(s streamversion.Share) bool { return string(s.Version) == version })
	})
}

// TestStreamPassedOnIsTakenUpAtItsVersion guards against streams of two versions after a router has passed a stream on to
// another one: the split is replaced between the choices of both.
func TestStreamPassedOnIsTakenUpAtItsVersion(t *testing.T) {
	t.Parallel()
	const streams = 20
	var held atomic.Int64
	var cut atomic.Bool
	replaced := make(chan struct{})
	f := startVersionFleetWith(t, func(router int) targetconn.ConnectFunc {
		if router > 0 {
			return nil
		}
		return func(context.Context, string) (net.Conn, error) {
			if cut.Load() {
				held.Add(1)
				<-replaced
			}
			return nil, syscall.ECONNREFUSED
		}
	}, "v1")
	// The others have reached the targets, so that requests are passed on to them.
	first := f.routers[0]
	f.routers = f.routers[1:]
	f.cutStreams(t, "warm", 2)
	await.Until(t, "routers that reach targets", func() bool { return len(first.node.mesh.Helpers("s")) == versionRouters-1 })
	others := f.routers
	f.routers = []*fixture{first}
	cut.Store(true)
	var cutStreams []cutStream
	var opened sync.WaitGroup
	opened.Go(func() { cutStreams = f.cutStreams(t, "s", streams) })
	await.Until(t, "streams whose version is chosen", func() bool { return held.Load() >= streams })
	for range 2 * targetsPerVersion {
		f.startTarget(t, "v2", nil)
	}
	await.Until(t, "the new split", func() bool {
		return splitHas(first, "v2") && splitHas(others[0], "v2") && splitHas(others[1], "v2")
	})
	close(replaced)
	opened.Wait()
	f.routers = others
	f.checkResumed(t, cutStreams, f.resume(t, cutStreams))
	if n := countBegun(cutStreams, f.begunAt(), "v2"); n < streams/4 {
		t.Errorf("%d of %d streams began at the new version, want a share that follows its targets", n, streams)
	}
}
