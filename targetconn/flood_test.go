package targetconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/conntest"
)

// floods are responses without end: a prefix and what follows it again and again.
var floods = map[string]struct{ prefix, repeated string }{
	"status line":         {"HTTP/1.1 200 ", "x"},
	"no response":         {"", "\x00garbage"},
	"header line":         {"HTTP/1.1 200 OK\r\nX: ", "x"},
	"header lines":        {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
	"interim responses":   {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
	"chunk extension":     {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x"},
	"chunk extensions":    {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 100) + "\r\ny\r\n"},
	"trailer":             {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	"body of another":     {"HTTP/1.1 200 OK\r\nId: b\r\n\r\n", "x"},
	"chunks of another":   {"HTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\ny\r\n"},
	"responses to others": {"", "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1\r\n\r\ny"},
}

// serveFlood answers each request with a flood that ends when the peer closes.
func serveFlood(t *testing.T, prefix, repeated string) string {
	t.Helper()
	block := strings.Repeat(repeated, 16<<10/len(repeated)+1)
	return serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			conntest.Flood(c, prefix, block)
		}
	})
}

// maxFloodHeapBytes is how far the heap may grow while a target floods a connection.
const maxFloodHeapBytes = 2 << 20

// watchHeap returns a function that returns the largest heap seen until it is called,
// above that at the start.
func watchHeap() func() uint64 {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	runtime.GC()
	before, largest := heap(), uint64(0)
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			largest = max(largest, heap())
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return func() uint64 {
		close(done)
		<-stopped
		return max(largest, before) - before
	}
}

// TestFloodsEndExchange lets targets answer with bytes that never end. The exchange
// must fail by itself, before its deadline, without holding what it received.
func TestFloodsEndExchange(t *testing.T) {
	for name, flood := range floods {
		t.Run(name, func(t *testing.T) {
			addr := serveFlood(t, flood.prefix, flood.repeated)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			p := NewPool(nil, nil)
			growth := watchHeap()
			_, err := do(ctx, p, newRequest(addr, "a", nil))
			if grown := growth(); grown > maxFloodHeapBytes {
				t.Errorf("the heap grew by %d KB, want at most %d", grown>>10, maxFloodHeapBytes>>10)
			}
			if (!errors.Is(err, ErrBroken) && !errors.Is(err, ErrMismatch)) || ctx.Err() != nil {
				t.Errorf("got error %v, want ErrBroken or ErrMismatch before the deadline", err)
			}
			if p.OpenConns() != 0 {
				t.Errorf("got %d open connections, want none", p.OpenConns())
			}
		})
	}
}
