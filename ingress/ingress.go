// Package ingress is the HTTP/1.1 server for clients of direct dispatch. It
// applies the connection limits of the configuration in force and supports
// graceful shutdown.
package ingress

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/connlimit"
)

const (
	// defaultHeaderTimeout bounds reading a request header until the
	// configuration is known.
	defaultHeaderTimeout = 10 * time.Second
	// headerSlack is added to the configured header timeout: a lost packet of
	// the header is retransmitted after one to two seconds.
	headerSlack = 2 * time.Second
	// defaultIdleTimeout applies until the configuration is known.
	defaultIdleTimeout = 30 * time.Second
	// maxHeaderBytes bounds a request header before the configured limit is
	// applied.
	maxHeaderBytes = 64 << 10
)

// Server accepts client connections and serves HTTP requests.
type Server struct {
	http      http.Server
	limits    func() catalog.Limits
	openConns atomic.Int64
	// conns holds the open connections, as keys of type *conn.
	conns sync.Map
	// closeIdle is set once connections that become idle are to be closed.
	closeIdle atomic.Bool
	// closing is closed by Shutdown, which closes the listener.
	closing   chan struct{}
	closeOnce sync.Once
	// requests is the parent of the contexts of all requests.
	requests    context.Context
	endRequests context.CancelCauseFunc
}

// New returns a server that calls h; limits returns the limits in force.
func New(h http.Handler, limits func() catalog.Limits, logger zerolog.Logger) *Server {
	s := &Server{limits: limits, closing: make(chan struct{})}
	s.requests, s.endRequests = context.WithCancelCause(context.Background())
	s.http = http.Server{
		Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.trackState, ConnContext: withConn,
		BaseContext: func(net.Listener) context.Context { return s.requests }, ErrorLog: log.New(logger, "", 0), DisableGeneralOptionsHandler: true,
	}
	return s
}

// Serve accepts connections until Shutdown or Close is called.
func (s *Server) Serve(l net.Listener) error {
	served := make(chan struct{})
	defer close(served)
	go func() {
		select {
		case <-s.closing:
			_ = l.Close()
		case <-served:
		}
	}()
	err := s.http.Serve(&listener{Listener: l, limits: s.limits})
	if errors.Is(err, http.ErrServerClosed) || s.isClosing() {
		return nil
	}
	return err
}

func (s *Server) isClosing() bool {
	select {
	case <-s.closing:
		return true
	default:
		return false
	}
}

// idleCloseDelay is the time since the end of its last request after which CloseIdle closes a
// connection. A client that sends its next request at once gets an answer, which tells it to
// leave the connection.
const idleCloseDelay = 300 * time.Millisecond

// CloseIdle closes connections on which a request was served and that are idle, at once and as
// they become idle, so that their clients send the next request elsewhere. It returns the
// number of those that are idle. The requests of all others are served.
func (s *Server) CloseIdle() int {
	s.closeIdle.Store(true)
	idle := 0
	s.conns.Range(func(key, _ any) bool {
		if c, ok := key.(*conn); ok && c.expireIfIdle() {
			idle++
		}
		return true
	})
	return idle
}

// shutdownPollInterval is the interval at which Shutdown checks whether all connections
// are closed.
const shutdownPollInterval = 10 * time.Millisecond

// EndRequests cancels the contexts of all requests, those that arrive later included, with
// a cause.
func (s *Server) EndRequests(cause error) {
	s.endRequests(cause)
}

// Shutdown closes the listener and idle connections. Requests that still arrive on
// other connections are served, each as the last one of its connection, until all
// connections are closed or ctx ends, whose error it then returns.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closeOnce.Do(func() { close(s.closing) })
	// http.Server.Shutdown would drop requests that it has just read.
	s.http.SetKeepAlivesEnabled(false)
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for s.openConns.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return s.http.Close()
}

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Values of net.TCPConn.SetLinger.
const (
	lingerDefault = -1
	// lingerReset makes the kernel reset a connection when it is closed, also by the end
	// of the process.
	lingerReset = 0
)

