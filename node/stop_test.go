package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/platform"
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

// TestStopClosesKeptConnections guards against clients that continue to send requests over kept connections to a router
// that stops, and are refused there.
func TestStopClosesKeptConnections(t *testing.T) {
	s := startFixture(t, nextAddress())
	config := configDocument(2)
	config["Limits"] = map[string]any{"IdleTimeoutMs": 60_000}
	s.store.Put(platform.KindConfig, platform.ConfigName, config)
	await.Until(t, "the limits", func() bool { return s.node.directory.View().Config.Version == 2 })
	s.target.RunTime = 2300 * time.Millisecond
	slow := make(chan error, 1)
	go func() {
		_, _, err := s.post(&http.Client{Transport: &http.Transport{}}, "a1")
		slow <- err
	}()
	await.Until(t, "the target to receive the request", func() bool { return len(s.target.Runs()) == 1 })
	closed := make(chan struct{})
	idle, err := net.Dial("tcp4", s.cfg.ClientAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	if _, err := io.WriteString(idle, "GET /a HTTP/1.1\r\nHost: other\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(idle)
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.Close {
		t.Fatalf("got response %v, error %v, want one that keeps the connection", response, err)
	}
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, response.Body)
		_, _ = io.Copy(io.Discard, reader)
	}()
	s.stop()
	select {
	case <-closed:
	case err := <-slow:
		t.Fatalf("the request in progress ended, with error %v, and the connection is open", err)
	}
	if err := <-slow; err != nil {
		t.Errorf("the request in progress: got error %v, want an answer", err)
	}
}
