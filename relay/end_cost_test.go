package relay_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/conntest"
)

// TestConnectionWhoseEndIsDelayedDoesNotConfirmEnd guards against answers that look complete because the ends of a killed process's other
// connections were lost on the way once and come with the retransmission.
func TestConnectionWhoseEndIsDelayedDoesNotConfirmEnd(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 0, onceStreamRoute, nil)
	s.serveByIngress()
	const retransmission = 200 * time.Millisecond
	s.publishBorn(startMortalTarget(t, func(target *mortalTarget, c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, unframedHead+"%s", r.Header.Get("Attempt-Id"), streamText(1, 1))
		time.Sleep(eventGap)
		_, _ = fmt.Fprint(c, streamText(2, 2))
		_ = target.listener.Close()
		_ = c.Close()
		time.Sleep(retransmission)
		target.crash()
		return false
	}).listener.Addr().String(), 0)
	if response, body, err := s.do(s.request(http.MethodPost, "x")); err == nil {
		t.Errorf("got %v with %q as a complete answer, want an error", response, body)
	}
}

// TestIdleTimeoutOfTargetBreaksNoAnswer guards against breaking off sound answers of targets that close idle connections early.
func TestIdleTimeoutOfTargetBreaksNoAnswer(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 0, onceStreamRoute, nil)
	s.serveByIngress()
	s.publishBorn(conntest.Serve(t, func(c net.Conn) {
		_ = c.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil && isCheck(r) {
			writeText(c, "200 OK", "")
		} else if err == nil {
			writeUnframed(c, r)
		}
	}), 0)
	var answers, broken atomic.Int64
	var clients sync.WaitGroup
	until := time.Now().Add(5 * time.Second)
	for range 8 {
		clients.Go(func() {
			for time.Now().Before(until) {
				answers.Add(1)
				if _, _, err := s.do(s.request(http.MethodPost, "x")); err != nil {
					broken.Add(1)
				}
			}
		})
	}
	clients.Wait()
	if broken.Load() > 0 {
		t.Errorf("%d of %d sound answers were broken off", broken.Load(), answers.Load())
	}
}

// TestTargetOfOneConnectionAtATimeGoesOn guards against connections without a request that keep a target from serving the next one.
func TestTargetOfOneConnectionAtATimeGoesOn(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 0, onceRoute, nil)
	s.serveByIngress()
	var serving sync.Mutex
	s.publishBorn(conntest.Serve(t, func(c net.Conn) {
		serving.Lock()
		defer serving.Unlock()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil && isCheck(r) {
			writeText(c, "200 OK", "")
		} else if err == nil {
			_, _ = fmt.Fprintf(c, unframedHead+"answer", r.Header.Get("Attempt-Id"))
		}
	}), 0)
	failed := 0
	const requests = 5
	for range requests {
		if response, body, err := s.do(s.request(http.MethodPost, "x")); err != nil || body != "answer" {
			failed++
			t.Logf("got %v, error %v", response, err)
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d requests failed", failed, requests)
	}
}

// TestEndAtTargetAtItsConnectionLimitIsConfirmed guards against breaking off sound answers because a target takes no connection for a
// check of its health.
func TestEndAtTargetAtItsConnectionLimitIsConfirmed(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 0, onceRoute, nil)
	s.serveByIngress()
	const limit = 3
	var open, served, complete atomic.Int64
	s.publishBorn(conntest.Serve(t, func(c net.Conn) {
		defer open.Add(-1)
		if open.Add(1) > limit {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil && isCheck(r) {
			writeText(c, "200 OK", "")
		} else if err == nil {
			time.Sleep(eventGap)
			_, _ = fmt.Fprintf(c, unframedHead+"answer", r.Header.Get("Attempt-Id"))
			served.Add(1)
		}
	}), 0)
	var clients sync.WaitGroup
	until := time.Now().Add(3 * time.Second)
	for range 2 * limit {
		clients.Go(func() {
			for time.Now().Before(until) {
				if _, body, err := s.do(s.request(http.MethodPost, "x")); err == nil && body == "answer" {
					complete.Add(1)
				}
			}
		})
	}
	clients.Wait()
	if complete.Load() != served.Load() {
		t.Errorf("%d of %d sound answers were complete", complete.Load(), served.Load())
	}
}

// TestResetAtConnectionLimitBreaksNoAnswer guards against breaking off sound answers of a target that resets connections beyond its limit
// some time after the kernel took them.
func TestResetAtConnectionLimitBreaksNoAnswer(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 0, onceStreamRoute, nil)
	s.serveByIngress()
	const acceptDelay = 30 * time.Millisecond
	var open atomic.Int64
	s.publishBorn(conntest.Serve(t, func(c net.Conn) {
		defer open.Add(-1)
		if open.Add(1) > 1 {
			time.Sleep(acceptDelay)
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil && isCheck(r) {
			writeText(c, "200 OK", "")
		} else if err == nil {
			_, _ = fmt.Fprintf(c, unframedHead+"%s", r.Header.Get("Attempt-Id"), streamText(1, 1))
			time.Sleep(acceptDelay * 2 / 3)
			_, _ = fmt.Fprint(c, streamText(2, 2))
		}
	}), 0)
	if _, body, err := s.do(s.request(http.MethodPost, "x")); err != nil || body != streamText(1, 2) {
		t.Errorf("got body %q, error %v, want both events", body, err)
	}
}

// TestEndAtFullTargetIsConfirmedByItsOtherAnswer guards against breaking off sound answers because the check of their target's health
// waits for a slot, while the target sends another answer on a connection from before.
func TestEndAtFullTargetIsConfirmedByItsOtherAnswer(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 0, onceStreamRoute, nil)
	s.serveByIngress()
	const whole = 50
	begun, full := make(chan struct{}), make(chan struct{})
	s.publishBorn(conntest.Serve(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		switch {
		case err != nil:
		case isCheck(r):
			<-full
			writeText(c, "200 OK", "")
		case r.Method == http.MethodPut:
			writeHead(c, r)
			for i := range whole {
				writeEvents(c, i+1, i+1)
				if i == 0 {
					close(begun)
				}
				time.Sleep(eventGap)
			}
			_, _ = fmt.Fprint(c, "0\r\n\r\n")
			close(full)
		default:
			_, _ = fmt.Fprintf(c, unframedHead+"%s", r.Header.Get("Attempt-Id"), streamText(1, 2))
		}
	}), 0)
	other := s.doInBackground(s.request(http.MethodPut, "x"))
	<-begun
	if _, body, err := s.do(s.request(http.MethodPost, "x")); err != nil || body != streamText(1, 2) {
		t.Errorf("got body %q, error %v, want both events", body, err)
	}
	if !<-other {
		t.Error("the other answer was not complete")
	}
}
