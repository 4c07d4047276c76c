// Package standin has small stand-ins for everything that a router speaks to:
// the platform, model engines, plain services and the weight store. Each runs
// in the caller's process on a listener of its own and has knobs for the
// faults that the real one shows. They are for tests, measurements and the
// demonstration, never for production.
package standin

import (
	"net"
	"sync"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

const hostBodyBytes = 80 << 20

// host is one HTTP server whose connections can all be cut at once.
type host struct {
	listener *cuttable
	stopped  chan struct{}
}

// startHost listens on addr and serves the routes that register adds.
func startHost(addr string, register func(*server.Hertz)) (*host, error) {
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	listener := &cuttable{Listener: inner, conns: map[*cutConn]struct{}{}}
	h := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(hostBodyBytes),
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

// kill closes the listener and every connection, and waits for the handlers.
func (s *host) kill() {
	s.listener.cut()
	<-s.stopped
	s.listener.open.Wait()
}

// cuttable is a listener that knows its open connections.
type cuttable struct {
	net.Listener
	mu    sync.Mutex
	cutUp bool
	conns map[*cutConn]struct{}
	open  sync.WaitGroup
}

// Accept implements net.Listener.
func (l *cuttable) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &cutConn{Conn: inner, owner: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cutUp {
		_ = inner.Close()
		return nil, net.ErrClosed
	}
	l.conns[c] = struct{}{}
	l.open.Add(1)
	return c, nil
}

func (l *cuttable) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutUp = true
	_ = l.Listener.Close()
	for c := range l.conns {
		abort(c.Conn)
	}
}

// abort resets a connection, as the crash of its process would.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// cutConn leaves its listener's list when its server closes it.
type cutConn struct {
	net.Conn
	owner *cuttable
	once  sync.Once
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.owner.mu.Lock()
		delete(c.owner.conns, c)
		c.owner.mu.Unlock()
		c.owner.open.Done()
	})
	return err
}
