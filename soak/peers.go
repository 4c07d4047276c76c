package soak

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// peerPort is the port at which routers reach each other.
const peerPort = 18803

// peerNetwork carries the datagrams and fetches between routers. Each router has an address in it, by
// which the others know it. It is safe for concurrent use.
type peerNetwork struct {
	network *network
	sockets []*net.UDPConn
	proxies []*Proxy

	mu    sync.Mutex
	links []peerLink
}

// peerLink is how a router is connected to the others.
type peerLink struct {
	// side is the part of a split network in which the router is; datagrams pass between routers of
	// the same part only.
	side int
	// deaf drops the datagrams to the router, mute those from it.
	deaf, mute bool
	// delay holds up the datagrams to the router.
	delay time.Duration
}

// startPeerNetwork connects routers.
func startPeerNetwork(n *network, routers int) (*peerNetwork, error) {
	p := &peerNetwork{network: n, links: make([]peerLink, routers)}
	for i := range routers {
		addr := netip.MustParseAddrPort(n.peerAddress(i))
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
		if err != nil {
			p.close()
			return nil, fmt.Errorf("soak: network between routers: %w", err)
		}
		p.sockets = append(p.sockets, socket)
		proxy, err := StartProxy(n.peerAddress(i), fmt.Sprintf("%s:%d", n.address(i), peerPort))
		if err != nil {
			p.close()
			return nil, err
		}
		p.proxies = append(p.proxies, proxy)
	}
	for i := range p.sockets {
		go p.forward(i)
	}
	return p, nil
}

// setLink changes how a router is connected.
func (p *peerNetwork) setLink(router int, link peerLink) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links[router] = link
}

// passes reports whether datagrams pass from one router to another, and after which delay.
func (p *peerNetwork) passes(from, to int) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sender, receiver := p.links[from], p.links[to]
	return receiver.delay, sender.side == receiver.side && !sender.mute && !receiver.deaf
}

// forward passes on the datagrams to a router, from the address of their sender in the network. One that is
// held up arrives even if the network is split meanwhile.
func (p *peerNetwork) forward(to int) {
	buffer := make([]byte, 64<<10)
	dest := netip.MustParseAddrPort(fmt.Sprintf("%s:%d", p.network.address(to), peerPort))
	for {
		n, sender, err := p.sockets[to].ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		from := p.indexOf(sender)
		if from < 0 {
			continue
		}
		delay, ok := p.passes(from, to)
		if !ok {
			continue
		}
		data := append([]byte{}, buffer[:n]...)
		// A failed write is a lost datagram.
		send := func() { _, _ = p.sockets[from].WriteToUDPAddrPort(data, dest) }
		if delay == 0 {
			send()
			continue
		}
		time.AfterFunc(delay, send)
	}
}

// indexOf returns the index of the router with an address, or -1.
func (p *peerNetwork) indexOf(addr netip.AddrPort) int {
	for i := range p.links {
		if p.network.address(i) == addr.Addr().Unmap().String() {
			return i
		}
	}
	return -1
}

func (p *peerNetwork) close() {
	for _, s := range p.sockets {
		_ = s.Close()
	}
	for _, proxy := range p.proxies {
		proxy.Close()
	}
}
