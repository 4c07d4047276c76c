// Package bed runs a complete fleet in one process on loopback: a stand-in
// platform, a stand-in engine or service for every target in the given settings,
// and routers as library instances. The demo, the experiments and failure tests
// use it as their test bed.
package bed

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

// Config configures a Bed.
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
	// Operators enables the administration API on every router.
	Operators bool
	// EngineClient wraps the engine client of each router, for instrumentation.
	// It may be nil.
	EngineClient func(engine.Client) engine.Client
	// Journal wraps or replaces the order journal of each router, for experiments.
	// It receives the router's own journal and its object store client. It may be
	// nil.
	Journal func(own orders.Journal, store objectapi.Store) orders.Journal
	Seed    uint64
	Log     zerolog.Logger
}

// Bed is a running fleet. Its methods are safe for concurrent use.
type Bed struct {
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
	members  []*Member
	domains  map[fleet.DomainName]fleet.RegionName
	vms      map[string]objectapi.VM
}

// Start starts a fleet and waits until every router is ready and has all others
// in its membership view. The caller must call Close. On error, Start stops
// whatever it started and returns a nil Bed.
func Start(ctx context.Context, cfg Config) (*Bed, error) {
	b := &Bed{
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

func (b *Bed) start(ctx context.Context) error {
	var err error
	if b.authority, err = keys.NewAuthority("ragwortpond development"); err != nil {
		return err
	}
	if b.cfg.Platform.Addr == "" {
		b.cfg.Platform.Addr = loopback
	}
	if b.Platform, err = standin.StartPlatform(b.cfg.Platform); err != nil {
		return fmt.Errorf("bed: platform: %w", err)
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
func (b *Bed) Engine(id fleet.TargetID) *standin.Engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.engines[id]
}

// Engines returns the stand-in engines sorted by target ID.
func (b *Bed) Engines() []*standin.Engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []*standin.Engine
	for _, id := range sortedKeys(b.engines) {
		all = append(all, b.engines[id])
	}
	return all
}

// Services returns the stand-in plain services sorted by target ID.
func (b *Bed) Services() []*standin.Service {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []*standin.Service
	for _, id := range sortedKeys(b.services) {
		all = append(all, b.services[id])
	}
	return all
}

// Members returns all routers, including stopped ones, in start order.
func (b *Bed) Members() []*Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*Member(nil), b.members...)
}

// WaitReady waits until every running router is ready and has as many routers in
// its membership view as are running. It returns an error when ctx ends or after
// 20 s.
func (b *Bed) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !b.allReady() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("bed: routers not ready: %w", ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func (b *Bed) allReady() bool {
	members := b.Members()
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
func (b *Bed) Snapshot() *settings.Snapshot {
	return b.Members()[0].Router.Snapshot()
}

// Close kills all routers and stand-ins without draining them.
func (b *Bed) Close() {
	var wg sync.WaitGroup
	for _, m := range b.Members() {
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

// Member is one router of a Bed.
type Member struct {
	Router *router.Router
	// Metrics holds the metrics of this router alone.
	Metrics *metrics.Set
	cancel  context.CancelFunc
	done    chan struct{}
	err     error
}

// Running reports whether the router's Run method has not returned yet.
func (m *Member) Running() bool {
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

// Kill stops the router without draining it and waits until it has stopped.
func (m *Member) Kill() {
	m.cancel()
	<-m.done
}

// Stop drains the router, then stops it and waits until it has stopped. It
// returns the error of the drain.
func (m *Member) Stop(ctx context.Context) error {
	err := m.Router.Drain(ctx)
	m.Kill()
	return err
}

// CallerURL returns the base URL of the router's caller API.
func (m *Member) CallerURL() string {
	return "http://" + m.Router.CallerAddr()
}
