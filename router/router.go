// Package router assembles one router: the servers for callers and operators,
// the entry and home roles, the peer protocol, settings and membership.
package router

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/caller"
	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keyjournal"
	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/loadmean"
	"ragwortpond.example/ragwortpond/membership"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/operator"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/plain"
	"ragwortpond.example/ragwortpond/router/entry"
	"ragwortpond.example/ragwortpond/router/home"
	"ragwortpond.example/ragwortpond/router/orders"
	"ragwortpond.example/ragwortpond/router/targets"
	"ragwortpond.example/ragwortpond/router/withdraw"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/settings/propagate"
	"ragwortpond.example/ragwortpond/task"
	"ragwortpond.example/ragwortpond/weights"
)

// poolSize limits the goroutines that serve peer streams and tasks.
const poolSize = 20_000

// Config configures one router.
type Config struct {
	// Self is the router's record; New sets its PeerAddr and Incarnation.
	Self fleet.Router
	// CallerAddr, OperatorAddr and PeerAddr are listen addresses as host:port;
	// port 0 selects a free port. An empty OperatorAddr disables the
	// administration API.
	CallerAddr   string
	OperatorAddr string
	PeerAddr     string
	// Certificate is the router's certificate and key. Authority is the PEM
	// certificate of the authority that signs router certificates.
	Certificate keys.KeyPair
	Authority   []byte
	// Seeds are routers to contact first, in addition to the platform's VM
	// list.
	Seeds []fleet.Router
	// DisableCallerTLS disables TLS for callers.
	DisableCallerTLS bool
}

