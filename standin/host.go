// Package standin provides small in-memory stand-ins for the systems that a
// router connects to: the platform, model engines, plain services and the weight
// store. Each runs in the caller's process on its own listener and can inject the
// faults of the real system; faults can be changed while it runs. The stand-ins
// are for tests, measurements and the demo, never for production.
package standin

import (
	"net"
	"sync"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

const maxRequestBodyBytes = 80 << 20

// host is an HTTP server whose connections can all be reset at once.
type host struct {
	listener *abortableListener
	stopped  chan struct{}
}

// startHost listens on addr and serves the routes that register adds.
func startHost(addr string, register func(*server.Hertz)) (*host, error) {
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	listener := &abortableListener{Listener: inner, conns: map[*abortableConn]struct{}{}}
	h := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(maxRequestBodyBytes),
	)
	register(h)
	s := &host{listener: listener, stopped: make(chan struct{})}
	go func() {
		defer close(s.stopped)
		_ = h.Run()
	}()
	return s, nil
}

func (s *host) addr() string {
	return s.listener.Addr().String()
}

// kill closes the listener, resets every connection and waits for the handlers.
func (s *host) kill() {
	s.listener.abortAll()
	<-s.stopped
	s.listener.open.Wait()
}

// abortableListener is a listener that tracks its open connections.
type abortableListener struct {
	net.Listener
	mu     sync.Mutex
	closed bool
	conns  map[*abortableConn]struct{}
	open   sync.WaitGroup
}

// Accept implements net.Listener.
func (l *abortableListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &abortableConn{Conn: inner, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = inner.Close()
		return nil, net.ErrClosed
	}
	l.conns[c] = struct{}{}
	l.open.Add(1)
	return c, nil
}

// abortAll closes the listener and resets its connections.
func (l *abortableListener) abortAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.Listener.Close()
	for c := range l.conns {
		resetConn(c.Conn)
	}
}

// resetConn closes a connection with a reset, as a crash of the process would.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// abortableConn removes itself from its listener when the server closes it.
type abortableConn struct {
	net.Conn
	listener *abortableListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *abortableConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
		c.listener.open.Done()
	})
	return err
}
