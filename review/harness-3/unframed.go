package main

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Loss on the links of a zone: lossShare of the packets, for lossTime; a lost packet is sent again
// after resend.
const (
	lossShare = 0.025
	lossTime  = 5500 * time.Millisecond
	resend    = 200 * time.Millisecond
)

// link is the path to one worker. It relays connections, and loses packets while lossy is set.
type link struct {
	target   string
	listener net.Listener
	lossy    *atomic.Bool
}

func newLink(target string, lossy *atomic.Bool) (*link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{target: target, listener: l, lossy: lossy}
	go k.serve()
	return k, nil
}

func (k *link) serve() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.relay(c)
	}
}

func (k *link) relay(router net.Conn) {
	worker, err := net.Dial("tcp4", k.target)
	if err != nil {
		reset(router)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { k.copy(worker, router) })
	both.Go(func() { k.copy(router, worker) })
	both.Wait()
	_ = router.Close()
	_ = worker.Close()
}

// copy relays one direction, the end of the connection too.
func (k *link) copy(to, from net.Conn) {
	buffer := make([]byte, 1400)
	for {
		n, err := from.Read(buffer)
		if k.lossy.Load() && rand.Float64() < lossShare {
			time.Sleep(resend)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		default:
			if errors.Is(err, syscall.ECONNRESET) {
				reset(to)
			}
			_ = to.Close()
			return
		}
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// runUnframed kills workers of a zone, one at a time, while the zone's links lose packets. Half of the
// streams have neither a length nor chunks. ORDER: a stream ends as complete before its last piece.
func runUnframed(e *env) (bool, error) {
	e.writeConfig(true, 2)
	var lossy atomic.Bool
	spec := workerSpec{Service: service, Version: "r1", Events: 40, GapMS: 250, Unframed: true}
	for i := range 4 {
		spec.Zone = zones[i%2]
		if _, err := e.startWorker(spec, "", nil); err != nil {
			return false, err
		}
	}
	spec.Zone = zones[2]
	type behind struct {
		worker *worker
		link   *link
	}
	start := func() (*behind, error) {
		b := &behind{}
		var err error
		b.worker, err = e.startWorker(spec, "", func(addr string) (string, error) {
			var err error
			if b.link, err = newLink(addr, &lossy); err != nil {
				return "", err
			}
			return b.link.listener.Addr().String(), nil
		})
		return b, err
	}
	pair := make([]*behind, 2)
	for i := range pair {
		var err error
		if pair[i], err = start(); err != nil {
			return false, err
		}
	}
	if err := e.startRouters("recife-a", "recife-a", "recife-b", "recife-b"); err != nil {
		return false, err
	}
	e.sleepUntil(5)
	var wait sync.WaitGroup
	var mu sync.Mutex
	ended := map[string]int{}
	short := 0
	stop := make(chan struct{})
	wait.Go(func() {
		for turn := 0; ; turn++ {
			select {
			case <-stop:
				return
			case <-time.After(45 * time.Millisecond):
			}
			a := ask{id: newID(), prompt: randomPrompt(), budget: 15 * time.Second}
			addr := e.routers[turn%len(e.routers)].clientAddr()
			e.note("request %s sent to %s", a.id, addr)
			wait.Go(func() {
				got := send(context.Background(), addr, a)
				e.note("request %s: status %d, events %d, whole %t, has the last one %t, %v", a.id, got.status, got.last, got.whole, got.final, got.err)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case got.status != 200:
					ended["refused or failed"]++
				case got.whole && got.final:
					ended["complete"]++
				case got.whole:
					ended["ends as complete before its last event"]++
					short++
				default:
					ended["cut"]++
				}
			})
		}
	})
	e.sleepUntil(12)
	for round := range 6 {
		b := pair[round%2]
		if e.trouble {
			// LOSS=0 leaves the loss of packets out, to tell which disruption matters.
			lossy.Store(os.Getenv("LOSS") != "0")
			time.AfterFunc(lossTime, func() { lossy.Store(false) })
			time.Sleep(2 * time.Second)
			_ = b.worker.command.Process.Signal(syscall.SIGKILL)
			_ = b.link.listener.Close()
			<-b.worker.exited
			e.record("links of %s lose packets; worker %s killed", spec.Zone, b.worker.id)
			id := b.worker.id
			time.AfterFunc(lapse, func() { e.store.Delete("servers", id) })
			time.Sleep(4500 * time.Millisecond)
			next, err := start()
			if err != nil {
				return false, err
			}
			pair[round%2] = next
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	wait.Wait()
	e.record("streams: %v", ended)
	return short == 0, nil
}
