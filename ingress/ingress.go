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
	// headerTimeout bounds the head of a request; configurations ask for about
	// 3 s, and one that asks for more is not cut short by this.
	headerTimeout = 10 * time.Second
	// defaultIdle is the idle timeout until the configuration is known.
	defaultIdle = 30 * time.Second
	// headerBytes bounds a head before the configuration's own limit is applied.
	headerBytes = 64 << 10
)

// Server serves clients.
type Server struct {
	http   http.Server
	limits func() catalog.Limits
}

// New returns a server for h; limits returns those in force.
func New(h http.Handler, limits func() catalog.Limits, logger zerolog.Logger) *Server {
	s := &Server{limits: limits}
	s.http = http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: defaultIdle, MaxHeaderBytes: headerBytes,
		ConnState: noteState, ErrorLog: log.New(logger, "", 0), DisableGeneralOptionsHandler: true,
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

// conn is a client's connection. While it is idle, the read deadline follows the
// configuration in force.
type conn struct {
	net.Conn
	limits func() catalog.Limits
	idle   atomic.Bool
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.idle.Load() && !t.IsZero() {
		if idle := c.limits().IdleTimeout; idle > 0 {
			t = time.Now().Add(idle)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// noteState keeps whether a connection is idle; the server says so before it
// sets the deadline for the next request.
func noteState(c net.Conn, state http.ConnState) {
	if own, ok := c.(*conn); ok {
		own.idle.Store(state == http.StateIdle)
	}
}
