package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// ProxyMode is how a proxy treats its connections.
type ProxyMode int

// The modes of a proxy.
const (
	// Forward forwards all data.
	Forward ProxyMode = iota
	// Delay forwards all data after proxyDelay.
	Delay
	// Stall keeps connections open and forwards nothing.
	Stall
	// StallReplies forwards data from the dialling side and nothing in the other
	// direction.
	StallReplies
	// StallRequests forwards data to the dialling side and nothing in the other direction.
	StallRequests
	// Refuse resets open and new connections.
	Refuse
	// CloseNew accepts new connections and closes them at once.
	CloseNew
	// Hang accepts new connections and forwards nothing, not even their ends.
	Hang
)

// proxyDelay is the delay before each write in mode Delay.
const proxyDelay = 150 * time.Millisecond

// Proxy forwards TCP connections to an address and can disturb them. It is safe for
// concurrent use.
type Proxy struct {
	to       string
	listener net.Listener

	mu    sync.Mutex
	mode  ProxyMode
	conns map[net.Conn]struct{}
}

// StartProxy listens on addr, or on a free loopback port if it is empty, and
// forwards connections to the address to.
func StartProxy(addr, to string) (*Proxy, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("soak: proxy: %w", err)
	}
	p := &Proxy{to: to, listener: l, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

// Addr returns host:port of the proxy's listener.
func (p *Proxy) Addr() string {
	return p.listener.Addr().String()
}

// SetMode changes the mode. Refuse also resets the open connections.
func (p *Proxy) SetMode(mode ProxyMode) {
	p.mu.Lock()
	p.mode = mode
	p.mu.Unlock()
	if mode == Refuse {
		p.Reset()
	}
}

// Reset resets the open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// stopListening refuses new connections.
func (p *Proxy) stopListening() {
	// An error means that the listener is closed already.
	_ = p.listener.Close()
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.stopListening()
	p.Reset()
}

func (p *Proxy) currentMode() ProxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(c net.Conn) {
	defer c.Close()
	switch p.currentMode() {
	case Refuse:
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	case CloseNew:
		return
	}
	if p.currentMode() == Hang {
		p.track(c)
		defer p.untrack(c)
		// The error is that of the peer, which gives up.
		_, _ = io.Copy(io.Discard, c)
		return
	}
	out, err := net.Dial("tcp4", p.to)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	defer out.Close()
	p.track(c, out)
	defer p.untrack(c, out)
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(out, c, false) })
	directions.Go(func() { p.forward(c, out, true) })
	directions.Wait()
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *Proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

// forward copies one direction of a connection; replies is set for the direction to
// the dialling side.
func (p *Proxy) forward(to, from net.Conn, replies bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for mode := p.currentMode(); mode == Stall || (mode == StallReplies && replies) || (mode == StallRequests && !replies); mode = p.currentMode() {
			time.Sleep(5 * time.Millisecond)
		}
		if p.currentMode() == Delay {
			time.Sleep(proxyDelay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			p.forwardEnd(to, from, err)
			return
		}
	}
}

// forwardEnd forwards the end of a direction: an EOF as a half-close, an error as a
// reset.
func (p *Proxy) forwardEnd(to, from net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if err == io.EOF && ok {
		_ = tcp.CloseWrite()
		return
	}
	if ok {
		_ = tcp.SetLinger(0)
	}
	_ = to.Close()
	_ = from.Close()
}