// GuardClose is for a response whose end is the end of its connection. Until complete is
// called, a close resets the connection of the request with this context, so that a
// response that ends early does not look complete to the client.
func GuardClose(ctx context.Context) (complete func()) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return func() {}
	}
	tcp, ok := c.Conn.(interface{ SetLinger(sec int) error })
	if !ok {
		return func() {}
	}
	// An error means that the connection is closed already.
	_ = tcp.SetLinger(lingerReset)
	return func() { _ = tcp.SetLinger(lingerDefault) }
}

// Close closes the listener and all connections, aborting requests in progress.
func (s *Server) Close() error {
	return s.http.Close()
}

type listener struct {
	net.Listener
	limits func() catalog.Limits
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, limits: l.limits}, nil
}

// Phases of a client connection.
const (
	// connIdle: no byte of the next request has been received.
	connIdle int32 = iota
	// connReadingHeader: a part of a request header has been received.
	connReadingHeader
	// connActive: a request is in progress.
	connActive
)

// conn is a client connection. While it is idle and while a header is read, the
// read deadline follows the configuration in force.
type conn struct {
	net.Conn
	limits func() catalog.Limits
	phase  atomic.Int32
	// idleMu makes a change of the phase from idle, or of closeIdle, and the deadline that goes
	// with it one step.
	idleMu sync.Mutex
	// idleSince is when the last request ended, in Unix nanoseconds; 0 before the first.
	idleSince atomic.Int64
	// closeIdle is set once the connection is to be closed when it is idle; see
	// Server.CloseIdle.
	closeIdle atomic.Bool
	// headerDeadline is the time by which the current header must be read, in
	// Unix nanoseconds; 0 if there is none.
	headerDeadline atomic.Int64
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.phase.Load() == connIdle {
		c.beginHeader()
	}
	return n, err
}

// beginHeader ends the idle phase and sets the deadline of the header.
func (c *conn) beginHeader() {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	if !c.phase.CompareAndSwap(connIdle, connReadingHeader) {
		return
	}
	if limit := c.limits().HeaderTimeout; limit > 0 {
		end := time.Now().Add(limit + headerSlack)
		c.headerDeadline.Store(end.UnixNano())
		_ = c.Conn.SetReadDeadline(end)
	}
}

// expireIfIdle ends the wait for the next request after idleCloseDelay if the connection is
// idle after a request, and reports whether it is.
func (c *conn) expireIfIdle() bool {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	if c.phase.Load() != connIdle || c.idleSince.Load() == 0 {
		return false
	}
	c.closeIdle.Store(true)
	// An error means that the connection is closed already.
	_ = c.Conn.SetReadDeadline(c.idleEnd())
	return true
}

// idleEnd returns when CloseIdle closes the connection.
func (c *conn) idleEnd() time.Time {
	return time.Unix(0, c.idleSince.Load()).Add(idleCloseDelay)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	switch c.phase.Load() {
	case connIdle:
		if idle := c.limits().IdleTimeout; idle > 0 {
			t = time.Now().Add(idle)
		}
		if end := c.idleEnd(); c.closeIdle.Load() && end.Before(t) {
			t = end
		}
	case connReadingHeader:
		if end := c.headerDeadline.Load(); end > 0 {
			t = time.Unix(0, end)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int {
	return int(s.openConns.Load())
}

// trackState updates the phase of a connection. net/http reports a connection
// as idle before it sets the read deadline for the next request.
func (s *Server) trackState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.openConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.openConns.Add(-1)
	}
	tracked, ok := c.(*conn)
	if !ok {
		return
	}
	connlimit.TrackState(tracked.Conn, state)
	switch state {
	case http.StateNew:
		s.conns.Store(tracked, nil)
	case http.StateActive:
		tracked.phase.Store(connActive)
	case http.StateIdle:
		tracked.headerDeadline.Store(0)
		tracked.idleSince.Store(time.Now().UnixNano())
		tracked.phase.Store(connIdle)
		// CloseIdle has either set this before, or finds the connection idle.
		if s.closeIdle.Load() {
			tracked.closeIdle.Store(true)
		}
	case http.StateClosed, http.StateHijacked:
		s.conns.Delete(tracked)
	}
}
