package node

import (
	"net"
	"sync"
)

// limitedListener accepts a limited number of connections at a time. Others wait in the kernel.
type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	close  func() error
}

// limitConns returns a listener that has at most n connections open.
func limitConns(l net.Listener, n int) net.Listener {
	limited := &limitedListener{Listener: l, slots: make(chan struct{}, n), closed: make(chan struct{})}
	limited.close = sync.OnceValue(func() error {
		close(limited.closed)
		return l.Close()
	})
	return limited
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	return l.close()
}

// limitedConn is a connection of a limitedListener.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
