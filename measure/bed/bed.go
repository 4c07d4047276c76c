// Package bed runs a whole fleet in one process on loopback: a stand-in
// platform, stand-in engines and services for every target of the given
// settings, and routers as library instances. The demo and the experiments use
// it, and focused failure tests.
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

// Config says what to run.
type Config struct {
	// Objects are the settings documents. Targets get stand-ins and their
	// addresses; client accounts and operators get keys made here.
	Objects []objectapi.Object
	// RoutersPerDomain is the number of routers in each failure domain.
	RoutersPerDomain int
	// Policy is the placement policy of the routers; empty is the default.
	Policy placement.Policy
	// Engine changes the configuration of each stand-in engine; nil keeps it.
	Engine func(*standin.EngineConfig)
	// Service changes the configuration of each stand-in plain service.
	Service func(*standin.ServiceConfig)
	// Platform configures the stand-in platform.
	Platform standin.PlatformConfig
	// Operators gives every router an administration API.
	Operators bool
	// EngineClient wraps the engine client, for experiments on it.
	EngineClient func(engine.Client) engine.Client
	// Journal replaces the journal that orders use, for experiments on it.
	Journal func(own orders.Journal, store objectapi.Store) orders.Journal
	Seed    uint64
	Log     zerolog.Logger
}

// Bed is a running fleet. Its methods are safe for concurrent use.
type Bed struct {
	cfg       Config
	authority *keys.Authority
	rand      *rand.Rand

	Platform *standin.Platform
	Store    *objectclient.Client
	// AccountKeys holds a key for each client account, OperatorTokens a token
	// for each operator.
	AccountKeys    map[fleet.AccountName]string
	OperatorTokens map[string]string

	mu       sync.Mutex
	engines  map[fleet.TargetID]*standin.Engine
	services map[fleet.TargetID]*standin.Service
	routers  []*Member
	domains  map[fleet.DomainName]fleet.RegionName
	vms      map[string]objectapi.VM
}

// Start starts a fleet and waits until every router is ready and sees all
// others. Close ends it, also after an error of Start.
func Start(ctx context.Context, cfg Config) (*Bed, error) {
	b := &Bed{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
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
	if err := b.load(ctx); err != nil {
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

// Engine returns the stand-in engine of a target, nil if there is none.
func (b *Bed) Engine(id fleet.TargetID) *standin.Engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.engines[id]
}

// Engines returns the stand-in engines sorted by target.
func (b *Bed) Engines() []*standin.Engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []*standin.Engine
	for _, id := range sortedKeys(b.engines) {
		all = append(all, b.engines[id])
	}
	return all
}

// Services returns the stand-in plain services sorted by target.
func (b *Bed) Services() []*standin.Service {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []*standin.Service
	for _, id := range sortedKeys(b.services) {
		all = append(all, b.services[id])
	}
	return all
}

// Members returns the routers in the order of their start.
func (b *Bed) Members() []*Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*Member(nil), b.routers...)
}

// WaitReady waits until every running router takes requests and sees all
// others.
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

// Snapshot returns the settings in force on the first router.
func (b *Bed) Snapshot() *settings.Snapshot {
	return b.Members()[0].Router.Snapshot()
}

// Close ends everything at once.
func (b *Bed) Close() {
	var wait sync.WaitGroup
	for _, m := range b.Members() {
		wait.Go(m.Kill)
	}
	wait.Wait()
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

// Member is one router of the bed.
type Member struct {
	Router *router.Router
	// Metrics are the router's own.
	Metrics *metrics.Set
	cancel  context.CancelFunc
	done    chan struct{}
	err     error
}

// Running reports whether the router has not been stopped.
func (m *Member) Running() bool {
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

// Kill ends the router at once and waits for it.
func (m *Member) Kill() {
	m.cancel()
	<-m.done
}

// Stop stops the router as planned and waits for it.
func (m *Member) Stop(ctx context.Context) error {
	err := m.Router.Drain(ctx)
	m.Kill()
	return err
}

// CallerURL is the base URL of the router's face towards callers.
func (m *Member) CallerURL() string {
	return "http://" + m.Router.CallerAddr()
}
