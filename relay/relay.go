// Package relay serves client requests by direct dispatch: it reads a request,
// resolves its route and client account, chooses a target, makes the attempts that
// the route allows, and forwards one complete response.
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
	"ragwortpond.example/ragwortpond/overload"
	"ragwortpond.example/ragwortpond/quarantine"
	"ragwortpond.example/ragwortpond/retry"
	"ragwortpond.example/ragwortpond/targetcold"
	"ragwortpond.example/ragwortpond/targetconn"
	"ragwortpond.example/ragwortpond/targethealth"
	"ragwortpond.example/ragwortpond/targetlimit"
	"ragwortpond.example/ragwortpond/targetnotice"
	"ragwortpond.example/ragwortpond/targetpath"
)

// HeaderCodec translates between the wire format and package call. It must be safe for
// concurrent use.
type HeaderCodec interface {
	// DecodeRequest reads the head of a client's request.
	DecodeRequest(r *http.Request) (*call.Call, error)
	// EncodeAttempt returns the request header of an attempt.
	EncodeAttempt(c *call.Call, a *call.Attempt) http.Header
	// DecodeResponse reads the head of a target's response.
	DecodeResponse(status int, h http.Header) call.Reply
	// ProcessURI returns where engines tell of their process, and DecodeProcess its start from
	// what they tell, or false if they do not.
	ProcessURI() string
	DecodeProcess(body []byte) (startedAt time.Time, ok bool)
	// EncodeForwarded returns the header of a client's request as passed on to another
	// router, with the time that is left.
	EncodeForwarded(h http.Header, timeout time.Duration) http.Header
	// SetRequestID sets the request ID in the header of a response that originates from the
	// router.
	SetRequestID(h http.Header, id fleet.RequestID)
}

// Config configures a Relay.
type Config struct {
	// Self is the router's ID.
	Self fleet.RouterID
	// Domain is the router's failure domain.
	Domain fleet.DomainName
	Codec  HeaderCodec
	// View returns the current view of configuration and targets. It is called
	// once per attempt and by background tasks.
	View func() *catalog.View
	// FirstView is closed once View returns a view that is ready. Requests that arrive
	// before wait for it for a moment; nil means that they do not.
	FirstView <-chan struct{}
	// GuardClose makes a close of the connection of a request with this context reset it
	// until complete is called; nil means that it does not. See ingress.GuardClose.
	GuardClose func(ctx context.Context) (complete func())
	// OnLoadReport receives the number of requests that a target reported as running or
	// waiting, and its pace, zero for not told, to be distributed to other routers; it may be nil.
	OnLoadReport func(id fleet.TargetID, work int, pace float64, now time.Time)
	// OnEvidence receives evidence on parts of prompts that is new to this router, to be
	// sent to other routers at once; it may be nil.
	OnEvidence func(e quarantine.Evidence)
	// OnEvidenceChange is called when the evidence or the verdicts of this router have changed,
	// by its own requests or by other routers; it may be nil.
	OnEvidenceChange func()
	// Limits holds the limits that targets name; nil means that no other router knows
	// them.
	Limits *targetlimit.Tracker
	// RequestPermit asks for one send to a target with a limit; nil means that only this
	// router's part of the limit is sent.
	RequestPermit func(id fleet.TargetID, precedence targetlimit.Precedence) targetlimit.Answer
	// Cold holds what is known of cold targets; nil means that they are not bounded.
	Cold *targetcold.Tracker
	// RequestColdPermit asks for one send to a cold target; nil means that only this router's
	// part of the rate is sent.
	RequestColdPermit func(id fleet.TargetID, precedence targetlimit.Precedence) targetcold.Answer
	// ReportRejection tells the router that grants the permits of a brittle target that it
	// rejected a request; nil means that this router is the only one.
	ReportRejection func(id fleet.TargetID)
	// StreamVersions tells at which software version resumable streams run; nil means that
	// only the view is known.
	StreamVersions StreamVersions
	// Helpers returns the addresses of other routers that reach the targets of a service, in
	// the order in which to ask them; nil means that there are none.
	Helpers func(service fleet.ServiceName) []string
	// Paths records the connections to targets; nil means that no other router knows of it.
	Paths *targetpath.Tracker
	// Connect opens connections to targets; nil means netconn.Dial.
	Connect targetconn.ConnectFunc
	// BodyBytes bounds the bodies of all requests in flight together; zero means that nothing
	// does.
	BodyBytes int64
	// RetryBudget configures the retry budget of each service.
	RetryBudget retry.BudgetConfig
	// RouterCount returns the number of routers that share the retry budget; nil means
	// one.
	RouterCount func() int
	Metrics     *metrics.Set
	Latency     *metrics.RelayMetrics
	Log         zerolog.Logger
}

