// Package targetconn does HTTP/1.1 exchanges with targets over kept
// connections. Three things are exact that a general client blurs: whether any
// byte of a request left, which request an answer belongs to, and that nothing
// is ever sent twice.
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
)

// Errors of an exchange. Callers test them with errors.Is.
var (
	// ErrNotSent means that no byte of the request left.
	ErrNotSent = errors.New("targetconn: not sent")
	// ErrBroken means that the connection broke, or the context ended, after the
	// request began to leave.
	ErrBroken = errors.New("targetconn: connection broken")
	// ErrForeign means that the target answered for another request.
	ErrForeign = errors.New("targetconn: answer of another request")
)

const (
	// dialTimeout bounds the setup of a connection; a round trip between failure
	// domains takes a few milliseconds, and a lost opening packet is sent again
	// only after a second.
	dialTimeout = 400 * time.Millisecond
	// defaultKeep is how long an idle connection is kept where the target does
	// not say; common servers keep theirs for 5 s.
	defaultKeep = 2 * time.Second
	// keepShare is the part of the target's own idle timeout that is used.
	keepShare = 0.7
	// freshFor is how long after its last use a connection may carry a request
	// that runs once at most: a connection that closes under such a request
	// loses it.
	freshFor = 300 * time.Millisecond
	// maxIdle bounds the idle connections to one target.
	maxIdle = 32
	// readBuffer holds an answer's head and a few events.
	readBuffer = 2 << 10
)

// Pool keeps the connections to all targets. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[fleet.TargetID][]*conn
	// opened counts the connections made, open those that are not closed.
	opened func()
	open   atomic.Int64
}

// conn is one connection; it serves one exchange at a time.
type conn struct {
	net.Conn
	pool   *Pool
	closed atomic.Bool
	target fleet.TargetID
	addr   string
	reader *bufio.Reader
	// used is the end of the last exchange, goodUntil the time until which the
	// target keeps the connection.
	used, goodUntil time.Time
	reused          bool
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.closed.Swap(true) {
		c.pool.open.Add(-1)
	}
	return c.Conn.Close()
}

// NewPool returns an empty pool; opened is called for each new connection and
// may be nil.
func NewPool(opened func()) *Pool {
	if opened == nil {
		opened = func() {}
	}
	return &Pool{idle: map[fleet.TargetID][]*conn{}, opened: opened}
}

// get returns a kept connection or makes one. fresh asks for one that was used
// a moment ago or is new.
func (p *Pool) get(ctx context.Context, id fleet.TargetID, addr string, fresh bool) (*conn, error) {
	for {
		c := p.take(id)
		if c == nil {
			break
		}
		now := time.Now()
		old := now.After(c.goodUntil) || c.addr != addr || (fresh && now.Sub(c.used) > freshFor)
		if old || !netconn.Quiet(c.Conn) {
			_ = c.Close()
			continue
		}
		c.reused = true
		return c, nil
	}
	return p.dial(ctx, id, addr)
}

func (p *Pool) dial(ctx context.Context, id fleet.TargetID, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := netconn.Dial(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	p.opened()
	p.open.Add(1)
	return &conn{Conn: raw, pool: p, target: id, addr: addr, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// Reach tries whether a target can be reached; the connection is kept for the
// next request.
func (p *Pool) Reach(ctx context.Context, id fleet.TargetID, addr string) error {
	c, err := p.dial(ctx, id, addr)
	if err != nil {
		return err
	}
	p.put(c, defaultKeep)
	return nil
}

func (p *Pool) take(id fleet.TargetID) *conn {
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

// put keeps a connection whose exchange is complete.
func (p *Pool) put(c *conn, keep time.Duration) {
	if keep <= 0 || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.used = time.Now()
	c.goodUntil = c.used.Add(keep)
	p.mu.Lock()
	list := p.idle[c.target]
	var extra *conn
	if len(list) >= maxIdle {
		extra = list[0]
		list = append(list[:0], list[1:]...)
	}
	p.idle[c.target] = append(list, c)
	p.mu.Unlock()
	if extra != nil {
		_ = extra.Close()
	}
}

// Forget closes the idle connections to a target that is gone or has failed.
func (p *Pool) Forget(id fleet.TargetID) {
	p.mu.Lock()
	list := p.idle[id]
	delete(p.idle, id)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Sweep closes the connections that were idle for too long and forgets targets
// without any. It is to be called every few seconds.
func (p *Pool) Sweep(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for id, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.goodUntil) {
				old = append(old, c)
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
	for _, c := range old {
		_ = c.Close()
	}
}

// Open is the number of connections that are not closed.
func (p *Pool) Open() int {
	return int(p.open.Load())
}

// Idle is the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}
