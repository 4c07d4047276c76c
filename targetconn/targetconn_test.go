package targetconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/conntest"
)

// serveRaw calls f for each connection to a loopback address, which it returns, until
// the test ends.
func serveRaw(t *testing.T, f func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	return conntest.Serve(t, func(c net.Conn) { f(c, bufio.NewReader(c)) })
}

// serveRequests calls f for each request on each connection, until a request
// cannot be read or f returns false. It sends on conns for each connection.
func serveRequests(t *testing.T, f func(c net.Conn, request *http.Request) bool) (addr string, conns chan struct{}) {
	t.Helper()
	conns = make(chan struct{}, 10)
	return serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		conns <- struct{}{}
		for {
			request, err := http.ReadRequest(r)
			if err != nil || !f(c, request) {
				return
			}
		}
	}), conns
}

func newRequest(addr, id string, body []byte) *Request {
	return &Request{
		Target: "t", Addr: addr, Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: body,
		Matches: func(_ int, h http.Header, _ bool) bool { return h.Get("Id") == id },
	}
}

func do(ctx context.Context, p *Pool, r *Request) (string, error) {
	a, err := p.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestConnectionRefusedReturnsErrNotSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	if _, err := do(t.Context(), NewPool(nil, nil), newRequest(addr, "a", nil)); !errors.Is(err, ErrNotSent) {
		t.Errorf("got error %v, want ErrNotSent", err)
	}
}

func TestIncompleteResponseReturnsErrBroken(t *testing.T) {
	for name, text := range map[string]string{
		"no response": "", "incomplete header": "HTTP/1.1 200 OK\r\nId: a\r\nConte", "incomplete body": "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nabc",
		"incomplete chunk": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc", "no last chunk": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"not an HTTP response": "\x00\x01garbage\r\n\r\n",
	} {
		addr := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(c, text)
			}
		})
		if _, err := do(t.Context(), NewPool(nil, nil), newRequest(addr, "a", nil)); !errors.Is(err, ErrBroken) {
			t.Errorf("%s: got error %v, want ErrBroken", name, err)
		}
	}
}

// TestConnectionNotReusedAfterEarlyResponse sends the response before the
// target has read a long body. If another request reused the connection, the
// target would read it as the rest of the body.
func TestConnectionNotReusedAfterEarlyResponse(t *testing.T) {
	addr, conns := serveRequests(t, func(c net.Conn, request *http.Request) bool {
		_, _ = io.WriteString(c, reply(request.Header.Get("Id"), "early"))
		_ = c.(*net.TCPConn).SetReadBuffer(1)
		time.Sleep(20 * time.Millisecond)
		_, err := io.Copy(io.Discard, request.Body)
		return err == nil
	})
	p := NewPool(nil, nil)
	big := []byte(strings.Repeat("x", 8<<20))
	for _, id := range []string{"a", "b"} {
		if body, err := do(t.Context(), p, newRequest(addr, id, big)); err != nil || body != "early" {
			t.Fatalf("got body %q, error %v, want early", body, err)
		}
	}
	if len(conns) != 2 {
		t.Errorf("got %d connections for two early responses, want 2", len(conns))
	}
}

func TestSkipsResponsesToOtherRequests(t *testing.T) {
	addr, _ := serveRequests(t, func(c net.Conn, request *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+reply("late", "of another")+reply(request.Header.Get("Id"), "mine"))
		return true
	})
	p := NewPool(nil, nil)
	for _, id := range []string{"a", "b"} {
		if body, err := do(t.Context(), p, newRequest(addr, id, nil)); err != nil || body != "mine" {
			t.Errorf("got body %q, error %v, want mine", body, err)
		}
	}
	other := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, strings.Repeat(reply("late", "of another"), 5))
		}
	})
	if _, err := do(t.Context(), p, newRequest(other, "a", nil)); !errors.Is(err, ErrMismatch) {
		t.Errorf("got error %v, want ErrMismatch", err)
	}
}

