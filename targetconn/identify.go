package targetconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/netconn"
)

// ErrNotIdentified means that the request was not sent, because the process at the other end of its
// connection is, or may be, not the expected one. It wraps ErrNotSent.
var ErrNotIdentified = fmt.Errorf("%w: process not identified", ErrNotSent)

// errIdentityTooLong means that a target tells more than maxIdentityBytes.
var errIdentityTooLong = errors.New("targetconn: response too long")

const (
	// maxIdentityBytes bounds what a target tells of its process.
	maxIdentityBytes = 64 << 10
	// identifyTimeout bounds the question. A target that is alive may pause for a second.
	identifyTimeout = 1500 * time.Millisecond
	// lossMemory is how long after the loss of a connection a target may have another process than
	// its entry tells.
	lossMemory = 10 * time.Minute
)

// Identity tells how to identify the process of a target. A connection belongs to one process, so that
// it is asked once. A connection that was open before another one to the same target was lost has the same process
// as before.
type Identity struct {
	// URI is what the target is asked for, by GET.
	URI string
	// Always is set if every connection is asked, not only those opened after a loss.
	Always bool
	// Check returns an error if the body of the answer is of another process than the expected one.
	Check func(body []byte) error
}

// recordLoss records that a connection to a target was lost which had its process until a time.
func (p *Pool) recordLoss(id fleet.TargetID, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if before, ok := p.losses[id]; !ok || until.After(before) {
		p.losses[id] = until
	}
}

// recordDialLoss records the loss of a target that refused a connection.
func (p *Pool) recordDialLoss(id fleet.TargetID, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		p.recordLoss(id, time.Now())
	}
}

// mustIdentify reports whether the process of a connection has to be identified.
func (p *Pool) mustIdentify(c *conn, identity *Identity) bool {
	if identity == nil || c.identified {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	lostAt, lost := p.losses[c.target]
	return identity.Always || (lost && c.openedAt.After(lostAt))
}

// HasOpenSince reports whether a connection to a target at an address, idle or in use, was opened before a time at which
// the target's process ran and is still open, so that this process still runs.
func (p *Pool) HasOpenSince(id fleet.TargetID, addr string, before time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns[id] {
		if c.addr == addr && c.openedAt.Before(before) && netconn.Open(c.Conn) {
			return true
		}
	}
	return false
}

// Identify identifies the process of a target over a new connection, which is kept. Errors wrap
// ErrNotSent.
func (p *Pool) Identify(ctx context.Context, id fleet.TargetID, addr string, identity *Identity) error {
	c, err := p.dial(ctx, id, addr)
	if err != nil {
		return err
	}
	idleTimeout, err := p.identify(ctx, c, identity, addr)
	p.put(c, idleTimeout)
	return err
}

// identified returns a connection for a request whose process is the expected one as far as it has to be
// identified: c, or a new one if c ends with that.
func (p *Pool) identified(ctx context.Context, c *conn, r *Request) (*conn, error) {
	if !p.mustIdentify(c, r.Identity) {
		return c, nil
	}
	idleTimeout, err := p.identify(ctx, c, r.Identity, r.Host)
	if err == nil && idleTimeout > 0 {
		return c, nil
	}
	_ = c.Close()
	if err != nil {
		return nil, err
	}
	return p.dial(ctx, r.Target, r.Addr)
}

// identify makes sure that the process of a connection is the expected one. It returns how long the
// connection may be kept idle after that, zero if it must be closed.
func (p *Pool) identify(ctx context.Context, c *conn, identity *Identity, host string) (idleTimeout time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	a := newResponse(ctx, p, c)
	defer a.detachContext()
	if err := a.exchange(&Request{Method: http.MethodGet, URI: identity.URI, Host: host}); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotIdentified, err)
	}
	body, err := io.ReadAll(io.LimitReader(bodyReader{a}, maxIdentityBytes+1))
	switch {
	case err != nil:
		return 0, fmt.Errorf("%w: %w", ErrNotIdentified, a.wrapBroken(err))
	case len(body) > maxIdentityBytes:
		return 0, fmt.Errorf("%w: %w", ErrNotIdentified, errIdentityTooLong)
	}
	if err := identity.Check(body); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotIdentified, err)
	}
	c.identified = true
	p.forgetLoss(c)
	return a.idleTimeout, nil
}

// bodyReader reads the body of a response whose connection stays open.
type bodyReader struct{ *Response }

// Read implements io.Reader.
func (r bodyReader) Read(p []byte) (int, error) {
	return r.readBody(p)
}

// forgetLoss records that the process of a connection is the expected one.
func (p *Pool) forgetLoss(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lostAt, ok := p.losses[c.target]; ok && c.openedAt.After(lostAt) {
		delete(p.losses, c.target)
	}
}

// forgetOldLosses drops losses that no longer matter; p.mu must be held.
func (p *Pool) forgetOldLosses(now time.Time) {
	for id, lostAt := range p.losses {
		if now.Sub(lostAt) > lossMemory {
			delete(p.losses, id)
		}
	}
}
