package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
)

const (
	// slowConns is how many connections send a byte now and then at a time.
	slowConns = 1000
	// slowPause is the pause after each byte.
	slowPause = 200 * time.Millisecond
	// slowBound is the time by which they must have ended: the longest bound of a request, and
	// of a connection to the listener for routers, with time to close.
	slowBound = 12 * time.Second
	// keptDescriptors is how many descriptors may remain open beyond those before: idle
	// connections that are kept.
	keptDescriptors = 100
)

// slowAnswer sends a prefix and then a byte at each slowPause.
func slowAnswer(prefix string) flood {
	return func(c net.Conn, _ *http.Request) {
		_, err := io.WriteString(c, prefix)
		for ; err == nil; time.Sleep(slowPause) {
			_, err = c.Write([]byte("x"))
		}
	}
}

// checkReleased fails the test unless the router closes what the floods had opened.
func (p *routerProcess) checkReleased(before int, since time.Time) {
	p.t.Helper()
	await.Until(p.t, "connections to be closed", func() bool {
		return p.descriptors() <= before+keptDescriptors || time.Since(since) > slowBound
	})
	if got := p.descriptors(); got > before+keptDescriptors {
		p.t.Errorf("%d descriptors after %v, %d before, want at most %d more", got, time.Since(since), before, keptDescriptors)
	}
	p.t.Logf("connections closed after %v", time.Since(since))
}

// TestSlowFloodsOfTarget lets a target answer many requests with a byte now and then.
func TestSlowFloodsOfTarget(t *testing.T) {
	for name, answer := range map[string]flood{
		"no answer": slowAnswer(""), "head": slowAnswer("HTTP/1.1 200 OK\r\nX: "), "body": slowAnswer(sealedHead + "Content-Length: 100000\r\n\r\n"),
		"events": slowAnswer(sealedHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: "),
	} {
		t.Run(name, func(t *testing.T) {
			flooding := startFloodingTarget(t, answer)
			_, addr, target := startStore(t, flooding.addr)
			router := startRouter(t, nextIP(), addr)
			before, descriptors := router.peakMB(), router.descriptors()
			finish := router.serveMeanwhile(target)
			start := time.Now()
			var requests sync.WaitGroup
			var mu sync.Mutex
			var longest time.Duration
			for range slowConns {
				requests.Go(func() {
					sent := time.Now()
					_, _, _ = router.post("/flooding/x", "a", floodedTimeout)
					mu.Lock()
					defer mu.Unlock()
					longest = max(longest, time.Since(sent))
				})
			}
			requests.Wait()
			finish()
			http.DefaultClient.CloseIdleConnections()
			t.Logf("%d requests reached the target, the longest ended after %v", flooding.connections.Load(), longest)
			if longest > floodedTimeout+2*answerSlack {
				t.Errorf("a request ended after %v, want at most %v", longest, floodedTimeout+2*answerSlack)
			}
			router.checkReleased(descriptors, start)
			router.checkMemory(before)
		})
	}
}

// TestSlowFloodsOfRouter lets a router send a byte now and then on many connections.
func TestSlowFloodsOfRouter(t *testing.T) {
	for name, prefix := range map[string]string{
		"head": "GET /held HTTP/1.1\r\nHost: r\r\nX: ", "body": "POST /held?config=1&targets=1 HTTP/1.1\r\nHost: r\r\nContent-Length: 100000\r\n\r\n",
		"forwarded body": "POST /sound/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nDeadline-Ms: 1000\r\nRagwort-Forwarded-By: r2\r\nContent-Length: 100000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, addr, target := startStore(t, "")
			router := startRouter(t, nextIP(), addr)
			before, descriptors := router.peakMB(), router.descriptors()
			finish := router.serveMeanwhile(target)
			start := time.Now()
			var conns sync.WaitGroup
			var mu sync.Mutex
			results := map[string]int{}
			most := 0
			for range slowConns {
				conns.Go(func() {
					c, err := net.DialTimeout("tcp4", router.ip+peerPort, time.Second)
					if err != nil {
						return
					}
					defer c.Close()
					_ = c.SetDeadline(start.Add(slowBound / 2))
					_, err = io.WriteString(c, prefix)
					for ; err == nil; time.Sleep(slowPause) {
						_, err = c.Write([]byte("x"))
					}
					mu.Lock()
					defer mu.Unlock()
					results[fmt.Sprintf("ended after %d s", int(time.Since(start)/time.Second))]++
				})
			}
			done := make(chan struct{})
			go func() { conns.Wait(); close(done) }()
			await.Until(t, "the connections to end", func() bool {
				most = max(most, router.descriptors())
				select {
				case <-done:
					return true
				default:
					return false
				}
			})
			finish()
			t.Logf("%v; %d descriptors at the most", results, most)
			if most > maxDescriptors {
				t.Errorf("%d descriptors, want at most %d", most, maxDescriptors)
			}
			router.checkReleased(descriptors, start)
			router.checkMemory(before)
		})
	}
}
