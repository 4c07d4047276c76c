// Package hertzlisten bounds what clients make hertz's servers hold. hertz bounds a request's head and body but peeks at ever more bytes
// until the trailer of a chunked body is complete, and has no bound on connections.
package hertzlisten

import (
	"context"
	"crypto/tls"
	"errors"
	"net"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"ragwortpond.example/ragwortpond/connlimit"
)

// ErrTooLarge means that the head or the trailer of a request exceeds MaxPeekBytes.
var ErrTooLarge = errors.New("hertzlisten: head or trailer too large")

const (
	// MaxHeaderBytes bounds the head of a request.
	MaxHeaderBytes = 16 << 10
	// MaxPeekBytes bounds what is held of a request's head, and of its trailer.
	MaxPeekBytes = MaxHeaderBytes + 4<<10
	// MaxConns bounds the connections of a listener.
	MaxConns = 2000
	// MaxHeadBytes bounds the heads of all its connections together.
	MaxHeadBytes = 4 << 20
)

// Limits are the default bounds of a listener.
func Limits() connlimit.Limits {
	return connlimit.Limits{Conns: MaxConns, HeadBytes: MaxHeadBytes}
}

// NewTransporter is standard.NewTransporter with connections that are bounded. It is for server.WithTransport.
func NewTransporter(options *config.Options) network.Transporter {
	return &transporter{standard.NewTransporter(options)}
}

type transporter struct {
	network.Transporter
}

// ListenAndServe implements network.Transporter.
func (t *transporter) ListenAndServe(onData network.OnData) error {
	return t.Transporter.ListenAndServe(func(ctx context.Context, c any) error {
		if raw, ok := c.(network.Conn); ok {
			c = bound(raw)
		}
		return onData(ctx, c)
	})
}

// stateful is what hertz asks of a connection to notice that its client has left.
type stateful interface {
	DetectConnectionClose()
	AbortBlockingRead()
}

// bound returns a connection that is bounded and has those optional methods of raw that hertz looks for.
func bound(raw network.Conn) network.Conn {
	c := &conn{Conn: raw}
	if s, ok := raw.(stateful); ok {
		return &statefulConn{c, s}
	}
	if secure, ok := raw.(network.ConnTLSer); ok {
		return &secureConn{c, secure}
	}
	return c
}

type statefulConn struct {
	*conn
	stateful
}

type secureConn struct {
	*conn
	secure network.ConnTLSer
}

// Handshake implements network.ConnTLSer.
func (c *secureConn) Handshake() error {
	return c.secure.Handshake()
}

// ConnectionState implements network.ConnTLSer.
func (c *secureConn) ConnectionState() tls.ConnectionState {
	return c.secure.ConnectionState()
}

// conn bounds what hertz peeks at. It is used by one goroutine at a time.
type conn struct {
	network.Conn
	// growing is set while hertz peeks at all that is buffered, again and again, as it does until a head or a trailer is complete.
	growing bool
}

// Peek implements network.Reader.
func (c *conn) Peek(n int) ([]byte, error) {
	if c.growing && n > MaxPeekBytes {
		return nil, ErrTooLarge
	}
	return c.Conn.Peek(n)
}

// Len implements network.Reader. It hides what exceeds the limit.
func (c *conn) Len() int {
	c.growing = true
	return min(c.Conn.Len(), MaxPeekBytes)
}

// Skip implements network.Reader.
func (c *conn) Skip(n int) error {
	c.growing = false
	return c.Conn.Skip(n)
}

// ReadByte implements network.Reader.
func (c *conn) ReadByte() (byte, error) {
	c.growing = false
	return c.Conn.ReadByte()
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.growing = false
	return c.Conn.Read(p)
}

// HandleSpecificError implements network.HandleSpecificError.
func (c *conn) HandleSpecificError(err error, remote string) bool {
	specific, ok := c.Conn.(network.HandleSpecificError)
	return ok && specific.HandleSpecificError(err, remote)
}

// TrackState is a middleware that tells a connection of a connlimit.Listener when the head of a request was read and when the request is
// done. It has to come before all others.
func TrackState(ctx context.Context, c *app.RequestContext) {
	limited := connlimit.Of(c.RemoteAddr())
	if limited == nil {
		c.Next(ctx)
		return
	}
	limited.HeadRead()
	defer limited.Done()
	c.Next(ctx)
}

// Listen wraps a listener in the default bounds.
func Listen(l net.Listener, closed func(connlimit.Cause)) net.Listener {
	return connlimit.Limit(l, Limits(), closed)
}
