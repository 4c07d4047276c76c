package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/netconn"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
	"ragwortpond.example/ragwortpond/targetconn"
)

// cutMode is how a router loses its paths to the targets.
type cutMode int32

const (
	connected cutMode = iota
	// newRefused refuses new connections; open ones go on.
	newRefused
	// allReset resets open connections and refuses new ones.
	allReset
	// allHang lets no byte through, in open connections or to open new ones.
	allHang
)

// targetPath is one router's path to all targets, which a test can cut.
type targetPath struct {
	mode  atomic.Int32
	mu    sync.Mutex
	conns map[*pathConn]bool
}

// pathConn is a connection over a targetPath.
type pathConn struct {
	net.Conn
	path   *targetPath
	closed chan struct{}
	once   sync.Once
	// lost is set once bytes were dropped.
	lost atomic.Bool
}

func (p *targetPath) cutMode() cutMode {
	return cutMode(p.mode.Load())
}

// set cuts or heals the path. Connections that have lost bytes break when it heals.
func (p *targetPath) set(mode cutMode) {
	p.mode.Store(int32(mode))
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if mode == allReset || (mode == connected && c.lost.Load()) {
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			delete(p.conns, c)
		}
	}
}

// connect implements targetconn.ConnectFunc.
func (p *targetPath) connect(ctx context.Context, addr string) (net.Conn, error) {
	switch p.cutMode() {
	case newRefused, allReset:
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case allHang:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	raw, err := netconn.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	c := &pathConn{Conn: raw, path: p, closed: make(chan struct{})}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	return c, nil
}

// Read implements net.Conn.
func (c *pathConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.path.cutMode() != allHang {
		return n, err
	}
	c.lost.Store(true)
	<-c.closed
	return 0, net.ErrClosed
}

// Write implements net.Conn.
func (c *pathConn) Write(b []byte) (int, error) {
	if c.path.cutMode() == allHang {
		c.lost.Store(true)
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *pathConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Sizes and times of the fleet of which some routers lose their paths to all targets.
const (
	isolationRouters = 5
	isolatedRouters  = 3
	isolationTargets = 4
	cutPeriod        = 4 * time.Second
	isolationTimeout = 3 * time.Second
)

// isolationFleet is a fleet of routers of which the first isolatedRouters can be cut from
// all targets.
type isolationFleet struct {
	targets []*standin.Target
	routers []*fixture
	paths   []*targetPath
	client  *http.Client
	sent    atomic.Int64
}

// The kinds of requests.
const (
	kindOnce       = "/once/x"
	kindRepeatable = "/again/x"
	kindStream     = "/stream/x"
)

var requestKinds = []string{kindOnce, kindRepeatable, kindStream}

func isolationConfig() map[string]any {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"Name": name, "Host": "h", "PathPrefix": prefix, "RouteType": kind, "StreamResume": kind == "streaming", "MaxAttempts": 2, "Service": service,
			"TimeoutMs": isolationTimeout.Milliseconds(), "TargetLatencyMs": 300, "GapAimMs": 200,
		}
	}
	return map[string]any{
		"Version":  1,
		"Routes":   []any{route("once", "/once/", "non_idempotent", "s"), route("again", "/again/", "idempotent", "s"), route("stream", "/stream/", "streaming", "e")},
		"Services": []any{map[string]any{"Name": "s"}, map[string]any{"Name": "e", "Engine": map[string]any{"Slots": 8, "KvCapacity": 1000}}},
		"Limits":   map[string]any{"MaxBodyBytes": 1000, "IdleTimeoutMs": 3000},
	}
}

func startIsolationFleet(t *testing.T) *isolationFleet {
	t.Helper()
	f := &isolationFleet{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}}
	t.Cleanup(f.client.CloseIdleConnections)
	store, err := standin.StartStore("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	store.Put(platform.KindConfig, platform.ConfigName, isolationConfig())
	for i := range isolationTargets {
		for _, service := range []string{"s", "e"} {
			target := &standin.Target{ID: fmt.Sprintf("%s%d", service, i), Service: service, Zone: fmt.Sprintf("d%d", i%2), RunTime: 10 * time.Millisecond}
			if service == "e" {
				target.Events, target.EventInterval = streamEvents, eventInterval/2
			}
			if err := target.Start(""); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(target.Close)
			store.Put(platform.KindTargets, target.ID, target.Entry("ready"))
			f.targets = append(f.targets, target)
		}
	}
	f.routers = startRoutersWith(t, store, isolationRouters, isolationTargets, func(i int) targetconn.ConnectFunc {
		path := &targetPath{conns: map[*pathConn]bool{}}
		f.paths = append(f.paths, path)
		return path.connect
	})
	return f
}

// cut changes the paths of the routers that can be cut.
func (f *isolationFleet) cut(mode cutMode) {
	for _, path := range f.paths[:isolatedRouters] {
		path.set(mode)
	}
}

// tries counts first attempts of clients.
type tries struct {
	mu sync.Mutex
	// sent and served count the attempts by kind of request.
	sent, served map[string]int
	// notRun holds the requests that were said not to have run.
	notRun []string
}

func (f *isolationFleet) send(router *fixture, kind string, result *tries) {
	id := fmt.Sprint("i", f.sent.Add(1))
	served, notRun := f.exchange(router, kind, id)
	result.mu.Lock()
	defer result.mu.Unlock()
	result.sent[kind]++
	if served {
		result.served[kind]++
	}
	if notRun {
		result.notRun = append(result.notRun, id)
	}
}

// exchange sends a request and reports whether it was answered whole by a target, or said not
// to have run.
func (f *isolationFleet) exchange(router *fixture, kind, id string) (served, notRun bool) {
	r, err := http.NewRequest(http.MethodPost, "http://"+router.cfg.ClientAddr+kind, strings.NewReader("body"))
	if err != nil {
		return false, false
	}
	r.Host = "h"
	standin.SetRequestHeaders(r, id, "", isolationTimeout, 0)
	response, err := f.client.Do(r)
	if err != nil {
		return false, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	whole := "answer of " + standin.SignatureTarget(standin.Signature(response))
	if kind == kindStream {
		whole = allEvents()
	}
	served = err == nil && response.StatusCode == http.StatusOK && string(body) == whole
	return served, response.StatusCode == http.StatusServiceUnavailable
}

// allEvents returns a complete stream.
func allEvents() string {
	var b strings.Builder
	for i := range streamEvents {
		b.WriteString(standin.EventText(i + 1))
	}
	return b.String()
}

// load sends requests of all kinds to routers at a steady rate for a time.
func (f *isolationFleet) load(routers []*fixture, d time.Duration) *tries {
	result := &tries{sent: map[string]int{}, served: map[string]int{}}
	var all sync.WaitGroup
	for i := range int(d / loadInterval) {
		for _, r := range routers {
			all.Go(func() { f.send(r, requestKinds[i%len(requestKinds)], result) })
		}
		time.Sleep(loadInterval)
	}
	all.Wait()
	return result
}

// runs returns how often each request has run.
func (f *isolationFleet) runs() map[string]int {
	runs := map[string]int{}
	for _, target := range f.targets {
		for _, run := range target.Runs() {
			runs[run.Request]++
		}
	}
	return runs
}

// TestRoutersWithoutPathToTargetsServe guards against routers that refuse their callers because they alone have lost the
// paths to all targets.
func TestRoutersWithoutPathToTargetsServe(t *testing.T) {
	t.Parallel()
	for name, mode := range map[string]cutMode{"new connections refused": newRefused, "connections reset": allReset, "connections hang": allHang} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startIsolationFleet(t)
			f.load(f.routers, time.Second)
			cut, others := f.routers[:isolatedRouters], f.routers[isolatedRouters:]
			f.cut(mode)
			begin := f.load(f.routers, stabilityWindow)
			var all sync.WaitGroup
			var atCut, atOthers *tries
			all.Go(func() { atCut = f.load(cut, cutPeriod) })
			all.Go(func() { atOthers = f.load(others, cutPeriod) })
			all.Wait()
			t.Logf("first tries served: at routers without targets %v of %v, at the others %v of %v", atCut.served, atCut.sent, atOthers.served, atOthers.sent)
			for _, kind := range requestKinds {
				got := float64(atCut.served[kind]) / float64(atCut.sent[kind])
				want := 2.0 / 3 * float64(atOthers.served[kind]) / float64(atOthers.sent[kind])
				if got < want {
					t.Errorf("%s: got %.2f of the first tries served at routers without targets, want at least %.2f", kind, got, want)
				}
			}
			f.cut(connected)
			f.load(f.routers, stabilityWindow)
			healed := f.load(cut, time.Second)
			for _, kind := range requestKinds {
				if healed.served[kind] != healed.sent[kind] {
					t.Errorf("%s: after the cut, got %d of %d first tries served, want all", kind, healed.served[kind], healed.sent[kind])
				}
			}
			f.checkRuns(t, begin, atCut, atOthers, healed)
		})
	}
}