func TestConnectionWithExtraBytesNotReused(t *testing.T) {
	addr, conns := serveRequests(t, func(c net.Conn, request *http.Request) bool {
		_, _ = io.WriteString(c, reply(request.Header.Get("Id"), "mine")+reply("x", "extra"))
		return true
	})
	p := NewPool(nil, nil)
	for _, id := range []string{"a", "b", "c"} {
		if body, err := do(t.Context(), p, newRequest(addr, id, nil)); err != nil || body != "mine" {
			t.Errorf("got body %q, error %v, want mine", body, err)
		}
	}
	if p.IdleConns() != 0 || len(conns) != 3 {
		t.Errorf("got %d idle connections of %d opened, want 0 of 3", p.IdleConns(), len(conns))
	}
}

// TestConnectionClosedWhileIdleNotReused has the target close an idle
// connection. A request that reused it would be lost, so the next one must use
// a new one.
func TestConnectionClosedWhileIdleNotReused(t *testing.T) {
	closed := make(chan struct{}, 10)
	addr := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, reply(request.Header.Get("Id"), "mine"))
		_ = c.Close()
		closed <- struct{}{}
	})
	p := NewPool(nil, nil)
	for range 5 {
		if body, err := do(t.Context(), p, newRequest(addr, "a", nil)); err != nil || body != "mine" {
			t.Fatalf("got body %q, error %v, want mine", body, err)
		}
		<-closed
	}
}

func TestFreshRequestNotSentOnOlderConnection(t *testing.T) {
	addr, conns := serveRequests(t, func(c net.Conn, request *http.Request) bool {
		_, _ = io.WriteString(c, reply(request.Header.Get("Id"), "mine"))
		return true
	})
	p := NewPool(nil, nil)
	r := newRequest(addr, "a", nil)
	if _, err := do(t.Context(), p, r); err != nil {
		t.Fatal(err)
	}
	for _, c := range p.idle["t"] {
		c.lastUsed = c.lastUsed.Add(-2 * maxFreshAge)
	}
	r.RequireFreshConn = true
	if _, err := do(t.Context(), p, r); err != nil {
		t.Fatal(err)
	}
	if len(conns) != 2 {
		t.Errorf("got %d connections, want 2", len(conns))
	}
}

func TestParseIdleTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": defaultIdleTimeout, "timeout=10, max=5": 7 * time.Second, "max=5, Timeout=0": 0, "timeout=x": defaultIdleTimeout, "timeout=-1": defaultIdleTimeout,
	} {
		if got := parseIdleTimeout(text); got != want {
			t.Errorf("Keep-Alive %q: got %v, want %v", text, got, want)
		}
	}
}

func TestSweepAndForget(t *testing.T) {
	addr := serveRaw(t, func(c net.Conn, r *bufio.Reader) { _, _ = r.ReadByte() })
	p := NewPool(nil, nil)
	for range 3 {
		if err := p.Probe(t.Context(), "t", addr); err != nil {
			t.Fatal(err)
		}
	}
	p.CloseExpired(time.Now())
	if p.IdleConns() != 3 {
		t.Errorf("got %d idle connections before the idle timeout, want 3", p.IdleConns())
	}
	p.CloseExpired(time.Now().Add(defaultIdleTimeout + time.Second))
	if p.IdleConns() != 0 {
		t.Errorf("got %d idle connections after the idle timeout, want 0", p.IdleConns())
	}
	if err := p.Probe(t.Context(), "t", addr); err != nil {
		t.Fatal(err)
	}
	p.CloseIdle("t")
	if p.IdleConns() != 0 {
		t.Error("got idle connections after CloseIdle, want none")
	}
}

func TestContextEndsExchange(t *testing.T) {
	addr := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = r.ReadByte()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := do(ctx, NewPool(nil, nil), newRequest(addr, "a", nil)); !errors.Is(err, ErrBroken) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got error %v, want ErrBroken and context.DeadlineExceeded", err)
	}
}
