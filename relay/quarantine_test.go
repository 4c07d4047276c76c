package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
)

// incidentPause is longer than the time within which crashes count as one incident, and
// than a router takes to learn that a target crashed.
const incidentPause = 400 * time.Millisecond

// promptHeader is the header with the parts of a prompt.
const promptHeader = "Prompt-Prefix"

// mortalTarget is a target that can crash: it then closes its listener and all of its
// connections.
type mortalTarget struct {
	listener net.Listener
	// serve answers a request and reports whether the connection stays open.
	serve func(t *mortalTarget, c net.Conn, r *http.Request) bool

	mu       sync.Mutex
	conns    map[net.Conn]bool
	requests int
	crashed  bool
}

// startMortalTarget starts a target that ends with the test.
func startMortalTarget(t *testing.T, serve func(t *mortalTarget, c net.Conn, r *http.Request) bool) *mortalTarget {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &mortalTarget{listener: l, serve: serve, conns: map[net.Conn]bool{}}
	t.Cleanup(target.crash)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go target.serveConn(c)
		}
	}()
	return target
}

func (t *mortalTarget) serveConn(c net.Conn) {
	defer c.Close()
	t.mu.Lock()
	crashed := t.crashed
	t.conns[c] = true
	t.mu.Unlock()
	for reader := bufio.NewReader(c); !crashed; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		t.mu.Lock()
		t.requests++
		t.mu.Unlock()
		if !t.serve(t, c, r) {
			return
		}
	}
}

// crash closes the listener and all connections.
func (t *mortalTarget) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashed = true
	_ = t.listener.Close()
	t.closeConns()
}

// closeConns closes all connections; t.mu must be held.
func (t *mortalTarget) closeConns() {
	for c := range t.conns {
		_ = c.Close()
	}
	clear(t.conns)
}

// restart closes all connections. The next ones are those of another process.
func (t *mortalTarget) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeConns()
}

// closeFromNow makes the target close all connections that it accepts from now on.
func (t *mortalTarget) closeFromNow() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashed = true
}

// writeHead sends the head of a response with a chunked body.
func writeHead(c net.Conn, r *http.Request) {
	_, _ = fmt.Fprintf(c, chunkedHead, r.Header.Get("Attempt-Id"))
}

// Heads of a signed answer, with a verb for the request's ID.
const (
	unframedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n\r\n"
	chunkedHead  = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// writeEvents sends events of a stream as chunks.
func writeEvents(c net.Conn, from, to int) {
	for i := from; i <= to; i++ {
		text := streamText(i, i)
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
	}
}

// answerCompletely sends a complete stream of six events.
func answerCompletely(c net.Conn, r *http.Request) bool {
	writeHead(c, r)
	writeEvents(c, 1, 6)
	_, _ = io.WriteString(c, "0\r\n\r\n")
	return true
}

// hasCulprit reports whether a prompt has the part that crashes targets.
func hasCulprit(r *http.Request) bool {
	return strings.Contains(r.Header.Get(promptHeader), "culprit:")
}

// useMortalTargets makes n targets the only ones of the service.
func (s *fixture) useMortalTargets(n int, serve func(t *mortalTarget, c net.Conn, r *http.Request) bool) []*mortalTarget {
	s.t.Helper()
	var targets []*mortalTarget
	var list []*catalog.Target
	for i := range n {
		target := startMortalTarget(s.t, serve)
		targets = append(targets, target)
		list = append(list, &catalog.Target{
			ID: fleet.TargetID(fmt.Sprint("m", i)), Service: "s", Domain: fleet.DomainName(fmt.Sprint("d", i)), Addr: target.listener.Addr().String(), Slots: 8,
		})
	}
	s.view.Store(&catalog.View{Config: s.config, TargetsLoaded: true, Targets: catalog.Targets{"s": list}})
	return targets
}

// countRequests returns the number of requests that reached the targets.
func countRequests(targets []*mortalTarget) int {
	n := 0
	for _, target := range targets {
		target.mu.Lock()
		n += target.requests
		target.mu.Unlock()
	}
	return n
}

// promptWith returns a prompt of three shared parts, with a part at a position, and a last
// part that no other prompt has.
func promptWith(position int, part string) string {
	parts := []string{"system:100", "document:200", "chat:50"}
	parts[position] = part + ":70"
	return strings.Join(parts, ",") + fmt.Sprintf(",own%d:10", requestNumber.Add(1))
}

// TestPartThatCrashesTargetsIsQuarantined guards against requests that end target after
// target (incident 18), while requests that share their other parts must go on.
func TestPartThatCrashesTargetsIsQuarantined(t *testing.T) {
	for name, test := range map[string]struct {
		position int
		route    catalog.Route
		head     string
		events   int
	}{
		"first part":         {0, onceStreamRoute, chunkedHead, 0},
		"second part":        {1, onceStreamRoute, chunkedHead, 0},
		"last shared part":   {2, onceStreamRoute, chunkedHead, 0},
		"without a head":     {1, onceStreamRoute, "", 0},
		"without framing":    {1, onceStreamRoute, unframedHead, 0},
		"after three events": {1, onceStreamRoute, chunkedHead, 3},
		"plain answer":       {1, onceRoute, chunkedHead, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const targets, rounds = 10, 6
			s := newFixture(t, 0, test.route, nil)
			list := s.useMortalTargets(targets, func(target *mortalTarget, c net.Conn, r *http.Request) bool {
				if !hasCulprit(r) {
					return answerCompletely(c, r)
				}
				if test.head != "" {
					_, _ = fmt.Fprintf(c, test.head, r.Header.Get("Attempt-Id"))
					writeEvents(c, 1, test.events)
				}
				// The router has read the head before the connection breaks.
				time.Sleep(20 * time.Millisecond)
				target.crash()
				return false
			})
			var status int
			var retryAfter, body string
			for i := range rounds {
				before := countRequests(list)
				if response, text, err := s.do(s.request(http.MethodPost, "x", promptHeader, promptWith(test.position, "culprit"))); err == nil {
					status, retryAfter, body = response.StatusCode, response.Header.Get("Retry-After"), text
				}
				if reached := countRequests(list) - before; i >= 3 && reached != 0 {
					t.Errorf("request %d with the part reached a target", i+1)
				}
				time.Sleep(incidentPause)
				if response, _, err := s.do(s.request(http.MethodPost, "x", promptHeader, promptWith(test.position, "other"))); err != nil || response.StatusCode != http.StatusOK {
					t.Errorf("round %d: got %v, error %v for a sound request, want status 200", i+1, response, err)
				}
			}
			if status != http.StatusServiceUnavailable || retryAfter == "" || !strings.Contains(body, "prompt-quarantined") {
				t.Errorf("got status %d, Retry-After %q, body %q for the last request with the part, want 503 as quarantined", status, retryAfter, body)
			}
		})
	}
}

