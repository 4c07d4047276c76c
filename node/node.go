// Package node assembles a router that dispatches directly to targets: the HTTP
// server for clients, the view of the platform's store, the relay that forwards
// requests, and graceful shutdown.
package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/connlimit"
	"ragwortpond.example/ragwortpond/crashrecord"
	"ragwortpond.example/ragwortpond/directory"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/ingress"
	"ragwortpond.example/ragwortpond/mesh"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/quarantine"
	"ragwortpond.example/ragwortpond/relay"
	"ragwortpond.example/ragwortpond/retry"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/stall"
	"ragwortpond.example/ragwortpond/streamversion"
	"ragwortpond.example/ragwortpond/targetcold"
	"ragwortpond.example/ragwortpond/targetconn"
	"ragwortpond.example/ragwortpond/targetlimit"
	"ragwortpond.example/ragwortpond/targetpath"
)

const (
	// gcPercent keeps the heap close to the live size. The live heap of a
	// router is a few MB, so more frequent collections cost little.
	gcPercent = 50
	// memoryLimitRatio is the fraction of the allowed memory that is set as the
	// Go runtime's memory limit, near which the collector runs more often.
	memoryLimitRatio = 0.7
	// bodyMemoryRatio is the fraction of the allowed memory that the bodies of the requests in
	// flight may take. A body takes twice its bytes while it is read.
	bodyMemoryRatio = 1.0 / 6
)

// Node is one router process.
type Node struct {
	cfg       settings.NodeFile
	started   time.Time
	log       zerolog.Logger
	metrics   *metrics.Set
	store     atomic.Pointer[platform.Store]
	directory *directory.Directory
	relay     *relay.Relay
	versions  *streamversion.Service
	crashes   *crashrecord.Recorder
	stall     *stall.Detector
	mesh      *mesh.Mesh
	ingress   *ingress.Server
	seedAddrs atomic.Pointer[[]string]
	draining  atomic.Bool
	// lastReady is the last answer of the readiness endpoint.
	lastReady atomic.Bool
	listeners []net.Listener
	// clientDrops records connections that were closed for a bound.
	clientDrops *connlimit.Recorder
}

// Option changes how a router is assembled.
type Option func(*options)

type options struct {
	connectTarget targetconn.ConnectFunc
}

// WithTargetConnect makes the router open its connections to targets with f instead of
// netconn.Dial.
func WithTargetConnect(f targetconn.ConnectFunc) Option {
	return func(o *options) { o.connectTarget = f }
}

