package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/conntest"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
	"ragwortpond.example/ragwortpond/targetconn"
)

// floodingTargets are targets that serve, and send bytes without end once flooding is set.
type floodingTargets struct {
	prefix, block string
	flooding      atomic.Bool
	floods        atomic.Int32
}

func (f *floodingTargets) serve(id string, c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body := `{"State":"ready","born":1}`
		own := r.URL.Path == standin.HealthPath || r.URL.Path == standin.ReportPath
		name := r.Header.Get("Attempt-Id")
		if !own && f.flooding.Load() {
			f.floods.Add(1)
			conntest.Flood(c, strings.ReplaceAll(f.prefix, "ATTEMPT", name), f.block)
			return
		}
		_, _ = r.Body.Read(make([]byte, 100))
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nInstance-Id: %s\r\nContent-Length: %d\r\n\r\n%s", name, id, id, len(body), body); err != nil {
			return
		}
	}
}

// postDiscarding sends a request, reads its answer without keeping it, and returns the status, with
// an error unless the answer is complete.
func (s *fixture) postDiscarding(client *http.Client, id string) (int, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+s.cfg.ClientAddr+"/p/x", strings.NewReader("body"))
	if err != nil {
		return 0, err
	}
	r.Host = "h"
	standin.SetRequestHeaders(r, id, "", time.Second, 0)
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// TestFloodsThroughHelpingRouterTakeBoundedMemory guards against a router, or one that helps it,
// that keeps what a target sends without end.
func TestFloodsThroughHelpingRouterTakeBoundedMemory(t *testing.T) {
	const (
		head     = "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nResponse-Seal: seal-t\r\n"
		requests = 16
		targets  = 8
		// maxHeapBytes is a head and a part of a body, each of 64 KB, for each request in each of the
		// two routers, four times over for buffers that grow and for the test's own client.
		maxHeapBytes = 2 * requests * 4 * 2 * 64 << 10
	)
	for name, flood := range map[string]struct{ prefix, repeated string }{
		"garbage":             {"", "\x00garbage"},
		"header line":         {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header lines":        {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"interim responses":   {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		"body without length": {head + "\r\n", "x"},
		"body with length":    {head + "Content-Length: 68719476736\r\n\r\n", "x"},
		"chunks":              {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\ny\r\n"},
		"trailer":             {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := &floodingTargets{prefix: flood.prefix, block: strings.Repeat(flood.repeated, 16<<10/len(flood.repeated)+1)}
			store, err := standin.StartStore("")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(store.Close)
			config := standin.Config{Version: 1, Plain: []string{"s"}, Routes: []standin.Route{{Name: "r", Host: "h", Prefix: "/p/", Service: "s", MaxTargets: 1, Timeout: time.Second}}}
			store.Put(platform.KindConfig, platform.ConfigName, config.Spec())
			for n := range targets {
				target := &standin.Target{ID: fmt.Sprintf("t%d", n), Service: "s", Zone: "d"}
				addr := conntest.Serve(t, func(c net.Conn) { f.serve(target.ID, c) })
				store.Put(platform.KindTargets, target.ID, target.EntryAt("ready", addr))
			}
			refused := &targetPath{conns: map[*pathConn]bool{}}
			refused.set(newRefused)
			routers := startRoutersWith(t, store, 2, targets, func(i int) targetconn.ConnectFunc {
				if i == 0 {
					return refused.connect
				}
				return nil
			})
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			sent := 0
			await.Until(t, "requests to be passed on", func() bool {
				sent++
				_, _, _ = routers[1].post(client, fmt.Sprintf("near%d", sent))
				response, _, err := routers[0].post(client, fmt.Sprintf("far%d", sent))
				return err == nil && response.StatusCode == http.StatusOK
			})
			f.flooding.Store(true)
			runtime.GC()
			var before runtime.MemStats
			runtime.ReadMemStats(&before)
			var all sync.WaitGroup
			for n := range requests {
				all.Go(func() {
					status, err := routers[0].postDiscarding(client, fmt.Sprintf("flood%d", n))
					if err == nil && status == http.StatusOK {
						t.Error("got a whole answer, want none")
					}
				})
			}
			done := make(chan struct{})
			go func() { all.Wait(); close(done) }()
			var largest uint64
			await.Until(t, "the requests to end", func() bool {
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				largest = max(largest, m.HeapAlloc)
				select {
				case <-done:
					return true
				default:
					return false
				}
			})
			grown := max(largest, before.HeapAlloc) - before.HeapAlloc
			t.Logf("%d floods, the heap grew by %d KB", f.floods.Load(), grown>>10)
			if f.floods.Load() < requests/2 {
				t.Errorf("%d of %d requests reached the targets, want most", f.floods.Load(), requests)
			}
			if grown > maxHeapBytes {
				t.Errorf("the heap grew by %d KB, want at most %d", grown>>10, maxHeapBytes>>10)
			}
		})
	}
}
