package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/loadmean"
	"ragwortpond.example/ragwortpond/membership"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/settings/propagate"
	"ragwortpond.example/ragwortpond/sleep"
	"ragwortpond.example/ragwortpond/standin"
	"ragwortpond.example/ragwortpond/task"
)

const (
	controlPoolSize      = 256
	controlSettleTimeout = 20 * time.Second
	controlPollInterval  = 20 * time.Millisecond
	controlAccount       = "quiet"
	// loadChangeInterval is the time between two load reports of one home.
	loadChangeInterval = 100 * time.Millisecond
)

// controlFleet runs the control plane of routers on loopback: membership, load
// means and settings, over real peer connections, without callers and targets.
type controlFleet struct {
	store  *standin.Objects
	nodes  []*controlNode
	wg     sync.WaitGroup
	cancel context.CancelFunc
}

type controlNode struct {
	self     fleet.Router
	node     *peer.Endpoint
	pool     *task.Pool
	metrics  *metrics.Set
	members  *membership.Service
	means    *loadmean.Service
	settings *propagate.Service
	// homeTargets is the number of targets per service whose home is the router.
	homeTargets map[fleet.ServiceName]int
}

// controlSize is the fleet size of one run.
type controlSize struct {
	Routers  int `json:"routers"`
	Targets  int `json:"targets"`
	Services int `json:"services"`
}

func startControlFleet(ctx context.Context, size controlSize, seed uint64, log zerolog.Logger) (*controlFleet, error) {
	f := &controlFleet{store: standin.NewObjects(standin.ObjectsConfig{})}
	ctx, f.cancel = context.WithCancel(ctx)
	if err := f.build(ctx, size, seed, log); err != nil {
		f.close()
		return nil, err
	}
	if err := f.waitSettled(ctx); err != nil {
		f.close()
		return nil, err
	}
	for i, n := range f.nodes {
		f.wg.Go(func() { n.reportLoads(ctx, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	return f, nil
}

func (f *controlFleet) build(ctx context.Context, size controlSize, seed uint64, log zerolog.Logger) error {
	for _, o := range chatFleetObjects(document{}) {
		if _, err := f.store.Put(ctx, o.Kind, o.Name, o.Data, 0); err != nil {
			return err
		}
	}
	authority, err := keys.NewAuthority("ragwortpond experiment")
	if err != nil {
		return err
	}
	var vms []objectapi.VM
	for i := range size.Routers {
		n, err := f.newNode(authority, i, seed, log)
		if err != nil {
			return err
		}
		vms = append(vms, objectapi.VM{Name: string(n.self.ID), Domain: n.self.Domain, State: fleet.Live, PeerAddr: n.self.PeerAddr})
	}
	for i := range size.Targets {
		service := fleet.ServiceName(fmt.Sprintf("service-%d", i%size.Services))
		f.nodes[(i/size.Services)%len(f.nodes)].homeTargets[service]++
	}
	f.store.SetVMs(vms)
	for _, n := range f.nodes {
		n.node.Start()
		f.wg.Go(func() { _ = n.members.Run(ctx) })
		f.wg.Go(func() { _ = n.means.Run(ctx) })
		f.wg.Go(func() { _ = n.settings.Run(ctx) })
	}
	return nil
}

func (f *controlFleet) newNode(authority *keys.Authority, i int, seed uint64, log zerolog.Logger) (*controlNode, error) {
	domain := domainName(i)
	id := fleet.RouterID(fmt.Sprintf("%s-r%d", domain, i+1))
	pair, err := authority.Issue(string(id), []string{"127.0.0.1"})
	if err != nil {
		return nil, err
	}
	tlsConfig, err := keys.PeerTLS(pair, authority.KeyPair().Cert, peer.Protocol)
	if err != nil {
		return nil, err
	}
	n := &controlNode{metrics: metrics.NewSet(), homeTargets: map[fleet.ServiceName]int{}}
	if n.pool, err = task.NewPool(controlPoolSize); err != nil {
		return nil, err
	}
	mux := peer.NewMux()
	n.node, err = peer.Bind(peer.Config{Addr: "127.0.0.1:0", TLS: tlsConfig, Mux: mux, Pool: n.pool, Metrics: n.metrics, Log: log})
	if err != nil {
		n.pool.Release()
		return nil, err
	}
	f.nodes = append(f.nodes, n)
	n.self = fleet.Router{ID: id, Domain: domain, Region: chatRegion, PeerAddr: n.node.Addr()}
	n.initServices(f.store, mux, rand.New(rand.NewPCG(seed, uint64(i))), log)
	return n, nil
}

func (n *controlNode) initServices(store *standin.Objects, mux *peer.Mux, rng *rand.Rand, log zerolog.Logger) {
	routers := func() []fleet.Router { return n.members.View().Routers }
	n.members = membership.New(membership.Config{
		Self: n.self, VMs: store, PeerClient: n.node, Clock: time.Now, Rand: rng, Log: log, Metrics: n.metrics,
		Values: func() settings.Membership { return settings.Defaults().Membership },
	})
	n.members.Register(mux)
	n.means = loadmean.New(loadmean.Config{Self: n.self, PeerClient: n.node, Members: routers, Clock: time.Now, Log: log})
	n.means.Register(mux)
	n.settings = propagate.New(propagate.Config{
		Self: n.self, Store: store, PeerClient: n.node, Members: routers, Log: log, Metrics: n.metrics,
		Neighbours: func() []fleet.Router { return n.members.View().Neighbours },
	})
	n.settings.Register(mux)
}

// waitSettled waits until every router has a settings snapshot and lists all
// routers as alive. It returns an error when ctx ends or after
// controlSettleTimeout.
func (f *controlFleet) waitSettled(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, controlSettleTimeout)
	defer cancel()
	for !f.isSettled() {
		if ctx.Err() != nil {
			return fmt.Errorf("control fleet of %d routers did not settle: %w", len(f.nodes), ctx.Err())
		}
		_ = sleep.For(ctx, controlPollInterval)
	}
	return nil
}

func (f *controlFleet) isSettled() bool {
	for _, n := range f.nodes {
		if n.settings.Snapshot() == nil {
			return false
		}
		alive := 0
		for _, m := range n.members.View().Members {
			if m.Router.Incarnation > 0 && m.State == membership.Alive {
				alive++
			}
		}
		if alive != len(f.nodes) {
			return false
		}
	}
	return true
}

// reportLoads reports loads that change in random steps, as those of busy targets
// do, until ctx ends.
func (n *controlNode) reportLoads(ctx context.Context, rng *rand.Rand) {
	loads := map[fleet.ServiceName]float64{}
	for ctx.Err() == nil {
		for service, targets := range n.homeTargets {
			step := float64(rng.IntN(2*targets+1) - targets)
			loads[service] = min(max(loads[service]+step, 0), float64(20*targets))
			n.means.ReportLoad(service, targets, loads[service])
		}
		_ = sleep.For(ctx, loadChangeInterval)
	}
}

func (f *controlFleet) close() {
	f.cancel()
	f.wg.Wait()
	for _, n := range f.nodes {
		n.node.Close()
		n.pool.Release()
	}
}