// New assembles a router. It sets the memory parameters of the Go runtime for
// the whole process. dropped returns the number of dropped log lines.
func New(cfg settings.NodeFile, log zerolog.Logger, dropped func() uint64, opts ...Option) (*Node, error) {
	var o options
	for _, apply := range opts {
		apply(&o)
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(cfg.MemoryMB * memoryLimitRatio * (1 << 20)))
	n := &Node{cfg: cfg, started: time.Now(), log: log, metrics: metrics.NewSet(), stall: stall.New()}
	n.setStore(cfg.StoreAddr)
	n.seedAddrs.Store(&cfg.Seeds)
	n.directory = directory.New(func() directory.Store { return n.store.Load() }, initialWatchRole(&cfg), directory.NewPace(cfg.ChangeBound()), log, n.resetTarget)
	n.versions = streamversion.New(streamversion.Config{
		Store: func() streamversion.Store { return n.store.Load() }, Peers: func() streamversion.Peers { return n.mesh }, View: n.directory.View,
		TargetsAge: n.directory.TargetsAge, TargetsConfirmedAge: n.targetsConfirmedAge, TargetsFrom: n.directory.TargetsFrom, StoreLost: n.directory.StoreLost, StoodStill: n.stall.StoodStill, BootTime: stall.BootTime, Log: log,
	})
	limits, paths := targetlimit.NewTracker(), targetpath.NewTracker()
	cold := targetcold.NewTracker(targetcold.Bounds{Over: cfg.ColdOver, Slack: cfg.ColdSlack}, n.started, rand.Uint64())
	latency := metrics.NewRelayMetrics(n.metrics.Registry, n.metricSources(dropped))
	n.relay = relay.New(relay.Config{
		Self: cfg.ID, Domain: cfg.Domain, Codec: platform.HeaderCodec{}, View: n.directory.View, FirstView: n.directory.Ready(), GuardClose: ingress.GuardClose,
		RetryBudget:  retry.BudgetConfig{Ratio: cfg.RetryBudget.Ratio, Extra: cfg.RetryBudget.Extra, Window: cfg.RetryBudget.Window()},
		RouterCount:  n.routerCount,
		OnLoadReport: func(id fleet.TargetID, work int, pace float64, now time.Time) { n.mesh.ReportLoad(id, work, pace, now) },
		OnEvidence:   func(e quarantine.Evidence) { n.mesh.PublishEvidence(e) }, OnEvidenceChange: func() { n.crashes.Changed() },
		Limits: limits, RequestPermit: func(id fleet.TargetID, precedence targetlimit.Precedence) targetlimit.Answer {
			return n.mesh.RequestPermit(id, precedence)
		},
		Cold: cold, RequestColdPermit: func(id fleet.TargetID, precedence targetlimit.Precedence) targetcold.Answer {
			return n.mesh.RequestColdPermit(id, precedence)
		},
		ReportRejection: func(id fleet.TargetID) { n.mesh.ReportRejection(id) },
		Helpers:         func(service fleet.ServiceName) []string { return n.mesh.Helpers(service) }, Paths: paths,
		BodyBytes: int64(cfg.MemoryMB * bodyMemoryRatio * (1 << 20)), StreamVersions: n.versions, Connect: o.connectTarget, Metrics: n.metrics, Latency: latency, Log: log,
	})
	n.crashes = crashrecord.New(crashrecord.Config{
		Store: func() crashrecord.Store { return n.store.Load() }, Evidence: n.relay, Precedence: func() int { return n.mesh.Precedence(crashrecord.Kind) }, Log: log,
	})
	n.clientDrops = connlimit.NewRecorder(n.metrics.DroppedConns, log)
	n.ingress = ingress.New(n.relay, n.limits, log)
	var err error
	n.mesh, err = mesh.New(mesh.Config{
		Self: cfg.ID, Domain: cfg.Domain, Addr: cfg.PeerAddr, Strength: cfg.Strength(), Seeds: n.seeds, Directory: n.directory,
		OnPeerLoad: n.relay.RecordPeerLoad, Evidence: n.relay, Limits: limits, Cold: cold, StreamVersions: n.versions, Paths: paths, Unsound: n.relay,
		CountBytes: n.countMeshBytes, Log: log,
	})
	if err != nil {
		return nil, err
	}
	n.directory.OnChange(n.mesh.PublishChanges)
	n.directory.OnWatchLost(n.mesh.AnnounceWatch)
	n.directory.OnStoreReturn(n.mesh.StoreReturn)
	if bound := cfg.EvacuationBound(); bound > 0 {
		n.directory.FollowEvacuations(bound, n.mesh.PublishEvacuations)
	}
	return n, nil
}

// initialWatchRole returns the part in watching the store that a router has until it
// knows the other routers of its failure domain.
func initialWatchRole(cfg *settings.NodeFile) directory.WatchRole {
	if cfg.Strength() >= mesh.MinPreferredStrength {
		return directory.PrimaryWatch
	}
	return directory.NoWatch
}

// Lower bounds for the number of routers that share the retry budget.
const (
	// minRouters applies always: a router that sees few others may be on the
	// small side of a network partition.
	minRouters = 9
	// minRoutersAtStart applies during discoveryPeriod after the start, while a
	// router discovers the others: a large deployment has 78 routers, all of
	// which may have started at once.
	minRoutersAtStart = 100
	discoveryPeriod   = 4 * time.Second
)

func (n *Node) routerCount() int {
	return max(n.mesh.FleetSize(), minFleetSize(time.Since(n.started)))
}

// minFleetSize returns the smallest fleet that a router assumes at a time since its
// start.
func minFleetSize(sinceStart time.Duration) int {
	if sinceStart < discoveryPeriod {
		return minRoutersAtStart
	}
	return minRouters
}

func (n *Node) seeds() []string {
	return *n.seedAddrs.Load()
}

