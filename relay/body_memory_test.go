package relay_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/platform/standin"
	"ragwortpond.example/ragwortpond/relay"
)

// TestBodiesInFlightAreBoundedTogether guards against requests that are small enough by themselves
// but take the router's memory together.
func TestBodiesInFlightAreBoundedTogether(t *testing.T) {
	const bodyBytes, fitting = 300_000, 2
	for _, announced := range []bool{true, false} {
		s := newFixture(t, 1, onceRoute, func(_ int, target *standin.Target) { target.RunTime = 400 * time.Millisecond },
			func(c *relay.Config) { c.BodyBytes = fitting*bodyBytes + bodyBytes/2 })
		post := func() int {
			r := s.request(http.MethodPost, strings.Repeat("x", bodyBytes))
			if !announced {
				r.ContentLength = -1
			}
			response, _, err := s.do(r)
			if err != nil {
				t.Errorf("got error %v, want a response", err)
				return 0
			}
			if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
				t.Error("got status 503 without Retry-After")
			}
			return response.StatusCode
		}
		first := make(chan int, fitting)
		for range fitting {
			go func() { first <- post() }()
		}
		await.Until(t, "the first requests to reach the target", func() bool { return len(s.runs()) == fitting })
		if got := post(); got != http.StatusServiceUnavailable {
			t.Errorf("announced %v: got status %d beside %d requests, want 503", announced, got, fitting)
		}
		for range fitting {
			if got := <-first; got != http.StatusOK {
				t.Errorf("announced %v: got status %d for a request that fits, want 200", announced, got)
			}
		}
		if got := post(); got != http.StatusOK {
			t.Errorf("announced %v: got status %d once the others are done, want 200", announced, got)
		}
	}
}
