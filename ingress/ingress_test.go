package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/catalog"
)

// deadlineRecorder records the read deadline that is set on a connection.
type deadlineRecorder struct {
	net.Conn
	deadline time.Time
}

func (r *deadlineRecorder) SetReadDeadline(t time.Time) error {
	r.deadline = t
	return nil
}

func TestIdleTimeoutFollowsConfiguration(t *testing.T) {
	limits := catalog.Limits{IdleTimeout: time.Hour}
	recorded := &deadlineRecorder{}
	s := New(nil, func() catalog.Limits { return limits }, zerolog.Nop())
	c := &conn{Conn: recorded, limits: s.limits}
	s.trackState(c, http.StateActive)
	requested := time.Now().Add(time.Second)
	_ = c.SetReadDeadline(requested)
	if !recorded.deadline.Equal(requested) {
		t.Errorf("active connection: got deadline %v, want %v", recorded.deadline, requested)
	}
	s.trackState(c, http.StateIdle)
	_ = c.SetReadDeadline(requested)
	if recorded.deadline.Before(requested.Add(time.Minute)) {
		t.Errorf("idle connection: got deadline %v, want the configured idle timeout", recorded.deadline)
	}
	limits.IdleTimeout = 2 * time.Hour
	_ = c.SetReadDeadline(requested)
	if recorded.deadline.Before(requested.Add(90 * time.Minute)) {
		t.Errorf("changed configuration: got deadline %v, want the new idle timeout", recorded.deadline)
	}
	_ = c.SetReadDeadline(time.Time{})
	if !recorded.deadline.IsZero() {
		t.Errorf("removed deadline: got %v, want none", recorded.deadline)
	}
	s.trackState(c, http.StateActive)
	_ = c.SetReadDeadline(requested)
	if !recorded.deadline.Equal(requested) {
		t.Errorf("active connection after idle: got deadline %v, want %v", recorded.deadline, requested)
	}
}

// TestSlowHeaderClosesConnection sends an incomplete header on a new connection
// and on one that served a request before. Guards against connections that are
// held open by a header that never completes.
func TestSlowHeaderClosesConnection(t *testing.T) {
	limits := catalog.Limits{HeaderTimeout: 50 * time.Millisecond, IdleTimeout: time.Hour}
	for name, before := range map[string]string{"new connection": "", "kept connection": "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startServerWithLimits(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), limits)
			r := bufio.NewReader(c)
			if before != "" {
				if _, err := io.WriteString(c, before); err != nil {
					t.Fatal(err)
				}
				if _, err := http.ReadResponse(r, nil); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := io.WriteString(c, "GET /b HTTP/1.1\r\nHost: h\r\n"); err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, r); err != nil && !strings.Contains(err.Error(), "reset") {
				t.Fatal(err)
			}
		})
	}
}

// startServer serves h without configured limits and returns a connection to
// it.
func startServer(t *testing.T, h http.Handler) net.Conn {
	t.Helper()
	return startServerWithLimits(t, h, catalog.Limits{})
}

func startServerWithLimits(t *testing.T, h http.Handler, limits catalog.Limits) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(h, func() catalog.Limits { return limits }, zerolog.Nop())
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-done; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestRequestSmuggling sends inputs that have been used to smuggle a request
// past a server. Whatever the server accepts, it must not serve the hidden
// request.
func TestRequestSmuggling(t *testing.T) {
	hidden := "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, text := range map[string]string{
		"two lengths":         "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 60\r\n\r\nabcde" + hidden,
		"length and chunks":   "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + "26\r\n" + hidden + "\r\n0\r\n\r\n",
		"unknown encoding":    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n" + hidden,
		"space before colon":  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 36\r\n\r\n" + hidden,
		"signed chunk":        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n+5\r\nabcde\r\n0\r\n\r\n" + hidden,
		"folded header field": "POST /a HTTP/1.1\r\nHost: h\r\nX: 1\r\n Content-Length: 36\r\n\r\n" + hidden,
	} {
		var served []string
		c := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Connection", "close")
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			served = append(served, r.URL.Path)
			if name != "two lengths" && r.Header.Get("Content-Length") != "" {
				t.Errorf("%s: handler got a Content-Length header, want none", name)
			}
		}))
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, bufio.NewReader(c)); err != nil && !strings.Contains(err.Error(), "reset") {
			t.Fatal(err)
		}
		for _, path := range served {
			if path == "/hidden" {
				t.Errorf("%s: the hidden request was served", name)
			}
		}
	}
}
