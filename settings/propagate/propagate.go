package propagate

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/task"
)

// Errors of the package. Callers test them with errors.Is.
var (
	// ErrNotReady means that this router has no settings yet.
	ErrNotReady = errors.New("propagate: no settings yet")
	// ErrInterrupted means that a transfer of the whole state must start again.
	ErrInterrupted = errors.New("propagate: transfer interrupted")
	// ErrNoSource means that neither the platform nor a peer had settings.
	ErrNoSource = errors.New("propagate: no source of settings")
)

// Timing holds the periods; a zero field takes its default.
type Timing struct {
	// Digest is the time between digest exchanges.
	Digest time.Duration
	// Watch is the longest wait of one watch on the platform.
	Watch time.Duration
	// Role is the time between checks whether this router is a watcher.
	Role time.Duration
	// Retry is the pause after a failed watch or start.
	Retry time.Duration
	// Call bounds one call to a peer.
	Call time.Duration
}

func (t Timing) withDefaults() Timing {
	setDefault(&t.Digest, time.Second)
	setDefault(&t.Watch, 10*time.Second)
	setDefault(&t.Role, time.Second)
	setDefault(&t.Retry, 250*time.Millisecond)
	setDefault(&t.Call, 2*time.Second)
	return t
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Config is what a Service needs.
type Config struct {
	Self   fleet.Router
	Store  objectapi.Store
	Caller peer.Caller
	// Members returns the live routers, with or without Self. It must be cheap
	// and safe for concurrent use.
	Members func() []fleet.Router
	// Neighbours returns the routers to exchange digests with, to which
	// connections stand; nil means any of Members. It must be cheap and safe
	// for concurrent use, and neighbourhoods must connect all routers.
	Neighbours func() []fleet.Router
	Log        zerolog.Logger
	Metrics    *metrics.Set
	// Clock returns the time; nil means time.Now.
	Clock func() time.Time
	// IntN returns a random number from 0 to below n and is safe for concurrent
	// use; nil means that of math/rand.
	IntN   func(n int) int
	Timing Timing
	// Watchers is the number of routers of each failure domain that hold a watch
	// on the platform; zero means two.
	Watchers int

	// pageBytes bounds one message's data in bytes; tests make it small.
	pageBytes int
}

// Service keeps one router's settings up to date. Its methods are safe for
// concurrent use.
type Service struct {
	config   Config
	counters *metrics.Settings
	owner    atomic.Pointer[owner]
	// builder is used by the owner's task only.
	builder  *settings.Builder
	snapshot atomic.Pointer[settings.Snapshot]
	complete atomic.Uint64
	ready    chan struct{}
	loaded   atomic.Bool
	outbox   chan Page
	pulls    chan fleet.RouterID
	pushes   pushes
	mu       sync.Mutex
	watchers map[int]func(*settings.Snapshot)
	nextID   int
}

// outboxPages bounds the changes that wait to be pushed; further ones are left
// to the digest exchange.
const outboxPages = 256

// New returns a Service without settings; Run fills it.
func New(config Config) *Service {
	if config.Clock == nil {
		config.Clock = time.Now
	}
	if config.IntN == nil {
		config.IntN = rand.IntN
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	if config.Watchers == 0 {
		config.Watchers = defaultWatchers
	}
	if config.pageBytes == 0 {
		config.pageBytes = defaultPageBytes
	}
	config.Timing = config.Timing.withDefaults()
	p := &Service{
		config:   config,
		counters: metrics.NewSettings(config.Metrics.Registry),
		builder:  settings.NewBuilder(),
		ready:    make(chan struct{}),
		outbox:   make(chan Page, outboxPages),
		pulls:    make(chan fleet.RouterID, pullsWaiting),
		pushes:   pushes{behind: map[fleet.RouterID]bool{}},
		watchers: map[int]func(*settings.Snapshot){},
	}
	empty, _ := settings.Build(nil)
	p.snapshot.Store(empty)
	return p
}

// Register adds the handlers of the settings methods to mux.
func (p *Service) Register(mux *peer.Mux) {
	mux.HandleCall(peer.MethodSettingsPush, p.handlePush)
	mux.HandleCall(peer.MethodSettingsDigest, p.handleDigest)
	mux.HandleCall(peer.MethodSettingsFetch, p.handleFetch)
}

// Snapshot returns the settings in force; before Ready it is empty, never nil.
func (p *Service) Snapshot() *settings.Snapshot {
	return p.snapshot.Load()
}

// Revision returns the platform revision up to which every accepted change is
// in force on this router; zero before Ready.
func (p *Service) Revision() uint64 {
	return p.complete.Load()
}

// Ready is closed once the settings are known.
func (p *Service) Ready() <-chan struct{} {
	return p.ready
}

// Subscribe calls f with each new snapshot, one at a time and in order, until
// the returned function is called. f must not block.
func (p *Service) Subscribe(f func(*settings.Snapshot)) (cancel func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := p.nextID
	p.nextID++
	p.watchers[id] = f
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.watchers, id)
	}
}

// Run loads the settings, then keeps them up to date until ctx ends. It returns
// after all it started has stopped, with nil when ctx ended it.
func (p *Service) Run(ctx context.Context) error {
	stop, err := p.start()
	if err != nil {
		return err
	}
	defer stop()
	if err := p.load(ctx); err != nil {
		return nil
	}
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){p.watchLoop, p.digestLoop, p.pushLoop, p.pullLoop} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
	p.pushes.running.Wait()
	return nil
}

// start begins the task that owns the state and returns what ends it.
func (p *Service) start() (stop func(), err error) {
	pool, err := task.NewPool(1)
	if err != nil {
		return nil, err
	}
	o, err := newOwner(pool, p.config.pageBytes, p.publish)
	if err != nil {
		pool.Release()
		return nil, err
	}
	p.owner.Store(o)
	return func() {
		o.task.Stop()
		pool.Release()
	}, nil
}

// publish builds and hands out a snapshot; the owner's task calls it.
func (p *Service) publish(objects []objectapi.Object, complete uint64, changed bool) {
	if changed {
		p.rebuild(objects)
	}
	p.complete.Store(complete)
	p.config.Metrics.SettingsRevision.Set(float64(complete))
}

func (p *Service) rebuild(objects []objectapi.Object) {
	snapshot, findings := p.builder.Build(objects)
	p.counters.Findings.Set(float64(len(findings)))
	if len(findings) > 0 {
		event.SettingsFindings.Log(p.config.Log).Int("findings", len(findings)).Stringer("first", findings[0]).Send()
	}
	p.snapshot.Store(snapshot)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.watchers {
		f(snapshot)
	}
}

func (p *Service) markReady(ctx context.Context) error {
	digest, err := p.digest(ctx)
	if err != nil {
		return err
	}
	p.loaded.Store(true)
	event.SettingsReady.Log(p.config.Log).Uint64("revision", digest.Complete).Send()
	close(p.ready)
	return nil
}

// jitter spreads a period over half to one and a half of it.
func (p *Service) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.config.IntN(int(d)))
}
