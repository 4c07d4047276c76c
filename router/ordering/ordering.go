// Package ordering sends orders to the engines that a router is home to. It
// periodically compares each engine's state with the settings and sends the
// orders that package engineorder decides on. It is not involved in serving
// requests.
package ordering

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/membership"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/weights"
)

const (
	reconcilePeriod = 2 * time.Second
	callTimeout     = 10 * time.Second
)

// Config configures a Driver. All fields but Weights are required.
type Config struct {
	Self     fleet.RouterID
	Snapshot func() *settings.Snapshot
	View     func() *membership.View
	// Store is used to read a target's document again before an order is sent
	// to an engine that does not check fencing numbers.
	Store  objectapi.Store
	Engine engine.Client
	// Weights grants loads; nil means that loads need no grant from a weight
	// store.
	Weights weights.Store
	Log     zerolog.Logger
}

// Driver sends orders to engines. Run must be called only once.
type Driver struct {
	cfg         Config
	start       time.Time
	loadLimiter *rate.Limiter

	mu     sync.Mutex
	grants map[fleet.TargetID]grant
}

// grant is the permission to send one load order at or after validFrom, a
// reading of the driver's clock.
type grant struct {
	order     engine.Order
	validFrom time.Duration
}

// New returns a Driver with the given configuration.
func New(cfg Config) *Driver {
	return &Driver{
		cfg: cfg, start: time.Now(), loadLimiter: rate.NewLimiter(0, 1), grants: map[fleet.TargetID]grant{},
	}
}

// Run reconciles periodically until ctx ends. It returns once no call is in
// progress.
func (d *Driver) Run(ctx context.Context) error {
	ticker := time.NewTicker(reconcilePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.RunOnce(ctx)
		}
	}
}

// RunOnce reconciles all engines that this router is home to, each in its own
// goroutine, and returns when all are done. It is not safe for concurrent use.
func (d *Driver) RunOnce(ctx context.Context) {
	values := d.cfg.Snapshot().Effective("", "", "").Orders
	d.loadLimiter.SetLimit(rate.Limit(float64(values.LoadsPerMinute) / time.Minute.Seconds()))
	own := d.ownTargets()
	d.dropGrants(own)
	var wait sync.WaitGroup
	for _, t := range own {
		wait.Go(func() { d.reconcile(ctx, t) })
	}
	wait.Wait()
}

// ownTargets returns the targets with a desired state whose home is this
// router.
func (d *Driver) ownTargets() map[fleet.TargetID]fleet.Target {
	own := map[fleet.TargetID]fleet.Target{}
	for _, all := range d.cfg.Snapshot().Targets {
		for _, t := range all {
			if t.Engine != (fleet.EngineState{}) && !d.isLeaving(t) && d.isHome(t) {
				own[t.ID] = t
			}
		}
	}
	return own
}

// isLeaving reports whether the target is leaving by the settings or by the
// platform's VM list.
func (d *Driver) isLeaving(t fleet.Target) bool {
	vm := cmp.Or(t.VM, string(t.ID))
	return t.State == fleet.Leaving || d.cfg.View().LeavingVMs[vm]
}

func (d *Driver) isHome(t fleet.Target) bool {
	snapshot := d.cfg.Snapshot()
	region := func(name fleet.DomainName) fleet.RegionName { return snapshot.Domains[name] }
	homeRouter, ok := placement.HomeRouter(t, d.cfg.View().Routers, region)
	return ok && homeRouter.ID == d.cfg.Self
}

func (d *Driver) dropGrants(own map[fleet.TargetID]fleet.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.grants {
		if _, ok := own[id]; !ok {
			delete(d.grants, id)
		}
	}
}

// now returns the time since the driver was created, by the monotonic clock.
func (d *Driver) now() time.Duration {
	return time.Since(d.start)
}
