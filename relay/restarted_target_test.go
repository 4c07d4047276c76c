package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/relay"
	"ragwortpond.example/ragwortpond/streamversion"
)

// restartingTarget serves streams of four events. Its first process ends within the third event of a stream, and another
// one, of other software, serves at the same address and under the same ID at once.
type restartingTarget struct {
	listener net.Listener
	// silent is set if it tells nothing of its process.
	silent bool

	mu    sync.Mutex
	conns []net.Conn
	// process counts the processes from zero.
	process int
	reports int
}

func startRestartingTarget(t *testing.T, silent bool) *restartingTarget {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	target := &restartingTarget{listener: l, silent: silent}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			target.mu.Lock()
			target.conns = append(target.conns, c)
			target.mu.Unlock()
			go target.serve(c)
		}
	}()
	return target
}

// startOf returns the start of a process.
func startOf(process int) time.Time {
	return time.UnixMilli(int64(1000 + process))
}

// end ends the process that runs.
func (r *restartingTarget) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
	r.process++
}

func (r *restartingTarget) current() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.process
}

func (r *restartingTarget) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		process := r.current()
		if request.URL.Path == "/report" {
			r.mu.Lock()
			r.reports++
			r.mu.Unlock()
			body := fmt.Sprintf(`{"born":%d}`, startOf(process).UnixMilli())
			if r.silent {
				body = "{}"
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			continue
		}
		after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Attempt-Id"))
		for i := after + 1; i <= 4; i++ {
			if i == 3 && process == 0 {
				r.end()
				return
			}
			text := fmt.Sprintf("id: %d\ndata: by process %d\n\n", i, process)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		}
		_, _ = fmt.Fprint(c, "0\r\n\r\n")
	}
}

// publishProcess makes the target, with the start of one of its processes, the only one.
func (s *fixture) publishProcess(r *restartingTarget, process int, version fleet.SoftwareVersion) {
	s.view.Store(&catalog.View{Config: s.config, TargetsLoaded: true, Targets: catalog.Targets{"s": {
		{ID: "t", Service: "s", Domain: "d", Addr: r.listener.Addr().String(), Slots: 8, Version: version, StartedAt: startOf(process)},
	}}})
}

// TestRestartedTargetGetsNoStreamOfItsFormerVersion guards against streams of two software versions where a target starts
// again under its ID with another one, before its new entry has come round.
func TestRestartedTargetGetsNoStreamOfItsFormerVersion(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 0, resumableRoute, nil)
	s.serveByIngress()
	target := startRestartingTarget(t, false)
	s.publishProcess(target, 0, "v1")
	first := s.request(http.MethodPost, "x")
	if _, body, err := s.do(first); err == nil || !strings.Contains(body, "id: 2\ndata: by process 0") || strings.Contains(body, "process 1") {
		t.Fatalf("got body %q, error %v, want two events and an error", body, err)
	}
	for name, header := range map[string][]string{
		"taken up": {"Last-Event-Id", "2", "Resumes", first.Header.Get("Attempt-Id")},
		"new":      nil,
	} {
		response, body, err := s.do(s.request(http.MethodPost, "x", header...))
		if err != nil || response.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("%s: got %v, body %q, error %v, want a refusal", name, response, body, err)
		}
	}
	s.publishProcess(target, 1, "v2")
	s.relay.ResetTarget("t")
	if _, body, err := s.do(s.request(http.MethodPost, "x")); err != nil || strings.Count(body, "by process 1") != 4 {
		t.Errorf("with its new entry: got body %q, error %v, want four events of the second process", body, err)
	}
}

// TestStreamsGoOnAtTargetThatBrokeOneOff guards against sparing targets whose process still runs, or that tell nothing of it.
func TestStreamsGoOnAtTargetThatBrokeOneOff(t *testing.T) {
	for name, silent := range map[string]bool{"same process": false, "tells nothing": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 0, resumableRoute, nil)
			s.serveByIngress()
			target := startRestartingTarget(t, silent)
			// Without another version, the end of the first process is that of its connections only.
			process := 0
			if !silent {
				process = 1
			}
			s.publishProcess(target, process, "v1")
			first := s.request(http.MethodPost, "x")
			_, _, _ = s.do(first)
			s.relay.ResetTarget("t")
			_, body, err := s.do(s.request(http.MethodPost, "x", "Last-Event-Id", "2", "Resumes", first.Header.Get("Attempt-Id")))
			if err != nil || !strings.Contains(body, "id: 4\n") {
				t.Errorf("got body %q, error %v, want the rest of the stream", body, err)
			}
			if target.mu.Lock(); target.reports > 1 {
				t.Errorf("the target was asked %d times, want once", target.reports)
			}
			target.mu.Unlock()
		})
	}
}

// unconfirmed are the stream versions of a router that has no news of the targets.
type unconfirmed struct{ relay.StreamVersions }

func (unconfirmed) Begin(context.Context, fleet.ServiceName, streamversion.Key) (fleet.SoftwareVersion, bool) {
	return "v1", true
}

func (unconfirmed) RecordBegun(fleet.ServiceName, streamversion.Key, fleet.SoftwareVersion) {}

func (unconfirmed) TargetsConfirmed() bool { return false }

// TestRouterWithoutNewsBeginsNoStreamAtRestartedTarget guards against the same at a router that is cut off from the store
// and had no connection to the target when this started again.
func TestRouterWithoutNewsBeginsNoStreamAtRestartedTarget(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 0, resumableRoute, nil, func(c *relay.Config) { c.StreamVersions = unconfirmed{} })
	s.serveByIngress()
	target := startRestartingTarget(t, false)
	target.end()
	s.publishProcess(target, 0, "v1")
	response, body, err := s.do(s.request(http.MethodPost, "x"))
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %v, body %q, error %v, want a refusal", response, body, err)
	}
	s.publishProcess(target, 1, "v1")
	s.relay.ResetTarget("t")
	for range 3 {
		if _, body, err := s.do(s.request(http.MethodPost, "x")); err != nil || strings.Count(body, "by process 1") != 4 {
			t.Errorf("with its new entry: got body %q, error %v, want four events", body, err)
		}
	}
	if target.reports != 2 {
		t.Errorf("got %d questions, want one a process and connection", target.reports)
	}
}
