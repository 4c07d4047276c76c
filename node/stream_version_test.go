package node

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
)

// Sizes and times of the fleet before targets of two software versions.
const (
	versionRouters    = 3
	targetsPerVersion = 2
	streamEvents      = 30
	eventInterval     = 20 * time.Millisecond
	// eventsBeforeCut is the number of events that a client has when its connection breaks.
	eventsBeforeCut = 5
	streamTimeout   = 4 * time.Second
)

// versionFleet is a fleet of routers before targets of several software versions.
type versionFleet struct {
	store   *standin.Store
	targets []*standin.Target
	routers []*fixture
	client  *client
}

// cutStream is a stream that broke off at its client.
type cutStream struct {
	id     string
	events int
}

func streamConfig() map[string]any {
	return map[string]any{
		"Version": 1,
		"Routes": []any{map[string]any{
			"Name": "r", "Host": "h", "PathPrefix": "/p/", "RouteType": "streaming", "StreamResume": true, "MaxAttempts": 3, "Service": "s",
			"TimeoutMs": streamTimeout.Milliseconds(), "TargetLatencyMs": 300, "GapAimMs": 200,
		}},
		"Services": []any{map[string]any{"Name": "s"}},
		"Limits":   map[string]any{"MaxBodyBytes": 1000, "IdleTimeoutMs": 300},
	}
}

// startVersionFleet starts routers before targetsPerVersion targets of each version. setup
// may change a target before its start.
func startVersionFleet(t *testing.T, setup func(*standin.Target), versions ...string) *versionFleet {
	t.Helper()
	f := newVersionFleet(t, setup, versions...)
	f.routers = startRouters(t, f.store, versionRouters, len(f.targets))
	return f
}

// newVersionFleet starts a store and targetsPerVersion targets of each version.
func newVersionFleet(t *testing.T, setup func(*standin.Target), versions ...string) *versionFleet {
	t.Helper()
	f := &versionFleet{client: newClient(t, &http.Transport{})}
	var err error
	if f.store, err = standin.StartStore(""); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.store.Close)
	f.store.Put(platform.KindConfig, platform.ConfigName, streamConfig())
	for _, version := range versions {
		for range targetsPerVersion {
			f.startTarget(t, version, setup)
		}
	}
	return f
}

func (f *versionFleet) startTarget(t *testing.T, version string, setup func(*standin.Target)) {
	t.Helper()
	target := &standin.Target{
		ID: fmt.Sprintf("t%d-%s", len(f.targets), version), Service: "s", Zone: "d", Version: version, Events: streamEvents, EventInterval: eventInterval,
	}
	if setup != nil {
		setup(target)
	}
	if err := target.Start(""); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Close)
	f.store.Put(platform.KindTargets, target.ID, target.Entry("ready"))
	f.targets = append(f.targets, target)
}

// removeVersion ends the targets of a version and deletes their entries.
func (f *versionFleet) removeVersion(version string) {
	for _, target := range f.targets {
		if target.Version == version {
			f.store.Delete(platform.KindTargets, target.ID)
			target.Close()
		}
	}
}

// restartRouters replaces all routers by new ones, as after the loss of power at all of
// them.
func (f *versionFleet) restartRouters(t *testing.T) {
	t.Helper()
	stopAll(t, f.routers)
	ready := 0
	for _, target := range f.targets {
		if f.store.Has(platform.KindTargets, target.ID) {
			ready++
		}
	}
	f.routers = startRouters(t, f.store, versionRouters, ready)
}

// open sends a request for a stream to a router. after and resumes are zero for a new one.
func (f *versionFleet) open(router *fixture, id string, after int, resumes string) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+router.cfg.ClientAddr+"/p/x", strings.NewReader("body"))
	if err != nil {
		return nil, err
	}
	r.Host = "h"
	standin.SetRequestHeaders(r, id, "", streamTimeout, after)
	if resumes != "" {
		standin.SetResumes(r, resumes)
	}
	return f.client.do(r, id, f.targets)
}

// cutStreams starts n streams, spread over the routers, and breaks their connections off after
// eventsBeforeCut events.
func (f *versionFleet) cutStreams(t *testing.T, prefix string, n int) []cutStream {
	t.Helper()
	streams := make([]cutStream, n)
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() {
			id := fmt.Sprintf("%s-%d", prefix, i)
			response, err := f.open(f.routers[i%len(f.routers)], id, 0, "")
			if err != nil {
				t.Error(err)
				return
			}
			defer response.Body.Close()
			lines := bufio.NewScanner(response.Body)
			events := 0
			for events < eventsBeforeCut && lines.Scan() {
				if strings.HasPrefix(lines.Text(), "data:") {
					events++
				}
			}
			streams[i] = cutStream{id, events}
			if response.StatusCode != http.StatusOK || events < eventsBeforeCut {
				t.Errorf("new stream %s: got status %d and %d events, want 200 and %d", id, response.StatusCode, events, eventsBeforeCut)
			}
		})
	}
	all.Wait()
	return streams
}

