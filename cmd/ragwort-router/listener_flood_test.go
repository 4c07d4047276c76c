package main

import (
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
)

const (
	// maxDescriptors is the number of sockets that a VM allows a process.
	maxDescriptors = 3900
	// floodConns is how many connections a faulty router opens at a time.
	floodConns = 600
	// floodPeriod is how long it sends on each of them, and floodPause the pause after each block,
	// which leaves the machine time for the requests of clients.
	floodPeriod = 1500 * time.Millisecond
	floodPause  = 10 * time.Millisecond
)

// listenerFloods are what a faulty router sends on a connection to the listener for routers:
// a prefix, and a text that is repeated.
var listenerFloods = map[string]struct{ prefix, repeated string }{
	"garbage":                {"", "x"},
	"header line":            {"GET /held HTTP/1.1\r\nHost: r\r\nX: ", "x"},
	"header lines":           {"GET /held HTTP/1.1\r\nHost: r\r\n", "X: y\r\n"},
	"body":                   {"POST /held?config=1&targets=1 HTTP/1.1\r\nHost: r\r\nContent-Length: 68719476736\r\n\r\n", "x"},
	"chunks":                 {"POST /held?config=1&targets=1 HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"requests":               {"", "GET /held?config=0&targets=0 HTTP/1.1\r\nHost: r\r\n\r\n"},
	"forwarded body":         {"POST /sound/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nRagwort-Forwarded-By: r2\r\nContent-Length: 1000000\r\n\r\n", "x"},
	"forwarded chunks":       {"POST /sound/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nRagwort-Forwarded-By: r2\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"forwarded header lines": {"POST /sound/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nRagwort-Forwarded-By: r2\r\n", "X: y\r\n"},
}

// maxSentBytes bounds what is sent on one connection.
const maxSentBytes = 2 << 20

// TestFloodsOfRoutersConnections lets a router open many connections to the listener for routers
// and send bytes that are no request on them.
func TestFloodsOfRoutersConnections(t *testing.T) {
	for name, f := range listenerFloods {
		t.Run(name, func(t *testing.T) {
			_, addr, target := startStore(t, "")
			router := startRouter(t, nextIP(), addr)
			before := router.peakMB()
			finish := router.serveMeanwhile(target)
			block := strings.Repeat(f.repeated, 4<<10/len(f.repeated)+1)
			var conns sync.WaitGroup
			var most atomic.Int64
			end := time.Now().Add(floodPeriod)
			for range floodConns {
				conns.Go(func() {
					c, err := net.DialTimeout("tcp4", router.ip+peerPort, time.Second)
					if err != nil {
						return
					}
					defer c.Close()
					_ = c.SetDeadline(end)
					go func() { _, _ = io.Copy(io.Discard, c) }()
					_, err = io.WriteString(c, f.prefix)
					for sent := 0; err == nil && sent < maxSentBytes; sent += len(block) {
						_, err = io.WriteString(c, block)
						time.Sleep(floodPause)
					}
					_, _ = c.Read(make([]byte, 1))
				})
			}
			done := make(chan struct{})
			go func() { conns.Wait(); close(done) }()
			await.Until(t, "the floods to end", func() bool {
				most.Store(max(most.Load(), int64(router.descriptors())))
				select {
				case <-done:
					return true
				default:
					return router.peakMB() > memoryMB
				}
			})
			<-done
			finish()
			t.Logf("%d descriptors at the most", most.Load())
			if most.Load() > maxDescriptors {
				t.Errorf("%d descriptors, want at most %d", most.Load(), maxDescriptors)
			}
			router.checkMemory(before)
		})
	}
}
