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

// memoryNetwork connects services in memory.
type memoryNetwork struct {
	mu       sync.Mutex
	services map[string]*Service
}

type memoryCaller struct {
	network *memoryNetwork
	self    fleet.RouterID
}

func (e memoryCaller) Call(context.Context, string, peer.Method, any, any) error {
	return peer.ErrNoHandler
}

func (c memoryCaller) Send(addr string, _ peer.Method, msg any) error {
	payload, err := peer.Encode(msg)
	if err != nil {
		return err
	}
	c.network.mu.Lock()
	s := c.network.services[addr]
	c.network.mu.Unlock()
	s.handle(c.self, payload)
	return nil
}

func TestServicesAgreeOnMean(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	network := &memoryNetwork{services: map[string]*Service{}}
	routers := []fleet.Router{
		{ID: "r-1", Domain: "a", PeerAddr: "r-1"},
		{ID: "r-2", Domain: "a", PeerAddr: "r-2"},
		{ID: "r-3", Domain: "b", PeerAddr: "r-3"},
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, r := range routers {
		s := New(Config{
			Self: r, PeerClient: memoryCaller{network, r.ID}, Members: func() []fleet.Router { return routers },
			Clock: time.Now, Log: zerolog.Nop(),
		})
		network.services[r.PeerAddr] = s
	}
	for _, r := range routers {
		s := network.services[r.PeerAddr]
		s.ReportLoad("chat", 4, 8)
		running.Go(func() { _ = s.Run(ctx) })
	}
	network.services["r-3"].ReportLoad("chat", 4, 20)
	want := Mean{Value: 3, DomainValue: 2, Weight: 12, Fresh: true}
	for range 2000 {
		if network.services["r-1"].Mean("chat") == want {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	if got := network.services["r-1"].Mean("chat"); got != want {
		t.Errorf("mean: got %+v, want %+v", got, want)
	}
	others := network.services["r-1"].PeerLoad("chat")
	if others.Requests != 28 || others.Weight != 8 {
		t.Errorf("others: got %+v, want 28 requests and weight 8", others)
	}
	stop()
	running.Wait()
}
