// Package ordering gives the engines that a router is home to their orders: it
// compares each engine's state with the settings at a slow period, and sends
// what package engineorder decides. It takes no part in requests.
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
	period      = 2 * time.Second
	callTimeout = 10 * time.Second
)

// Config is what a driver needs. All fields but Weights are required.
type Config struct {
	Self     fleet.RouterID
	Snapshot func() *settings.Snapshot
	View     func() *membership.View
	// Store reads a target's document anew before an order to an engine that
	// does not check fencing numbers.
	Store  objectapi.Store
	Engine engine.Client
	// Weights grants loads; nil means that loads need no grant.
	Weights weights.Store
	Log     zerolog.Logger
}

// Driver orders engines. Run is called once.
type Driver struct {
	cfg   Config
	start time.Time
	loads *rate.Limiter

	mu     sync.Mutex
	grants map[fleet.TargetID]grant
}

// grant is leave to make one load, from a time on.
type grant struct {
	order engine.Order
	from  time.Duration
}

// New returns a driver.
func New(cfg Config) *Driver {
	return &Driver{
		cfg: cfg, start: time.Now(), loads: rate.NewLimiter(0, 1), grants: map[fleet.TargetID]grant{},
	}
}

// Run drives until ctx ends; it returns once no call is under way.
func (d *Driver) Run(ctx context.Context) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.Round(ctx)
		}
	}
}

// Round goes once through all engines that this router is home to, each on a
// goroutine of its own, and returns when all are done. It is not safe for
// concurrent use.
func (d *Driver) Round(ctx context.Context) {
	values := d.cfg.Snapshot().Effective("", "", "").Orders
	d.loads.SetLimit(rate.Limit(float64(values.LoadsPerMinute) / time.Minute.Seconds()))
	mine := d.mine()
	d.forget(mine)
	var wait sync.WaitGroup
	for _, t := range mine {
		wait.Go(func() { d.order(ctx, t) })
	}
	wait.Wait()
}

// mine returns the targets with a desired state whose home is this router.
func (d *Driver) mine() map[fleet.TargetID]fleet.Target {
	mine := map[fleet.TargetID]fleet.Target{}
	for _, all := range d.cfg.Snapshot().Targets {
		for _, t := range all {
			if t.Engine != (fleet.EngineState{}) && !d.isLeaving(t) && d.isHome(t) {
				mine[t.ID] = t
			}
		}
	}
	return mine
}

// isLeaving reports whether the settings or the platform's VM list name the
// target as leaving.
func (d *Driver) isLeaving(t fleet.Target) bool {
	vm := cmp.Or(t.VM, string(t.ID))
	return t.State == fleet.Leaving || d.cfg.View().LeavingVMs[vm]
}

func (d *Driver) isHome(t fleet.Target) bool {
	snapshot := d.cfg.Snapshot()
	region := func(name fleet.DomainName) fleet.RegionName { return snapshot.Domains[name] }
	at, ok := placement.Home(t, d.cfg.View().Routers, region)
	return ok && at.ID == d.cfg.Self
}

func (d *Driver) forget(mine map[fleet.TargetID]fleet.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.grants {
		if _, ok := mine[id]; !ok {
			delete(d.grants, id)
		}
	}
}

// now reads the monotonic clock.
func (d *Driver) now() time.Duration {
	return time.Since(d.start)
}
