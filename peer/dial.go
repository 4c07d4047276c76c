package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"

	"github.com/quic-go/quic-go"

	"ragwortpond.example/ragwortpond/fleet"
)

// Frame kinds of a control call.
const (
	frameRequest FrameKind = iota + 1
	frameReply
	frameError
	frameNoHandler
)

// connect returns the connection to addr, dialing if there is none. One
// goroutine dials; concurrent callers wait for it.
func (n *Endpoint) connect(ctx context.Context, addr string) (*quic.Conn, error) {
	n.mu.Lock()
	c, ok := n.conns[addr]
	if ok && c.isClosed() {
		ok = false
	}
	if !ok {
		c = &outgoingConn{ready: make(chan struct{})}
		n.conns[addr] = c
		n.goroutines.Go(func() { n.dial(addr, c) })
	}
	n.mu.Unlock()
	select {
	case <-c.ready:
		return c.conn, c.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %s: %v", ErrUnreachable, addr, ctx.Err())
	case <-n.ctx.Done():
		return nil, fmt.Errorf("%w: %s: node closed", ErrUnreachable, addr)
	}
}

func (c *outgoingConn) isClosed() bool {
	select {
	case <-c.ready:
		return c.err != nil || c.conn.Context().Err() != nil
	default:
		return false
	}
}

func (n *Endpoint) dial(addr string, c *outgoingConn) {
	defer close(c.ready)
	target, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		c.err = fmt.Errorf("%w: %s: %v", ErrUnreachable, addr, err)
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
	defer cancel()
	conn, err := n.transport.Dial(ctx, target, n.cfg.TLS, n.quicConfig())
	if err != nil {
		c.err = fmt.Errorf("%w: %s: %v", ErrUnreachable, addr, err)
		return
	}
	c.conn = conn
	n.serve(conn)
}

// Open starts a stream for method to the router at addr. ErrUnreachable means
// that the peer has received nothing.
func (n *Endpoint) Open(ctx context.Context, addr string, method Method) (*Stream, error) {
	return n.open(ctx, addr, classStream, method)
}

func (n *Endpoint) open(ctx context.Context, addr string, class streamClass, method Method) (*Stream, error) {
	conn, err := n.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	q, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %v", ErrUnreachable, addr, err)
	}
	s := newStream(q, n, class, method)
	s.out = append(s.out, byte(class), byte(method))
	return s, nil
}

// Call implements Client.
func (n *Endpoint) Call(ctx context.Context, addr string, method Method, req, resp any) error {
	payload, err := Encode(req)
	if err != nil {
		return err
	}
	s, err := n.open(ctx, addr, classCall, method)
	if err != nil {
		return err
	}
	s.limit = MaxControlBytes
	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()
	defer s.quic.CancelRead(codeCancelled)
	if err := s.Send(frameRequest, payload); err != nil {
		return err
	}
	if err := s.Close(); err != nil {
		return fmt.Errorf("%w: %v", ErrBroken, err)
	}
	return n.readReply(s, resp)
}

func (n *Endpoint) readReply(s *Stream, resp any) error {
	kind, payload, err := s.Receive()
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: no reply", ErrBroken)
	}
	if err != nil {
		return err
	}
	switch kind {
	case frameReply:
		if resp == nil {
			return nil
		}
		return Decode(payload, resp)
	case frameError:
		return fmt.Errorf("%w: %s", ErrRemote, payload)
	case frameNoHandler:
		return ErrNoHandler
	default:
		return fmt.Errorf("%w: kind %d", ErrBadFrame, kind)
	}
}

func (n *Endpoint) serveCall(s *Stream, method Method, from fleet.RouterID) {
	s.limit = MaxControlBytes
	_, payload, err := s.Receive()
	if err != nil {
		s.Cancel()
		return
	}
	defer s.Close()
	handler, ok := n.cfg.Mux.calls[method]
	if !ok {
		s.Send(frameNoHandler, nil)
		return
	}
	reply, err := handler(s.quic.Context(), from, payload)
	if errors.Is(err, ErrBadFrame) {
		n.badFrames.Add(1)
	}
	if err != nil {
		s.Send(frameError, []byte(err.Error()))
		return
	}
	s.SendValue(frameReply, reply)
}

// Send implements Client.
func (n *Endpoint) Send(addr string, method Method, msg any) error {
	payload, err := Encode(msg)
	if err != nil {
		return err
	}
	if len(payload)+1 > MaxDatagramBytes {
		return fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, len(payload))
	}
	raw := append([]byte{byte(method)}, payload...)
	if conn := n.openConn(addr); conn != nil {
		return n.sendDatagram(conn, method, raw)
	}
	n.goroutines.Go(func() { n.dialAndSend(addr, method, raw) })
	return nil
}

// openConn returns the open connection to addr, or nil.
func (n *Endpoint) openConn(addr string) *quic.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	c, ok := n.conns[addr]
	if !ok || c.isClosed() {
		return nil
	}
	select {
	case <-c.ready:
		return c.conn
	default:
		return nil
	}
}

func (n *Endpoint) dialAndSend(addr string, method Method, raw []byte) {
	ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
	defer cancel()
	conn, err := n.connect(ctx, addr)
	if err != nil {
		return
	}
	n.sendDatagram(conn, method, raw)
}

func (n *Endpoint) sendDatagram(conn *quic.Conn, method Method, raw []byte) error {
	if err := conn.SendDatagram(raw); err != nil {
		return fmt.Errorf("%w: %v", ErrUnreachable, err)
	}
	n.countBytes(classCall, method, directionSent, len(raw))
	return nil
}
