package standin

import (
	"io"
	"net"
	"net/netip"
	"sync"
)

// Link forwards TCP connections to an address until it is cut. It is safe for concurrent
// use.
type Link struct {
	listener net.Listener
	to       string

	mu sync.Mutex
	// open is closed while data passes.
	open  chan struct{}
	cut   bool
	conns map[net.Conn]struct{}
}

// StartLink listens on addr and forwards connections to the address to.
func StartLink(addr, to string) (*Link, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	link := &Link{listener: l, to: to, open: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	close(link.open)
	go link.accept()
	return link, nil
}

// Addr returns host:port of the link.
func (l *Link) Addr() string {
	return l.listener.Addr().String()
}

// SetCut starts or ends a partition: data of open and new connections is held up.
func (l *Link) SetCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case cut && !l.cut:
		l.open = make(chan struct{})
	case !cut && l.cut:
		close(l.open)
	}
	l.cut = cut
}

// Close closes the link and its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.SetCut(false)
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

func (l *Link) serve(in net.Conn) {
	defer in.Close()
	l.waitOpen()
	out, err := net.Dial("tcp4", l.to)
	if err != nil {
		return
	}
	defer out.Close()
	l.track(in, out)
	defer l.untrack(in, out)
	done := make(chan struct{}, 2)
	go l.pump(out, in, done)
	go l.pump(in, out, done)
	<-done
}

// pump copies data while the link is open.
func (l *Link) pump(to, from net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.waitOpen()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *Link) waitOpen() {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	<-open
}

func (l *Link) track(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.conns[c] = struct{}{}
	}
}

func (l *Link) untrack(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		delete(l.conns, c)
	}
}

// Hub is the network between routers. Each router has an address at the hub, under which
// the others know it; the hub passes datagrams and connections on to the router. It is safe
// for concurrent use.
type Hub struct {
	// routers holds the routers' own addresses, sockets and links their hub addresses.
	routers []netip.AddrPort
	sockets []*net.UDPConn
	links   []*Link

	mu  sync.Mutex
	cut map[int]bool
}

// StartHub starts a hub. own and hub hold the address of each router and its address at the
// hub.
func StartHub(own, hub []netip.AddrPort) (*Hub, error) {
	h := &Hub{routers: own, cut: map[int]bool{}}
	for i := range own {
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(hub[i]))
		if err != nil {
			return h, err
		}
		h.sockets = append(h.sockets, socket)
		link, err := StartLink(hub[i].String(), own[i].String())
		if err != nil {
			return h, err
		}
		h.links = append(h.links, link)
	}
	for i := range h.sockets {
		go h.forward(i)
	}
	return h, nil
}

// SetCut starts or ends a partition of one router from all others.
func (h *Hub) SetCut(router int, cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut[router] = cut
	h.links[router].SetCut(cut)
}

// Close closes the hub.
func (h *Hub) Close() {
	for _, s := range h.sockets {
		_ = s.Close()
	}
	for _, l := range h.links {
		l.Close()
	}
}

// forward passes on the datagrams sent to a router. They come from the sender's hub address.
func (h *Hub) forward(to int) {
	buffer := make([]byte, 64<<10)
	for {
		n, sender, err := h.sockets[to].ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		from := h.indexOf(sender)
		if from < 0 || h.isCut(from) || h.isCut(to) {
			continue
		}
		// Errors are lost datagrams.
		_, _ = h.sockets[from].WriteToUDPAddrPort(buffer[:n], h.routers[to])
	}
}

func (h *Hub) indexOf(addr netip.AddrPort) int {
	for i, own := range h.routers {
		if own.Addr() == addr.Addr().Unmap() {
			return i
		}
	}
	return -1
}

func (h *Hub) isCut(router int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cut[router]
}

// discard reads a body to its end.
func discard(r io.Reader) {
	_, _ = io.Copy(io.Discard, r)
}
