package relay_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
)

// TestConfirmationThatTakesLong guards against ends that are confirmed by the lack of an answer, and against sound answers that are
// lost because their target pauses while it is asked.
func TestConfirmationThatTakesLong(t *testing.T) {
	const pause, never, short = time.Second, time.Minute, 300 * time.Millisecond
	for name, test := range map[string]struct {
		route    catalog.Route
		slots    int
		pause    time.Duration
		deadline time.Duration
		complete bool
	}{
		"engine that pauses":                    {onceStreamRoute, 8, pause, 0, true},
		"plain service that pauses":             {onceStreamRoute, 0, pause, 0, true},
		"engine that stands still":              {onceStreamRoute, 8, never, 0, false},
		"plain service that stands still":       {onceStreamRoute, 0, never, 0, false},
		"engine, deadline before its word":      {onceStreamRoute, 8, pause, short, false},
		"plain service, deadline, stream":       {onceStreamRoute, 0, pause, short, false},
		"plain service, deadline, whole body":   {onceRoute, 0, pause, short, false},
		"engine, deadline, resumable, no other": {resumableRoute, 8, pause, short, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if test.deadline > 0 {
				test.route.Timeout = test.deadline
			}
			s := newFixture(t, 0, test.route, nil)
			s.serveByIngress()
			ended := make(chan struct{})
			t.Cleanup(func() { close(ended) })
			s.publishBorn(serveUnframed(t, func(c net.Conn) {
				select {
				case <-time.After(test.pause):
					writeText(c, "200 OK", reportOf(bornAt))
				case <-ended:
				}
			}), test.slots)
			response, body, err := s.do(s.request(http.MethodPost, "x"))
			complete := err == nil && response.StatusCode == http.StatusOK
			if complete != test.complete {
				t.Errorf("got %v, body %q, error %v, want complete %t", response, body, err, test.complete)
			}
			if err == nil && !complete && response.StatusCode != http.StatusGatewayTimeout {
				t.Errorf("got status %d, want 504: the request has run", response.StatusCode)
			}
		})
	}
}
