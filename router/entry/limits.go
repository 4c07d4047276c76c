package entry

import (
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/admission"
	"ragwortpond.example/ragwortpond/settings"
)

// limits enforces this router's share of the configured limits. It is safe for
// concurrent use.
type limits struct {
	mu       sync.Mutex
	limiter  *admission.Limiter
	snapshot *settings.Snapshot
	byScope  map[admission.Scope]admission.Limit
}

func newLimits(peers func(admission.Scope) admission.PeerUsage) *limits {
	if peers == nil {
		peers = func(admission.Scope) admission.PeerUsage { return admission.PeerUsage{Routers: 1} }
	}
	return &limits{limiter: admission.NewLimiter(peers)}
}

// admit counts a request against the limits of its account, its service and the
// fleet. It returns a function that releases the request, or the refusal.
func (l *limits) admit(snapshot *settings.Snapshot, req *Request, clock func() time.Time) (func(), *admission.RefusalError) {
	now := clock()
	if refusal := admission.CheckDeadline(now, req.Deadline, 0); refusal != nil {
		return nil, refusal
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	applied := l.applicable(snapshot, req)
	if refusal := l.limiter.Admit(now, applied); refusal != nil {
		return nil, refusal
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.limiter.Release(clock(), applied)
	}, nil
}

// applicable returns the limits that apply to a request. It must be called with
// the lock held.
func (l *limits) applicable(snapshot *settings.Snapshot, req *Request) []admission.Limit {
	if l.snapshot != snapshot {
		l.snapshot = snapshot
		l.byScope = map[admission.Scope]admission.Limit{}
	}
	list := make([]admission.Limit, 0, 3)
	list = l.appendLimit(list, settings.LevelAccount, admission.AccountScope(req.Account))
	list = l.appendLimit(list, settings.LevelService, admission.ServiceScope(req.Service))
	return l.appendLimit(list, settings.LevelFleet, admission.FleetScope())
}

// appendLimit appends the limit that a level configures itself, if it has one.
func (l *limits) appendLimit(list []admission.Limit, level settings.Level, scope admission.Scope) []admission.Limit {
	limit, cached := l.byScope[scope]
	if !cached {
		own := l.snapshot.OwnLimits(level, scope.Name)
		limit = admission.Limit{
			Scope: scope, PerSecond: own.RequestsPerSecond, Burst: own.Burst, Concurrency: own.Concurrency,
		}
		l.byScope[scope] = limit
	}
	if limit.PerSecond <= 0 && limit.Concurrency <= 0 {
		return list
	}
	return append(list, limit)
}

// Usage returns this router's use of the limits, for reports to other routers.
func (e *Entry) Usage() []admission.Usage {
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	return e.limits.limiter.Usage(e.cfg.Clock())
}