// metricSources returns the functions that metrics read their values from.
func (n *Node) metricSources(dropped func() uint64) metrics.ValueFuncs {
	return metrics.ValueFuncs{
		ConfigAge: func() float64 {
			config, _ := n.directory.ConfirmedAges()
			return config.Seconds()
		},
		TargetsAge: func() float64 {
			return n.targetsConfirmedAge().Seconds()
		},
		ClientConns:      func() float64 { return float64(n.ingress.OpenConns()) },
		TargetConns:      func() float64 { return float64(n.relay.TargetConns()) },
		QuarantinedParts: func() float64 { return float64(n.relay.QuarantinedParts()) },
		LimitedTargets:   func() float64 { return float64(n.relay.LimitedTargets()) },
		ColdTargets:      func() float64 { return float64(n.relay.ColdTargets()) },
		EvacuationAges:   n.evacuationAges,
		RunningEvacuated: func() float64 { return float64(n.relay.RunningEvacuated()) },
		LinesDropped:     func() float64 { return float64(dropped()) },
		InvalidEntries:   func() float64 { return float64(n.directory.InvalidEntries()) },
	}
}

// evacuationAges returns the seconds since each of the evacuated failure domains was evacuated.
func (n *Node) evacuationAges() map[string]float64 {
	ages := map[string]float64{}
	for _, e := range n.directory.View().Evacuations {
		ages[string(e.Domain)] = time.Since(e.Since).Seconds()
	}
	return ages
}

func (n *Node) countMeshBytes(direction string, bytes int) {
	n.metrics.ControlBytes.WithLabelValues("mesh", direction).Add(float64(bytes))
}

func (n *Node) setStore(addr string) {
	old := n.store.Swap(platform.NewStore(addr, n.countStoreCall))
	if old != nil {
		old.Close()
	}
}

func (n *Node) countStoreCall(verb string, err error) {
	result := "ok"
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrCompacted):
		result = "compacted"
	case errors.Is(err, platform.ErrNotFound):
		result = "not-found"
	case errors.Is(err, platform.ErrConflict):
		result = "conflict"
	default:
		result = "unavailable"
	}
	n.metrics.StoreCalls.WithLabelValues(verb, result).Inc()
}

// targetsConfirmedAge returns the time since the targets were last confirmed to be current, negative
// if they never were.
func (n *Node) targetsConfirmedAge() time.Duration {
	_, targets := n.directory.ConfirmedAges()
	return targets
}

func (n *Node) resetTarget(id fleet.TargetID) {
	n.relay.ResetTarget(id)
}

func (n *Node) limits() catalog.Limits {
	if c := n.directory.View().Config; c != nil {
		return c.Limits
	}
	return catalog.Limits{}
}

// Run serves until ctx ends, then shuts down gracefully and returns nil. It
// returns an error if a listener cannot be opened or a part of the router
// fails.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	failures := make(chan error, 8)
	start := func(name string, f func() error) {
		go func() {
			if err := f(); err != nil {
				failures <- fmt.Errorf("node: %s: %w", name, err)
			}
		}()
	}
	if err := n.listen(background, start); err != nil {
		return err
	}
	start("directory", func() error { return n.directory.Run(background) })
	start("relay", func() error { return n.relay.Run(background) })
	start("stall detector", func() error { return n.stall.Run(background) })
	start("stream versions", func() error { return n.versions.Run(background) })
	start("crash record", func() error { return n.crashes.Run(background) })
	event.NodeStarted.Log(n.log).Str("node", string(n.cfg.ID)).Str("failure_domain", string(n.cfg.Domain)).
		Str("clients", n.cfg.ClientAddr).Str("store", n.cfg.StoreAddr).Float64("memory_mb", n.cfg.MemoryMB).Send()
	select {
	case err := <-failures:
		event.NodeFault.Log(n.log).Err(err).Send()
		return err
	case <-ctx.Done():
	}
	n.drain(background)
	return nil
}