// Relay serves client requests; it implements http.Handler. It is safe for
// concurrent use.
type Relay struct {
	cfg  Config
	pool *targetconn.Pool
	// routers holds the connections to other routers.
	routers  *targetconn.Pool
	paths    *targetpath.Tracker
	health   *targethealth.Tracker
	loads    *loadTable
	holders  *dispatch.CacheHolders
	evidence *quarantine.Tracker
	limits   *targetlimit.Tracker
	cold     *targetcold.Tracker
	// coldNotices is used by Run only; coldCount is the number of cold targets then.
	coldNotices coldNotices
	coldCount   atomic.Int64
	notices     *targetnotice.Tracker
	bodies      bodyMemory
	started     time.Time
	inFlight    atomic.Int64
	// lastEndUnixNano is the Unix time, in nanoseconds, at which the last request
	// ended.
	lastEndUnixNano atomic.Int64
	// stop is nil until StartDraining is called.
	stop atomic.Pointer[admission.StopSchedule]

	mu           sync.Mutex
	targetSets   targetSets
	retryBudgets map[fleet.ServiceName]*retry.Budget
	// rooms holds what decides, for each service, on requests while its targets have too little room.
	rooms map[fleet.ServiceName]*overload.Controller
	// returnPacers holds what tells when requests come back that were refused because
	// of the limits of a service's targets.
	returnPacers map[fleet.ServiceName]*admission.ReturnPacer
	// paces holds the pace of the answers of each service's engines.
	paces map[fleet.ServiceName]*admission.Pace
	// crashChecks holds the broken attempts at each target whose crash is being checked.
	crashChecks map[fleet.TargetID][]brokenAttempt
	// endChecks holds the latest checks of targets at the ends of responses, for as long as later ends may share them.
	endChecks map[endCheckKey]*endCheck
}

// New returns a relay without any state about targets.
func New(cfg Config) *Relay {
	if cfg.GuardClose == nil {
		cfg.GuardClose = func(context.Context) func() { return func() {} }
	}
	if cfg.StreamVersions == nil {
		cfg.StreamVersions = soleVersions{cfg.View}
	}
	r := &Relay{
		cfg: cfg, bodies: bodyMemory{limit: cfg.BodyBytes}, started: time.Now(), health: targethealth.NewTracker(), loads: newLoadTable(), holders: dispatch.NewCacheHolders(),
		retryBudgets: map[fleet.ServiceName]*retry.Budget{}, rooms: map[fleet.ServiceName]*overload.Controller{},
		routers: targetconn.NewPool(nil, nil), paths: cfg.Paths, evidence: quarantine.NewTracker(), limits: cfg.Limits, cold: cfg.Cold, notices: targetnotice.NewTracker(), returnPacers: map[fleet.ServiceName]*admission.ReturnPacer{},
		paces:       map[fleet.ServiceName]*admission.Pace{},
		crashChecks: map[fleet.TargetID][]brokenAttempt{}, endChecks: map[endCheckKey]*endCheck{},
	}
	if r.limits == nil {
		r.limits = targetlimit.NewTracker()
	}
	if r.cold == nil {
		r.cold = targetcold.NewTracker(targetcold.Bounds{}, r.started, 0)
	}
	if r.paths == nil {
		r.paths = targetpath.NewTracker()
	}
	r.pool = targetconn.NewPool(cfg.Connect, cfg.Metrics.TargetConns.Inc)
	return r
}

// InFlight returns the number of in-flight requests.
func (r *Relay) InFlight() int {
	return int(r.inFlight.Load())
}

// TargetConns returns the number of open connections to targets.
func (r *Relay) TargetConns() int {
	return r.pool.OpenConns()
}

// StartDraining starts a graceful stop: responses close their client connections, and requests
// that s does not accept are refused.
func (r *Relay) StartDraining(s admission.StopSchedule) {
	r.stop.Store(&s)
}

// IdleTime returns the time since the last request ended, or zero while one is in
// flight. Before the first request it returns the time since the Unix epoch.
func (r *Relay) IdleTime(now time.Time) time.Duration {
	if r.inFlight.Load() > 0 {
		return 0
	}
	return now.Sub(time.Unix(0, r.lastEndUnixNano.Load()))
}

const (
	// sweepInterval is the interval at which expired connections and the state of
	// removed targets are dropped.
	sweepInterval = time.Second
	// probeInterval is the interval at which unreachable targets are checked for
	// due probes.
	probeInterval = 100 * time.Millisecond
)

// Run drops stale state and probes unreachable targets until ctx ends. It returns
// nil.
func (r *Relay) Run(ctx context.Context) error {
	sweepTicker := time.NewTicker(sweepInterval)
	defer sweepTicker.Stop()
	probeTicker := time.NewTicker(probeInterval)
	defer probeTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-sweepTicker.C:
			r.sweep(now)
			r.checkNotices(ctx, now)
		case now := <-probeTicker.C:
			r.probeDue(ctx, now)
			r.probeEjected(ctx, now)
			r.settleHearsay(now)
			r.checkPaths(ctx, now)
		}
	}
}

