package relay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/explain/explaintest"
	"ragwortpond.example/ragwortpond/quarantine"
)

// quarantineFromPeer lets the relay learn from another router that the culprit part is
// quarantined.
func (s *fixture) quarantineFromPeer() {
	s.t.Helper()
	verdict := quarantine.Verdict{Part: xxhash.Sum64String("culprit")}
	s.relay.MergeEvidence(quarantine.Evidence{Verdicts: []quarantine.Verdict{verdict}}, time.Now())
	if got := s.relay.QuarantinedParts(); got != 1 {
		s.t.Errorf("got %d quarantined parts, want 1", got)
	}
}

func TestVerdictOfPeerRefusesRequests(t *testing.T) {
	s := newFixture(t, 1, onceRoute, nil)
	s.quarantineFromPeer()
	response, body, err := s.do(s.request(http.MethodPost, "x", promptHeader, promptWith(1, "culprit")))
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || !strings.Contains(body, "prompt-quarantined") {
		t.Errorf("got %v, body %q, error %v, want status 503 as quarantined", response, body, err)
	}
	for _, header := range []string{promptWith(1, "other"), "system:100,document:30,culprit:10", ""} {
		if response, _, err := s.do(s.request(http.MethodPost, "x", promptHeader, header)); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("prompt %q: got %v, error %v, want status 200", header, response, err)
		}
	}
	if n := len(s.runs()); n != 3 {
		t.Errorf("got %d runs, want 3", n)
	}
}

// TestQuarantineEndsRetries lets a router learn of the verdict during the first attempt of
// a request. It must not be sent to another target, and its client must not be told that
// it has not run if it may have.
func TestQuarantineEndsRetries(t *testing.T) {
	for name, test := range map[string]struct {
		route  catalog.Route
		end    func(c net.Conn, r *http.Request)
		status int
		code   string
	}{
		"may have run": {repeatableRoute, func(net.Conn, *http.Request) {}, http.StatusBadGateway, "answer-truncated"},
		"rejected": {onceRoute, func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		}, http.StatusServiceUnavailable, "prompt-quarantined"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, 0, test.route, nil)
			list := s.useMortalTargets(3, func(_ *mortalTarget, c net.Conn, r *http.Request) bool {
				s.quarantineFromPeer()
				test.end(c, r)
				return false
			})
			response, body, err := s.do(s.request(http.MethodPost, "x", promptHeader, promptWith(1, "culprit")))
			if err != nil || response.StatusCode != test.status || !strings.Contains(body, test.code) {
				t.Errorf("got %v, body %q, error %v, want status %d with %s", response, body, err, test.status, test.code)
			}
			if n := countRequests(list); n != 1 {
				t.Errorf("got %d requests at targets, want 1", n)
			}
		})
	}
}

