package relay_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
)

// crashOnBody returns how a plain target answers that crashes on one body.
func crashOnBody(body string) func(target *mortalTarget, c net.Conn, r *http.Request) bool {
	return func(target *mortalTarget, c net.Conn, r *http.Request) bool {
		if r.Header.Get("Content-Type") != body {
			return answerCompletely(c, r)
		}
		time.Sleep(20 * time.Millisecond)
		target.crash()
		return false
	}
}

// plainRequest returns a request whose content type tells the target of its body, which the
// target does not read.
func (s *fixture) plainRequest(body string) *http.Request {
	return s.request(http.MethodPost, body, "Content-Type", body)
}

// TestRequestThatCrashesTargetsIsQuarantined guards against repeats of a request that end target after target (incident 20).
func TestRequestThatCrashesTargetsIsQuarantined(t *testing.T) {
	for name, route := range map[string]catalog.Route{"runs once": onceRoute, "repeatable": repeatableRoute} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const targets, rounds = 10, 5
			s := newFixture(t, 0, route, nil)
			list := s.useMortalTargets(targets, crashOnBody("bad"))
			var last *http.Response
			var text string
			for i := range rounds {
				before := countRequests(list)
				response, body, err := s.do(s.plainRequest("bad"))
				if err != nil {
					t.Fatal(err)
				}
				last, text = response, body
				if reached := countRequests(list) - before; i >= 3 && reached != 0 {
					t.Errorf("repeat %d reached a target", i+1)
				}
				time.Sleep(incidentPause)
				if response, _, err := s.do(s.plainRequest("good")); err != nil || response.StatusCode != http.StatusOK {
					t.Errorf("round %d: got %v, error %v for another body, want status 200", i+1, response, err)
				}
			}
			if last.StatusCode != http.StatusServiceUnavailable || last.Header.Get("Retry-After") == "" || !strings.Contains(text, "request-quarantined") {
				t.Errorf("got %v, body %q for the last repeat, want 503 as quarantined", last, text)
			}
			request := s.plainRequest("bad")
			request.URL.RawQuery = "q=2"
			before := countRequests(list)
			if _, _, err := s.do(request); err != nil || countRequests(list) == before {
				t.Errorf("got no request at a target with another query, error %v", err)
			}
		})
	}
}

// TestLostAnswersDoNotQuarantineRequest breaks off the answers to a repeated request without
// the end of the target.
func TestLostAnswersDoNotQuarantineRequest(t *testing.T) {
	const rounds = 6
	s := newFixture(t, 0, onceRoute, nil)
	list := s.useMortalTargets(2, func(_ *mortalTarget, c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
		return false
	})
	for i := range rounds {
		before := countRequests(list)
		if _, _, err := s.do(s.plainRequest("lost")); err != nil {
			t.Fatal(err)
		}
		if countRequests(list) == before {
			t.Fatalf("repeat %d reached no target", i+1)
		}
		time.Sleep(incidentPause)
	}
}