// probeDue starts probes of the unreachable targets that are due, so that no
// client request has to wait for an unreachable target.
func (r *Relay) probeDue(ctx context.Context, now time.Time) {
	due := r.health.DueProbes(now)
	if len(due) == 0 {
		return
	}
	for _, list := range r.cfg.View().Targets {
		for _, t := range list {
			if slices.Contains(due, t.ID) {
				go r.probe(ctx, t)
			}
		}
	}
}

// probe opens a connection to a target and records the result in its health state.
func (r *Relay) probe(ctx context.Context, t *catalog.Target) {
	signal := targethealth.Connected
	err := r.pool.Probe(ctx, t.ID, t.Addr)
	if err != nil {
		signal = targethealth.Unreachable
	}
	r.recordPath(t, err, false)
	before, after := r.health.Record(t, signal, time.Now())
	r.recordReturn(t, before, after, time.Now())
	if before != after {
		event.TargetHealthChanged.Log(r.cfg.Log).Str("target", string(t.ID)).Str("before", before.String()).
			Str("after", after.String()).AnErr("error", err).Send()
	}
}

// sweep closes expired connections, drops the state of targets that are no longer
// listed, and updates the number of routers that share the retry budgets.
func (r *Relay) sweep(now time.Time) {
	r.pool.CloseExpired(now)
	r.routers.CloseExpired(now)
	r.paths.Prune(now)
	view := r.cfg.View()
	listed := map[fleet.TargetID]*catalog.Target{}
	for _, targets := range []catalog.Targets{view.Targets, view.Leaving, view.Evacuated} {
		for _, list := range targets {
			for _, t := range list {
				listed[t.ID] = t
			}
		}
	}
	keep := func(id fleet.TargetID) bool { return listed[id] != nil }
	r.health.Retain(keep)
	r.loads.prune(keep)
	r.limits.Prune(now)
	r.cold.Prune(now)
	r.logCold(view, now)
	r.notices.Prune(func(id fleet.TargetID) *catalog.Target { return listed[id] }, now)
	r.updateRetryBudgets(r.routerCount())
	r.reportChanges(r.evidence.Sweep(now))
}

// retryBudget returns the retry budget of a service.
func (r *Relay) retryBudget(service fleet.ServiceName) *retry.Budget {
	return getOrCreate(r, r.retryBudgets, service, func() *retry.Budget {
		return retry.NewBudget(r.cfg.RetryBudget, r.routerCount(), r.started)
	})
}

// room returns what decides on a service's requests while its targets have too little room.
func (r *Relay) room(service fleet.ServiceName) *overload.Controller {
	return getOrCreate(r, r.rooms, service, overload.New)
}

// returnPacer returns the return pacer of a service.
func (r *Relay) returnPacer(service fleet.ServiceName) *admission.ReturnPacer {
	return getOrCreate(r, r.returnPacers, service, func() *admission.ReturnPacer { return &admission.ReturnPacer{} })
}

// pace returns the pace of a service's answers.
func (r *Relay) pace(service fleet.ServiceName) *admission.Pace {
	return getOrCreate(r, r.paces, service, func() *admission.Pace { return &admission.Pace{} })
}

// getOrCreate returns a service's entry in one of the relay's maps, creating it on first
// use.
func getOrCreate[T any](r *Relay, entries map[fleet.ServiceName]*T, service fleet.ServiceName, create func() *T) *T {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := entries[service]
	if entry == nil {
		entry = create()
		entries[service] = entry
	}
	return entry
}

func (r *Relay) routerCount() int {
	if r.cfg.RouterCount == nil {
		return 1
	}
	return r.cfg.RouterCount()
}

// updateRetryBudgets divides the retry budgets among the given number of routers.
func (r *Relay) updateRetryBudgets(routers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.retryBudgets {
		a.SetRouters(routers)
	}
}

// RecordPeerLoad records the number of requests running or waiting at a target, and its pace, zero
// for not told, as another router received them at time at.
func (r *Relay) RecordPeerLoad(id fleet.TargetID, work int, pace float64, at time.Time) {
	r.loads.mergePeerReport(id, work, pace, at)
}

// ResetTarget drops health state, idle connections, cache records and the limit of a target
// whose process was restarted.
func (r *Relay) ResetTarget(id fleet.TargetID) {
	r.health.Reset(id)
	r.health.DropReports(id, time.Now())
	r.limits.Reset(id)
	r.cold.Reset(id)
	r.pool.CloseIdle(id)
	r.holders.RemoveTarget(id)
}
