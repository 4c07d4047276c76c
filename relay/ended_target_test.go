package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/platform/standin"
)

// startDyingTarget starts a target that ends, as a killed process does, behind the bytes of its first answer. It returns
// its address.
func startDyingTarget(t *testing.T, body string) string {
	t.Helper()
	return startMortalTarget(t, func(target *mortalTarget, c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, unframedHead+"%s", r.Header.Get("Attempt-Id"), body)
		target.crash()
		return false
	}).listener.Addr().String()
}

// TestAnswerOfKilledTargetIsNotComplete guards against answers without a length that look complete because their target's
// process ended.
func TestAnswerOfKilledTargetIsNotComplete(t *testing.T) {
	for name, test := range map[string]struct {
		route catalog.Route
		body  string
	}{
		"stream":    {onceStreamRoute, streamText(1, 2)},
		"body":      {onceRoute, "answer"},
		"long body": {onceRoute, strings.Repeat("x", 200<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 0, test.route, nil)
			s.serveByIngress()
			s.useRawTargets(startDyingTarget(t, test.body))
			response, body, err := s.do(s.request(http.MethodPost, "x"))
			if err == nil && response.StatusCode == http.StatusOK {
				t.Errorf("got %d bytes as a complete answer, want an error", len(body))
			}
		})
	}
}

// TestFailureOfKilledTargetIsNotComplete guards against a part of a failure response that looks complete.
func TestFailureOfKilledTargetIsNotComplete(t *testing.T) {
	for name, route := range map[string]catalog.Route{"body": onceRoute, "stream": onceStreamRoute} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 0, route, nil)
			s.serveByIngress()
			s.useRawTargets(startMortalTarget(t, func(target *mortalTarget, c net.Conn, r *http.Request) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 500 Failed\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n\r\n{\"err", r.Header.Get("Attempt-Id"))
				target.crash()
				return false
			}).listener.Addr().String())
			response, body, err := s.do(s.request(http.MethodPost, "x"))
			if err != nil || response.StatusCode != http.StatusBadGateway {
				t.Errorf("got %v, body %q, error %v, want status 502", response, body, err)
			}
		})
	}
}

// TestStreamOfKilledTargetGoesOnElsewhere guards against the same on routes that resume.
func TestStreamOfKilledTargetGoesOnElsewhere(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 0, resumableRoute, nil)
	s.serveByIngress()
	dying, sound := startDyingTarget(t, streamText(1, 2)), serveAnswers(t, answer{body: streamText(1, 4)})
	// Both addresses may be tried first.
	s.useRawTargets(dying, sound)
	for range 4 {
		if _, body, err := s.do(s.request(http.MethodPost, "x")); err != nil || body != streamText(1, 4) {
			t.Errorf("got body %q, error %v, want events 1 to 4", body, err)
		}
	}
}

// TestRepeatableBodyOfKilledTargetIsReplaced guards against the same on routes whose requests may be repeated.
func TestRepeatableBodyOfKilledTargetIsReplaced(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 0, repeatableRoute, nil)
	s.serveByIngress()
	s.useRawTargets(startDyingTarget(t, "half of"), serveAnswers(t, withLength("whole")))
	for range 4 {
		if _, body, err := s.do(s.request(http.MethodGet, "")); err != nil || body != "whole" {
			t.Errorf("got body %q, error %v, want that of the other target", body, err)
		}
	}
}

// TestEndIsConfirmedBesideEntryOfEarlierProcess guards against breaking answers off because the store came back from a copy
// with the entry of an earlier process of their target.
func TestEndIsConfirmedBesideEntryOfEarlierProcess(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 0, onceStreamRoute, nil)
	s.serveByIngress()
	publish := func(addr string, startedAt time.Time, era uint64) {
		target := &catalog.Target{ID: "t", Service: "s", Domain: "d", Addr: addr, Slots: 8, StartedAt: startedAt, Era: era}
		s.view.Store(&catalog.View{Config: s.config, TargetsLoaded: true, Targets: catalog.Targets{"s": {target}}})
	}
	target := startMortalTarget(t, func(target *mortalTarget, c net.Conn, r *http.Request) bool {
		if r.URL.Path == standin.ReportPath {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"born\":2000}")
			return true
		}
		_, _ = fmt.Fprintf(c, unframedHead+"%s", r.Header.Get("Attempt-Id"), streamText(1, 2))
		publish(target.listener.Addr().String(), time.UnixMilli(1000), 1)
		return false
	})
	publish(target.listener.Addr().String(), time.UnixMilli(2000), 0)
	if _, body, err := s.do(s.request(http.MethodPost, "x")); err != nil || body != streamText(1, 2) {
		t.Errorf("got body %q, error %v, want both events", body, err)
	}
}

// TestClientThatLeavesAtTheEndIsNoCrash guards against asking a target whether it has crashed because a client left while the
// end of its answer was confirmed.
func TestClientThatLeavesAtTheEndIsNoCrash(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 0, onceStreamRoute, nil)
	s.serveByIngress()
	service := s.config.Services["s"]
	service.HealthPath = testHealthPath
	s.config.Services["s"] = service
	var checks atomic.Int64
	target := startMortalTarget(t, func(_ *mortalTarget, c net.Conn, r *http.Request) bool {
		if r.URL.Path == testHealthPath {
			checks.Add(1)
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		_, _ = fmt.Fprintf(c, unframedHead+"%s", r.Header.Get("Attempt-Id"), streamText(1, 1))
		return false
	})
	s.useRawTargets(target.listener.Addr().String())
	response, err := http.DefaultClient.Do(s.request(http.MethodPost, "x"))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	time.Sleep(incidentPause)
	if got := checks.Load(); got > 1 {
		t.Errorf("the target was asked for its health %d times, want once, for the end of its answer", got)
	}
}
