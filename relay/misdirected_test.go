package relay_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/conntest"
	"ragwortpond.example/ragwortpond/fleet"
)

// TestMisdirectedRequestsAreRefusedAtOnce guards against requests that wait for their whole time at an address that
// another target uses now, because its answers have no ID.
func TestMisdirectedRequestsAreRefusedAtOnce(t *testing.T) {
	for name, route := range map[string]catalog.Route{"once": onceRoute, "repeatable": repeatableRoute, "stream": resumableRoute} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 1, route, nil)
			gone := &catalog.Target{ID: "gone", Service: "s", Domain: "d", Addr: s.targets[0].Addr(), Version: fleet.SoftwareVersion("v1"), Slots: 8}
			s.view.Store(&catalog.View{Config: s.config, Targets: catalog.Targets{"s": {gone}}, TargetsLoaded: true})
			for i := range 6 {
				sent := time.Now()
				response, _, err := s.do(s.request(http.MethodPost, "x", "Deadline-Ms", "1000"))
				if err != nil || response.StatusCode != http.StatusServiceUnavailable {
					t.Errorf("request %d: got %v, error %v after %v, want status 503", i, response, err, time.Since(sent))
				}
			}
		})
	}
}

// TestCheckOfOtherTargetKeepsNoConnection guards against the same, on the connection over which a check of a broken
// target has found another one.
func TestCheckOfOtherTargetKeepsNoConnection(t *testing.T) {
	t.Parallel()
	var broken atomic.Bool
	s := newFixture(t, 0, repeatableRoute, nil)
	service := s.config.Services["s"]
	service.HealthPath = testHealthPath
	s.config.Services["s"] = service
	checked := make(chan struct{}, 1)
	s.useRawTargets(conntest.Serve(t, func(c net.Conn) {
		for reader := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(reader)
			if err != nil || broken.CompareAndSwap(false, true) {
				return
			}
			status := "421 Misdirected Request"
			if r.URL.Path == testHealthPath {
				status = "200 OK"
				checked <- struct{}{}
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n", status)
		}
	}))
	if _, _, err := s.do(s.plainRequest("bad")); err != nil {
		t.Fatal(err)
	}
	<-checked
	time.Sleep(50 * time.Millisecond)
	response, _, err := s.do(s.request(http.MethodPost, "x", "Deadline-Ms", "1000"))
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %v, error %v, want status 503", response, err)
	}
}