// listen opens the listeners for clients, readiness and peers before it serves
// any of them.
func (n *Node) listen(ctx context.Context, start func(string, func() error)) error {
	clients, err1 := listen(ctx, n.cfg.ClientAddr)
	ready, err2 := listen(ctx, n.cfg.ReadyAddr)
	peers, err3 := listen(ctx, n.cfg.PeerAddr)
	if err := errors.Join(err1, err2, err3); err != nil {
		return err
	}
	clients = connlimit.Limit(clients, clientLimits(n.cfg.MemoryMB), n.clientDrops.Record)
	ready, peers = n.limitInternal(ready), limitConns(peers, n.maxInternalConns())
	n.listeners = []net.Listener{ready, peers}
	start("clients", func() error { return n.ingress.Serve(clients) })
	start("ready", func() error { return serve(ready, limitRequests(http.HandlerFunc(n.handleReady)), maxProbeHeaderBytes) })
	start("peers", func() error { return serve(peers, http.HandlerFunc(n.servePeer), maxInternalHeaderBytes) })
	start("mesh", func() error { return n.mesh.Run(ctx) })
	n.exportMetrics(ctx, start)
	return nil
}

// servePeer serves the requests of other routers: for data that they lack, and those of
// clients that they pass on.
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	if relay.IsForwarded(r) {
		n.relay.ServeForwarded(w, r)
		return
	}
	n.mesh.ServeHTTP(w, r)
}

// exportMetrics serves metrics. If their address is in use, it logs the fault
// and the router serves clients without metrics.
func (n *Node) exportMetrics(ctx context.Context, start func(string, func() error)) {
	l, err := listen(ctx, n.cfg.MetricsAddr)
	if err != nil {
		event.NodeFault.Log(n.log).Str("part", "metrics").Err(err).Send()
		return
	}
	l = n.limitInternal(l)
	n.listeners = append(n.listeners, l)
	start("metrics", func() error {
		return serve(l, limitRequests(promhttp.HandlerFor(n.metrics.Registry, promhttp.HandlerOpts{})), maxProbeHeaderBytes)
	})
}

func listen(ctx context.Context, addr string) (net.Listener, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("node: listen: %w", err)
	}
	return l, nil
}

// Bounds of the listeners that do not serve clients.
const (
	// internalTimeout bounds their requests.
	internalTimeout = 5 * time.Second
	// internalConnsPerMB bounds the connections to each of them, by the memory of the process:
	// the header of a request takes up to 0.4 MB.
	internalConnsPerMB = 1.5
	// maxProbeHeaderBytes bounds a request header for readiness or metrics.
	maxProbeHeaderBytes = 8 << 10
	// maxInternalHeaderBytes bounds one of another router: that of a client, and what a router adds
	// to it when it passes the request on.
	maxInternalHeaderBytes = 72 << 10
)

func (n *Node) maxInternalConns() int {
	return max(int(internalConnsPerMB*n.cfg.MemoryMB), 1)
}

// limitInternal bounds the connections of a listener for readiness or metrics. Unlike those of routers, its clients may be anyone, so
// that a new connection is not kept waiting by silent ones.
func (n *Node) limitInternal(l net.Listener) net.Listener {
	limits := connlimit.Limits{Conns: n.maxInternalConns(), HeadBytes: clientLimits(n.cfg.MemoryMB).HeadBytes / internalHeadShare, Serving: internalServing}
	return connlimit.Limit(l, limits, n.clientDrops.Record)
}

const (
	// internalHeadShare is the divisor of the memory of clients' heads for each listener for readiness or metrics.
	internalHeadShare = 10
	// internalServing is how long a full one of them waits for a request in progress.
	internalServing = time.Second
)

func serve(l net.Listener, h http.Handler, maxHeaderBytes int) error {
	server := http.Server{
		Handler: h, ReadTimeout: internalTimeout, WriteTimeout: internalTimeout, IdleTimeout: 2 * internalTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: connlimit.TrackState, ConnContext: countRequests,
	}
	err := server.Serve(l)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// handleReady tells the platform whether the router accepts new connections.
func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	ready := !n.draining.Load() && n.directory.View().Ready() && n.crashes.WasTried()
	if n.lastReady.Swap(ready) != ready {
		event.NodeReady.Log(n.log).Bool("ready", ready).Bool("draining", n.draining.Load()).
			Uint64("targets_revision", n.directory.View().TargetsRevision).Send()
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
