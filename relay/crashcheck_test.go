package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

const testHealthPath = "/health"

// TestBrokenAttemptCountsUnlessItsTargetServes breaks off the attempts of a repeated request. Whether they are held
// against it depends on what the target's address does afterwards.
func TestBrokenAttemptCountsUnlessItsTargetServes(t *testing.T) {
	health := func(head string) func(*mortalTarget, net.Conn) bool {
		return func(_ *mortalTarget, c net.Conn) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", head)
			return true
		}
	}
	for name, test := range map[string]struct {
		path string
		// health answers a check of a target's health and reports whether the connection
		// stays open.
		health func(*mortalTarget, net.Conn) bool
		// closing makes the target close all connections after the first request.
		closing, quarantined bool
	}{
		"serves the check":         {testHealthPath, health("200 OK"), false, false},
		"rejects the check":        {testHealthPath, health("503 Service Unavailable"), false, false},
		"sends no response":        {testHealthPath, health("?"), false, false},
		"has another target":       {testHealthPath, health("200 OK\r\nInstance-Id: other"), false, true},
		"closes the check":         {testHealthPath, func(*mortalTarget, net.Conn) bool { return false }, false, true},
		"closes connections":       {testHealthPath, nil, true, true},
		"closes, without a check":  {"", nil, true, true},
		"accepts, without a check": {"", nil, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const repeats = 6
			s := newFixture(t, 0, onceRoute, nil)
			service := s.config.Services["s"]
			service.HealthPath = test.path
			s.config.Services["s"] = service
			list := s.useMortalTargets(2*repeats, func(target *mortalTarget, c net.Conn, r *http.Request) bool {
				if r.URL.Path == testHealthPath {
					return test.health(target, c)
				}
				if test.closing {
					target.closeFromNow()
				}
				return false
			})
			for range repeats {
				if _, _, err := s.do(s.plainRequest("bad")); err != nil {
					t.Fatal(err)
				}
				time.Sleep(incidentPause)
			}
			if got := s.relay.QuarantinedParts() > 0; got != test.quarantined {
				t.Errorf("after %d broken attempts (%d requests at targets): got quarantined %t, want %t", repeats, countRequests(list), got, test.quarantined)
			}
		})
	}
}
