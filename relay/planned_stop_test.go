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
	// The end leaves time for a call of usual length, but not for one of these.
	s.stopIn(1700 * time.Millisecond)
	response, _, err := s.do(s.request(http.MethodPost, "b"))
	wantNotRun(t, response, err)
	if got := len(s.runs()) - before; got != 0 {
		t.Errorf("got %d runs, want none", got)
	}
	// The timeout of the route is before the end.
	s.stopIn(5 * time.Second)
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

// TestStopCutsNoStreamThatItAccepts guards against streams that are accepted late in a planned stop because earlier ones were
// short (review case 8).
func TestStopCutsNoStreamThatItAccepts(t *testing.T) {
	const interval, left = 40 * time.Millisecond, 2300 * time.Millisecond
	const shortEvents, longEvents = 4, 64
	for name, mix := range map[string]struct {
		// earlier is the number of short streams before the stop; tokens is the maximum that all streams name, empty for none.
		earlier int
		tokens  string
		policy  catalog.RunPolicy
	}{
		"earlier ones used a part of the maximum":        {32, "10,384", catalog.RunOnce},
		"earlier ones, resumable":                        {32, "10,384", catalog.Resumable},
		"earlier ones named no maximum":                  {32, "", catalog.RunOnce},
		"few earlier ones":                               {3, "10,128", catalog.RunOnce},
		"no earlier ones":                                {0, "10,128", catalog.RunOnce},
		"no earlier ones, a maximum below what is sent":  {0, "10,24", catalog.RunOnce},
		"earlier ones, a maximum below what is sent":     {32, "10,24", catalog.RunOnce},
		"earlier ones, as many tokens as events, slower": {32, "10,64", catalog.RunOnce},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 2, catalog.Route{RunPolicy: mix.policy, Stream: true, Timeout: 12 * time.Second, MaxEventGap: time.Second}, func(i int, target *standin.Target) {
				target.Events, target.EventInterval = []int{shortEvents, longEvents}[i], interval/time.Duration(4-3*i)
			})
			stream := func(deadlineMS string) (*http.Response, error) {
				request := s.request(http.MethodPost, "b", "Deadline-Ms", deadlineMS)
				if mix.tokens != "" {
					request.Header.Set("Token-Usage", mix.tokens)
				}
				response, _, err := s.do(request)
				return response, err
			}
			s.publish(s.targets[0])
			for range mix.earlier {
				if response, err := stream("12000"); err != nil || response.StatusCode != http.StatusOK {
					t.Fatalf("before the stop: got response %v, error %v, want status 200", response, err)
				}
			}
			end := time.Now().Add(left)
			s.stopIn(left)
			if response, err := stream("1000"); err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("a short stream whose deadline is before the end: got response %v, error %v, want status 200", response, err)
			}
			s.publish(s.targets[1])
			response, err := stream("12000")
			wantNotRun(t, response, err)
			if now := time.Now(); now.After(end) {
				t.Errorf("got the end of a stream %s after the end of the stop, want a refusal", now.Sub(end))
			}
			if got := len(s.targets[1].Runs()); got != 0 {
				t.Errorf("got %d runs, want none", got)
			}
		})
	}
}
