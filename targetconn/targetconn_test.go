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
)

// serveRaw answers each connection by f until the test ends.
func serveRaw(t *testing.T, f func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				f(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// serveAll answers each request of each connection by f, until one cannot be read
// or f returns false, and counts the connections.
func serveAll(t *testing.T, f func(c net.Conn, head *http.Request) bool) (addr string, conns chan struct{}) {
	t.Helper()
	conns = make(chan struct{}, 10)
	return serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		conns <- struct{}{}
		for {
			head, err := http.ReadRequest(r)
			if err != nil || !f(c, head) {
				return
			}
		}
	}), conns
}

func request(addr, id string, body []byte) *Request {
	return &Request{
		Target: "t", Addr: addr, Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: body,
		Owns: func(_ int, h http.Header) bool { return h.Get("Id") == id },
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

func TestNothingSentWhereNobodyListens(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	if _, err := do(t.Context(), NewPool(nil), request(addr, "a", nil)); !errors.Is(err, ErrNotSent) {
		t.Errorf("got %v", err)
	}
}

func TestAnswersThatBreakOff(t *testing.T) {
	for name, text := range map[string]string{
		"no answer": "", "half a head": "HTTP/1.1 200 OK\r\nId: a\r\nConte", "half a body": "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nabc",
		"half a chunk": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc", "no end": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"no answer in the protocol": "\x00\x01garbage\r\n\r\n",
	} {
		addr := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(c, text)
			}
		})
		if _, err := do(t.Context(), NewPool(nil), request(addr, "a", nil)); !errors.Is(err, ErrBroken) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// TestAnEarlyAnswerGetsNoOtherBytes answers before a long body is in: the
// connection must not carry another request, whose bytes would count as the rest
// of the body.
func TestAnEarlyAnswerGetsNoOtherBytes(t *testing.T) {
	addr, conns := serveAll(t, func(c net.Conn, head *http.Request) bool {
		_, _ = io.WriteString(c, reply(head.Header.Get("Id"), "early"))
		_ = c.(*net.TCPConn).SetReadBuffer(1)
		time.Sleep(20 * time.Millisecond)
		_, err := io.Copy(io.Discard, head.Body)
		return err == nil
	})
	p := NewPool(nil)
	big := []byte(strings.Repeat("x", 8<<20))
	for _, id := range []string{"a", "b"} {
		if body, err := do(t.Context(), p, request(addr, id, big)); err != nil || body != "early" {
			t.Fatalf("%q %v", body, err)
		}
	}
	if len(conns) != 2 {
		t.Errorf("%d connections for two early answers", len(conns))
	}
}

func TestAnswersOfOthersArePassedOver(t *testing.T) {
	addr, _ := serveAll(t, func(c net.Conn, head *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+reply("late", "of another")+reply(head.Header.Get("Id"), "mine"))
		return true
	})
	p := NewPool(nil)
	for _, id := range []string{"a", "b"} {
		if body, err := do(t.Context(), p, request(addr, id, nil)); err != nil || body != "mine" {
			t.Errorf("%q %v", body, err)
		}
	}
	stranger := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, strings.Repeat(reply("late", "of another"), 5))
		}
	})
	if _, err := do(t.Context(), p, request(stranger, "a", nil)); !errors.Is(err, ErrForeign) {
		t.Errorf("got %v", err)
	}
}

func TestAConnectionWithExtraBytesIsNotUsedAgain(t *testing.T) {
	addr, conns := serveAll(t, func(c net.Conn, head *http.Request) bool {
		_, _ = io.WriteString(c, reply(head.Header.Get("Id"), "mine")+reply("x", "extra"))
		return true
	})
	p := NewPool(nil)
	for _, id := range []string{"a", "b", "c"} {
		if body, err := do(t.Context(), p, request(addr, id, nil)); err != nil || body != "mine" {
			t.Errorf("%q %v", body, err)
		}
	}
	if p.Idle() != 0 || len(conns) != 3 {
		t.Errorf("%d idle connections, %d made", p.Idle(), len(conns))
	}
}

// TestAConnectionClosedWhileIdleCarriesNothing lets the target close a kept
// connection: the next request goes over a new one, so that it is not lost.
func TestAConnectionClosedWhileIdleCarriesNothing(t *testing.T) {
	closed := make(chan struct{}, 10)
	addr := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		head, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, reply(head.Header.Get("Id"), "mine"))
		_ = c.Close()
		closed <- struct{}{}
	})
	p := NewPool(nil)
	for range 5 {
		if body, err := do(t.Context(), p, request(addr, "a", nil)); err != nil || body != "mine" {
			t.Fatalf("%q %v", body, err)
		}
		<-closed
	}
}

func TestAFreshConnectionForWhatRunsOnce(t *testing.T) {
	addr, conns := serveAll(t, func(c net.Conn, head *http.Request) bool {
		_, _ = io.WriteString(c, reply(head.Header.Get("Id"), "mine"))
		return true
	})
	p := NewPool(nil)
	r := request(addr, "a", nil)
	if _, err := do(t.Context(), p, r); err != nil {
		t.Fatal(err)
	}
	for _, c := range p.idle["t"] {
		c.used = c.used.Add(-2 * freshFor)
	}
	r.Fresh = true
	if _, err := do(t.Context(), p, r); err != nil {
		t.Fatal(err)
	}
	if len(conns) != 2 {
		t.Errorf("%d connections", len(conns))
	}
}

func TestKeepTime(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": defaultKeep, "timeout=10, max=5": 7 * time.Second, "max=5, Timeout=0": 0, "timeout=x": defaultKeep, "timeout=-1": defaultKeep,
	} {
		if got := keepTime(text); got != want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}

func TestSweepAndForget(t *testing.T) {
	addr := serveRaw(t, func(c net.Conn, r *bufio.Reader) { _, _ = r.ReadByte() })
	p := NewPool(nil)
	for range 3 {
		if err := p.Reach(t.Context(), "t", addr); err != nil {
			t.Fatal(err)
		}
	}
	p.Sweep(time.Now())
	if p.Idle() != 3 {
		t.Errorf("%d idle", p.Idle())
	}
	p.Sweep(time.Now().Add(defaultKeep + time.Second))
	if p.Idle() != 0 {
		t.Errorf("%d idle after their time", p.Idle())
	}
	if err := p.Reach(t.Context(), "t", addr); err != nil {
		t.Fatal(err)
	}
	p.Forget("t")
	if p.Idle() != 0 {
		t.Error("a forgotten target keeps its connections")
	}
}

func TestTheContextEndsAnExchange(t *testing.T) {
	addr := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = r.ReadByte()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := do(ctx, NewPool(nil), request(addr, "a", nil)); !errors.Is(err, ErrBroken) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v", err)
	}
}
