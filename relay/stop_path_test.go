package relay_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/admission"
	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform/standin"
	"ragwortpond.example/ragwortpond/relay"
	"ragwortpond.example/ragwortpond/streamversion"
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

// slowVersions is a StreamVersions that takes a while for a new stream.
type slowVersions struct {
	asked chan struct{}
	known chan struct{}
}

func (v slowVersions) Begin(context.Context, fleet.ServiceName, streamversion.Key) (fleet.SoftwareVersion, bool) {
	close(v.asked)
	<-v.known
	return "", true
}

func (slowVersions) TargetsConfirmed() bool { return true }

func (slowVersions) RecordBegun(fleet.ServiceName, streamversion.Key, fleet.SoftwareVersion) {}

func (slowVersions) Resume(context.Context, streamversion.Stream) (fleet.SoftwareVersion, bool) {
	return "", false
}

// TestStopRefusesRequestThatWaitedBeforeItWasSent guards against requests that are accepted, wait in the router, and are sent
// to a target when too little time is left.
func TestStopRefusesRequestThatWaitedBeforeItWasSent(t *testing.T) {
	versions := slowVersions{make(chan struct{}), make(chan struct{})}
	s := newFixture(t, 1, catalog.Route{RunPolicy: catalog.Resumable, Stream: true, Timeout: 12 * time.Second}, withEvents(3, nil), func(cfg *relay.Config) {
		cfg.StreamVersions = versions
	})
	go func() {
		<-versions.asked
		s.stopIn(3 * time.Second)
		close(versions.known)
	}()
	response, _, err := s.do(s.request(http.MethodPost, "x"))
	wantNotRun(t, response, err)
	if err == nil && !response.Close {
		t.Error("got a refusal that keeps the connection, want its end")
	}
	if got := len(s.runs()); got != 0 {
		t.Errorf("got %d runs, want none", got)
	}
}

// TestStopAcceptsTakenUpStreamWhileItsRestIsUnknown guards against streams that clients take up near their end, and that are
// refused at the start of a stop because whole ones take long.
func TestStopAcceptsTakenUpStreamWhileItsRestIsUnknown(t *testing.T) {
	route := catalog.Route{RunPolicy: catalog.Resumable, Stream: true, Timeout: 12 * time.Second}
	s := newFixture(t, 1, route, withEvents(3, func(_ int, target *standin.Target) { target.RunTime = 300 * time.Millisecond }))
	var streams sync.WaitGroup
	for range 8 {
		streams.Go(func() {
			if response, _, err := s.do(s.request(http.MethodPost, "x", "Token-Usage", "10,10")); err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("got response %v, error %v, want status 200", response, err)
			}
		})
	}
	streams.Wait()
	// 100 times as many tokens take 30 s.
	s.relay.StartDraining(admission.StopSchedule{LeaveAt: time.Now().Add(time.Hour), EndAt: time.Now().Add(10 * time.Second)})
	response, _, err := s.do(s.request(http.MethodPost, "x", "Token-Usage", "10,1000", "Deadline-Ms", "12000"))
	wantNotRun(t, response, err)
	response, _, err = s.do(s.request(http.MethodPost, "x", "Token-Usage", "10,1000", "Deadline-Ms", "12000", "Last-Event-Id", "2", "Resumes", "earlier"))
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("a stream that is taken up: got response %v, error %v, want status 200", response, err)
	}
}

// TestStopPassesOnNothingThatCannotFinish guards against requests whose targets could not be reached, and which are passed on
// to another router when too little time is left.
func TestStopPassesOnNothingThatCannotFinish(t *testing.T) {
	route := catalog.Route{RunPolicy: catalog.RunOnce, Timeout: 4 * time.Second}
	helper := newFixture(t, 1, route, nil)
	var s *fixture
	var stop sync.Once
	s = newFixture(t, 1, route, nil, withHelper(helper.helperAddr()), withSelf, func(cfg *relay.Config) {
		cfg.Connect = func(context.Context, string) (net.Conn, error) {
			stop.Do(func() { s.stopIn(2 * time.Second) })
			return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: errors.New("cut")}
		}
	})
	response, _, err := s.do(s.request(http.MethodPost, "x"))
	wantNotRun(t, response, err)
	if got := len(helper.runs()); got != 0 {
		t.Errorf("got %d runs by way of another router, want none", got)
	}
}

// TestResponsesThatBeginDuringStopEndTheirConnections guards against clients that learn of a stop only from the request after
// the one in progress.
func TestResponsesThatBeginDuringStopEndTheirConnections(t *testing.T) {
	const runTime = time.Second
	for name, setup := range map[string]func(int, *standin.Target){
		"call":   func(_ int, target *standin.Target) { target.RunTime = runTime },
		"stream": withEvents(3, func(_ int, target *standin.Target) { target.RunTime = runTime }),
		"rejected by its target": func(_ int, target *standin.Target) {
			target.Behave = func(*http.Request) standin.Behavior {
				time.Sleep(runTime)
				return standin.Reject
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 1, catalog.Route{RunPolicy: catalog.RunOnce, Stream: name == "stream", Timeout: 4 * time.Second}, setup)
			go func() {
				await.Until(t, "the request to arrive", func() bool { return len(s.targets[0].Arrivals()) == 1 })
				s.stopIn(time.Hour)
			}()
			response, _, err := s.do(s.request(http.MethodPost, "x"))
			if err != nil || !response.Close {
				t.Errorf("got response %v, error %v, want one that ends its connection", response, err)
			}
		})
	}
}