// resume lets the clients of streams take them up at other routers, and returns the IDs
// of those that reached their end. Any other result must be a prompt refusal.
func (f *versionFleet) resume(t *testing.T, streams []cutStream) map[string]bool {
	t.Helper()
	var mu sync.Mutex
	var all sync.WaitGroup
	complete := map[string]bool{}
	for i, stream := range streams {
		all.Go(func() {
			started := time.Now()
			response, err := f.open(f.routers[(i+1)%len(f.routers)], "again-"+stream.id, stream.events, stream.id)
			if err != nil {
				t.Errorf("stream %s taken up: %v", stream.id, err)
				return
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && response.StatusCode == http.StatusOK && strings.HasSuffix(string(body), standin.EventText(streamEvents)):
				complete[stream.id] = true
			case response.StatusCode == http.StatusServiceUnavailable:
				if elapsed := time.Since(started); elapsed > promptRefusal {
					t.Errorf("stream %s: refused after %v, want at once", stream.id, elapsed)
				}
			default:
				t.Errorf("stream %s taken up: got status %d, %d bytes, error %v, want its end or a refusal", stream.id, response.StatusCode, len(body), err)
			}
		})
	}
	all.Wait()
	return complete
}

// begunAt returns the version at which each stream began, by the ID of its first request.
func (f *versionFleet) begunAt() map[string]string {
	begun := map[string]string{}
	for _, target := range f.targets {
		for _, run := range target.Runs() {
			if run.Header.Get("Last-Event-Id") == "" {
				begun[run.Request] = target.Version
			}
		}
	}
	return begun
}

// joined returns the number of runs that went on with a stream at another version than
// the one that began it.
func (f *versionFleet) joined() int {
	begun, n := f.begunAt(), 0
	for _, target := range f.targets {
		for _, run := range target.Runs() {
			id := run.Header.Get("Resumes")
			if id == "" {
				id = run.Request
			}
			if run.Header.Get("Last-Event-Id") != "" && begun[id] != "" && begun[id] != target.Version {
				n++
			}
		}
	}
	return n
}

// countBegun returns how many of the streams began at a version.
func countBegun(streams []cutStream, begun map[string]string, version string) int {
	n := 0
	for _, stream := range streams {
		if begun[stream.id] == version {
			n++
		}
	}
	return n
}

// checkResumed checks that, of the streams that clients have taken up, none went on at another version, and at
// least half reached their end.
func (f *versionFleet) checkResumed(t *testing.T, streams []cutStream, complete map[string]bool) {
	t.Helper()
	begun := f.begunAt()
	t.Logf("%d streams began at v1, %d at v2; %d of %d went on", countBegun(streams, begun, "v1"), countBegun(streams, begun, "v2"), len(complete), len(streams))
	if n := f.joined(); n > 0 {
		t.Errorf("%d of %d streams went on at another version than the one that began them, want none", n, len(streams))
	}
	if len(complete) < len(streams)/2 {
		t.Errorf("%d of %d streams went on, want at least half", len(complete), len(streams))
	}
}

// TestResumedStreamsKeepVersionAfterLossOfAllRouters guards against streams joined from two software versions.
func TestResumedStreamsKeepVersionAfterLossOfAllRouters(t *testing.T) {
	t.Parallel()
	const streams = 40
	f := startVersionFleet(t, nil, "v1", "v2")
	cut := f.cutStreams(t, "s", streams)
	f.restartRouters(t)
	f.checkResumed(t, cut, f.resume(t, cut))
	begun := f.begunAt()
	for _, version := range []string{"v1", "v2"} {
		if n := countBegun(cut, begun, version); n < streams/4 {
			t.Errorf("%s: %d of %d streams began there, want a share that follows its targets", version, n, streams)
		}
	}
}

// TestStreamsOfGoneVersionAreRefused guards against streams that go on at the version that replaced theirs.
func TestStreamsOfGoneVersionAreRefused(t *testing.T) {
	t.Parallel()
	const streams = 20
	f := startVersionFleet(t, nil, "v1")
	cut := f.cutStreams(t, "s", streams)
	f.startTarget(t, "v2", nil)
	f.startTarget(t, "v2", nil)
	f.removeVersion("v1")
	for _, r := range f.routers {
		await.Until(t, "the new version alone", func() bool {
			targets := r.node.directory.View().Targets["s"]
			return len(targets) == targetsPerVersion && !slices.ContainsFunc(targets, func(t *catalog.Target) bool { return t.Version != "v2" })
		})
	}
	if complete := f.resume(t, cut); len(complete) > 0 || f.joined() > 0 {
		t.Errorf("%d of %d streams went on, %d at the other version, want none", len(complete), streams, f.joined())
	}
	f.cutStreams(t, "new", streams)
	f.restartRouters(t)
	if complete := f.resume(t, cut); len(complete) > 0 || f.joined() > 0 {
		t.Errorf("after the loss of all routers: %d of %d streams went on, %d at the other version, want none", len(complete), streams, f.joined())
	}
}