// TestSuccessLiftsQuarantine answers a request with the part that was in flight when the
// verdict arrived. A few events are enough.
func TestSuccessLiftsQuarantine(t *testing.T) {
	s := newFixture(t, 0, onceStreamRoute, nil)
	s.useMortalTargets(1, func(_ *mortalTarget, c net.Conn, r *http.Request) bool {
		s.quarantineFromPeer()
		writeHead(c, r)
		writeEvents(c, 1, quarantine.ClearingEvents)
		// The stream goes on until the test ends.
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	response, err := http.DefaultClient.Do(s.request(http.MethodPost, "x", promptHeader, promptWith(1, "culprit")))
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("got %v, error %v, want status 200", response, err)
	}
	defer response.Body.Close()
	await.Until(t, "the end of the verdict", func() bool { return s.relay.QuarantinedParts() == 0 })
}

// TestTargetsThatEndLaterAreNoCrashes ends targets, one after the other, while each serves
// a stream with the same parts that has had its first events.
func TestTargetsThatEndLaterAreNoCrashes(t *testing.T) {
	const targets = 5
	s := newFixture(t, 0, onceStreamRoute, nil)
	list := s.useMortalTargets(targets, func(_ *mortalTarget, c net.Conn, r *http.Request) bool {
		writeHead(c, r)
		writeEvents(c, 1, quarantine.ClearingEvents)
		// The connection stays open until the target ends.
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	for range targets {
		response, err := http.DefaultClient.Do(s.request(http.MethodPost, "x", promptHeader, promptWith(1, "part")))
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		if _, err := io.ReadFull(response.Body, make([]byte, len(streamText(1, quarantine.ClearingEvents)))); err != nil {
			t.Fatal(err)
		}
	}
	for _, target := range list {
		target.crash()
		time.Sleep(incidentPause)
	}
	if n := s.relay.QuarantinedParts(); n != 0 {
		t.Errorf("got %d quarantined parts, want none", n)
	}
}

// TestClientThatLeftIsNoCrash disconnects clients before their targets end.
func TestClientThatLeftIsNoCrash(t *testing.T) {
	s := newFixture(t, 0, onceStreamRoute, nil)
	list := s.useMortalTargets(4, func(target *mortalTarget, c net.Conn, r *http.Request) bool {
		writeHead(c, r)
		_, _ = c.Read(make([]byte, 1))
		target.crash()
		return false
	})
	for i := range list {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, cancel)
		if _, _, err := s.do(s.request(http.MethodPost, "x", promptHeader, promptWith(1, "part")).WithContext(ctx)); err == nil {
			t.Error("got an answer, want the request to be cancelled")
		}
		if n := countRequests(list); n != i+1 {
			t.Fatalf("got %d requests at targets, want %d", n, i+1)
		}
		time.Sleep(incidentPause)
	}
	if n := s.relay.QuarantinedParts(); n != 0 {
		t.Errorf("got %d quarantined parts, want none", n)
	}
}

// TestLogExplainsQuarantine follows a part from the first crash to a refusal in the log.
func TestLogExplainsQuarantine(t *testing.T) {
	log := &explaintest.Log{}
	s := newFixtureWithLog(t, 0, onceStreamRoute, zerolog.New(log).With().Str("router", "a").Timestamp().Logger(), nil)
	s.useMortalTargets(4, func(target *mortalTarget, c net.Conn, r *http.Request) bool {
		writeHead(c, r)
		time.Sleep(20 * time.Millisecond)
		target.crash()
		return false
	})
	var crashed []string
	for range 3 {
		r := s.request(http.MethodPost, "x", promptHeader, promptWith(1, "culprit"))
		// The error is that of a broken answer.
		_, _, _ = s.do(r)
		crashed = append(crashed, r.Header.Get("Attempt-Id"))
		time.Sleep(incidentPause)
	}
	await.Until(t, "the verdict", func() bool { return s.relay.QuarantinedParts() == 1 })
	for _, id := range crashed {
		lines := log.RequestLines(t, id)
		if last := lines[len(lines)-1]; last.Name != "target-crashed" || len(last.Fields["target"]) == 0 || len(last.Fields["parts"]) == 0 {
			t.Errorf("got last line %s of %s, want target-crashed with the target and the parts", last.Name, id)
		}
	}
	// Without successes any of the shared parts may be at fault.
	names := func(parts string) string {
		r := s.request(http.MethodPost, "x", promptHeader, parts)
		_, _, _ = s.do(r)
		names := ""
		for _, line := range log.RequestLines(t, r.Header.Get("Attempt-Id")) {
			names += line.Name + " "
		}
		return names
	}
	if got := names(promptWith(1, "culprit")); got != "prompt-refused request-not-run " {
		t.Errorf("got lines %s, want the refusal and its reason", got)
	}
	// The first trial of a router is at a random time.
	await.Until(t, "a trial", func() bool { return strings.HasPrefix(names(promptWith(1, "chat")), "suspect-tried request-placed ") })
	if got := names(promptWith(1, "chat")); got != "prompt-refused request-not-run " {
		t.Errorf("got lines %s of a request beside a trial, want the refusal and its reason", got)
	}
}