// Deps holds the clients that a router uses. Tests can replace them.
type Deps struct {
	Store  objectapi.Store
	VMs    objectapi.VMLister
	Engine engine.Client
	Plain  plain.Client
	// Weights grants the loads that engines are ordered to perform; nil means
	// that loads need no grant.
	Weights weights.Store
	// Policy selects targets; empty means the default policy.
	Policy placement.Policy
	// Journal, if set, returns a replacement for the journal that orders use,
	// for experiments. Its argument is the router's own journal.
	Journal func(own orders.Journal) orders.Journal
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Router is one running router.
type Router struct {
	cfg             Config
	deps            Deps
	log             zerolog.Logger
	pool            *task.Pool
	node            *peer.Endpoint
	members         *membership.Service
	loadMeans       *loadmean.Service
	settingsService *propagate.Service
	targets         *targets.Tracker
	chats           *home.Chats
	groups          *home.Groups
	home            *home.Home
	withdrawals     *withdraw.Driver
	gate            home.Gate
	entry           *entry.Entry
	journal         *keyjournal.Journal
	orders          *orders.Server
	callerServer    *caller.HTTPServer
	operatorServer  *operator.Server
	streams         *openStreams
	ready           atomic.Bool

	cancel     context.CancelFunc
	background sync.WaitGroup
}

// New binds a router's sockets and connects its components. Run starts them.
func New(cfg Config, deps Deps) (*Router, error) {
	r := &Router{cfg: cfg, deps: deps}
	r.log = deps.Log.With().Str("router", string(cfg.Self.ID)).Logger()
	if err := r.build(); err != nil {
		r.releaseResources()
		return nil, err
	}
	return r, nil
}

func (r *Router) build() error {
	pool, err := task.NewPool(poolSize)
	if err != nil {
		return fmt.Errorf("router: create goroutine pool: %w", err)
	}
	r.pool = pool
	mux := peer.NewMux()
	if err := r.bindPeer(mux); err != nil {
		return err
	}
	r.cfg.Self.PeerAddr = r.node.Addr()
	r.cfg.Self.Incarnation = uint64(time.Now().UnixNano())
	r.buildControl(mux)
	r.buildRoles(mux)
	r.registerStatus(mux)
	if err := r.buildOrders(mux); err != nil {
		return err
	}
	if err := r.bindCallers(); err != nil {
		return err
	}
	return r.bindOperators()
}

func (r *Router) bindPeer(mux *peer.Mux) error {
	tlsConfig, err := keys.PeerTLS(r.cfg.Certificate, r.cfg.Authority, peer.Protocol)
	if err != nil {
		return err
	}
	r.node, err = peer.Bind(peer.Config{
		Addr: r.cfg.PeerAddr, TLS: tlsConfig, Mux: mux, Pool: r.pool, Metrics: r.deps.Metrics, Log: r.log,
	})
	return err
}

func (r *Router) buildControl(mux *peer.Mux) {
	r.settingsService = propagate.New(propagate.Config{
		Self: r.cfg.Self, Store: r.deps.Store, PeerClient: r.node, Log: r.log, Metrics: r.deps.Metrics,
		Members:    func() []fleet.Router { return r.members.View().Routers },
		Neighbours: func() []fleet.Router { return r.members.View().Neighbours },
	})
	r.settingsService.Register(mux)
	r.members = membership.New(membership.Config{
		Self: r.cfg.Self, VMs: r.deps.VMs, Seeds: r.cfg.Seeds, PeerClient: r.node,
		Values: r.membershipValues, Clock: time.Now, Rand: newRand(), Log: r.log, Metrics: r.deps.Metrics,
	})
	r.members.Register(mux)
	r.buildLoadMeans(mux)
}

func (r *Router) membershipValues() settings.Membership {
	return r.settingsService.Snapshot().Effective(r.cfg.Self.Domain, "", "").Membership
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

func (r *Router) buildRoles(mux *peer.Mux) {
	r.targets = targets.New(targets.Config{
		Self: r.cfg.Self, Snapshot: r.settingsService.Snapshot, View: r.members.View, Policy: r.deps.Policy, Clock: time.Now,
	})
	r.chats = home.NewChats(settings.Defaults().Placement.ChatTableEntries, time.Now)
	r.groups = home.NewGroups(settings.Defaults().Placement.ChatTableEntries)
	r.gate = r.newGate()
	r.home = home.New(home.Config{
		Self: r.cfg.Self.ID, Snapshot: r.settingsService.Snapshot, Gate: r.gate, Targets: r.targets, Chats: r.chats,
		Groups: r.groups, Engine: r.deps.Engine, Plain: r.deps.Plain, Metrics: r.deps.Metrics, Log: r.log,
	})
	mux.HandleStream(peer.MethodForward, r.home.HandleStream)
	r.registerChatNotes(mux)
	r.withdrawals = r.newWithdrawals()
	r.streams = newOpenStreams()
	r.entry = entry.New(entry.Config{
		Self: r.cfg.Self, Snapshot: r.settingsService.Snapshot, Targets: r.targets, Notifier: r,
		Forwarder: &forwarder{
			self: r.cfg.Self.ID, node: r.node, home: r.home, targets: r.targets, streams: r.streams, log: r.log,
		},
		Metrics: r.deps.Metrics, Log: r.log, Clock: time.Now, Random: rand.Uint64, Peers: r.limitPeers,
	})
}

func (r *Router) bindCallers() error {
	var tlsConfig *tls.Config
	if !r.cfg.DisableCallerTLS {
		var err error
		tlsConfig, err = keys.ServerTLS(r.cfg.Certificate)
		if err != nil {
			return err
		}
	}
	server, err := caller.Listen(caller.Config{
		Addr: r.cfg.CallerAddr, TLS: tlsConfig, Server: r.entry.Limit(r.orders), RequestLookup: r.orders, Snapshot: r.settingsService.Snapshot,
		Ready: r.ready.Load, Self: r.cfg.Self, Metrics: r.deps.Metrics, Log: r.log,
	})
	if err != nil {
		return err
	}
	r.callerServer = server
	return nil
}

// Self returns the router's own record with its addresses.
func (r *Router) Self() fleet.Router {
	return r.cfg.Self
}

// CallerAddr returns host:port of the listener for callers.
func (r *Router) CallerAddr() string {
	return r.callerServer.Addr()
}

// Snapshot returns the settings in force; it is empty before the router is
// ready.
func (r *Router) Snapshot() *settings.Snapshot {
	return r.settingsService.Snapshot()
}

// View returns this router's view of the routers.
func (r *Router) View() *membership.View {
	return r.members.View()
}

// Ready reports whether the router accepts requests.
func (r *Router) Ready() bool {
	return r.ready.Load()
}
