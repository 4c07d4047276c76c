// Package connlimit bounds what clients make a listener hold: its connections, and the bytes of the heads that they send. Over a bound,
// it closes connections that have not sent a whole head, the longest at it first, and then idle ones, so that clients that send requests are
// served.
package connlimit

import (
	"net"
	"sync"
	"time"
)

// Limits are the bounds of one listener. Zero means that there is none.
type Limits struct {
	// Conns is the maximum number of connections.
	Conns int
	// HeadBytes is the maximum size of the heads of all connections together: of those that are being read, and of those
	// whose requests are in progress.
	HeadBytes int64
	// Serving is how long a request may be in progress before its connection may be closed for a new one, such as one whose client does
	// not read the response. Zero means that no request in progress is ended.
	Serving time.Duration
}

// Cause says why a connection was closed. It is a value of the log and of a metric.
type Cause string

// Causes.
const (
	// TooManyConns means that the listener had more connections than it may.
	TooManyConns Cause = "connections"
	// TooManyHeadBytes means that the heads took more than they may.
	TooManyHeadBytes Cause = "head-bytes"
)

// Listener bounds the connections that another listener accepts. It is safe for concurrent use.
type Listener struct {
	net.Listener
	limits Limits
	// closed is called for each connection that is closed for a bound.
	closed func(Cause)

	// ended is closed by Close.
	ended   chan struct{}
	endOnce sync.Once

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// headBytes is the sum of the connections' headBytes.
	headBytes int64
	// wanted is set from when a new connection waits until there is room for some.
	wanted bool
}

// Limit returns a listener that accepts what l does. closed is called for each connection that is closed for a bound, from any goroutine;
// it may be nil.
func Limit(l net.Listener, limits Limits, closed func(Cause)) *Listener {
	if closed == nil {
		closed = func(Cause) {}
	}
	return &Listener{Listener: l, limits: limits, closed: closed, ended: make(chan struct{}), conns: map[*Conn]struct{}{}}
}

// headGrace is how long a connection is kept to send the head of its request, or to be reused, before it may be closed for a new one.
const headGrace = 250 * time.Millisecond

// fullPollInterval is the interval at which a full listener looks for a connection that it may close.
const fullPollInterval = 5 * time.Millisecond

// Accept implements net.Listener. The connections that it returns are of type *Conn. At the limit, new connections wait in the kernel until
// another one is closed or has had its time.
func (l *Listener) Accept() (net.Conn, error) {
	if err := l.makeRoom(); err != nil {
		return nil, err
	}
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c := &Conn{Conn: raw, listener: l, openedAt: now, state: state{phase: readingHead, since: now}}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// makeRoom waits until the listener has fewer connections than it may. It returns net.ErrClosed once the listener is closed.
func (l *Listener) makeRoom() error {
	for !l.hasRoom() {
		select {
		case <-l.ended:
			return net.ErrClosed
		case <-time.After(fullPollInterval):
		}
	}
	return nil
}

// roomShare is the divisor of the maximum number of connections for the room that a full listener makes at once of those whose requests are
// done, so that its queue moves on while requests take the processor.
const roomShare = 16

// wantsRoom reports whether a connection whose request is done has to be closed; mu must be held.
func (l *Listener) wantsRoom() bool {
	if l.wanted && len(l.conns) <= l.limits.Conns-max(l.limits.Conns/roomShare, 1) {
		l.wanted = false
	}
	return l.wanted
}

// hasRoom reports whether the listener has fewer connections than it may, after one was closed if that is possible. It looks for room before a
// new connection is there, so that one of the others may be closed for none.
func (l *Listener) hasRoom() bool {
	l.mu.Lock()
	if l.limits.Conns <= 0 || len(l.conns) < l.limits.Conns {
		l.mu.Unlock()
		return true
	}
	now := time.Now()
	over := l.remove(longestWaiting(l.states(), now.Add(-headGrace)))
	if over == nil && l.limits.Serving > 0 {
		over = l.remove(longestServing(l.states(), now.Add(-l.limits.Serving)))
	}
	l.wanted = over == nil
	l.mu.Unlock()
	l.drop(over, TooManyConns)
	return over != nil
}

// Close implements net.Listener. Connections stay open.
func (l *Listener) Close() error {
	l.endOnce.Do(func() { close(l.ended) })
	return l.Listener.Close()
}

// Conns returns the number of connections that are open.
func (l *Listener) Conns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// states calls yield for each connection until it returns false; mu must be held.
func (l *Listener) states() func(yield func(*Conn, *state) bool) {
	return func(yield func(*Conn, *state) bool) {
		for c := range l.conns {
			if !yield(c, &c.state) {
				return
			}
		}
	}
}

// remove forgets a connection, which may be nil, and returns it; mu must be held.
func (l *Listener) remove(c *Conn) *Conn {
	if c == nil {
		return nil
	}
	if _, ok := l.conns[c]; ok {
		delete(l.conns, c)
		l.headBytes -= c.state.headBytes
		c.state.headBytes = 0
	}
	return c
}

// drop closes a connection, which may be nil, for a bound.
func (l *Listener) drop(c *Conn, cause Cause) {
	if c == nil {
		return
	}
	_ = c.Conn.Close()
	l.closed(cause)
}

// Conn is a connection of a Listener. The server tells it when a head is read and when a request is done.
type Conn struct {
	net.Conn
	listener *Listener
	openedAt time.Time
	// state is guarded by the listener's mu.
	state state
	// done is set once the request is done; the next Read waits for another one.
	done bool
}

// Read implements net.Conn. It counts the bytes of heads. What arrives on a connection that was closed for a bound is dropped, so that no
// request runs whose client sees a close.
func (c *Conn) Read(p []byte) (int, error) {
	c.beginWait()
	n, err := c.Conn.Read(p)
	if n > 0 && !c.addHeadBytes(n) {
		return 0, net.ErrClosed
	}
	return n, err
}

// beginWait records that the connection is idle if its request is done. The server may not have sent the whole response yet.
func (c *Conn) beginWait() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.done {
		c.done = false
		c.setIdle()
	}
}

