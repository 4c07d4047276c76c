// Package ingress is the HTTP/1.1 face towards clients of direct dispatch. It
// holds connections to the limits of the configuration in force and stops as
// planned.
package ingress

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/catalog"
)

const (
	// headerTimeout bounds the head of a request until the configuration is known.
	headerTimeout = 10 * time.Second
	// headerSlack is given beyond the configuration's own limit: a lost packet of
	// the head is sent again after a second or two.
	headerSlack = 2 * time.Second
	// defaultIdle is the idle timeout until the configuration is known.
	defaultIdle = 30 * time.Second
	// headerBytes bounds a head before the configuration's own limit is applied.
	headerBytes = 64 << 10
)

// Server serves clients.
type Server struct {
	http   http.Server
	limits func() catalog.Limits
	open   atomic.Int64
}

// New returns a server for h; limits returns those in force.
func New(h http.Handler, limits func() catalog.Limits, logger zerolog.Logger) *Server {
	s := &Server{limits: limits}
	s.http = http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: defaultIdle, MaxHeaderBytes: headerBytes,
		ConnState: s.noteState, ErrorLog: log.New(logger, "", 0), DisableGeneralOptionsHandler: true,
	}
	return s
}

// Serve accepts connections until Shutdown or Close.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(&listener{Listener: l, limits: s.limits})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown closes the listener and idle connections and waits for requests in
// progress until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close cuts everything.
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

// The phases of a client's connection.
const (
	// waiting connections have sent nothing of their next request.
	waiting int32 = iota
	// inHead connections have sent a part of a request's head.
	inHead
	// inRequest connections have a request in progress.
	inRequest
)

// conn is a client's connection. While it waits and while a head is read, the
// read deadline follows the configuration in force.
type conn struct {
	net.Conn
	limits func() catalog.Limits
	phase  atomic.Int32
	// headEnd is the Unix time in ns by which the present head must be read.
	headEnd atomic.Int64
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.phase.CompareAndSwap(waiting, inHead) {
		if limit := c.limits().HeaderTimeout; limit > 0 {
			end := time.Now().Add(limit + headerSlack)
			c.headEnd.Store(end.UnixNano())
			_ = c.Conn.SetReadDeadline(end)
		}
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	switch c.phase.Load() {
	case waiting:
		if idle := c.limits().IdleTimeout; idle > 0 {
			t = time.Now().Add(idle)
		}
	case inHead:
		if end := c.headEnd.Load(); end > 0 {
			t = time.Unix(0, end)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Conns is the number of open connections.
func (s *Server) Conns() int {
	return int(s.open.Load())
}

// noteState follows the phases of a connection; the server says that it is idle
// before it sets the deadline for the next request.
func (s *Server) noteState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	}
	own, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		own.phase.Store(inRequest)
	case http.StateIdle:
		own.headEnd.Store(0)
		own.phase.Store(waiting)
	}
}
