package httpconn_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"

	"ragwortpond.example/ragwortpond/conntest"
	"ragwortpond.example/ragwortpond/httpconn"
)

// serveRaw writes raw on every connection to a loopback address, which it returns, after
// it has read some bytes, and again after each further read if keepAlive is set.
func serveRaw(tb testing.TB, raw string, keepAlive bool) string {
	tb.Helper()
	return conntest.Serve(tb, func(c net.Conn) {
		buf := make([]byte, 4096)
		for {
			if _, err := c.Read(buf); err != nil {
				return
			}
			if _, err := io.WriteString(c, raw); err != nil || !keepAlive {
				return
			}
		}
	})
}

func get(addr string) *protocol.Request {
	return protocol.NewRequest("GET", "http://"+addr+"/", nil)
}

func TestReadAllReportsIncompleteBodies(t *testing.T) {
	cases := map[string]struct {
		raw  string
		body string
		want error
	}{
		"length":            {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "whole", nil},
		"chunked":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "whole", nil},
		"short":             {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", "", httpconn.ErrTruncated},
		"short chunks":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", "", httpconn.ErrTruncated},
		"no length":         {"HTTP/1.1 200 OK\r\n\r\nno end", "", httpconn.ErrTruncated},
		"too large":         {"HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n", "", httpconn.ErrTooLarge},
		"no response":       {"", "", httpconn.ErrBroken},
		"not HTTP":          {"hello\r\n\r\n", "", httpconn.ErrBroken},
		"incomplete header": {"HTTP/1.1 200 OK\r\nContent-Le", "", httpconn.ErrBroken},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			addr := serveRaw(t, tc.raw, false)
			var body []byte
			x, err := httpconn.Start(t.Context(), addr, time.Second, get(addr))
			if err == nil {
				body, err = x.ReadAll(100)
			}
			if !errors.Is(err, tc.want) || string(body) != tc.body {
				t.Errorf("got %q, %v; want %q, %v", body, err, tc.body, tc.want)
			}
			if errors.Is(err, httpconn.ErrNotSent) {
				t.Error("got ErrNotSent after the request was sent")
			}
		})
	}
}

func TestContextCancelEndsBlockedRead(t *testing.T) {
	addr := serveRaw(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true)
	ctx, cancel := context.WithCancel(t.Context())
	x, err := httpconn.Start(ctx, addr, time.Second, get(addr))
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	readErr := make(chan error)
	go func() {
		_, err := x.Read(make([]byte, 10))
		readErr <- err
	}()
	cancel()
	if err := <-readErr; !errors.Is(err, httpconn.ErrBroken) || !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want ErrBroken and context.Canceled", err)
	}
}

const benchResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"

// BenchmarkDedicatedConnection measures an exchange over a new connection.
func BenchmarkDedicatedConnection(b *testing.B) {
	addr := serveRaw(b, benchResponse, false)
	for b.Loop() {
		x, err := httpconn.Start(context.Background(), addr, time.Second, get(addr))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := x.ReadAll(100); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPool measures an exchange over hertz's connection pool.
func BenchmarkPool(b *testing.B) {
	addr := serveRaw(b, benchResponse, true)
	pool, err := client.NewClient(client.WithDialer(standard.NewDialer()))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		resp := protocol.AcquireResponse()
		if err := pool.Do(context.Background(), get(addr), resp); err != nil {
			b.Fatal(err)
		}
		protocol.ReleaseResponse(resp)
	}
}
