package entry

import (
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/admission"
	"ragwortpond.example/ragwortpond/settings"
)

// limits holds this router's share of the limits in force. It is safe for
// concurrent use.
type limits struct {
	mu       sync.Mutex
	limiter  *admission.Limiter
	snapshot *settings.Snapshot
	inForce  map[admission.Scope]admission.Limit
}

func newLimits(peers func(admission.Scope) admission.Peers) *limits {
	if peers == nil {
		peers = func(admission.Scope) admission.Peers { return admission.Peers{Routers: 1} }
	}
	return &limits{limiter: admission.NewLimiter(peers)}
}

// admit counts a request against the limits of its account, its service and the
// fleet. It returns the function that ends the request, or the refusal.
func (l *limits) admit(snapshot *settings.Snapshot, req *Request, clock func() time.Time) (func(), *admission.Refusal) {
	now := clock()
	if refusal := admission.CheckDeadline(now, req.Deadline, 0); refusal != nil {
		return nil, refusal
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	counted := l.of(snapshot, req)
	if refusal := l.limiter.Admit(now, counted); refusal != nil {
		return nil, refusal
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.limiter.Release(clock(), counted)
	}, nil
}

// of must be called with the lock held.
func (l *limits) of(snapshot *settings.Snapshot, req *Request) []admission.Limit {
	if l.snapshot != snapshot {
		l.snapshot = snapshot
		l.inForce = map[admission.Scope]admission.Limit{}
	}
	found := make([]admission.Limit, 0, 3)
	found = l.append(found, settings.LevelAccount, admission.AccountScope(req.Account))
	found = l.append(found, settings.LevelService, admission.ServiceScope(req.Service))
	return l.append(found, settings.LevelFleet, admission.FleetScope())
}

// append adds the limit that a level sets for itself, if it sets one.
func (l *limits) append(found []admission.Limit, level settings.Level, scope admission.Scope) []admission.Limit {
	limit, known := l.inForce[scope]
	if !known {
		own := l.snapshot.LimitsOf(level, scope.Name)
		limit = admission.Limit{
			Scope: scope, PerSecond: own.RequestsPerSecond, Burst: own.Burst, Concurrency: own.Concurrency,
		}
		l.inForce[scope] = limit
	}
	if limit.PerSecond <= 0 && limit.Concurrency <= 0 {
		return found
	}
	return append(found, limit)
}

// Usage returns this router's part in the limits, for reports to the others.
func (e *Entry) Usage() []admission.Usage {
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	return e.limits.limiter.Usage(e.cfg.Clock())
}
