package relay_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/admission"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/platform/standin"
)

// stopIn makes the relay stop: it has left the rotation, and ends after a time.
func (s *fixture) stopIn(d time.Duration) {
	s.relay.StartDraining(admission.StopSchedule{LeaveAt: time.Now(), EndAt: time.Now().Add(d)})
}

// wantNotRun checks that a response says that its request was not run.
func wantNotRun(t *testing.T, response *http.Response, err error) {
	t.Helper()
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("got response %v, error %v, want status 503 with Retry-After", response, err)
	}
}

// TestStopRefusesCallsThatTargetsAreTooSlowFor guards against calls that are accepted and cut at the end of a planned stop.
func TestStopRefusesCallsThatTargetsAreTooSlowFor(t *testing.T) {
	const runTime = 1200 * time.Millisecond
	s := newFixture(t, 2, catalog.Route{RunPolicy: catalog.RunOnce, Timeout: 3 * time.Second}, func(_ int, target *standin.Target) { target.RunTime = runTime })
	var calls sync.WaitGroup
	for range 10 {
		calls.Go(func() {
			if response, _, err := s.do(s.request(http.MethodPost, "b")); err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("got response %v, error %v, want status 200", response, err)
			}
		})
	}
	calls.Wait()
	before := len(s.runs())
	// The end leaves time for a call of usual length, but not for one more of these and a margin.
	s.stopIn(1700 * time.Millisecond)
	response, _, err := s.do(s.request(http.MethodPost, "b"))
	wantNotRun(t, response, err)
	if got := len(s.runs()) - before; got != 0 {
		t.Errorf("got %d runs, want none", got)
	}
	s.stopIn(2500 * time.Millisecond)
	if response, _, err := s.do(s.request(http.MethodPost, "b")); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("with enough time: got response %v, error %v, want status 200", response, err)
	}
}

// TestStopRefusesRequestWhoseBodyArrivesTooLate guards against requests that were accepted at their head, and passed on when
// too little time was left.
func TestStopRefusesRequestWhoseBodyArrivesTooLate(t *testing.T) {
	for name, stopsBefore := range map[string]bool{"stop before the request": true, "stop while its body arrives": false} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, 1, catalog.Route{RunPolicy: catalog.RunOnce, Timeout: 3 * time.Second}, nil)
			if stopsBefore {
				s.stopIn(2 * time.Second)
			}
			body, rest := io.Pipe()
			request := s.request(http.MethodPost, "")
			request.Body, request.ContentLength = body, 4
			go func() {
				_, _ = rest.Write([]byte("ab"))
				if !stopsBefore {
					time.Sleep(100 * time.Millisecond)
					s.stopIn(1600 * time.Millisecond)
				}
				time.Sleep(800 * time.Millisecond)
				_, _ = rest.Write([]byte("cd"))
				_ = rest.Close()
			}()
			response, _, err := s.do(request)
			wantNotRun(t, response, err)
			if got := len(s.runs()); got != 0 {
				t.Errorf("got %d runs, want none", got)
			}
		})
	}
}

// TestStopMakesNoFurtherAttemptThatCannotFinish guards against second attempts that a planned stop cuts, although the
// request has not run yet.
func TestStopMakesNoFurtherAttemptThatCannotFinish(t *testing.T) {
	var s *fixture
	var stop sync.Once
	s = newFixture(t, 2, catalog.Route{RunPolicy: catalog.RunOnce, Timeout: 3 * time.Second, MaxTargets: 2}, func(_ int, target *standin.Target) {
		target.Behave = func(*http.Request) standin.Behavior {
			rejected := false
			stop.Do(func() {
				s.stopIn(500 * time.Millisecond)
				rejected = true
			})
			if rejected {
				return standin.Reject
			}
			return standin.Hang
		}
	})
	response, _, err := s.do(s.request(http.MethodPost, "b"))
	wantNotRun(t, response, err)
}
