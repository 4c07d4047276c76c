// Package node assembles a router that dispatches directly: the face towards
// clients, the view of the platform's store, the relay between them, and the
// planned stop.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/directory"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/ingress"
	"ragwortpond.example/ragwortpond/mesh"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/relay"
	"ragwortpond.example/ragwortpond/retry"
	"ragwortpond.example/ragwortpond/settings"
)

const (
	// gcPercent keeps the heap close to what is live; a router's live heap is a
	// few MB, so that collecting more often costs little.
	gcPercent = 50
	// memoryShare is the part of the allowed memory at which the collector works
	// harder.
	memoryShare = 0.7
)

// Node is one router process.
type Node struct {
	start     settings.Node
	started   time.Time
	log       zerolog.Logger
	metrics   *metrics.Set
	store     atomic.Pointer[platform.Store]
	directory *directory.Directory
	relay     *relay.Relay
	mesh      *mesh.Mesh
	ingress   *ingress.Server
	seedList  atomic.Pointer[[]string]
	draining  atomic.Bool
	// saidReady is the last answer to the platform's question.
	saidReady atomic.Bool
	listening []net.Listener
}

// New assembles a router; dropped returns the number of log lines that were
// dropped.
func New(start settings.Node, log zerolog.Logger, dropped func() uint64) (*Node, error) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(start.MemoryMB * memoryShare * (1 << 20)))
	n := &Node{start: start, started: time.Now(), log: log, metrics: metrics.NewSet()}
	n.useStore(start.StoreAddr)
	n.seedList.Store(&start.Seeds)
	n.directory = directory.New(func() directory.Store { return n.store.Load() }, start.Strength() >= mesh.Strong, log, n.renewed)
	latency := metrics.NewDirect(n.metrics.Registry, n.sources(dropped))
	n.relay = relay.New(relay.Config{
		Domain: start.Domain, Dialect: platform.Dialect{}, View: n.directory.View,
		Allowance: retry.AllowanceTerms{Ratio: start.Repeats.Ratio, Extra: start.Repeats.Extra, Window: start.Repeats.Window()},
		Routers:   n.routers,
		Report:    func(id fleet.TargetID, work int, now time.Time) { n.mesh.Report(id, work, now) },
		Metrics:   n.metrics, Latency: latency, Log: log,
	})
	n.ingress = ingress.New(n.relay, n.limits, log)
	var err error
	n.mesh, err = mesh.New(mesh.Config{
		Self: start.ID, Domain: start.Domain, Addr: start.PeerAddr, Strength: start.Strength(), Seeds: n.seeds, Directory: n.directory,
		Heard: n.relay.Heard, Bytes: n.countMeshBytes, Log: log,
	})
	if err != nil {
		return nil, err
	}
	n.directory.OnChange(n.mesh.Changed)
	return n, nil
}

// The number of routers among which the repeats are divided.
const (
	// fewestRouters is the least: a router that knows few others may be behind a
	// cut.
	fewestRouters = 9
	// unknownRouters is the least until a router had fleetKnown to hear of the
	// others: a grown deployment has 78, all of which may have started at once.
	unknownRouters = 100
	fleetKnown     = 4 * time.Second
)

func (n *Node) routers() int {
	least := fewestRouters
	if time.Since(n.started) < fleetKnown {
		least = unknownRouters
	}
	return max(n.mesh.Fleet(), least)
}

func (n *Node) seeds() []string {
	return *n.seedList.Load()
}

// sources are the values that metrics read.
func (n *Node) sources(dropped func() uint64) metrics.Sources {
	return metrics.Sources{
		ConfigAge: func() float64 {
			config, _ := n.directory.Ages()
			return config.Seconds()
		},
		TargetsAge: func() float64 {
			_, targets := n.directory.Ages()
			return targets.Seconds()
		},
		ClientConns:  func() float64 { return float64(n.ingress.OpenConns()) },
		TargetConns:  func() float64 { return float64(n.relay.TargetConns()) },
		LinesDropped: func() float64 { return float64(dropped()) },
	}
}

