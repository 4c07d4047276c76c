// Package router assembles one router: the callers' face, the entry and home
// roles, the peer protocol, settings and membership.
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

// poolSize bounds the goroutines that serve peers' streams and tasks.
const poolSize = 20_000

// Config is what one router needs to know of itself.
type Config struct {
	// Self is the router; PeerAddr and Incarnation are filled in by New.
	Self fleet.Router
	// CallerAddr, OperatorAddr and PeerAddr are host:port; port 0 takes a free
	// one. An empty OperatorAddr starts no administration API.
	CallerAddr   string
	OperatorAddr string
	PeerAddr     string
	// Pair is the router's certificate, Authority the PEM of what signs routers.
	Pair      keys.Pair
	Authority []byte
	// Seeds are routers to ask first, besides the platform's VM list.
	Seeds []fleet.Router
	// PlainCallers serves callers without TLS.
	PlainCallers bool
}

// Deps are the clients that a router uses, replaceable in tests.
type Deps struct {
	Store  objectapi.Store
	VMs    objectapi.VMLister
	Engine engine.Client
	Plain  plain.Client
	// Weights grants the loads that engines are ordered to make; nil means that
	// loads need no grant.
	Weights weights.Store
	// Policy chooses targets; empty means the default.
	Policy placement.Policy
	// Journal replaces the journal that orders use, for experiments; nil keeps
	// the router's own.
	Journal func(own orders.Journal) orders.Journal
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Router is one running router.
type Router struct {
	cfg     Config
	deps    Deps
	log     zerolog.Logger
	pool    *task.Pool
	node    *peer.Node
	members *membership.Service
	means   *loadmean.Service
	source  *propagate.Service
	targets *targets.Tracker
	chats   *home.Chats
	groups  *home.Groups
	home    *home.Home
	leaving *withdraw.Driver
	gate    home.Gate
	entry   *entry.Entry
	journal *keyjournal.Log
	orders  *orders.Server
	face    *caller.Face
	admin   *operator.Server
	open    *openStreams
	ready   atomic.Bool

	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// New binds a router's sockets and wires its parts; Run starts them.
func New(cfg Config, deps Deps) (*Router, error) {
	r := &Router{cfg: cfg, deps: deps}
	r.log = deps.Log.With().Str("router", string(cfg.Self.ID)).Logger()
	if err := r.build(); err != nil {
		r.release()
		return nil, err
	}
	return r, nil
}

func (r *Router) build() error {
	pool, err := task.NewPool(poolSize)
	if err != nil {
		return fmt.Errorf("router: pool: %w", err)
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
	tlsConfig, err := keys.PeerTLS(r.cfg.Pair, r.cfg.Authority, peer.Protocol)
	if err != nil {
		return err
	}
	r.node, err = peer.Bind(peer.Config{
		Addr: r.cfg.PeerAddr, TLS: tlsConfig, Mux: mux, Pool: r.pool, Metrics: r.deps.Metrics, Log: r.log,
	})
	return err
}

func (r *Router) buildControl(mux *peer.Mux) {
	r.source = propagate.New(propagate.Config{
		Self: r.cfg.Self, Store: r.deps.Store, Caller: r.node, Log: r.log, Metrics: r.deps.Metrics,
		Members:    func() []fleet.Router { return r.members.View().Routers },
		Neighbours: func() []fleet.Router { return r.members.View().Neighbours },
	})
	r.source.Register(mux)
	r.members = membership.New(membership.Config{
		Self: r.cfg.Self, VMs: r.deps.VMs, Seeds: r.cfg.Seeds, Caller: r.node,
		Values: r.membershipValues, Clock: time.Now, Rand: seeded(), Log: r.log, Metrics: r.deps.Metrics,
	})
	r.members.Register(mux)
	r.buildMeans(mux)
}

func (r *Router) membershipValues() settings.Membership {
	return r.source.Snapshot().Effective(r.cfg.Self.Domain, "", "").Membership
}

func seeded() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

func (r *Router) buildRoles(mux *peer.Mux) {
	r.targets = targets.New(targets.Config{
		Self: r.cfg.Self, Snapshot: r.source.Snapshot, View: r.members.View, Policy: r.deps.Policy, Clock: time.Now,
	})
	r.chats = home.NewChats(settings.Defaults().Placement.ChatTableEntries, time.Now)
	r.groups = home.NewGroups(settings.Defaults().Placement.ChatTableEntries)
	r.gate = r.newGate()
	r.home = home.New(home.Config{
		Self: r.cfg.Self.ID, Snapshot: r.source.Snapshot, Gate: r.gate, Targets: r.targets, Chats: r.chats,
		Groups: r.groups, Engine: r.deps.Engine, Plain: r.deps.Plain, Metrics: r.deps.Metrics, Log: r.log,
	})
	mux.HandleStream(peer.MethodForward, r.home.HandleStream)
	r.registerChats(mux)
	r.leaving = r.newWithdrawals()
	r.open = newOpenStreams()
	r.entry = entry.New(entry.Config{
		Self: r.cfg.Self, Snapshot: r.source.Snapshot, Targets: r.targets, Notifier: r,
		Forwarder: &forwarder{
			self: r.cfg.Self.ID, node: r.node, home: r.home, targets: r.targets, open: r.open, log: r.log,
		},
		Metrics: r.deps.Metrics, Log: r.log, Clock: time.Now, Random: rand.Uint64, Peers: r.limitPeers,
	})
}

func (r *Router) bindCallers() error {
	var tlsConfig *tls.Config
	if !r.cfg.PlainCallers {
		var err error
		tlsConfig, err = keys.ServerTLS(r.cfg.Pair)
		if err != nil {
			return err
		}
	}
	face, err := caller.Listen(caller.Config{
		Addr: r.cfg.CallerAddr, TLS: tlsConfig, Server: r.entry.Limit(r.orders), Requests: r.orders, Snapshot: r.source.Snapshot,
		Ready: r.ready.Load, Self: r.cfg.Self, Metrics: r.deps.Metrics, Log: r.log,
	})
	if err != nil {
		return err
	}
	r.face = face
	return nil
}

// Self returns the router's own record with its addresses.
func (r *Router) Self() fleet.Router {
	return r.cfg.Self
}

// CallerAddr returns host:port of the callers' listener.
func (r *Router) CallerAddr() string {
	return r.face.Addr()
}

// Snapshot returns the settings in force, empty before the router is ready.
func (r *Router) Snapshot() *settings.Snapshot {
	return r.source.Snapshot()
}

// View returns the routers as this one knows them.
func (r *Router) View() *membership.View {
	return r.members.View()
}

// Ready reports whether the router takes requests.
func (r *Router) Ready() bool {
	return r.ready.Load()
}
