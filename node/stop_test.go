package node

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
)

// TestStopAnswersRequestsInProgress guards against a planned stop that closes the connections of
// requests which were read whole and whose target is still silent, without an answer or a refusal.
func TestStopAnswersRequestsInProgress(t *testing.T) {
	s := startFixture(t, nextAddress())
	s.target.RunTime = 4 * time.Second
	type result struct {
		response *http.Response
		err      error
	}
	slow := make(chan result, 1)
	go func() {
		response, _, err := s.post(&http.Client{Transport: &http.Transport{}}, "a1")
		slow <- result{response, err}
	}()
	await.Until(t, "the target to receive the request", func() bool { return len(s.target.Runs()) == 1 })
	s.stop()
	if got := <-slow; got.err != nil {
		t.Errorf("got error %v, want any response", got.err)
	}
}

// TestStopWaitsForTargetThatPauses guards against a planned stop that takes requests late and cuts them
// because their sound target is silent for a second.
func TestStopWaitsForTargetThatPauses(t *testing.T) {
	s := startFixture(t, nextAddress())
	s.target.RunTime = 1300 * time.Millisecond
	stopped := time.Now()
	s.stop()
	await.Until(t, "readiness to fail", func() bool { return !s.ready() })
	time.Sleep(time.Second)
	// The platform sends nobody here any more once it has seen that the router is not ready.
	deregistered := stopped.Add(s.cfg.StopGrace() / 2)
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() {
			sent := time.Now()
			response, _, err := s.post(&http.Client{Transport: &http.Transport{}}, fmt.Sprint("a", i))
			if sent.After(deregistered) && errors.Is(err, syscall.ECONNREFUSED) {
				return
			}
			if err != nil || (response.StatusCode != http.StatusOK && response.StatusCode != http.StatusServiceUnavailable) {
				t.Errorf("got %v, error %v, want the target's answer or a refusal", response, err)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
}
