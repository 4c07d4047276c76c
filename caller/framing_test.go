package caller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/router/entry"
	"ragwortpond.example/ragwortpond/router/wire"
	"ragwortpond.example/ragwortpond/settings"
)

// countingHandler counts the requests that it is given.
type countingHandler struct {
	served atomic.Int64
}

func (h *countingHandler) Do(context.Context, *entry.Request, wire.Sink) entry.Result {
	h.served.Add(1)
	return entry.Result{}
}

// startServer starts a server for callers and returns its address.
func startServer(t *testing.T, h RequestHandler) string {
	t.Helper()
	server, err := Listen(Config{
		Addr: "127.0.0.1:0", Server: h, Snapshot: func() *settings.Snapshot { return nil }, Ready: func() bool { return true },
		Self: fleet.Router{ID: "r"}, Metrics: metrics.NewSet(), Log: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Run() }()
	t.Cleanup(func() { _ = server.Close(context.Background()) })
	return server.Addr()
}

// TestAmbiguousFramingIsRejected sends requests whose end two servers may see at
// different places, with another request hidden in their bodies. Each must be answered
// with 400, nothing may run, and the connection must be closed.
func TestAmbiguousFramingIsRejected(t *testing.T) {
	hidden := "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
	post := "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
	for name, text := range map[string]string{
		"two lengths":       post + "Content-Length: 5\r\nContent-Length: " + strconv.Itoa(5+len(hidden)) + "\r\n\r\nabcde" + hidden,
		"same length twice": post + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nabcde" + hidden,
		"length and chunks": post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"chunks and length": post + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + hidden,
		"two encodings":     post + "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"unknown encoding":  post + "Transfer-Encoding: xchunked\r\n\r\n" + hidden,
		"folded field":      post + "X: 1\r\n Content-Length: 36\r\n\r\n" + hidden,
		"bare line feed":    post + "X: 1\nContent-Length: " + strconv.Itoa(len(hidden)) + "\r\n\r\n" + hidden,
	} {
		t.Run(name, func(t *testing.T) {
			handler := &countingHandler{}
			c, err := net.Dial("tcp4", startServer(t, handler))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			if _, err := io.WriteString(c, text); err != nil {
				t.Fatal(err)
			}
			r := bufio.NewReader(c)
			response, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, _ := io.ReadAll(response.Body)
			if response.StatusCode != http.StatusBadRequest || !response.Close {
				t.Errorf("got status %d, close %v, body %.80q, want 400 and a closed connection", response.StatusCode, response.Close, body)
			}
			rest, err := io.ReadAll(r)
			if strings.Contains(string(rest), "HTTP/1.1") {
				t.Errorf("got a second response: %.80q", rest)
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection was not closed")
			}
			if handler.served.Load() > 0 {
				t.Error("a request was run")
			}
		})
	}
}

func TestCheckFramingAcceptsUsualHeads(t *testing.T) {
	for _, head := range []string{
		"", "Host: h\r\n\r\n", "Host: h\r\nContent-Length: 5\r\n\r\n", "Transfer-Encoding: Chunked\r\nHost: h\r\n\r\n",
	} {
		if err := checkFraming([]byte(head)); err != nil {
			t.Errorf("%q: got error %v, want none", head, err)
		}
	}
}
