package measure

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/objectclient"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/settings/propagate"
	"ragwortpond.example/ragwortpond/sleep"
	"ragwortpond.example/ragwortpond/standin"
	"ragwortpond.example/ragwortpond/task"
)

const (
	settingsDomains      = 3
	settingsPoolSize     = 4096
	settingsPollInterval = 500 * time.Microsecond
	settingsAccount      = "measured"
)

// settingsFleet runs the settings services of routers over real peer nodes and a
// stand-in platform, without the other parts of a router.
type settingsFleet struct {
	policy    string
	options   Options
	authority *keys.Authority
	platform  *standin.Platform
	store     *objectclient.Client
	pool      *task.Pool
	version   uint64
	burst     int

	mu          sync.Mutex
	routers     []*settingsRouter
	stopped     []*settingsRouter
	restarts    int
	staleStarts int
}

// settingsRouter is the settings service of one router with its peer node.
type settingsRouter struct {
	self    fleet.Router
	node    *peer.Endpoint
	store   *objectclient.Client
	service *propagate.Service
	metrics *metrics.Set
	cancel  context.CancelFunc
	done    chan struct{}
	// lastBurst is the burst limit of the changed account in the latest snapshot.
	lastBurst atomic.Int64
	// reverts counts snapshots with a lower burst limit than the previous one.
	reverts atomic.Int64
}

func startSettingsFleet(ctx context.Context, o Options, policy string, size int) (*settingsFleet, error) {
	s := &settingsFleet{policy: policy, options: o}
	if err := s.start(ctx, size); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *settingsFleet) start(ctx context.Context, size int) error {
	var err error
	if s.authority, err = keys.NewAuthority("measure"); err != nil {
		return err
	}
	if s.pool, err = task.NewPool(settingsPoolSize); err != nil {
		return err
	}
	if s.platform, err = standin.StartPlatform(standin.PlatformConfig{Seed: s.options.Seed}); err != nil {
		return err
	}
	s.store = objectclient.NewClient(objectclient.ClientConfig{Addr: s.platform.Addr()})
	for _, object := range chatFleetObjects(document{}) {
		if _, err := s.store.Put(ctx, object.Kind, object.Name, object.Data, 0); err != nil {
			return err
		}
	}
	if _, err := s.putChange(ctx); err != nil {
		return err
	}
	for i := range size {
		domain := fleet.DomainName(fmt.Sprintf("domain-%d", i%settingsDomains))
		if err := s.startRouter(fleet.RouterID(fmt.Sprintf("%s-r%d", domain, i)), domain); err != nil {
			return err
		}
	}
	return s.waitReady(ctx)
}

// startRouter starts the settings service of one router and adds it to the members.
func (s *settingsFleet) startRouter(id fleet.RouterID, domain fleet.DomainName) error {
	pair, err := s.authority.Issue(string(id), []string{"127.0.0.1"})
	if err != nil {
		return err
	}
	tlsConfig, err := keys.PeerTLS(pair, s.authority.KeyPair().Cert, peer.Protocol)
	if err != nil {
		return err
	}
	r := &settingsRouter{metrics: metrics.NewSet(), done: make(chan struct{})}
	mux := peer.NewMux()
	r.node, err = peer.Bind(peer.Config{
		Addr: "127.0.0.1:0", TLS: tlsConfig, Mux: mux, Pool: s.pool, Metrics: r.metrics, Log: s.options.Log,
	})
	if err != nil {
		return err
	}
	r.self = fleet.Router{ID: id, Domain: domain, PeerAddr: r.node.Addr()}
	r.store = objectclient.NewClient(objectclient.ClientConfig{Addr: s.platform.Addr(), Metrics: r.metrics})
	r.service = propagate.New(propagate.Config{
		Self: r.self, Store: r.store, PeerClient: r.node, Members: s.members,
		Log: s.options.Log, Metrics: r.metrics, Watchers: s.watchersPerDomain(),
	})
	r.service.Register(mux)
	r.service.Subscribe(r.onSnapshot)
	s.run(r)
	return nil
}

