package targetconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/conntest"
	"ragwortpond.example/ragwortpond/netconn"
)

// identityServer loses its first connection and answers questions for its process in a given way.
type identityServer struct {
	addr               string
	conns              atomic.Int64
	questions, carried atomic.Int64
}

func startIdentityServer(t *testing.T, answer func(c net.Conn)) *identityServer {
	s := &identityServer{}
	s.addr = conntest.Serve(t, func(c net.Conn) {
		first := s.conns.Add(1) == 1
		in := bufio.NewReader(c)
		for {
			request, err := http.ReadRequest(in)
			switch {
			case err != nil, first:
				return
			case request.URL.Path == "/process":
				s.questions.Add(1)
				answer(c)
			default:
				s.carried.Add(1)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}
	})
	return s
}

var errOther = errors.New("another process")

// ask sends a request that needs the process "p".
func (s *identityServer) ask(ctx context.Context, p *Pool) error {
	identity := &Identity{URI: "/process", Check: func(body []byte) error {
		if string(body) != "p" {
			return errOther
		}
		return nil
	}}
	response, err := p.Do(ctx, &Request{Target: "t", Addr: s.addr, Method: http.MethodGet, URI: "/x", Host: "h", Identity: identity})
	if err != nil {
		return err
	}
	defer response.Close()
	_, err = io.ReadAll(response)
	return err
}

// TestRequestIsKeptFromUnidentifiedProcess guards against sending requests to another process of a target, and against
// answers without bounds to the question which one it is.
func TestRequestIsKeptFromUnidentifiedProcess(t *testing.T) {
	write := func(text string) func(net.Conn) {
		return func(c net.Conn) { _, _ = io.WriteString(c, text) }
	}
	body := func(text, field string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", field, len(text), text)
	}
	for name, test := range map[string]struct {
		answer func(net.Conn)
		want   error
	}{
		"same process":                 {write(body("p", "")), nil},
		"same process, closes":         {write(body("p", "Connection: close\r\n")), nil},
		"another process":              {write(body("q", "")), errOther},
		"too long":                     {write(body(string(make([]byte, maxIdentityBytes+1)), "")), errIdentityTooLong},
		"without end":                  {func(c net.Conn) { conntest.Flood(c, "HTTP/1.1 200 OK\r\n\r\n", "more") }, errIdentityTooLong},
		"no answer":                    {func(net.Conn) {}, context.DeadlineExceeded},
		"a connection without answers": {func(c net.Conn) { _ = c.Close() }, ErrBroken},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, s := NewPool(nil, nil), startIdentityServer(t, test.answer)
			if err := s.ask(t.Context(), p); !errors.Is(err, ErrBroken) || s.questions.Load() > 0 {
				t.Fatalf("first request: got error %v and %d questions, want a broken connection and none", err, s.questions.Load())
			}
			started := time.Now()
			err := s.ask(t.Context(), p)
			if !errors.Is(err, test.want) || (test.want != nil && !errors.Is(err, ErrNotIdentified)) || s.carried.Load() > 0 != (test.want == nil) {
				t.Errorf("got error %v and %d requests, want %v", err, s.carried.Load(), test.want)
			}
			if elapsed := time.Since(started); elapsed > 2*identifyTimeout {
				t.Errorf("got a result after %v, want about %v at most", elapsed, identifyTimeout)
			}
		})
	}
}

// TestConnectionIsIdentifiedOnce guards against a question with each request.
func TestConnectionIsIdentifiedOnce(t *testing.T) {
	p := NewPool(nil, nil)
	s := startIdentityServer(t, func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\np") })
	_ = s.ask(t.Context(), p)
	for range 5 {
		if err := s.ask(t.Context(), p); err != nil {
			t.Fatal(err)
		}
	}
	if questions, carried := s.questions.Load(), s.carried.Load(); questions != 1 || carried != 5 {
		t.Errorf("got %d questions and %d requests, want 1 and 5", questions, carried)
	}
}

// TestConnOfNextProcessIsNoneFromBefore guards against evidence by a connection that was begun while the process of a target
// ran, and that the next one accepted.
func TestConnOfNextProcessIsNoneFromBefore(t *testing.T) {
	addr := conntest.Serve(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	var ended time.Time
	p := NewPool(func(ctx context.Context, addr string) (net.Conn, error) {
		ended = time.Now()
		time.Sleep(time.Millisecond)
		return netconn.Dial(ctx, addr)
	}, nil)
	if err := p.Probe(t.Context(), "t", addr); err != nil {
		t.Fatal(err)
	}
	if p.HasOpenSince("t", addr, ended) {
		t.Error("a connection that was established after the end of a process counts as one of that process")
	}
}