// checkRuns checks that no request that may run once ran twice, and that none ran that was
// said not to have run.
func (f *isolationFleet) checkRuns(t *testing.T, results ...*tries) {
	t.Helper()
	runs := f.runs()
	for _, target := range f.targets {
		for _, run := range target.Runs() {
			if run.URI == kindOnce && runs[run.Request] > 1 {
				t.Errorf("request %s ran %d times, want once", run.Request, runs[run.Request])
			}
			if !bytes.Equal(run.Body, []byte("body")) {
				t.Errorf("request %s: got body %q, want that of the client", run.Request, run.Body)
			}
		}
	}
	for _, result := range results {
		for _, id := range result.notRun {
			if runs[id] > 0 {
				t.Errorf("request %s ran although its client was told that it had not", id)
			}
		}
	}
}

// TestServiceWithoutTargetsIsRefusedAtOnce guards against routers that pass the same request on to each other while
// nobody reaches a target.
func TestServiceWithoutTargetsIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	f := startIsolationFleet(t)
	f.load(f.routers, time.Second)
	for _, path := range f.paths {
		path.set(allReset)
	}
	f.load(f.routers, stabilityWindow)
	for _, kind := range requestKinds {
		started := time.Now()
		if served, notRun := f.exchange(f.routers[0], kind, "none-"+kind); served || !notRun {
			t.Errorf("%s: got served %t, not run %t, want a refusal", kind, served, notRun)
		}
		if elapsed := time.Since(started); elapsed > promptRefusal {
			t.Errorf("%s: refused after %v, want at once", kind, elapsed)
		}
	}
}