// TestOnlyCrashesCountAgainstParts breaks off answers in ways that are no crash under their
// prompt. Requests with the same parts must go on reaching targets.
func TestOnlyCrashesCountAgainstParts(t *testing.T) {
	for name, test := range map[string]struct {
		route catalog.Route
		serve func(target *mortalTarget, c net.Conn, r *http.Request) bool
	}{
		"answer lost": {onceStreamRoute, func(_ *mortalTarget, c net.Conn, r *http.Request) bool {
			writeHead(c, r)
			time.Sleep(20 * time.Millisecond)
			return false
		}},
		"crash after four events": {onceStreamRoute, func(target *mortalTarget, c net.Conn, r *http.Request) bool {
			writeHead(c, r)
			writeEvents(c, 1, 4)
			time.Sleep(20 * time.Millisecond)
			target.crash()
			return false
		}},
		"malformed answer": {onceStreamRoute, func(target *mortalTarget, c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 x\r\n\r\n")
			time.Sleep(20 * time.Millisecond)
			target.crash()
			return false
		}},
		"answer to another request": {onceStreamRoute, func(target *mortalTarget, c net.Conn, r *http.Request) bool {
			r.Header.Set("Attempt-Id", "another")
			answerCompletely(c, r)
			answerCompletely(c, r)
			answerCompletely(c, r)
			time.Sleep(20 * time.Millisecond)
			target.crash()
			return false
		}},
		"deadline": {catalog.Route{RunPolicy: catalog.RunOnce, Stream: true, Timeout: 50 * time.Millisecond, MaxTargets: 1}, func(target *mortalTarget, c net.Conn, r *http.Request) bool {
			writeHead(c, r)
			time.Sleep(80 * time.Millisecond)
			target.crash()
			return false
		}},
		"later success": {onceStreamRoute, func(target *mortalTarget, c net.Conn, r *http.Request) bool {
			if r.Header.Get("X-Crash") == "" {
				return answerCompletely(c, r)
			}
			target.crash()
			return false
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const rounds = 5
			s := newFixture(t, 0, test.route, nil)
			list := s.useMortalTargets(2*rounds, test.serve)
			for i := range rounds {
				before := countRequests(list)
				// The error is that of a broken answer.
				_, _, _ = s.do(s.request(http.MethodPost, "x", promptHeader, promptWith(1, "part"), "X-Crash", "1"))
				if countRequests(list) == before {
					t.Fatalf("request %d reached no target", i+1)
				}
				time.Sleep(incidentPause)
				if name == "later success" {
					if response, _, err := s.do(s.request(http.MethodPost, "x", promptHeader, promptWith(1, "part"))); err != nil || response.StatusCode != http.StatusOK {
						t.Fatalf("got %v, error %v, want status 200", response, err)
					}
				}
			}
		})
	}
}
