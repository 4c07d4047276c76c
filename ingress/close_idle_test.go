package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/catalog"
)

// startTestServer serves h and returns the server and its address.
func startTestServer(t *testing.T, h http.HandlerFunc) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(h, func() catalog.Limits { return catalog.Limits{HeaderTimeout: 10 * time.Second, IdleTimeout: time.Hour} }, zerolog.Nop())
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return s, l.Addr().String()
}

// testClient is a client with one connection.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func dialTestServer(t *testing.T, addr string) *testClient {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &testClient{c, bufio.NewReader(c)}
}

// get sends a request and reads its response.
func (c *testClient) get(path string) (*http.Response, error) {
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// wantClosed checks that the server closes the connection of a client that sends nothing.
func (c *testClient) wantClosed(t *testing.T) {
	t.Helper()
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got error %v, want the connection closed", err)
	}
}

// TestCloseIdleClosesKeptConnections guards against clients that continue to send requests to a router that the platform
// has taken out of rotation.
func TestCloseIdleClosesKeptConnections(t *testing.T) {
	began, end := make(chan struct{}), make(chan struct{})
	s, addr := startTestServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(began)
			<-end
		}
	})
	kept, fresh, active := dialTestServer(t, addr), dialTestServer(t, addr), dialTestServer(t, addr)
	if _, err := kept.get("/a"); err != nil {
		t.Fatal(err)
	}
	slow := make(chan error, 1)
	go func() {
		_, err := active.get("/slow")
		slow <- err
	}()
	<-began
	s.CloseIdle()
	kept.wantClosed(t)
	if _, err := fresh.get("/a"); err != nil {
		t.Errorf("a connection without a request so far: got error %v, want an answer", err)
	}
	fresh.wantClosed(t)
	close(end)
	if err := <-slow; err != nil {
		t.Errorf("a request in progress: got error %v, want an answer", err)
	}
	active.wantClosed(t)
}

// TestCloseIdleDropsNoRequestThatIsServed guards against requests that are read, and served, and whose connection is closed
// without an answer because it was idle a moment before.
func TestCloseIdleDropsNoRequestThatIsServed(t *testing.T) {
	const clients, step = 300, 20 * time.Microsecond
	var mu sync.Mutex
	served := map[string]bool{}
	s, addr := startTestServer(t, func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		served[r.URL.Path] = true
	})
	var group sync.WaitGroup
	unanswered := make(chan string, clients)
	closeIdle := sync.OnceFunc(func() { s.CloseIdle() })
	for i := range clients {
		c := dialTestServer(t, addr)
		group.Go(func() {
			if _, err := c.get(fmt.Sprintf("/first/%d", i)); err != nil {
				t.Errorf("got error %v, want an answer", err)
				return
			}
			closeIdle()
			// The second requests arrive from shortly before the connections are closed to shortly after it.
			time.Sleep(idleCloseDelay + time.Duration(i-clients/2)*step)
			path := fmt.Sprintf("/second/%d", i)
			if _, err := c.get(path); err != nil {
				unanswered <- path
			}
		})
	}
	group.Wait()
	close(unanswered)
	for path := range unanswered {
		if served[path] {
			t.Errorf("the request %s was served, and its client got no answer", path)
		}
	}
}