func (s *settingsFleet) run(r *settingsRouter) {
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(context.Background())
	r.node.Start()
	s.mu.Lock()
	s.routers = append(s.routers, r)
	s.mu.Unlock()
	go func() {
		defer close(r.done)
		_ = r.service.Run(ctx)
	}()
}

// watchersPerDomain returns the number of watchers per failure domain: at least the
// number of its routers under policyWatchPerRouter, otherwise 0, which selects the
// default.
func (s *settingsFleet) watchersPerDomain() int {
	if s.policy == policyWatchPerRouter {
		return settingsPoolSize
	}
	return 0
}

// onSnapshot counts a snapshot as a revert if its burst limit is lower than that of
// the previous one.
func (r *settingsRouter) onSnapshot(snapshot *settings.Snapshot) {
	burst := int64(snapshot.Effective("", "", settingsAccount).Limits.Burst)
	if burst < r.lastBurst.Swap(burst) {
		r.reverts.Add(1)
	}
}

func (r *settingsRouter) stop() {
	r.cancel()
	<-r.done
	r.node.Close()
	r.store.Close()
}

func (s *settingsFleet) live() []*settingsRouter {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*settingsRouter(nil), s.routers...)
}

func (s *settingsFleet) members() []fleet.Router {
	var members []fleet.Router
	for _, r := range s.live() {
		members = append(members, r.self)
	}
	return members
}

func (s *settingsFleet) waitReady(ctx context.Context) error {
	for _, r := range s.live() {
		select {
		case <-r.service.Ready():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// putChange raises the burst limit of the measured account by one and returns the
// revision of the write.
func (s *settingsFleet) putChange(ctx context.Context) (uint64, error) {
	s.burst++
	data := fmt.Appendf(nil, `{"key_hashes":[],"settings":{"limits":{"burst":%d}}}`, 100+s.burst)
	version, err := s.store.Put(ctx, settings.KindAccounts, settingsAccount, data, s.version)
	if err == nil {
		s.version = version
	}
	return version, err
}

// applyChanges makes changes one after another and returns how long each took to
// be in force on every live router. beforeChange, if not nil, runs before each
// change.
func (s *settingsFleet) applyChanges(ctx context.Context, count int, beforeChange func(i int) error) ([]time.Duration, error) {
	var durations []time.Duration
	for i := range count {
		if beforeChange != nil {
			if err := beforeChange(i); err != nil {
				return durations, err
			}
		}
		revision, err := s.putChange(ctx)
		if err != nil {
			return durations, err
		}
		durations = append(durations, s.waitInForce(ctx, revision))
		if sleep.For(ctx, settingsChangeInterval) != nil {
			return durations, ctx.Err()
		}
	}
	return durations, nil
}

func (s *settingsFleet) waitInForce(ctx context.Context, revision uint64) time.Duration {
	accepted := time.Now()
	for !s.isInForce(revision) {
		if time.Since(accepted) >= maxInForceWait || sleep.For(ctx, settingsPollInterval) != nil {
			return maxInForceWait
		}
	}
	return time.Since(accepted)
}

func (s *settingsFleet) isInForce(revision uint64) bool {
	for _, r := range s.live() {
		if r.service.Revision() < revision {
			return false
		}
	}
	return true
}

// storeReads returns the number of get, list and watch calls on the object API.
func (s *settingsFleet) storeReads() uint64 {
	counts := s.platform.Counts()
	return counts[standin.VerbGet] + counts[standin.VerbList] + counts[standin.VerbWatch]
}

func (s *settingsFleet) close() {
	for _, r := range s.live() {
		r.stop()
	}
	if s.store != nil {
		s.store.Close()
	}
	if s.platform != nil {
		s.platform.Close()
	}
	if s.pool != nil {
		s.pool.Release()
	}
}
