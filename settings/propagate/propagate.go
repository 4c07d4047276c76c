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
	// ErrInterrupted means that a transfer of several pages must start again.
	ErrInterrupted = errors.New("propagate: transfer interrupted")
	// ErrNoSource means that neither the platform nor a peer provided settings.
	ErrNoSource = errors.New("propagate: no source of settings")
)

// Timing holds periods and timeouts. A zero field stands for its default.
type Timing struct {
	// Digest is the time between digest exchanges.
	Digest time.Duration
	// Watch is the maximum wait of one watch on the platform.
	Watch time.Duration
	// Role is the time between checks whether this router is a watcher.
	Role time.Duration
	// Retry is the mean wait after the first failed watch or load; it doubles with
	// each further failure.
	Retry time.Duration
	// Call is the timeout of one call to a peer.
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

// Config holds the dependencies and parameters of a Service.
type Config struct {
	Self       fleet.Router
	Store      objectapi.Store
	PeerClient peer.Client
	// Members returns the live routers, with or without Self. It must be cheap
	// and safe for concurrent use.
	Members func() []fleet.Router
	// Neighbours returns the routers to exchange digests with, to which
	// connections are kept open. If it is nil or returns none, any of Members is
	// used. It must be cheap and safe for concurrent use, and the graph of
	// neighbours must connect all routers.
	Neighbours func() []fleet.Router
	Log        zerolog.Logger
	Metrics    *metrics.Set
	// Clock returns the time; nil means time.Now.
	Clock func() time.Time
	// IntN returns a random number in [0, n). It must be safe for concurrent use;
	// nil means rand.IntN of math/rand/v2.
	IntN   func(n int) int
	Timing Timing
	// Watchers is the number of routers in each failure domain that watch the
	// platform; zero means two.
	Watchers int

	// pageBytes is the size in bytes from which a page takes no more entries; zero
	// means defaultPageBytes. Tests use small pages.
	pageBytes int
}

// Service keeps one router's settings up to date. Its methods are safe for
// concurrent use.
type Service struct {
	config   Config
	counters *metrics.Settings
	owner    atomic.Pointer[stateOwner]
	// builder is used only by the state owner's task.
	builder          *settings.Builder
	snapshot         atomic.Pointer[settings.Snapshot]
	complete         atomic.Uint64
	ready            chan struct{}
	loaded           atomic.Bool
	queuedPages      chan Page
	queuedPulls      chan fleet.RouterID
	activePushes     activePushes
	mu               sync.Mutex
	subscribers      map[int]func(*settings.Snapshot)
	nextSubscriberID int
}

// maxQueuedPages is the maximum number of changes queued to be pushed; further
// ones are dropped and transferred by the digest exchange.
const maxQueuedPages = 256

// New returns a Service without settings. Run loads them.
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
		config:       config,
		counters:     metrics.NewSettings(config.Metrics.Registry),
		builder:      settings.NewBuilder(),
		ready:        make(chan struct{}),
		queuedPages:  make(chan Page, maxQueuedPages),
		queuedPulls:  make(chan fleet.RouterID, maxQueuedPulls),
		activePushes: activePushes{needsMore: map[fleet.RouterID]bool{}},
		subscribers:  map[int]func(*settings.Snapshot){},
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

// Snapshot returns the settings in force. It is never nil, and is empty until
// settings have been loaded.
func (p *Service) Snapshot() *settings.Snapshot {
	return p.snapshot.Load()
}

// Revision returns the platform revision up to which every accepted change is
// in force on this router; zero until settings have been loaded.
func (p *Service) Revision() uint64 {
	return p.complete.Load()
}

// Ready returns a channel that is closed once the settings have been loaded.
func (p *Service) Ready() <-chan struct{} {
	return p.ready
}

// Subscribe calls f with each new snapshot, one at a time and in order, until
// cancel is called. f must not block.
func (p *Service) Subscribe(f func(*settings.Snapshot)) (cancel func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := p.nextSubscriberID
	p.nextSubscriberID++
	p.subscribers[id] = f
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.subscribers, id)
	}
}

// Run loads the settings and then keeps them up to date until ctx ends. It
// returns nil when ctx ends, after all its goroutines have stopped. It returns
// an error only if it cannot start.
func (p *Service) Run(ctx context.Context) error {
	stop, err := p.startOwner()
	if err != nil {
		return err
	}
	defer stop()
	if err := p.loadUntilReady(ctx); err != nil {
		return nil
	}
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){p.watchLoop, p.digestLoop, p.pushLoop, p.pullLoop} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
	p.activePushes.running.Wait()
	return nil
}

// startOwner starts the task that owns the state and returns a function that
// stops it.
func (p *Service) startOwner() (stop func(), err error) {
	pool, err := task.NewPool(1)
	if err != nil {
		return nil, err
	}
	owner, err := newStateOwner(pool, p.config.pageBytes, p.publish)
	if err != nil {
		pool.Release()
		return nil, err
	}
	p.owner.Store(owner)
	return func() {
		owner.task.Stop()
		pool.Release()
	}, nil
}

// publish puts objects in force if they have changed, and sets the complete
// revision. It is called by the state owner's task.
func (p *Service) publish(objects []objectapi.Object, complete uint64, changed bool) {
	if changed {
		p.rebuild(objects)
	}
	p.complete.Store(complete)
	p.config.Metrics.SettingsRevision.Set(float64(complete))
}

// rebuild builds a snapshot, logs its findings, stores it and notifies the
// subscribers.
func (p *Service) rebuild(objects []objectapi.Object) {
	snapshot, findings := p.builder.Build(objects)
	p.counters.Findings.Set(float64(len(findings)))
	if len(findings) > 0 {
		event.SettingsFindings.Log(p.config.Log).Int("findings", len(findings)).Stringer("first", findings[0]).Send()
	}
	p.snapshot.Store(snapshot)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, notify := range p.subscribers {
		notify(snapshot)
	}
}

func (p *Service) markReady(ctx context.Context) error {
	digest, err := p.localDigest(ctx)
	if err != nil {
		return err
	}
	p.loaded.Store(true)
	event.SettingsReady.Log(p.config.Log).Uint64("revision", digest.Complete).Send()
	close(p.ready)
	return nil
}

// jitter returns a random duration between half of d and one and a half of d.
func (p *Service) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.config.IntN(int(d)))
}
