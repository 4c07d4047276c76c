package standin

import (
	"net"
	"sync"
)

// connSet keeps a listener's connections, so that they can be broken at once.
type connSet struct {
	mu     sync.Mutex
	closed bool
	open   map[*heldConn]struct{}
}

func newConnSet() *connSet {
	return &connSet{open: map[*heldConn]struct{}{}}
}

// listener returns l with its accepted connections kept in the set.
func (s *connSet) listener(l net.Listener) net.Listener {
	return &heldListener{Listener: l, set: s}
}

func (s *connSet) closeAll() {
	s.mu.Lock()
	s.closed = true
	conns := s.open
	s.open = map[*heldConn]struct{}{}
	s.mu.Unlock()
	for conn := range conns {
		_ = conn.Conn.Close()
	}
}

type heldListener struct {
	net.Listener
	set *connSet
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	held := &heldConn{Conn: conn, set: l.set}
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	if l.set.closed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	l.set.open[held] = struct{}{}
	return held, nil
}

type heldConn struct {
	net.Conn
	set *connSet
}

// Close implements net.Conn.
func (c *heldConn) Close() error {
	c.set.mu.Lock()
	delete(c.set.open, c)
	c.set.mu.Unlock()
	return c.Conn.Close()
}
