package relay_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
)

// startRebornAt starts a plain target that is back at its address as soon as its process has ended, which serve decides.
func startRebornAt(t *testing.T, serve func(target *mortalTarget, c net.Conn, r *http.Request)) string {
	t.Helper()
	return startMortalTarget(t, func(target *mortalTarget, c net.Conn, r *http.Request) bool {
		if isCheck(r) {
			writeText(c, "200 OK", "")
			return true
		}
		serve(target, c, r)
		return false
	}).listener.Addr().String()
}

// TestEndOfShortAnswerIsNotConfirmedByTheNextProcess guards against answers that look complete because their process ended before
// another connection to it was open.
func TestEndOfShortAnswerIsNotConfirmedByTheNextProcess(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 0, onceStreamRoute, nil)
	s.serveByIngress()
	s.publishBorn(startRebornAt(t, func(target *mortalTarget, c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, unframedHead+"%s", r.Header.Get("Attempt-Id"), streamText(1, 2))
		target.restart()
	}), 0)
	if response, body, err := s.do(s.request(http.MethodPost, "x")); err == nil {
		t.Errorf("got %v with %q as a complete answer, want an error", response, body)
	}
}

// TestSecondEndInARowIsNotConfirmedByTheNextProcess guards against answers that look complete because their target ended a moment
// before as well, so that no connection is kept open beside them.
func TestSecondEndInARowIsNotConfirmedByTheNextProcess(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 0, onceStreamRoute, nil)
	s.serveByIngress()
	s.publishBorn(startRebornAt(t, func(target *mortalTarget, c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, unframedHead+"%s", r.Header.Get("Attempt-Id"), streamText(1, 1))
		time.Sleep(10 * eventGap)
		_, _ = fmt.Fprint(c, streamText(2, 2))
		target.restart()
	}), 0)
	for i := range 2 {
		if response, body, err := s.do(s.request(http.MethodPost, "x")); err == nil {
			t.Errorf("answer %d: got %v with %q as a complete answer, want an error", i, response, body)
		}
	}
}

// TestEndThatIsReadLateIsNotConfirmedByTheNextProcess guards against answers that look complete because a slow client kept the router
// from reading their end until it had connections to the next process of the target.
func TestEndThatIsReadLateIsNotConfirmedByTheNextProcess(t *testing.T) {
	t.Parallel()
	route := onceRoute
	route.Timeout = 20 * time.Second
	s := newFixture(t, 0, route, nil)
	s.serveByIngress()
	ended := make(chan struct{})
	var requests atomic.Int64
	s.publishBorn(startRebornAt(t, func(target *mortalTarget, c net.Conn, r *http.Request) {
		if requests.Add(1) > 1 {
			answerCompletely(c, r)
			return
		}
		_, _ = fmt.Fprintf(c, unframedHead, r.Header.Get("Attempt-Id"))
		// It writes until all buffers on the way are full.
		block := bytes.Repeat([]byte("x"), 64<<10)
		for {
			_ = c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
			if _, err := c.Write(block); err != nil {
				break
			}
		}
		target.restart()
		close(ended)
	}), 0)
	r := s.request(http.MethodPost, "x", "Deadline-Ms", "20000")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	<-ended
	time.Sleep(watchRenewalAndPause)
	n, err := io.Copy(io.Discard, response.Body)
	if err == nil {
		t.Errorf("got status %d and %d bytes of an endless body as a complete answer, want an error", response.StatusCode, n)
	}
}

// watchRenewalAndPause is a time in which a router opens another connection to a target that it keeps a connection to.
const watchRenewalAndPause = 3 * time.Second

// TestAnswerToHeadIsComplete guards against breaking off, or delaying, answers that have no body: their end needs no confirmation.
func TestAnswerToHeadIsComplete(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 0, repeatableRoute, nil)
	s.serveByIngress()
	var conns atomic.Int64
	s.useRawTargets(startMortalTarget(t, func(target *mortalTarget, c net.Conn, r *http.Request) bool {
		conns.Add(1)
		_, _ = fmt.Fprintf(c, unframedHead, r.Header.Get("Attempt-Id"))
		target.crash()
		return false
	}).listener.Addr().String())
	response, _, err := s.do(s.request(http.MethodHead, ""))
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("got %v, error %v after %d runs, want status 200", response, err, conns.Load())
	}
}

// TestNoticeOfAnotherInstanceIsNotItsTargets guards against taking a target for leaving because the instance that has its address now
// says of itself, in the answer that misdirects the request, that it leaves.
func TestNoticeOfAnotherInstanceIsNotItsTargets(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 0, catalog.Route{RunPolicy: catalog.Repeatable, Timeout: time.Second, LatencyObjective: 200 * time.Millisecond, MaxTargets: 1}, nil)
	s.serveByIngress()
	var requests atomic.Int64
	s.publishBorn(startMortalTarget(t, func(_ *mortalTarget, c net.Conn, r *http.Request) bool {
		if requests.Add(1) > 1 {
			return answerCompletely(c, r)
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: other\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Attempt-Id"))
		return false
	}).listener.Addr().String(), 0)
	_, _, _ = s.do(s.request(http.MethodGet, ""))
	time.Sleep(incidentPause)
	if response, _, err := s.do(s.request(http.MethodGet, "")); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("got %v, error %v, want the answer of the target, which did not say that it leaves", response, err)
	}
}
