package relay_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/admission"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/relay"
)

// helperAddr serves requests that other routers pass on and returns its address.
func (s *fixture) helperAddr() string {
	s.t.Helper()
	return strings.TrimPrefix(s.serveForwarded(), "http://")
}

// withSelf names the relay, as routers that pass requests on do.
func withSelf(cfg *relay.Config) { cfg.Self = "self" }

// TestStoppingRouterLeavesForwardedRequestsToOthers guards against requests that a router passes on and that are refused,
// or cut, because the router asked first stops.
func TestStoppingRouterLeavesForwardedRequestsToOthers(t *testing.T) {
	route := catalog.Route{RunPolicy: catalog.RunOnce, Timeout: 4 * time.Second}
	for name, schedule := range map[string]admission.StopSchedule{
		"at the start of its stop": {LeaveAt: time.Now().Add(time.Hour), EndAt: time.Now().Add(3 * time.Second)},
		"late in its stop":         {LeaveAt: time.Now(), EndAt: time.Now().Add(2 * time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			stopping, serving := newFixture(t, 1, route, nil), newFixture(t, 1, route, nil)
			stopping.relay.StartDraining(schedule)
			s := newFixture(t, 1, route, nil, withHelper(stopping.helperAddr(), serving.helperAddr()), withSelf)
			s.targets[0].Close()
			response, _, err := s.do(s.request(http.MethodPost, "x"))
			if err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("got response %v, error %v, want status 200 by way of the other router", response, err)
			}
			if got := len(stopping.runs()); got != 0 {
				t.Errorf("got %d runs by way of the router that stops, want none", got)
			}
		})
	}
}
