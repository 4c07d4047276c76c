package relay_test

import (
	"net/http"
	"strings"
	"testing"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform/standin"
	"ragwortpond.example/ragwortpond/relay"
)

// withHelper lets a relay pass requests on to routers at the given addresses.
func withHelper(addrs ...string) func(*relay.Config) {
	return func(cfg *relay.Config) {
		cfg.Helpers = func(fleet.ServiceName) []string { return addrs }
	}
}

// TestTargetCannotSpeakForRouter guards against a target whose answer has its request sent to another router too.
func TestTargetCannotSpeakForRouter(t *testing.T) {
	answered := withLength("ok")
	answered.fields += "Ragwort-Not-Taken: 1\r\n"
	s := newFixture(t, 0, repeatableRoute, nil)
	s.useRawTargets(serveAnswers(t, answered))
	response, body, err := s.do(s.request(http.MethodGet, ""))
	if err != nil || response.StatusCode != http.StatusOK || body != "ok" {
		t.Fatalf("got %v, body %q, error %v, want the target's answer", response, body, err)
	}
	if got := response.Header.Get("Ragwort-Not-Taken"); got != "" {
		t.Errorf("got the header with %q, want it left out", got)
	}
}

// TestForwardedResponseThatBreaksOffIsNotComplete guards against answers of other routers that end early and look whole.
func TestForwardedResponseThatBreaksOffIsNotComplete(t *testing.T) {
	whole, cut := chunked(streamText(1, 3)), chunked(streamText(1, 3))
	cut.body = strings.TrimSuffix(cut.body, "0\r\n\r\n")
	short := withLength(`{"a":1}`)
	short.body = short.body[:3]
	unframed := answer{body: streamText(1, 3)}
	for name, test := range map[string]struct {
		answer   answer
		complete bool
	}{"whole stream": {whole, true}, "cut stream": {cut, false}, "cut body": {short, false}, "stream without framing": {unframed, false}} {
		helper := serveAnswers(t, test.answer)
		s := newFixture(t, 1, resumableRoute, withEvents(3, nil), withHelper(helper))
		s.targets[0].Close()
		response, body, err := s.do(s.request(http.MethodPost, "x"))
		complete := err == nil && response.StatusCode == http.StatusOK && body == streamText(1, 3)
		if complete != test.complete {
			t.Errorf("%s: got %v, body %q, error %v, want complete %t", name, response, body, err, test.complete)
		}
		if err == nil && !test.complete && response.StatusCode == http.StatusServiceUnavailable {
			t.Errorf("%s: got status 503, but the request may have run", name)
		}
	}
}

// TestRequestIsNotSentToSecondRouterOnceSent guards against a request that runs by way of two routers.
func TestRequestIsNotSentToSecondRouterOnceSent(t *testing.T) {
	broken := answer{fields: "Content-Length: 9\r\n", body: "x", reset: true}
	second := serveAnswers(t, withLength("second"))
	s := newFixture(t, 1, repeatableRoute, nil, withHelper(serveAnswers(t, broken), second))
	s.targets[0].Close()
	response, body, err := s.do(s.request(http.MethodGet, ""))
	if err == nil && (body == "second" || response.StatusCode == http.StatusServiceUnavailable) {
		t.Errorf("got status %d, body %q, want neither an answer by way of the second router nor a claim that nothing ran", response.StatusCode, body)
	}
	// A router that cannot be reached has not been sent it.
	gone := standin.Target{ID: "gone"}
	if err := gone.Start(""); err != nil {
		t.Fatal(err)
	}
	gone.Close()
	s = newFixture(t, 1, repeatableRoute, nil, withHelper(gone.Addr(), second))
	s.targets[0].Close()
	if response, body, err := s.do(s.request(http.MethodGet, "")); err != nil || body != "second" {
		t.Errorf("got %v, body %q, error %v, want the answer by way of the second router", response, body, err)
	}
}
