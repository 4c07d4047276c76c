// Package testbed runs a complete fleet in one process on loopback: a stand-in
// platform, a stand-in engine or service for every target in the given settings,
// and routers as library instances. The demo, the experiments and failure tests
// use it as their testbed.
package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/objectclient"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/router"
	"ragwortpond.example/ragwortpond/router/orders"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/standin"
)

const (
	loopback     = "127.0.0.1:0"
	readyTimeout = 20 * time.Second
	pollInterval = 5 * time.Millisecond
)

// Config configures a Testbed.
type Config struct {
	// Objects are the settings documents. Start starts a stand-in for each target
	// and writes its address into the target's document, and generates keys for
	// client accounts and tokens for operators.
	Objects []objectapi.Object
	// RoutersPerDomain is the number of routers in each failure domain.
	RoutersPerDomain int
	// Policy is the placement policy of the routers; empty selects the default.
	Policy placement.Policy
	// Engine modifies the configuration of each stand-in engine before it starts.
	// It may be nil.
	Engine func(*standin.EngineConfig)
	// Service modifies the configuration of each stand-in plain service before it
	// starts. It may be nil.
	Service func(*standin.ServiceConfig)
	// Platform configures the stand-in platform.
	Platform standin.PlatformConfig
	// OperatorAPI enables the administration API on every router.
	OperatorAPI bool
	// EngineClient wraps the engine client of each router, for instrumentation.
	// It may be nil.
	EngineClient func(engine.Client) engine.Client
	// WrapJournal wraps or replaces the order journal of each router, for experiments.
	// It receives the router's own journal and its object store client. It may be
	// nil.
	WrapJournal func(own orders.Journal, store objectapi.Store) orders.Journal
	Seed        uint64
	Log         zerolog.Logger
}

// Testbed is a running fleet. Its methods are safe for concurrent use.
type Testbed struct {
	cfg       Config
	authority *keys.Authority
	rng       *rand.Rand

	Platform *standin.Platform
	Store    *objectclient.Client
	// AccountKeys holds an API key for each client account, OperatorTokens a token
	// for each operator. Start fills both; they do not change afterwards.
	AccountKeys    map[fleet.AccountName]string
	OperatorTokens map[string]string

	mu       sync.Mutex
	engines  map[fleet.TargetID]*standin.Engine
	services map[fleet.TargetID]*standin.Service
	members  []*RunningRouter
	domains  map[fleet.DomainName]fleet.RegionName
	vms      map[string]objectapi.VM
}

// Start starts a fleet and waits until every router is ready and has all others
// in its membership view. The caller must call Close. On error, Start stops
// whatever it started and returns a nil Testbed.
func Start(ctx context.Context, cfg Config) (*Testbed, error) {
	b := &Testbed{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		AccountKeys: map[fleet.AccountName]string{}, OperatorTokens: map[string]string{},
		engines: map[fleet.TargetID]*standin.Engine{}, services: map[fleet.TargetID]*standin.Service{},
		domains: map[fleet.DomainName]fleet.RegionName{}, vms: map[string]objectapi.VM{},
	}
	if err := b.start(ctx); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

func (b *Testbed) start(ctx context.Context) error {
	var err error
	if b.authority, err = keys.NewAuthority("ragwortpond development"); err != nil {
		return err
	}
	if b.cfg.Platform.Addr == "" {
		b.cfg.Platform.Addr = loopback
	}
	if b.Platform, err = standin.StartPlatform(b.cfg.Platform); err != nil {
		return fmt.Errorf("testbed: platform: %w", err)
	}
	b.Store = objectclient.NewClient(objectclient.ClientConfig{Addr: b.Platform.Addr()})
	if err := b.loadDocuments(ctx); err != nil {
		return err
	}
	for _, domain := range sortedKeys(b.domains) {
		for i := range b.cfg.RoutersPerDomain {
			id := fleet.RouterID(fmt.Sprintf("%s-r%d", domain, i+1))
			if _, err := b.StartRouter(id, domain); err != nil {
				return err
			}
		}
	}
	return b.WaitReady(ctx)
}

// Engine returns the stand-in engine of a target, or nil if there is none.
func (b *Testbed) Engine(id fleet.TargetID) *standin.Engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.engines[id]
}

// Engines returns the stand-in engines sorted by target ID.
func (b *Testbed) Engines() []*standin.Engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []*standin.Engine
	for _, id := range sortedKeys(b.engines) {
		all = append(all, b.engines[id])
	}
	return all
}

// Services returns the stand-in plain services sorted by target ID.
func (b *Testbed) Services() []*standin.Service {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []*standin.Service
	for _, id := range sortedKeys(b.services) {
		all = append(all, b.services[id])
	}
	return all
}

// Routers returns all routers, including stopped ones, in start order.
func (b *Testbed) Routers() []*RunningRouter {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*RunningRouter(nil), b.members...)
}

// WaitReady waits until every running router is ready and has as many routers in
// its membership view as are running. It returns an error when ctx ends or after
// 20 s.
func (b *Testbed) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !b.allReady() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("testbed: routers not ready: %w", ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func (b *Testbed) allReady() bool {
	members := b.Routers()
	running := 0
	for _, m := range members {
		if m.Running() {
			running++
		}
	}
	for _, m := range members {
		if m.Running() && (!m.Router.Ready() || len(m.Router.View().Routers) != running) {
			return false
		}
	}
	return true
}

// Snapshot returns the settings snapshot in force on the first router.
func (b *Testbed) Snapshot() *settings.Snapshot {
	return b.Routers()[0].Router.Snapshot()
}

// Close kills all routers and stand-ins without draining them.
func (b *Testbed) Close() {
	var wg sync.WaitGroup
	for _, m := range b.Routers() {
		wg.Go(m.Kill)
	}
	wg.Wait()
	for _, e := range b.Engines() {
		e.Kill()
	}
	for _, s := range b.Services() {
		s.Kill()
	}
	if b.Platform != nil {
		b.Platform.Close()
	}
}

// RunningRouter is one router of a Testbed.
type RunningRouter struct {
	Router *router.Router
	// Metrics holds the metrics of this router alone.
	Metrics *metrics.Set
	cancel  context.CancelFunc
	done    chan struct{}
	err     error
}

// Running reports whether the router's Run method has not returned yet.
func (m *RunningRouter) Running() bool {
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

// Kill stops the router without draining it and waits until it has stopped.
func (m *RunningRouter) Kill() {
	m.cancel()
	<-m.done
}

// Stop drains the router, then stops it and waits until it has stopped. It
// returns the error of the drain.
func (m *RunningRouter) Stop(ctx context.Context) error {
	err := m.Router.Drain(ctx)
	m.Kill()
	return err
}

// CallerURL returns the base URL of the router's caller API.
func (m *RunningRouter) CallerURL() string {
	return "http://" + m.Router.CallerAddr()
}
