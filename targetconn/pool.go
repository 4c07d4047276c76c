// Package targetconn performs HTTP/1.1 exchanges with targets over keep-alive
// connections. Unlike a general-purpose client, it reports whether any byte of a
// request was sent, matches each response to its request, and never sends a
// request twice.
package targetconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/netconn"
	"ragwortpond.example/ragwortpond/sleep"
)

// Errors of an exchange. Callers test them with errors.Is.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("targetconn: request not sent")
	// ErrBroken means that the connection failed, or the context ended, after
	// the client began to send the request.
	ErrBroken = errors.New("targetconn: connection broken")
	// ErrMismatch means that the target responded to another request.
	ErrMismatch = errors.New("targetconn: response to another request")
)

// errHeadTooLarge means that the head of a response exceeds maxHeadBytes.
var errHeadTooLarge = errors.New("targetconn: response head too large")

const (
	// dialTimeout bounds the setup of a connection. A round trip between failure
	// domains takes a few milliseconds, and the kernel retransmits a lost SYN
	// only after a second.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the target
	// does not announce its idle timeout. Common servers use 5 s.
	defaultIdleTimeout = 2 * time.Second
	// idleTimeoutShare is the share of the idle timeout announced by the target
	// for which the connection is kept.
	idleTimeoutShare = 0.7
	// maxFreshAge is how long after its last use a connection may carry a request
	// that may run at most once. If the target closes the connection during such
	// a request, the request is lost.
	maxFreshAge = 300 * time.Millisecond
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 32
	// maxHeadBytes bounds the heads read for one response, interim ones included. Body
	// bytes that arrive with the last read of a head count too.
	maxHeadBytes = 64 << 10
	// maxSkippedBytes bounds the body of a response to another request that is skipped
	// to find the response to this one.
	maxSkippedBytes = 1 << 20
	// readBufferBytes is large enough for a response header and a few events.
	readBufferBytes = 2 << 10
)

// Pool keeps idle connections to all targets for reuse. It is safe for
// concurrent use.
type Pool struct {
	mu      sync.Mutex
	idle    map[fleet.TargetID][]*conn
	connect ConnectFunc
	// opened is called for each new connection.
	opened func()
	// open counts the connections that are not closed.
	open atomic.Int64
	// losses holds, for targets to which a connection was lost, until when the last one of these
	// had its process; mu guards it.
	losses map[fleet.TargetID]time.Time
	// conns holds the connections to each target that are not closed, idle or in use; mu guards it.
	conns map[fleet.TargetID]map[*conn]struct{}
}

// conn is a connection to a target. It carries one exchange at a time.
type conn struct {
	net.Conn
	pool   *Pool
	closed atomic.Bool
	target fleet.TargetID
	addr   string
	reader *bufio.Reader
	// openedAt is when it was opened, lastRead when bytes were last received. identified is set
	// once its process was found to be the expected one.
	openedAt, lastRead time.Time
	identified         bool
	// lastUsed is the end of the last exchange. After idleUntil the connection is
	// no longer reused, since the target may close it.
	lastUsed, idleUntil time.Time
	reused              bool
	// headLeft is how many bytes may still be read for the head of a response, or
	// unlimited.
	headLeft int
}

// unlimited is the value of conn.headLeft while no head is read.
const unlimited = -1

// Read implements net.Conn. It fails with errHeadTooLarge once the head that is being
// read exceeds its limit.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, errHeadTooLarge
	}
	if c.headLeft != unlimited {
		p = p[:min(len(p), c.headLeft)]
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead = time.Now()
	}
	if c.headLeft != unlimited {
		c.headLeft -= n
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.closed.Swap(true) {
		c.pool.open.Add(-1)
		c.pool.remove(c)
	}
	return c.Conn.Close()
}

// ConnectFunc opens a connection to addr, host:port. ctx bounds the setup only.
type ConnectFunc func(ctx context.Context, addr string) (net.Conn, error)

// NewPool returns an empty pool. connect opens its connections; nil means netconn.Dial.
// opened is called for each new connection and may be nil.
func NewPool(connect ConnectFunc, opened func()) *Pool {
	if connect == nil {
		connect = netconn.Dial
	}
	if opened == nil {
		opened = func() {}
	}
	return &Pool{idle: map[fleet.TargetID][]*conn{}, connect: connect, opened: opened, losses: map[fleet.TargetID]time.Time{}, conns: map[fleet.TargetID]map[*conn]struct{}{}}
}

