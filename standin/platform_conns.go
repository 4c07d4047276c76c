package standin

import (
	"net"
	"sync"
)

// connSet tracks the connections of a listener, so that they can all be closed at
// once.
type connSet struct {
	mu     sync.Mutex
	closed bool
	open   map[*trackedConn]struct{}
}

func newConnSet() *connSet {
	return &connSet{open: map[*trackedConn]struct{}{}}
}

// listener returns a listener that adds the connections accepted by l to the set.
func (s *connSet) listener(l net.Listener) net.Listener {
	return &trackedListener{Listener: l, set: s}
}

func (s *connSet) closeAll() {
	s.mu.Lock()
	s.closed = true
	conns := s.open
	s.open = map[*trackedConn]struct{}{}
	s.mu.Unlock()
	for conn := range conns {
		_ = conn.Conn.Close()
	}
}

type trackedListener struct {
	net.Listener
	set *connSet
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, set: l.set}
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	if l.set.closed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	l.set.open[tracked] = struct{}{}
	return tracked, nil
}

type trackedConn struct {
	net.Conn
	set *connSet
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.set.mu.Lock()
	delete(c.set.open, c)
	c.set.mu.Unlock()
	return c.Conn.Close()
}
