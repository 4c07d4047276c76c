package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/conntest"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/mesh"
	"ragwortpond.example/ragwortpond/platform/standin"
)

// answerFloods are what a target, or a router that helps, sends in place of an answer.
var answerFloods = map[string]flood{
	"garbage":             endless("", "\x00garbage"),
	"status line":         endless("HTTP/1.1 200 ", "x"),
	"header line":         endless("HTTP/1.1 200 OK\r\nX: ", "x"),
	"header lines":        endless("HTTP/1.1 200 OK\r\n", "X: y\r\n"),
	"interim responses":   endless("", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"),
	"chunk extension":     endless(sealedHead+"Transfer-Encoding: chunked\r\n\r\n5;", "x"),
	"chunks":              endless(sealedHead+"Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"),
	"trailer":             endless(sealedHead+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"),
	"body without length": endless(sealedHead+"\r\n", "x"),
	"body with length":    endless(sealedHead+"Content-Length: 68719476736\r\n\r\n", "x"),
	"one event":           endless(sealedHead+"Content-Type: text/event-stream\r\n\r\nid: 1\n", "data: x\n"),
	"refusal":             endless("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: a\r\nNot-Executed: 1\r\n\r\n", "x"),
	"slow head":           slowly("HTTP/1.1 200 OK\r\nX: "),
	"slow body":           slowly(sealedHead + "Content-Length: 100000\r\n\r\n"),
}

// pacedConn is a connection on which each write is followed by a pause: 24 floods of 16 MB a second are still twice the memory
// of a router, and leave the processor to the other tests.
type pacedConn struct{ net.Conn }

// Write implements net.Conn.
func (c pacedConn) Write(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return c.Conn.Write(p)
}

// paced is a flood that leaves the processor to others.
func paced(f flood) flood {
	return func(c net.Conn, r *http.Request) { f(pacedConn{c}, r) }
}

// sealedHead begins the head of an answer to request "a".
const sealedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Seal: seal-flooding\r\nInstance-Id: flooding\r\n"

const (
	// floodedRequests is how many requests meet a flood at a time.
	floodedRequests = 24
	// floodedTimeout is their deadline, answerSlack what may pass until the client knows.
	floodedTimeout = time.Second
	answerSlack    = 2 * time.Second
)

// sendFlooded sends requests to the flooding target at a time. None may be served, and all must
// end by their deadline.
func (p *routerProcess) sendFlooded() {
	p.t.Helper()
	type result struct {
		status int
		err    error
		took   time.Duration
	}
	results := make(chan result, floodedRequests)
	standstill := watchStandstill()
	for range floodedRequests {
		go func() {
			start := time.Now()
			// The floods of a body answer requests with this ID.
			status, _, err := p.post("/flooding/x", "a", floodedTimeout)
			results <- result{status, err, time.Since(start)}
		}()
	}
	statuses := map[string]int{}
	var longest time.Duration
	for range floodedRequests {
		r := <-results
		longest = max(longest, r.took)
		statuses[fmt.Sprintf("%d, broken off %v", r.status, r.err != nil)]++
		if r.status == http.StatusOK && r.err == nil {
			p.t.Error("got a whole answer, want none")
		}
	}
	p.t.Logf("results %v, the longest after %v; the test stood still for up to %v", statuses, longest, standstill())
	if longest > floodedTimeout+answerSlack {
		p.t.Errorf("a request ended after %v, want at most %v", longest, floodedTimeout+answerSlack)
	}
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", nextIP()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// floodingTarget answers each request with a flood, but tells that it is healthy.
type floodingTarget struct {
	addr string
	// connections counts the requests that it has got.
	connections atomic.Int32
}

func startFloodingTarget(t *testing.T, answer flood) *floodingTarget {
	t.Helper()
	target := &floodingTarget{}
	target.addr = conntest.Serve(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body := map[string]string{standin.HealthPath: "{}", standin.ReportPath: `{"State":"ready","born":1}`}[r.URL.Path]
			if body == "" {
				target.connections.Add(1)
				answer(c, r)
				return
			}
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: flooding\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
				return
			}
		}
	})
	return target
}

// helperHash is the hash of the service that helpers reach.
var helperHash = fleet.ServiceName("flooding").Hash()

// TestFloodsOfHelpingRouter passes requests on to a router that answers with bytes without end.
func TestFloodsOfHelpingRouter(t *testing.T) {
	for name, answer := range answerFloods {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, addr, target := startStore(t, closedAddress(t))
			router := startRouter(t, nextIP(), addr)
			peer := startFaultyPeer(t, router, paced(answer))
			heartbeat := func() {
				hb := &mesh.Heartbeat{From: fleet.RouterID(peer.ip), Domain: "d", Incarnation: 1, Watching: true, Strength: 2}
				hb.Paths = []mesh.PathReport{{ServiceHash: helperHash}}
				peer.send(hb)
			}
			heartbeat()
			await.Until(t, "a request to be passed on", func() bool {
				heartbeat()
				_, _, _ = router.post("/flooding/x", "first", 100*time.Millisecond)
				return peer.connections.Load() > 0
			})
			before := router.peakMB()
			finish := router.serveMeanwhile(target)
			heartbeat()
			already := peer.connections.Load()
			router.sendFlooded()
			if got := peer.connections.Load() - already; got < floodedRequests/2 {
				t.Errorf("%d of %d requests were passed on, want most", got, floodedRequests)
			}
			finish()
			router.checkMemory(before)
		})
	}
}

// TestFloodsOfTarget lets a target of the router itself answer with bytes without end.
func TestFloodsOfTarget(t *testing.T) {
	for name, answer := range answerFloods {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			flooding := startFloodingTarget(t, paced(answer))
			_, addr, target := startStore(t, flooding.addr)
			router := startRouter(t, nextIP(), addr)
			before := router.peakMB()
			finish := router.serveMeanwhile(target)
			router.sendFlooded()
			if flooding.connections.Load() == 0 {
				t.Error("no request reached the target")
			}
			finish()
			router.checkMemory(before)
		})
	}
}