// get returns an idle connection to the target or opens one. If fresh is set,
// the connection is new or was used within maxFreshAge.
func (p *Pool) get(ctx context.Context, id fleet.TargetID, addr string, fresh bool) (*conn, error) {
	for {
		c := p.takeIdle(id)
		if c == nil {
			break
		}
		now := time.Now()
		expired := now.After(c.idleUntil) || c.addr != addr || (fresh && now.Sub(c.lastUsed) > maxFreshAge)
		if !expired && netconn.Reusable(c.Conn) {
			c.reused = true
			return c, nil
		}
		if !expired {
			p.recordLoss(id, c.lastRead)
		}
		_ = c.Close()
	}
	return p.dial(ctx, id, addr)
}

// dialNew is get without idle connections.
func (p *Pool) dialNew(ctx context.Context, id fleet.TargetID, addr string, _ bool) (*conn, error) {
	return p.dial(ctx, id, addr)
}

func (p *Pool) dial(ctx context.Context, id fleet.TargetID, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.connect(ctx, addr)
	if err != nil {
		p.recordDialLoss(id, err)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	p.opened()
	p.open.Add(1)
	// Until it is established, a connection may reach a later process.
	openedAt := time.Now()
	c := &conn{Conn: raw, pool: p, target: id, addr: addr, headLeft: unlimited, openedAt: openedAt, lastRead: openedAt}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	p.add(c)
	return c, nil
}

// add records a connection that is open.
func (p *Pool) add(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[c.target] == nil {
		p.conns[c.target] = map[*conn]struct{}{}
	}
	p.conns[c.target][c] = struct{}{}
}

// remove records that a connection is closed.
func (p *Pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns[c.target], c)
	if len(p.conns[c.target]) == 0 {
		delete(p.conns, c.target)
	}
}

// Probe checks whether a target is reachable by opening a connection to it,
// which is kept for the next request. The error wraps ErrNotSent.
func (p *Pool) Probe(ctx context.Context, id fleet.TargetID, addr string) error {
	c, err := p.dial(ctx, id, addr)
	if err != nil {
		return err
	}
	p.put(c, defaultIdleTimeout)
	return nil
}

// ErrNotServed means that a connection was accepted and closed without being served.
var ErrNotServed = errors.New("targetconn: connection closed at once")

// ProbeOpen is like Probe and checks as well that the connection is still open after wait.
func (p *Pool) ProbeOpen(ctx context.Context, id fleet.TargetID, addr string, wait time.Duration) error {
	c, err := p.dial(ctx, id, addr)
	if err != nil {
		return err
	}
	// The error is ignored: a connection that is still open after a shorter time may be kept.
	_ = sleep.For(ctx, wait)
	if !netconn.Reusable(c.Conn) {
		_ = c.Close()
		return ErrNotServed
	}
	p.put(c, defaultIdleTimeout)
	return nil
}

// takeIdle removes and returns the most recently used idle connection to a
// target, or nil if there is none.
func (p *Pool) takeIdle(id fleet.TargetID) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[id] = list[:len(list)-1]
	return c
}

// put keeps a connection whose exchange is complete for up to idleTimeout. It
// closes the connection if idleTimeout is not positive or unread bytes are left,
// and the least recently used one if the target has too many.
func (p *Pool) put(c *conn, idleTimeout time.Duration) {
	if idleTimeout <= 0 || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.lastUsed = time.Now()
	c.idleUntil = c.lastUsed.Add(idleTimeout)
	p.mu.Lock()
	list := p.idle[c.target]
	var oldest *conn
	if len(list) >= maxIdlePerTarget {
		oldest = list[0]
		list = append(list[:0], list[1:]...)
	}
	p.idle[c.target] = append(list, c)
	p.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
}

// CloseIdle closes the idle connections to a target that was removed or has failed.
func (p *Pool) CloseIdle(id fleet.TargetID) {
	p.mu.Lock()
	list := p.idle[id]
	delete(p.idle, id)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// CloseExpired closes the connections whose idle timeout has passed and removes targets
// that have no idle connections left. It must be called every few seconds.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	p.forgetOldLosses(now)
	for id, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.idleUntil) {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, id)
			continue
		}
		p.idle[id] = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// OpenConns returns the number of connections that are not closed, idle or in use.
func (p *Pool) OpenConns() int {
	return int(p.open.Load())
}

// IdleConns returns the number of idle connections to all targets.
func (p *Pool) IdleConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}
