package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Way is what a proxy does with what passes it.
type Way int

// The ways of a proxy.
const (
	// Through passes everything on.
	Through Way = iota
	// Slow passes everything on after a delay.
	Slow
	// Silent keeps connections open and passes nothing on.
	Silent
	// Deaf passes what comes from the dialling side, and nothing back.
	Deaf
	// Shut resets connections.
	Shut
)

// slowBy is the delay of a slow proxy.
const slowBy = 150 * time.Millisecond

// Proxy passes connections on to an address on loopback.
type Proxy struct {
	to       string
	listener net.Listener

	mu    sync.Mutex
	way   Way
	conns map[net.Conn]struct{}
}

// StartProxy listens on a free port of an address and passes connections on.
func StartProxy(to string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soak: proxy: %w", err)
	}
	p := &Proxy{to: to, listener: l, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

// Addr is host:port of the proxy.
func (p *Proxy) Addr() string {
	return p.listener.Addr().String()
}

// Set changes the way; resetting cuts the open connections.
func (p *Proxy) Set(w Way) {
	p.mu.Lock()
	p.way = w
	p.mu.Unlock()
	if w == Shut {
		p.Reset()
	}
}

// Reset cuts the open connections.
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

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) current() Way {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.way
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
	if p.current() == Shut {
		_ = c.(*net.TCPConn).SetLinger(0)
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
	var both sync.WaitGroup
	both.Go(func() { p.pass(out, c, false) })
	both.Go(func() { p.pass(c, out, true) })
	both.Wait()
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

// pass copies one direction; back says that it is the one of answers.
func (p *Proxy) pass(to, from net.Conn, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for w := p.current(); w == Silent || (w == Deaf && back); w = p.current() {
			time.Sleep(5 * time.Millisecond)
		}
		if p.current() == Slow {
			time.Sleep(slowBy)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			p.end(to, from, err)
			return
		}
	}
}

// end passes the end of a direction on: a close as a close, a reset as a reset.
func (p *Proxy) end(to, from net.Conn, err error) {
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
