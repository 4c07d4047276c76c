package objectclient

import (
	"crypto/tls"
	"errors"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

var errClosed = errors.New("client closed")

// trackingDialer wraps dial errors in notSentError and can close all connections
// that it opened.
type trackingDialer struct {
	network.Dialer

	mu     sync.Mutex
	closed bool
	open   map[*trackedConn]struct{}
}

func newTrackingDialer() *trackingDialer {
	return &trackingDialer{Dialer: standard.NewDialer(), open: map[*trackedConn]struct{}{}}
}

// DialConnection implements network.Dialer.
func (d *trackingDialer) DialConnection(n, addr string, timeout time.Duration, c *tls.Config) (network.Conn, error) {
	conn, err := d.Dialer.DialConnection(n, addr, timeout, c)
	if err != nil {
		return nil, notSentError{err}
	}
	tracked := &trackedConn{Conn: conn, dialer: d}
	if !d.add(tracked) {
		_ = conn.Close()
		return nil, notSentError{errClosed}
	}
	return tracked, nil
}

// add registers a connection. It returns false if the dialer is closed.
func (d *trackingDialer) add(conn *trackedConn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.open[conn] = struct{}{}
	return true
}

func (d *trackingDialer) remove(conn *trackedConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.open, conn)
}

// close closes all open connections and makes later dials fail.
func (d *trackingDialer) close() {
	d.mu.Lock()
	d.closed = true
	conns := d.open
	d.open = map[*trackedConn]struct{}{}
	d.mu.Unlock()
	for conn := range conns {
		_ = conn.Conn.Close()
	}
}
