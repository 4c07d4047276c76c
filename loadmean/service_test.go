package loadmean

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/peer"
)

// wire connects services in memory.
type wire struct {
	mu       sync.Mutex
	services map[string]*Service
}

type end struct {
	wire *wire
	self fleet.RouterID
}

func (e end) Call(context.Context, string, peer.Method, any, any) error {
	return peer.ErrNoHandler
}

func (e end) Send(addr string, _ peer.Method, msg any) error {
	payload, err := peer.Encode(msg)
	if err != nil {
		return err
	}
	e.wire.mu.Lock()
	s := e.wire.services[addr]
	e.wire.mu.Unlock()
	s.handle(e.self, payload)
	return nil
}

func TestServicesShareAMean(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	w := &wire{services: map[string]*Service{}}
	routers := []fleet.Router{
		{ID: "r-1", Domain: "a", PeerAddr: "r-1"},
		{ID: "r-2", Domain: "a", PeerAddr: "r-2"},
		{ID: "r-3", Domain: "b", PeerAddr: "r-3"},
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, r := range routers {
		s := New(Config{
			Self: r, Caller: end{w, r.ID}, Members: func() []fleet.Router { return routers },
			Clock: time.Now, Log: zerolog.Nop(),
		})
		w.services[r.PeerAddr] = s
	}
	for _, r := range routers {
		s := w.services[r.PeerAddr]
		s.Report("chat", 4, 8)
		running.Go(func() { _ = s.Run(ctx) })
	}
	w.services["r-3"].Report("chat", 4, 20)
	want := Mean{Value: 3, DomainValue: 2, Targets: 12, Fresh: true}
	for range 2000 {
		if w.services["r-1"].Mean("chat") == want {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	if got := w.services["r-1"].Mean("chat"); got != want {
		t.Errorf("mean: got %+v, want %+v", got, want)
	}
	others := w.services["r-1"].Others("chat")
	if others.Requests != 28 || others.Weight != 8 {
		t.Errorf("others: got %+v, want 28 over 8", others)
	}
	stop()
	running.Wait()
}
