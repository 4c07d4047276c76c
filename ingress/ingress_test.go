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

// recorder keeps the read deadline that is set on a connection.
type recorder struct {
	net.Conn
	deadline time.Time
}

func (r *recorder) SetReadDeadline(t time.Time) error {
	r.deadline = t
	return nil
}

func TestTheIdleTimeoutFollowsTheConfiguration(t *testing.T) {
	limits := catalog.Limits{IdleTimeout: time.Hour}
	under := &recorder{}
	s := New(nil, func() catalog.Limits { return limits }, zerolog.Nop())
	c := &conn{Conn: under, limits: s.limits}
	s.noteState(c, http.StateActive)
	asked := time.Now().Add(time.Second)
	_ = c.SetReadDeadline(asked)
	if !under.deadline.Equal(asked) {
		t.Error("the deadline of a request was changed")
	}
	s.noteState(c, http.StateIdle)
	_ = c.SetReadDeadline(asked)
	if under.deadline.Before(asked.Add(time.Minute)) {
		t.Error("an idle connection keeps the server's own deadline")
	}
	limits.IdleTimeout = 2 * time.Hour
	_ = c.SetReadDeadline(asked)
	if under.deadline.Before(asked.Add(90 * time.Minute)) {
		t.Error("a later configuration is not followed")
	}
	_ = c.SetReadDeadline(time.Time{})
	if !under.deadline.IsZero() {
		t.Error("a removed deadline was set")
	}
	s.noteState(c, http.StateActive)
	_ = c.SetReadDeadline(asked)
	if !under.deadline.Equal(asked) {
		t.Error("an active connection has the idle deadline")
	}
}

// TestAHeadThatTakesTooLongEndsItsConnection sends the beginning of a head on a
// new connection and on one that served a request before.
func TestAHeadThatTakesTooLongEndsItsConnection(t *testing.T) {
	limits := catalog.Limits{HeaderTimeout: 50 * time.Millisecond, IdleTimeout: time.Hour}
	for name, before := range map[string]string{"new connection": "", "kept connection": "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startLimited(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), limits)
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

// startServer serves h and returns a connection to it.
func startServer(t *testing.T, h http.Handler) net.Conn {
	t.Helper()
	return startLimited(t, h, catalog.Limits{})
}

func startLimited(t *testing.T, h http.Handler, limits catalog.Limits) net.Conn {
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

// TestNoRequestHidesInAnother sends what has been used to smuggle a request past
// a server: whatever is served, it is not the hidden request.
func TestNoRequestHidesInAnother(t *testing.T) {
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
				t.Errorf("%s: both lengths reach the handler", name)
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
