package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/settings"
)

// memoryNetwork connects services in memory. Each address maps to one service.
type memoryNetwork struct {
	mu       sync.Mutex
	services map[string]*Service
}

func (n *memoryNetwork) find(addr string) (*Service, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, ok := n.services[addr]
	if !ok {
		return nil, peer.ErrUnreachable
	}
	return s, nil
}

// memoryCaller is the peer.Client of one router.
type memoryCaller struct {
	network *memoryNetwork
	self    fleet.RouterID
}

func (c memoryCaller) Call(ctx context.Context, addr string, _ peer.Method, req, resp any) error {
	s, err := c.network.find(addr)
	if err != nil {
		return err
	}
	payload, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	answer, err := s.handleSync(ctx, c.self, payload)
	if err != nil {
		return err
	}
	encoded, err := cbor.Marshal(answer)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(encoded, resp)
}

func (c memoryCaller) Send(addr string, _ peer.Method, msg any) error {
	s, err := c.network.find(addr)
	if err != nil {
		return err
	}
	payload, err := cbor.Marshal(msg)
	if err != nil {
		return err
	}
	if len(payload) > peer.MaxDatagramBytes {
		return peer.ErrFrameTooLarge
	}
	s.handleHeartbeat(c.self, payload)
	return nil
}

type vmLister []objectapi.VM

func (l vmLister) VMs(context.Context) ([]objectapi.VM, error) {
	return l, nil
}

func fastValues() settings.Membership {
	return settings.Membership{HeartbeatMS: 20, Fanout: 3, SuspectMS: 300, RemoveMS: 300, VMListMS: 100}
}

func TestServicesJoinLeaveAndShutDown(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	const n = 4
	network := &memoryNetwork{services: map[string]*Service{}}
	var vms vmLister
	for i := range n {
		r := testRouter(i)
		vms = append(vms, objectapi.VM{Name: string(r.ID), Domain: r.Domain, State: fleet.Live, PeerAddr: r.PeerAddr})
	}
	var running sync.WaitGroup
	var stops []context.CancelFunc
	var services []*Service
	for i := range n {
		r := testRouter(i)
		s := New(Config{
			Self: r, VMs: vms, PeerClient: memoryCaller{network, r.ID}, Values: fastValues, Clock: time.Now,
			Rand: rand.New(rand.NewPCG(1, uint64(i))), Log: zerolog.Nop(),
		})
		network.mu.Lock()
		network.services[r.PeerAddr] = s
		network.mu.Unlock()
		ctx, stop := context.WithCancel(context.Background())
		stops = append(stops, stop)
		services = append(services, s)
		running.Go(func() {
			if err := s.Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	for _, s := range services {
		await.Until(t, "all routers to be alive in each view", func() bool { return aliveCount(s.View()) == n })
	}
	if err := services[0].Leave(context.Background()); err != nil {
		t.Fatal(err)
	}
	changes := services[1].Subscribe()
	await.Until(t, "the leaving router to drop out of the view", func() bool { return len(services[1].View().Routers) == n-1 })
	stops[0]()
	await.Until(t, "the stopped router to be gone", func() bool { return routerState(services[1].View(), "router-0") == Removed })
	<-changes
	for _, stop := range stops {
		stop()
	}
	running.Wait()
}

func aliveCount(v *View) int {
	n := 0
	for _, m := range v.Members {
		if m.Router.Incarnation > 0 && m.State == Alive {
			n++
		}
	}
	return n
}

func routerState(v *View, id fleet.RouterID) State {
	for _, m := range v.Members {
		if m.Router.ID == id {
			return m.State
		}
	}
	return Removed
}
