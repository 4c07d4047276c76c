package targetconn

import (
	"context"
	"errors"
	"os"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/netconn"
)

const (
	// watchRenewal is the age at which a watch replaces its connection, before the target closes it as idle. A
	// target that closes connections earlier makes it shorter, down to minWatchRenewal.
	watchRenewal    = 2 * time.Second
	minWatchRenewal = 200 * time.Millisecond
	// watchPause is the time between the loss of a watch's connection and the next one.
	watchPause = 2 * time.Second
	// watchLinger is how long a watch goes on without a response that needs it.
	watchLinger = 2 * time.Second
	// minWatchAge is the least age of a connection whose loss tells of its process. Some targets close
	// connections at once that carry no request.
	minWatchAge = 10 * time.Millisecond
	// lossSkew is the most by which the loss of one connection of a process that ends is noticed before that of
	// another.
	lossSkew = 20 * time.Millisecond
)

// Presence is what is known of the process that a target had at a time.
type Presence int

// Presences.
const (
	// PresenceUnknown: no connection from before is known.
	PresenceUnknown Presence = iota
	// Present: a connection from before is open, so that the process runs.
	Present
	// Absent: the connection of a watch from before was closed then or later.
	Absent
)

// watchKey identifies a watch: a target at an address.
type watchKey struct {
	id   fleet.TargetID
	addr string
}

// watch keeps a connection to a target that carries no exchange. Pool.mu guards it.
type watch struct {
	// users counts the responses that need it, unusedSince is when the last one ended.
	users       int
	unusedSince time.Time
	// conn is nil while there is none. previous is the one that it replaced, which tells of ends from before.
	conn, previous *conn
	// lostAt is when conn was closed by the target, zero while it is open.
	lostAt  time.Time
	renewal time.Duration
}

// Watch keeps a connection to a target open until release is called and a little longer, from which PresenceSince tells
// whether the target's process has ended. Calls for one target share it.
func (p *Pool) Watch(id fleet.TargetID, addr string) (release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := watchKey{id, addr}
	w := p.watches[key]
	if w == nil {
		w = &watch{renewal: watchRenewal}
		p.watches[key] = w
		go p.keepWatch(key, w)
	}
	w.users++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		w.users--
		w.unusedSince = time.Now()
	}
}

// keepWatch keeps the connection of a watch until nothing needs it.
func (p *Pool) keepWatch(key watchKey, w *watch) {
	for p.needsWatch(key, w, time.Now()) {
		c, err := p.dial(context.Background(), key.id, key.addr)
		if err != nil {
			time.Sleep(minWatchRenewal)
			continue
		}
		if !p.holdWatch(w, c) {
			time.Sleep(watchPause)
		}
	}
}

// needsWatch reports whether a watch goes on. Otherwise it ends.
func (p *Pool) needsWatch(key watchKey, w *watch, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.users > 0 || now.Sub(w.unusedSince) < watchLinger {
		return true
	}
	delete(p.watches, key)
	closeConn(w.conn)
	closeConn(w.previous)
	return false
}

func closeConn(c *conn) {
	if c != nil {
		_ = c.Close()
	}
}

// holdWatch makes c the connection of a watch until it has to be replaced. It returns false if the target
// closed it before that.
func (p *Pool) holdWatch(w *watch, c *conn) bool {
	p.mu.Lock()
	closeConn(w.previous)
	w.previous, w.conn, w.lostAt = w.conn, c, time.Time{}
	renewal := w.renewal
	p.mu.Unlock()
	_ = c.SetReadDeadline(time.Now().Add(renewal))
	var buf [1]byte
	n, err := c.Conn.Read(buf[:])
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w.lostAt = time.Now()
	w.renewal = max(min(w.renewal, w.lostAt.Sub(c.openedAt)/2), minWatchRenewal)
	if n > 0 {
		// A process that says why it closes the connection runs.
		w.conn = nil
		_ = c.Close()
	}
	return false
}

// PresenceSince tells whether the process that a target had from a time to another still runs, from connections that
// were open at the second one.
func (p *Pool) PresenceSince(id fleet.TargetID, addr string, from, at time.Time) Presence {
	if p.HasOpenSince(id, at) {
		return Present
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.watches[watchKey{id, addr}]
	if w == nil {
		return PresenceUnknown
	}
	c, lostAt := w.conn, w.lostAt
	if c == nil || !c.openedAt.Before(at) {
		c, lostAt = w.previous, time.Time{}
	}
	switch {
	case c == nil || !c.openedAt.Before(at):
		return PresenceUnknown
	case lostAt.IsZero() && netconn.Open(c.Conn):
		return Present
	case lostAt.IsZero():
		lostAt = time.Now()
	}
	if lostAt.Before(from.Add(lossSkew)) || lostAt.Before(at.Add(-lossSkew)) || lostAt.Sub(c.openedAt) < minWatchAge {
		return PresenceUnknown
	}
	return Absent
}
