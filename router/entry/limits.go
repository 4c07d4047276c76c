package entry

import (
	"strconv"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/admission"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/settings"
)

// Keys of the settings that limit.
const (
	keyPerSecond   = "limits.requests_per_second"
	keyBurst       = "limits.burst"
	keyConcurrency = "limits.concurrency"
)

// limits holds this router's share of the limits in force. It is safe for
// concurrent use.
type limits struct {
	mu       sync.Mutex
	limiter  *admission.Limiter
	snapshot *settings.Snapshot
	inForce  map[limitKey][]admission.Limit
}

type limitKey struct {
	service fleet.ServiceName
	account fleet.AccountName
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
		l.inForce = map[limitKey][]admission.Limit{}
	}
	key := limitKey{req.Service, req.Account}
	found, known := l.inForce[key]
	if !known {
		found = limitsIn(snapshot, key)
		l.inForce[key] = found
	}
	return found
}

// limitsIn reads the limits of an account, a service and the fleet, each from
// the settings of its own level.
func limitsIn(snapshot *settings.Snapshot, key limitKey) []admission.Limit {
	var found []admission.Limit
	found = appendLimit(found, admission.AccountScope(key.account), settings.LevelAccount,
		snapshot.EffectiveByLevel("", "", key.account))
	found = appendLimit(found, admission.ServiceScope(key.service), settings.LevelService,
		snapshot.EffectiveByLevel("", key.service, ""))
	return appendLimit(found, admission.FleetScope(), settings.LevelFleet, snapshot.EffectiveByLevel("", "", ""))
}

func appendLimit(found []admission.Limit, scope admission.Scope, level settings.Level, values []settings.EffectiveValue) []admission.Limit {
	limit := admission.Limit{Scope: scope}
	for _, v := range values {
		number, err := strconv.ParseFloat(string(v.Value), 64)
		if err != nil {
			continue
		}
		switch {
		case v.Key == keyBurst:
			limit.Burst = int(number)
		case v.Key == keyPerSecond && v.Level == level:
			limit.PerSecond = number
		case v.Key == keyConcurrency && v.Level == level:
			limit.Concurrency = int(number)
		}
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
