package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// serveFlood answers one request with a prefix and then with repeated text that ends
// only when the peer closes the connection.
func serveFlood(t *testing.T, prefix, repeated string) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	block := []byte(strings.Repeat(repeated, 16<<10/len(repeated)))
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err = io.WriteString(c, prefix)
		for err == nil {
			_, err = c.Write(block)
		}
	}()
	return l.Addr().String()
}

// TestEndlessHeadEndsExchange lets targets send heads that never end. The exchange must
// fail by itself, before its deadline, without holding what it received.
func TestEndlessHeadEndsExchange(t *testing.T) {
	const maxHeapBytes = 2 << 20
	for name, flood := range map[string]struct{ prefix, repeated string }{
		"status line": {"HTTP/1.1 200 ", "x"}, "no response": {"", "\x00garbage"},
		"header line": {"HTTP/1.1 200 OK\r\nX: ", "x"}, "header lines": {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			addr := serveFlood(t, flood.prefix, flood.repeated)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			x, err := Start(ctx, addr, time.Second, protocol.NewRequest("GET", "http://"+addr+"/x", nil))
			runtime.ReadMemStats(&after)
			if err == nil {
				x.Close()
			}
			if !errors.Is(err, ErrTooLarge) || !errors.Is(err, ErrBroken) {
				t.Errorf("got error %v, want ErrBroken and ErrTooLarge", err)
			}
			if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > maxHeapBytes {
				t.Errorf("the heap grew by %d KB, want at most %d", grown>>10, maxHeapBytes>>10)
			}
		})
	}
}
