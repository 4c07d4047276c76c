package engine_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/conntest"
	"ragwortpond.example/ragwortpond/engine"
)

// TestFloodsEndResponses lets engines answer with bytes that never end. A response must fail by
// itself, before the deadline of its call, without holding what it received.
func TestFloodsEndResponses(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nRagwort-Attempt: a\r\n"
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
		stream  = head + "Content-Type: text/event-stream\r\n" + chunked
		body    = head + "Content-Type: application/json\r\n"
	)
	for name, flood := range map[string]struct{ prefix, repeated string }{
		"status line":         {"HTTP/1.1 200 ", "x"},
		"header lines":        {head, "X: y\r\n"},
		"body with length":    {body + "Content-Length: 8589934592\r\n\r\n", "x"},
		"body without length": {body + "\r\n", "x"},
		"body in a chunk":     {body + chunked + "100000000\r\n", "x"},
		"body in chunks":      {body + chunked, "40\r\n" + strings.Repeat("x", 64) + "\r\n"},
		"line of an event":    {stream, chunk("data: " + strings.Repeat("x", 1024))},
		"lines of an event":   {stream, chunk("data: " + strings.Repeat("x", 1024) + "\n")},
		"short lines":         {stream, chunk(strings.Repeat("data:x\n", 200))},
		"names of an event":   {stream, chunk("event: " + strings.Repeat("x", 1024) + "\n")},
		"comments":            {stream, chunk(strings.Repeat(":\n", 500))},
		"chunk of a stream":   {stream + "100000000\r\n", "x"},
		"chunk extension":     {stream + "5;", "x"},
		"trailer":             {stream + "0\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			block := strings.Repeat(flood.repeated, 16<<10/len(flood.repeated)+1)
			addr := conntest.Serve(t, func(c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				const maxSentBytes = 512 << 20
				_, err := io.WriteString(c, flood.prefix)
				for sent := 0; err == nil && sent < maxSentBytes; sent += len(block) {
					_, err = io.WriteString(c, block)
				}
				// The peer closes.
				_, _ = c.Read(make([]byte, 1))
			})
			// Short of it, what is read is held, copied, and held again in larger buffers.
			const maxAllocatedBytes = 16 * engine.DefaultMaxResponseBytes
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			r, err := engine.NewClient(engine.ClientConfig{}).Chat(ctx, addr, engine.Request{Attempt: "a"})
			if err == nil {
				_, err = readToEnd(r)
				_ = r.Close()
			}
			runtime.ReadMemStats(&after)
			allocated := after.TotalAlloc - before.TotalAlloc
			t.Logf("%d MB allocated, error %.120v", allocated>>20, err)
			if err == nil || ctx.Err() != nil {
				t.Errorf("got error %v, want one before the deadline", err)
			}
			if allocated > maxAllocatedBytes {
				t.Errorf("%d MB allocated, want at most %d", allocated>>20, maxAllocatedBytes>>20)
			}
		})
	}
}