func (n *Node) countMeshBytes(direction string, bytes int) {
	n.metrics.ControlBytes.WithLabelValues("mesh", direction).Add(float64(bytes))
}

func (n *Node) useStore(addr string) {
	old := n.store.Swap(platform.NewStore(addr, n.countStoreCall))
	if old != nil {
		old.Close()
	}
}

func (n *Node) countStoreCall(verb string, err error) {
	result := "ok"
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrHistoryGone):
		result = "compacted"
	default:
		result = "unavailable"
	}
	n.metrics.StoreCalls.WithLabelValues(verb, result).Inc()
}

func (n *Node) renewed(id fleet.TargetID) {
	n.relay.Renewed(id)
}

func (n *Node) limits() catalog.Limits {
	if c := n.directory.View().Config; c != nil {
		return c.Limits
	}
	return catalog.Limits{}
}

// Run serves until ctx ends, then stops as planned. The error is nil after a
// stop.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	failures := make(chan error, 8)
	start := func(what string, f func() error) {
		go func() {
			if err := f(); err != nil {
				failures <- fmt.Errorf("node: %s: %w", what, err)
			}
		}()
	}
	if err := n.listen(background, start); err != nil {
		return err
	}
	start("directory", func() error { return n.directory.Run(background) })
	start("relay", func() error { return n.relay.Run(background) })
	event.NodeStarted.Log(n.log).Str("node", string(n.start.ID)).Str("failure_domain", string(n.start.Domain)).
		Str("clients", n.start.ClientAddr).Str("store", n.start.StoreAddr).Float64("memory_mb", n.start.MemoryMB).Send()
	select {
	case err := <-failures:
		event.NodeFault.Log(n.log).Err(err).Send()
		return err
	case <-ctx.Done():
	}
	n.drain(background)
	return nil
}

// listen opens all listeners before any is served.
func (n *Node) listen(ctx context.Context, start func(string, func() error)) error {
	clients, err1 := listen(ctx, n.start.ClientAddr)
	ready, err2 := listen(ctx, n.start.ReadyAddr)
	peers, err3 := listen(ctx, n.start.PeerAddr)
	if err := errors.Join(err1, err2, err3); err != nil {
		return err
	}
	n.listening = []net.Listener{ready, peers}
	start("clients", func() error { return n.ingress.Serve(clients) })
	start("ready", func() error { return serve(ready, http.HandlerFunc(n.answerReady)) })
	start("peers", func() error { return serve(peers, n.mesh) })
	start("mesh", func() error { return n.mesh.Run(ctx) })
	n.exportMetrics(ctx, start)
	return nil
}

// exportMetrics serves metrics; a router whose address for them is taken serves
// clients all the same.
func (n *Node) exportMetrics(ctx context.Context, start func(string, func() error)) {
	exported, err := listen(ctx, n.start.MetricsAddr)
	if err != nil {
		event.NodeFault.Log(n.log).Str("part", "metrics").Err(err).Send()
		return
	}
	n.listening = append(n.listening, exported)
	start("metrics", func() error {
		return serve(exported, promhttp.HandlerFor(n.metrics.Registry, promhttp.HandlerOpts{}))
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

// sideTimeout bounds requests on the listeners that do not serve clients.
const sideTimeout = 5 * time.Second

func serve(l net.Listener, h http.Handler) error {
	server := http.Server{Handler: h, ReadTimeout: sideTimeout, WriteTimeout: sideTimeout, IdleTimeout: 2 * sideTimeout}
	err := server.Serve(l)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// answerReady tells the platform whether the router takes new connections.
func (n *Node) answerReady(w http.ResponseWriter, _ *http.Request) {
	ready := !n.draining.Load() && n.directory.View().Ready()
	if n.saidReady.Swap(ready) != ready {
		event.NodeReady.Log(n.log).Bool("ready", ready).Bool("draining", n.draining.Load()).
			Uint64("targets_revision", n.directory.View().TargetsRevision).Send()
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