// setIdle records that the connection waits for a request; the listener's mu must be held.
func (c *Conn) setIdle() {
	c.listener.headBytes -= c.state.headBytes
	c.state = state{phase: idle, since: time.Now()}
}

// addHeadBytes counts bytes of a head, and closes a connection if the heads take too much. It reports whether this connection was still open
// before.
func (c *Conn) addHeadBytes(n int) bool {
	l := c.listener
	l.mu.Lock()
	if _, open := l.conns[c]; !open || c.state.phase == serving {
		l.mu.Unlock()
		return open
	}
	if c.state.phase == idle {
		c.state.phase, c.state.since = readingHead, time.Now()
	}
	c.state.headBytes += int64(n)
	l.headBytes += int64(n)
	var over *Conn
	if l.limits.HeadBytes > 0 && l.headBytes > l.limits.HeadBytes {
		over = l.remove(largestHead(l.states()))
	}
	l.mu.Unlock()
	l.drop(over, TooManyHeadBytes)
	return true
}

// HeadRead records that the head of a request was read. Bytes that follow are not of a head.
func (c *Conn) HeadRead() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.state.phase, c.state.since, c.done = serving, time.Now(), false
}

// Idle records that the connection waits for a request. It closes the connection if it has had its time and a new one waits for room.
func (c *Conn) Idle() {
	l := c.listener
	l.mu.Lock()
	c.setIdle()
	var over *Conn
	if c.state.since.Sub(c.openedAt) >= headGrace && l.wantsRoom() {
		over = l.remove(c)
	}
	l.mu.Unlock()
	l.drop(over, TooManyConns)
}

// Done records that the request is done but for the end of its response. The connection is idle from its next Read on.
func (c *Conn) Done() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.done = true
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	l := c.listener
	l.mu.Lock()
	l.remove(c)
	l.mu.Unlock()
	return c.Conn.Close()
}

// addr is the remote address of a connection, by which a server finds the connection.
type addr struct {
	net.Addr
	conn *Conn
}

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr {
	return addr{c.Conn.RemoteAddr(), c}
}

// Of returns the connection that has a remote address, or nil if that is not of a Listener's connection.
func Of(remote net.Addr) *Conn {
	if a, ok := remote.(addr); ok {
		return a.conn
	}
	return nil
}

// SetLinger is that of net.TCPConn.
func (c *Conn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}
