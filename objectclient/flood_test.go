package objectclient

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/conntest"
	"ragwortpond.example/ragwortpond/objectapi"
)

const (
	okHead      = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// floods are responses without end: a prefix and what follows it again and again.
var floods = map[string]struct{ prefix, repeated string }{
	"status line":         {"HTTP/1.1 200 ", "x"},
	"garbage":             {"", "\x00garbage"},
	"header line":         {okHead + "X: ", "x"},
	"header lines":        {okHead, "X: y\r\n"},
	"body without length": {okHead + "\r\n", "x"},
	"body with length":    {okHead + "Content-Length: 8589934592\r\n\r\n", "x"},
	"chunk":               {chunkedHead + "100000000\r\n", "x"},
	"chunks":              {chunkedHead, "4\r\nabcd\r\n"},
	"chunk extension":     {chunkedHead + "5;", "x"},
	"chunk size":          {chunkedHead + "5", " "},
	"trailer":             {chunkedHead + "0\r\n", "X: y\r\n"},
	"refusal":             {"HTTP/1.1 503 Service Unavailable\r\n\r\n", "x"},
	"interim responses":   {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"list":                {okHead + "\r\n" + `{"Objects":[`, `{"Kind":"k"},`},
}

// Bounds on a call: memory is that of the response, of what the connection holds of it, and of
// the copies that grow.
const (
	floodTimeout      = time.Second
	maxAllocatedBytes = 12 * maxBodyBytes
	maxSentBytes      = 1 << 30
)

// TestFloodsEndCalls lets the platform answer with bytes that never end. A call must fail by itself
// within its timeout, close the connection, and not hold what it received.
func TestFloodsEndCalls(t *testing.T) {
	for name, flood := range floods {
		t.Run(name, func(t *testing.T) {
			block := []byte(strings.Repeat(flood.repeated, 16<<10/len(flood.repeated)+1))
			closed := make(chan struct{}, 16)
			addr := conntest.Serve(t, func(c net.Conn) {
				defer func() { closed <- struct{}{} }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := io.WriteString(c, flood.prefix)
				for sent := 0; err == nil && sent < maxSentBytes; sent += len(block) {
					_, err = c.Write(block)
				}
			})
			client := NewClient(ClientConfig{Addr: addr, Timeout: floodTimeout})
			defer client.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := time.Now()
			_, _, err := client.List(t.Context(), "k")
			took := time.Since(start)
			runtime.ReadMemStats(&after)
			t.Logf("%v, %d MB allocated, error %.200v", took, (after.TotalAlloc-before.TotalAlloc)>>20, err)
			if !errors.Is(err, objectapi.ErrUnavailable) {
				t.Errorf("got error %v, want ErrUnavailable", err)
			}
			if got := after.TotalAlloc - before.TotalAlloc; got > maxAllocatedBytes {
				t.Errorf("%d MB allocated, want at most %d", got>>20, maxAllocatedBytes>>20)
			}
			if took > 2*floodTimeout {
				t.Errorf("the call took %v, want at most %v", took, 2*floodTimeout)
			}
			select {
			case <-closed:
			case <-time.After(floodTimeout):
				t.Error("the connection is still open after the call")
			}
		})
	}
}

// TestSlowResponsesEndCalls guards against a timeout that begins anew with each byte.
func TestSlowResponsesEndCalls(t *testing.T) {
	for name, prefix := range map[string]string{"head": okHead + "X: ", "body": okHead + "\r\n", "body with length": okHead + "Content-Length: 100000\r\n\r\n", "chunk size": chunkedHead} {
		t.Run(name, func(t *testing.T) {
			addr := conntest.Serve(t, func(c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := io.WriteString(c, prefix)
				for end := time.Now().Add(10 * floodTimeout); err == nil && time.Now().Before(end); time.Sleep(floodTimeout / 20) {
					_, err = c.Write([]byte(" "))
				}
			})
			client := NewClient(ClientConfig{Addr: addr, Timeout: floodTimeout})
			defer client.Close()
			start := time.Now()
			_, _, err := client.List(t.Context(), "k")
			if took := time.Since(start); err == nil || took > 2*floodTimeout {
				t.Errorf("got error %v after %v, want one within %v", err, took, 2*floodTimeout)
			}
		})
	}
}
