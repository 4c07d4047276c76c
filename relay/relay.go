// Package relay serves clients' requests over direct dispatch: it reads a
// request, finds its route, client account and target, makes the attempts that
// the route allows, and passes one whole answer on.
package relay

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/admission"
	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/dispatch"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/retry"
	"ragwortpond.example/ragwortpond/suspicion"
	"ragwortpond.example/ragwortpond/targetconn"
)

// Dialect translates the calls on the wire. It is safe for concurrent use.
type Dialect interface {
	// Decode reads the head of a client's request.
	Decode(r *http.Request) (*call.Call, error)
	// Encode returns the header of an attempt.
	Encode(c *call.Call, a *call.Attempt) http.Header
	// Reply reads the head of a target's answer.
	Reply(status int, h http.Header) call.Reply
	// Mark names the request in an answer of the router's own.
	Mark(h http.Header, id fleet.RequestID)
}

// Config is what a relay needs.
type Config struct {
	Domain  fleet.DomainName
	Dialect Dialect
	// View returns what to serve by; it is called once a request.
	View func() *catalog.View
	// Report takes a target's own count of its work, for other routers; it may be
	// nil.
	Report func(id fleet.TargetID, work int, now time.Time)
	// Allowance returns the terms for repeats.
	Allowance retry.AllowanceTerms
	// Routers returns the number of routers that share the allowance.
	Routers func() int
	Metrics *metrics.Set
	Latency *metrics.Direct
	Log     zerolog.Logger
}

// Relay serves requests. It is safe for concurrent use.
type Relay struct {
	cfg     Config
	pool    *targetconn.Pool
	book    *suspicion.Book
	loads   *loads
	holders *dispatch.Holders
	started time.Time
	serving atomic.Int64
	// lastEnd is the Unix time in ns of the end of the last request.
	lastEnd atomic.Int64
	// stop is nil until the process is told to stop.
	stop atomic.Pointer[admission.Stop]

	mu         sync.Mutex
	fields     fields
	allowances map[fleet.ServiceName]*retry.Allowance
	// shedders are those of plain services; model engines queue by urgency and tell
	// their load.
	shedders map[fleet.ServiceName]*admission.Shedder
}

// New returns a relay.
func New(cfg Config) *Relay {
	r := &Relay{cfg: cfg, started: time.Now(), book: suspicion.NewBook(), loads: newLoads(), holders: dispatch.NewHolders(), allowances: map[fleet.ServiceName]*retry.Allowance{}, shedders: map[fleet.ServiceName]*admission.Shedder{}}
	r.pool = targetconn.NewPool(cfg.Metrics.TargetConns.Inc)
	return r
}

// Serving is the number of requests in progress.
func (r *Relay) Serving() int {
	return int(r.serving.Load())
}

// TargetConns is the number of open connections to targets.
func (r *Relay) TargetConns() int {
	return r.pool.Open()
}

// Stop tells the relay that the process ends: clients are asked to leave their
// connections, and requests that cannot be expected to end in time are refused.
func (r *Relay) Stop(s admission.Stop) {
	r.stop.Store(&s)
}

// Idle is how long no request was in progress; zero while one is.
func (r *Relay) Idle(now time.Time) time.Duration {
	if r.serving.Load() > 0 {
		return 0
	}
	return now.Sub(time.Unix(0, r.lastEnd.Load()))
}

const (
	// sweepInterval is how often idle connections and old beliefs are looked at.
	sweepInterval = time.Second
	// reachInterval is how often unreachable targets are looked through for
	// those that are due for a trial.
	reachInterval = 100 * time.Millisecond
)

// Run keeps the relay's state small until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	reach := time.NewTicker(reachInterval)
	defer reach.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-sweep.C:
			r.sweep(now)
		case now := <-reach.C:
			r.reach(ctx, now)
		}
	}
}

// reach tries the unreachable targets that are due, without any request that
// would have to wait for them.
func (r *Relay) reach(ctx context.Context, now time.Time) {
	due := r.book.Due(now)
	if len(due) == 0 {
		return
	}
	for _, list := range r.cfg.View().Targets {
		for _, t := range list {
			if slices.Contains(due, t.ID) {
				go r.tryReach(ctx, t)
			}
		}
	}
}

func (r *Relay) tryReach(ctx context.Context, t *catalog.Target) {
	sign := suspicion.Reached
	err := r.pool.Reach(ctx, t.ID, t.Addr)
	if err != nil {
		sign = suspicion.Unreachable
	}
	before, after := r.book.Note(t, sign, time.Now())
	if before != after {
		event.TargetStanding.Log(r.cfg.Log).Str("target", string(t.ID)).Str("before", before.String()).
			Str("after", after.String()).AnErr("error", err).Send()
	}
}

func (r *Relay) sweep(now time.Time) {
	r.pool.Sweep(now)
	view := r.cfg.View()
	named := map[fleet.TargetID]bool{}
	for _, targets := range []catalog.Targets{view.Targets, view.Leaving} {
		for _, list := range targets {
			for _, t := range list {
				named[t.ID] = true
			}
		}
	}
	keep := func(id fleet.TargetID) bool { return named[id] }
	r.book.Forget(keep)
	r.loads.forget(keep)
	r.share(r.routers())
}

// allowance returns the repeats of a service.
func (r *Relay) allowance(s fleet.ServiceName) *retry.Allowance {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.allowances[s]
	if a == nil {
		a = retry.NewAllowance(r.cfg.Allowance, r.routers(), r.started)
		r.allowances[s] = a
	}
	return a
}

// shedder returns that of a plain service.
func (r *Relay) shedder(s fleet.ServiceName) *admission.Shedder {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.shedders[s]
	if d == nil {
		d = admission.NewShedder()
		r.shedders[s] = d
	}
	return d
}

func (r *Relay) routers() int {
	if r.cfg.Routers == nil {
		return 1
	}
	return r.cfg.Routers()
}

func (r *Relay) share(routers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.allowances {
		a.Share(routers)
	}
}

// Heard takes a target's count of its work that another router passed on.
func (r *Relay) Heard(id fleet.TargetID, work int, at time.Time) {
	r.loads.heard(id, work, at)
}

// Renewed drops what is known of a target whose process started anew.
func (r *Relay) Renewed(id fleet.TargetID) {
	r.book.Renew(id)
	r.pool.Forget(id)
	r.holders.Renewed(id)
}