// TestRequestsArePassedOnOnce guards against requests that go from router to router, and callers who pose as one.
func TestRequestsArePassedOnOnce(t *testing.T) {
	t.Parallel()
	f := startIsolationFleet(t)
	f.load(f.routers, time.Second)
	f.cut(allReset)
	f.load(f.routers, stabilityWindow)
	send := func(addr string) *http.Response {
		r, err := http.NewRequest(http.MethodPost, "http://"+addr+kindRepeatable, strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "h"
		r.Header.Set("Ragwort-Forwarded-By", "n4")
		standin.SetRequestHeaders(r, fmt.Sprint("p", f.sent.Add(1)), "", isolationTimeout, 0)
		response, err := f.client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		return response
	}
	if response := send(f.routers[0].cfg.PeerAddr); response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Ragwort-Not-Taken") == "" {
		t.Errorf("a router without targets that was passed a request: got status %d, header %v, want a refusal that lets another router be asked", response.StatusCode, response.Header)
	}
	if response := send(f.routers[0].cfg.ClientAddr); response.StatusCode != http.StatusOK {
		t.Errorf("a caller that poses as a router: got status %d, want an answer as for any other", response.StatusCode)
	}
	if response := send(f.routers[isolatedRouters].cfg.PeerAddr); response.StatusCode != http.StatusOK || standin.Signature(response) == "" {
		t.Errorf("a router with targets that was passed a request: got status %d, header %v, want a target's answer", response.StatusCode, response.Header)
	}
}

// TestClosedRequestEndsAtTargetOfOtherRouter guards against work that goes on after the client of a router without targets
// has left.
func TestClosedRequestEndsAtTargetOfOtherRouter(t *testing.T) {
	t.Parallel()
	f := startIsolationFleet(t)
	f.load(f.routers, time.Second)
	f.cut(allReset)
	f.load(f.routers, stabilityWindow)
	for _, target := range f.targets {
		target.RunTime = 2 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.routers[0].cfg.ClientAddr+kindRepeatable, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	standin.SetRequestHeaders(r, "left", "", isolationTimeout, 0)
	if _, err := f.client.Do(r); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got error %v, want the client's own timeout", err)
	}
	time.Sleep(500 * time.Millisecond)
	ran := false
	for _, target := range f.targets {
		for _, run := range target.Runs() {
			if run.Request == "left" {
				ran = true
				if !run.Cancelled {
					t.Error("the run goes on half a second after its client has left")
				}
			}
		}
	}
	if !ran {
		t.Error("the request of a router without targets reached no target")
	}
}
