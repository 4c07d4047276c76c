package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// endPause is between the time for which ends share a check and that after which a check is made.
const endPause = 34 * time.Millisecond

// writeUnframed sends the first event of a stream without framing and, after eventGap, the second one.
func writeUnframed(c net.Conn, r *http.Request) {
	_, _ = fmt.Fprintf(c, unframedHead+"%s", r.Header.Get("Attempt-Id"), streamText(1, 1))
	time.Sleep(eventGap)
	_, _ = fmt.Fprint(c, streamText(2, 2))
}

// doInBackground sends a request and reports on the channel whether its answer looked complete.
func (s *fixture) doInBackground(r *http.Request) <-chan bool {
	complete := make(chan bool, 1)
	go func() {
		response, _, err := s.do(r)
		complete <- err == nil && response.StatusCode == http.StatusOK
	}()
	return complete
}

// TestEarlierCheckDoesNotConfirmLaterEnd guards against the end of a process being confirmed by a check for an earlier answer, made
// before all connections have ended.
func TestEarlierCheckDoesNotConfirmLaterEnd(t *testing.T) {
	t.Parallel()
	for range 20 {
		complete, spread := endTwice(t)
		if spread > endPause/2 {
			// The stand-in was late: its connections did not end together, as those of a process do.
			continue
		}
		if complete {
			t.Errorf("the answer that ended %v before the other connections of its process looked complete", spread)
		}
		return
	}
	t.Error("the stand-in never ended its connections together")
}

// endTwice plays a sound answer, and another one that ends endPause later with its process. It returns whether that one looked complete, and
// the time between its end and that of the other connections.
func endTwice(t *testing.T) (complete bool, spread time.Duration) {
	s := newFixture(t, 0, onceStreamRoute, nil)
	s.serveByIngress()
	soundEnd, crashed := make(chan struct{}), make(chan time.Duration, 1)
	target := startMortalTarget(t, func(target *mortalTarget, c net.Conn, r *http.Request) bool {
		if isCheck(r) {
			writeText(c, "200 OK", "")
			return true
		}
		if r.Method == http.MethodGet {
			writeUnframed(c, r)
			close(soundEnd)
			return false
		}
		_, _ = fmt.Fprintf(c, unframedHead+"%s", r.Header.Get("Attempt-Id"), streamText(1, 1))
		<-soundEnd
		time.Sleep(endPause)
		closedAt := time.Now()
		_ = c.Close()
		time.Sleep(endPause / 3)
		target.crash()
		crashed <- time.Since(closedAt)
		return false
	})
	s.publishBorn(target.listener.Addr().String(), 0)
	broken := s.doInBackground(s.request(http.MethodPost, "x"))
	// A late check may find that the process of this answer has ended, too.
	_, _, _ = s.do(s.request(http.MethodGet, ""))
	return <-broken, <-crashed
}

// TestConnOfNextProcessDoesNotConfirmEarlierEnd guards against the same by a connection that was opened between two ends which share a
// check.
func TestConnOfNextProcessDoesNotConfirmEarlierEnd(t *testing.T) {
	t.Parallel()
	served := 0
	for range 5 {
		early, next := endBeforeNextProcess(t)
		if early {
			t.Error("the answer of the process that ended looked complete")
		}
		if next {
			served++
		}
	}
	// A router that learns late of the loss of a connection takes the next process for the one that ended.
	if served == 0 {
		t.Error("no answer of the next process was served, want most of them")
	}
}

// endBeforeNextProcess plays a stream that ends with its process and, right after that, one of the next process. It returns whether each looked
// complete.
func endBeforeNextProcess(t *testing.T) (early, next bool) {
	t.Helper()
	s := newFixture(t, 0, onceStreamRoute, nil)
	s.serveByIngress()
	ended := make(chan struct{})
	target := startMortalTarget(t, func(target *mortalTarget, c net.Conn, r *http.Request) bool {
		switch {
		case isCheck(r):
			writeText(c, "200 OK", "")
			return true
		case r.Method == http.MethodPost:
			writeUnframed(c, r)
			target.restart()
			close(ended)
			return false
		case r.Method == http.MethodPut:
			return answerCompletely(c, r)
		default:
			_, _ = fmt.Fprintf(c, unframedHead+"%s", r.Header.Get("Attempt-Id"), streamText(1, 2))
			return false
		}
	})
	s.publishBorn(target.listener.Addr().String(), 0)
	broken := s.doInBackground(s.request(http.MethodPost, "x"))
	<-ended
	if _, _, err := s.do(s.request(http.MethodPut, "x")); err != nil {
		t.Errorf("framed: got error %v, want the next process's answer", err)
	}
	next = <-s.doInBackground(s.request(http.MethodGet, ""))
	return <-broken, next
}
