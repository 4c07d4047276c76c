package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/task"
)

// Protocol is the ALPN name of the protocol between routers.
const Protocol = "ragwort/1"

const (
	handshakeTimeout   = 2 * time.Second
	defaultIdleTimeout = 30 * time.Second
	maxIncomingStreams = 20_000
	codeStopped        = quic.ApplicationErrorCode(0)

	directionSent     = "sent"
	directionReceived = "received"
)

type streamClass uint8

const (
	classCall streamClass = iota + 1
	classStream
)

// Config configures an Endpoint.
type Config struct {
	// Addr is host:port of the UDP listener; port 0 selects a free port.
	Addr string
	// TLS is a configuration from keys.PeerTLS with the protocol name Protocol.
	TLS *tls.Config
	// IdleTimeout is how long a connection without traffic is kept, also if it has open
	// streams; zero selects 30 s.
	IdleTimeout time.Duration
	// Mux holds the handlers.
	Mux *Mux
	// Pool runs the handlers. Streams that arrive while it is full are refused.
	Pool    *task.Pool
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Endpoint is one router's endpoint of the protocol. It is safe for concurrent use.
type Endpoint struct {
	cfg        Config
	socket     *countingConn
	transport  *quic.Transport
	listener   *quic.Listener
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	badFrames  atomic.Uint64

	mu    sync.Mutex
	conns map[string]*outgoingConn
}

// outgoingConn is an outgoing connection, established or being dialed.
type outgoingConn struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

// Listen binds a node and starts it.
func Listen(cfg Config) (*Endpoint, error) {
	n, err := Bind(cfg)
	if err != nil {
		return nil, err
	}
	n.Start()
	return n, nil
}

// Bind opens a node's socket, so that its address is known. Handlers may be
// registered until Start is called.
func Bind(cfg Config) (*Endpoint, error) {
	addr, err := net.ResolveUDPAddr("udp", cfg.Addr)
	if err != nil {
		return nil, fmt.Errorf("peer: address %s: %w", cfg.Addr, err)
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("peer: listen %s: %w", cfg.Addr, err)
	}
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	counted := &countingConn{UDPConn: socket}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Endpoint{
		cfg: cfg, socket: counted, transport: &quic.Transport{Conn: counted},
		ctx: ctx, cancel: cancel, conns: map[string]*outgoingConn{},
	}
	n.listener, err = n.transport.Listen(cfg.TLS, n.quicConfig())
	if err != nil {
		cancel()
		socket.Close()
		return nil, fmt.Errorf("peer: listen %s: %w", cfg.Addr, err)
	}
	return n, nil
}

// Start accepts connections. The Mux must not be changed afterwards.
func (n *Endpoint) Start() {
	n.goroutines.Go(n.accept)
}

func (n *Endpoint) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       n.cfg.IdleTimeout,
		MaxIncomingStreams:   maxIncomingStreams,
		EnableDatagrams:      true,
	}
}

// Addr returns the listener's address as host:port.
func (n *Endpoint) Addr() string {
	return n.transport.Conn.LocalAddr().String()
}

// BadFrames returns the number of frames that were over their limit or could
// not be decoded.
func (n *Endpoint) BadFrames() uint64 {
	return n.badFrames.Load()
}

// Close closes all connections immediately and waits for the node's goroutines.
func (n *Endpoint) Close() error {
	n.cancel()
	err := n.listener.Close()
	n.closeConns()
	n.goroutines.Wait()
	n.transport.Close()
	n.transport.Conn.Close()
	return err
}

func (n *Endpoint) closeConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		select {
		case <-c.ready:
		default:
			continue
		}
		if c.conn != nil {
			c.conn.CloseWithError(codeStopped, "stopped")
		}
	}
}

func (n *Endpoint) accept() {
	for {
		conn, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		n.serve(conn)
	}
}

// serve starts the goroutines of one connection, incoming or outgoing.
func (n *Endpoint) serve(conn *quic.Conn) {
	from := peerName(conn)
	n.goroutines.Go(func() { n.acceptStreams(conn, from) })
	n.goroutines.Go(func() { n.receiveDatagrams(conn, from) })
}

func peerName(conn *quic.Conn) fleet.RouterID {
	certs := conn.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 {
		return ""
	}
	return fleet.RouterID(certs[0].Subject.CommonName)
}

func (n *Endpoint) acceptStreams(conn *quic.Conn, from fleet.RouterID) {
	defer conn.CloseWithError(codeStopped, "stopped")
	for {
		q, err := conn.AcceptStream(n.ctx)
		if err != nil {
			return
		}
		if err := n.cfg.Pool.Go(func() { n.serveIncomingStream(q, from) }); err != nil {
			q.CancelRead(codeBusy)
			q.CancelWrite(codeBusy)
			event.PeerBusy.Log(n.cfg.Log).Str("peer", string(from)).Send()
		}
	}
}

func (n *Endpoint) serveIncomingStream(q *quic.Stream, from fleet.RouterID) {
	var head [2]byte
	if _, err := io.ReadFull(q, head[:]); err != nil {
		q.CancelRead(codeCancelled)
		q.CancelWrite(codeCancelled)
		return
	}
	class, method := streamClass(head[0]), Method(head[1])
	s := newStream(q, n, class, method)
	switch class {
	case classCall:
		n.serveCall(s, method, from)
	case classStream:
		n.runStreamHandler(s, method, from)
	default:
		s.reject()
	}
}

func (n *Endpoint) runStreamHandler(s *Stream, method Method, from fleet.RouterID) {
	handler, ok := n.cfg.Mux.streams[method]
	if !ok {
		s.reject()
		return
	}
	handler(s.quic.Context(), from, s)
	s.Close()
	s.quic.CancelRead(codeCancelled)
}

// ConnectionLost reports whether the context of a stream's handler ended because the
// connection was lost, rather than because the peer cancelled the stream.
func ConnectionLost(ctx context.Context) bool {
	var cancelled *quic.StreamError
	cause := context.Cause(ctx)
	if cause == nil || errors.As(cause, &cancelled) {
		return false
	}
	return cause != context.Canceled && cause != context.DeadlineExceeded
}

func (n *Endpoint) receiveDatagrams(conn *quic.Conn, from fleet.RouterID) {
	for {
		raw, err := conn.ReceiveDatagram(n.ctx)
		if err != nil {
			return
		}
		n.dispatchDatagram(raw, from)
	}
}

func (n *Endpoint) dispatchDatagram(raw []byte, from fleet.RouterID) {
	if len(raw) < 2 {
		n.badFrames.Add(1)
		return
	}
	method := Method(raw[0])
	n.countBytes(classCall, method, directionReceived, len(raw))
	handler, ok := n.cfg.Mux.datagrams[method]
	if !ok {
		n.badFrames.Add(1)
		return
	}
	handler(from, raw[1:])
}

// countBytes adds to the data bytes for methods that carry requests, which are
// forwarded streams and journal calls, and to the control bytes for all others.
func (n *Endpoint) countBytes(class streamClass, method Method, direction string, bytes int) {
	if n.cfg.Metrics == nil {
		return
	}
	if class == classStream || method == MethodJournal {
		n.cfg.Metrics.DataBytes.WithLabelValues(direction).Add(float64(bytes))
		return
	}
	n.cfg.Metrics.ControlBytes.WithLabelValues(method.String(), direction).Add(float64(bytes))
}
