package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform/standin"
	"ragwortpond.example/ragwortpond/relay"
	"ragwortpond.example/ragwortpond/streamversion"
)

// restartingTarget serves streams of four events. Its first process ends within the third event of a stream, and another
// one, of other software, serves at the same address and under the same ID at once.
type restartingTarget struct {
	*mortalTarget
	// silent is set if it tells nothing of its process.
	silent bool
	// process counts the processes from zero, reports the questions for them.
	process, reports atomic.Int64
}

func startRestartingTarget(t *testing.T, silent bool) *restartingTarget {
	t.Helper()
	r := &restartingTarget{silent: silent}
	r.mortalTarget = startMortalTarget(t, func(_ *mortalTarget, c net.Conn, request *http.Request) bool {
		return r.answer(c, request)
	})
	return r
}

// startOf returns the start of a process.
func startOf(process int64) time.Time {
	return time.UnixMilli(1000 + process)
}

// end ends the process that runs.
func (r *restartingTarget) end() {
	r.process.Add(1)
	r.restart()
}

func (r *restartingTarget) answer(c net.Conn, request *http.Request) bool {
	process := r.process.Load()
	if request.URL.Path == standin.ReportPath {
		r.reports.Add(1)
		body := fmt.Sprintf(`{"born":%d}`, startOf(process).UnixMilli())
		if r.silent {
			body = "{}"
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return true
	}
	writeHead(c, request)
	// A missing header gives zero: the stream begins at its first event.
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= 4; i++ {
		if i == 3 && process == 0 {
			r.end()
			return false
		}
		text := fmt.Sprintf("id: %d\ndata: by process %d\n\n", i, process)
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
	}
	_, _ = fmt.Fprint(c, "0\r\n\r\n")
	return true
}

// publishProcess makes the target, with the start of one of its processes, the only one.
func (s *fixture) publishProcess(r *restartingTarget, process int64, version fleet.SoftwareVersion) {
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
			process := int64(0)
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
			if reports := target.reports.Load(); reports > 1 {
				t.Errorf("the target was asked %d times, want once", reports)
			}
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
	if reports := target.reports.Load(); reports != 2 {
		t.Errorf("got %d questions, want one a process and connection", reports)
	}
}
