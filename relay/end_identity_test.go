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

// TestEndOfPlainAnswerIsNotConfirmedByTheNextProcess guards against answers of plain services that look complete because the next
// process answers at once at the address of the one that ended.
func TestEndOfPlainAnswerIsNotConfirmedByTheNextProcess(t *testing.T) {
	for name, test := range map[string]struct {
		gap     time.Duration
		answers int
	}{"short answer": {0, 1}, "long answer": {eventGap, 1}, "second end in a row": {10 * eventGap, 2}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 0, onceStreamRoute, nil)
			s.serveByIngress()
			s.publishBorn(startRebornAt(t, func(target *mortalTarget, c net.Conn, r *http.Request) {
				_, _ = fmt.Fprintf(c, unframedHead+"%s", r.Header.Get("Attempt-Id"), streamText(1, 1))
				time.Sleep(test.gap)
				_, _ = fmt.Fprint(c, streamText(2, 2))
				target.restart()
			}), 0)
			for i := range test.answers {
				if response, body, err := s.do(s.request(http.MethodPost, "x")); err == nil {
					t.Errorf("answer %d: got %v with %q as a complete answer, want an error", i, response, body)
				}
			}
		})
	}
	t.Run("beside answers of the next process", func(t *testing.T) {
		t.Parallel()
		if checkAnswersOfNextProcess(t) {
			t.Error("the answer of the process that ended looked complete")
		}
	})
	t.Run("end that is read late", func(t *testing.T) {
		t.Parallel()
		checkEndThatIsReadLate(t, 0)
	})
}

// TestConnOfNextProcessDoesNotConfirmEndThatIsReadLate guards against the same at engines, which are asked for their start if connections
// tell nothing.
func TestConnOfNextProcessDoesNotConfirmEndThatIsReadLate(t *testing.T) {
	t.Parallel()
	checkEndThatIsReadLate(t, 8)
}

// checkEndThatIsReadLate lets a slow client keep the router from reading the end of an answer until it has connections to the next process
// of the target.
func checkEndThatIsReadLate(t *testing.T, slots int) {
	t.Helper()
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
	}), slots)
	r := s.request(http.MethodPost, "x", "Deadline-Ms", "20000")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	<-ended
	time.Sleep(lateRead)
	n, err := io.Copy(io.Discard, response.Body)
	if err == nil {
		t.Errorf("got status %d and %d bytes of an endless body as a complete answer, want an error", response.StatusCode, n)
	}
}

// lateRead is how much later than the end a slow client reads on.
const lateRead = 3 * time.Second

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

// TestAnswerToHeadHasTheLengthOfItsTarget guards against a length that the router makes up, since the answer has no body.
func TestAnswerToHeadHasTheLengthOfItsTarget(t *testing.T) {
	for name, test := range map[string]struct {
		fields string
		want   int64
	}{"length": {"Content-Length: 800\r\n", 800}, "no length": {"", -1}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 0, repeatableRoute, nil)
			s.serveByIngress()
			s.useRawTargets(startMortalTarget(t, func(_ *mortalTarget, c net.Conn, r *http.Request) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n%s\r\n", r.Header.Get("Attempt-Id"), test.fields)
				return false
			}).listener.Addr().String())
			response, _, err := s.do(s.request(http.MethodHead, ""))
			if err != nil || response.StatusCode != http.StatusOK || response.ContentLength != test.want {
				t.Errorf("got %v, error %v, want status 200 and length %d", response, err, test.want)
			}
		})
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
