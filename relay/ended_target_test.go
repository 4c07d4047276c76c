package relay_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"ragwortpond.example/ragwortpond/catalog"
)

// serveOnceAndDie starts a target that ends, as a killed process does, behind the bytes of its first
// answer: its address refuses connections, and those that it has end without a reset. It returns its address.
func serveOnceAndDie(t *testing.T, body string) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nConnection: close\r\n\r\n%s", request.Header.Get("Attempt-Id"), body)
		_ = l.Close()
	}()
	return l.Addr().String()
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
			s.useRawTargets(serveOnceAndDie(t, test.body))
			response, body, err := s.do(s.request(http.MethodPost, "x"))
			if err == nil && response.StatusCode == http.StatusOK {
				t.Errorf("got %d bytes as a complete answer, want an error", len(body))
			}
		})
	}
}

// TestStreamOfKilledTargetGoesOnElsewhere guards against the same on routes that resume.
func TestStreamOfKilledTargetGoesOnElsewhere(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 0, resumableRoute, nil)
	s.serveByIngress()
	dying, sound := serveOnceAndDie(t, streamText(1, 2)), serveAnswers(t, answer{body: streamText(1, 4)})
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
	s.useRawTargets(serveOnceAndDie(t, "half of"), serveAnswers(t, withLength("whole")))
	for range 4 {
		if _, body, err := s.do(s.request(http.MethodGet, "")); err != nil || body != "whole" {
			t.Errorf("got body %q, error %v, want that of the other target", body, err)
		}
	}
}
