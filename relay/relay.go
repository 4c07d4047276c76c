// Package relay serves clients' requests over direct dispatch: it reads a
// request, finds its route, client account and target, makes the attempts that
// the route allows, and passes one whole answer on.
package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/placement"
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
	// Remote returns the work that other routers have before a target; nil means
	// that nothing is known of it.
	Remote func(fleet.TargetID) float64
	// Allowance returns the terms for repeats.
	Allowance retry.AllowanceTerms
	// Routers returns the number of routers that share the allowance.
	Routers func() int
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Relay serves requests. It is safe for concurrent use.
type Relay struct {
	cfg     Config
	pool    *targetconn.Pool
	book    *suspicion.Book
	loads   *loads
	holders *placement.Holders
	serving atomic.Int64
	// lastEnd is the Unix time in ns of the end of the last request.
	lastEnd atomic.Int64
	// stopBy is nil until the process is told to stop.
	stopBy atomic.Pointer[time.Time]

	mu         sync.Mutex
	allowances map[fleet.ServiceName]*retry.Allowance
}

// New returns a relay.
func New(cfg Config) *Relay {
	r := &Relay{cfg: cfg, book: suspicion.NewBook(), loads: newLoads(), holders: placement.NewHolders(), allowances: map[fleet.ServiceName]*retry.Allowance{}}
	r.pool = targetconn.NewPool(cfg.Metrics.TargetConns.Inc)
	return r
}

// Serving is the number of requests in progress.
func (r *Relay) Serving() int {
	return int(r.serving.Load())
}

// StopBy tells the relay that the process ends at a time: clients are asked to
// leave their connections, and requests that can't be expected to end by then
// are refused.
func (r *Relay) StopBy(end time.Time) {
	r.stopBy.Store(&end)
}

// Idle is how long no request was in progress; zero while one is.
func (r *Relay) Idle(now time.Time) time.Duration {
	if r.serving.Load() > 0 {
		return 0
	}
	return now.Sub(time.Unix(0, r.lastEnd.Load()))
}

// sweepInterval is how often idle connections and old beliefs are looked at.
const sweepInterval = time.Second

// Run keeps the relay's state small until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			r.sweep(now)
		}
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
	if r.cfg.Routers != nil {
		r.share(r.cfg.Routers())
	}
}

// allowance returns the repeats of a service.
func (r *Relay) allowance(s fleet.ServiceName) *retry.Allowance {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.allowances[s]
	if a == nil {
		a = retry.NewAllowance(r.cfg.Allowance, r.routers(), time.Now())
		r.allowances[s] = a
	}
	return a
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

// Renewed drops what is known of a target whose process started anew.
func (r *Relay) Renewed(id fleet.TargetID) {
	r.book.Renew(id)
	r.pool.Forget(id)
	r.holders.Renewed(id)
}
