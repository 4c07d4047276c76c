package main

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lossShare is the share of packets that a lossy link loses: the dose of kind "lossy" on the small sites.
	lossShare = 0.025
	// resendTime is after how long the kernel sends a lost packet again, at the least.
	resendTime = 200 * time.Millisecond
)

// link is the way from routers to a worker. On a lossy one a lost packet, that of the end of a connection included, comes
// resendTime late, and what follows it on its connection waits behind it.
type link struct {
	listener *net.TCPListener
	target   string
	lossy    *atomic.Bool
}

func newLink(target string, lossy *atomic.Bool) (*link, error) {
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, lossy: lossy}
	go k.accept()
	return k, nil
}

func (k *link) addr() string {
	return k.listener.Addr().String()
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.carry(c.(*net.TCPConn))
	}
}

// refuse makes the link refuse new connections, as the address of a process that has ended does.
func (k *link) refuse() {
	_ = k.listener.Close()
}

func (k *link) carry(router *net.TCPConn) {
	raw, err := net.Dial("tcp4", k.target)
	if err != nil {
		reset(router)
		return
	}
	worker := raw.(*net.TCPConn)
	var both sync.WaitGroup
	both.Go(func() { k.copyPackets(worker, router) })
	both.Go(func() { k.copyPackets(router, worker) })
	both.Wait()
	_ = router.Close()
	_ = worker.Close()
}

// copyPackets passes on what comes from one end of a connection, and then its end: in order, or as a reset.
func (k *link) copyPackets(to, from *net.TCPConn) {
	buffer := make([]byte, 1400)
	for {
		n, err := from.Read(buffer)
		if k.lossy.Load() && rand.Float64() < lossShare {
			time.Sleep(resendTime)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

// reset closes a connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
