package admission

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/reason"
)

const (
	// maxRetryAfter is the upper bound of the retry delay of rate limits.
	maxRetryAfter = 30 * time.Second
	// concurrencyRetryAfter is the retry delay of concurrency limits.
	concurrencyRetryAfter = time.Second
	scopeIdleTimeout      = time.Minute
	// sweepThreshold is the number of scopes from which every call of Admit sweeps;
	// below it, sweeps are at least sweepInterval apart.
	sweepThreshold = 16384
	sweepInterval  = 10 * time.Second
	// minDepth is the minimum bucket depth, in requests, if the burst permits.
	minDepth = 2
	// uncontendedFraction is a fraction of a concurrency limit: while the fleet uses
	// less, a router may exceed its share.
	uncontendedFraction = 0.5
	// usageReportDelay is the time allowed for other routers to report their use of a
	// scope that is new at this router.
	usageReportDelay = time.Second
)

// Level is the kind of scope that a limit applies to.
type Level uint8

// Levels of limits.
const (
	LevelAccount Level = iota
	LevelService
	LevelFleet
)

// Scope identifies what a limit applies to: one client account, one service, or
// the whole fleet, which has an empty name.
type Scope struct {
	Level Level
	Name  string
}

// AccountScope returns the scope of a client account.
func AccountScope(a fleet.AccountName) Scope {
	return Scope{LevelAccount, string(a)}
}

// ServiceScope returns the scope of a service.
func ServiceScope(s fleet.ServiceName) Scope {
	return Scope{LevelService, string(s)}
}

// FleetScope returns the scope of the fleet.
func FleetScope() Scope {
	return Scope{Level: LevelFleet}
}

// Limit is the fleet-wide limit of one scope. A zero PerSecond or Concurrency
// means no limit of that kind.
type Limit struct {
	Scope Scope
	// PerSecond is in requests per second; Burst is the bucket depth in requests.
	PerSecond float64
	Burst     int
	// Concurrency is the maximum number of requests in flight.
	Concurrency int
}

// Limiter enforces one router's share of all limits.
type Limiter struct {
	peers     func(Scope) PeerUsage
	scopes    map[Scope]*scopeState
	lastSweep time.Time
}

type scopeState struct {
	bucket    bucket
	demand    rateMeter
	inFlight  int
	createdAt time.Time
	lastUsed  time.Time
}

// NewLimiter returns a limiter. peers returns the other routers' use of a scope.
func NewLimiter(peers func(Scope) PeerUsage) *Limiter {
	return &Limiter{peers: peers, scopes: map[Scope]*scopeState{}}
}

// Admit counts a request against all its limits and returns nil, or returns a
// refusal and counts only the demand. Each admitted request needs one Release.
func (l *Limiter) Admit(now time.Time, limits []Limit) *RefusalError {
	l.sweep(now)
	for _, limit := range limits {
		l.stateFor(limit, now).demand.add(now, 1)
	}
	for _, limit := range limits {
		if r := l.check(limit, now); r != nil {
			return r
		}
	}
	for _, limit := range limits {
		s := l.stateFor(limit, now)
		s.inFlight++
		if limit.PerSecond > 0 {
			s.bucket.tokens--
		}
	}
	return nil
}

// Release ends an admitted request, with the limits that it was admitted under.
func (l *Limiter) Release(now time.Time, limits []Limit) {
	for _, limit := range limits {
		s := l.scopes[limit.Scope]
		if s != nil && s.inFlight > 0 {
			s.inFlight--
			s.lastUsed = now
		}
	}
}

// Usage is this router's use of one scope.
type Usage struct {
	Scope Scope
	// Demand is in requests per second, including refused ones.
	Demand   float64
	InFlight int
}

// Usage returns this router's use of every scope that it keeps state for.
func (l *Limiter) Usage(now time.Time) []Usage {
	usage := make([]Usage, 0, len(l.scopes))
	for scope, s := range l.scopes {
		s.demand.decay(now)
		usage = append(usage, Usage{Scope: scope, Demand: s.demand.perSecond, InFlight: s.inFlight})
	}
	return usage
}

func (l *Limiter) check(limit Limit, now time.Time) *RefusalError {
	s := l.stateFor(limit, now)
	peers := l.peers(limit.Scope)
	if limit.Concurrency > 0 && s.inFlight >= localConcurrency(limit, s, peers, now) {
		return &RefusalError{Reason: concurrencyReason(limit.Scope.Level), RetryAfter: concurrencyRetryAfter}
	}
	if limit.PerSecond <= 0 {
		return nil
	}
	rate, depth := localRate(limit, s, peers)
	s.bucket.refill(now, rate, depth)
	if s.bucket.tokens < 1 {
		return &RefusalError{Reason: rateReason(limit.Scope.Level), RetryAfter: s.bucket.wait(rate)}
	}
	return nil
}

// localRate returns this router's rate and bucket depth for a limit. A depth below
// minDepth would discard tokens that accrue between two requests.
func localRate(limit Limit, s *scopeState, peers PeerUsage) (rate, depth float64) {
	fraction := demandShare(s.demand.perSecond, limit.PerSecond, peers)
	return limit.PerSecond * fraction, max(float64(limit.Burst)*fraction, min(float64(limit.Burst), minDepth), 1)
}

// localConcurrency returns how many requests may be in flight at this router: its
// share of the limit, and more while the fleet uses less than uncontendedFraction
// of it. A scope that is new at this router is treated as unused elsewhere until
// the other routers have had time to report.
func localConcurrency(limit Limit, s *scopeState, peers PeerUsage, now time.Time) int {
	uncontended := float64(limit.Concurrency) * uncontendedFraction
	if !peers.Current {
		fair := max(limit.Concurrency/max(peers.Routers, 1), 1)
		if now.Sub(s.createdAt) < usageReportDelay {
			return max(fair, int(uncontended))
		}
		return fair
	}
	fraction := demandShare(s.demand.perSecond, float64(limit.Concurrency), peers)
	fair := max(int(float64(limit.Concurrency)*fraction), 1)
	remaining := limit.Concurrency - int(peers.InFlight+0.5)
	return max(min(fair, remaining), int(uncontended-peers.InFlight), 0)
}

func (l *Limiter) stateFor(limit Limit, now time.Time) *scopeState {
	s := l.scopes[limit.Scope]
	if s == nil {
		s = &scopeState{demand: rateMeter{updatedAt: now}, createdAt: now}
		_, depth := localRate(limit, s, l.peers(limit.Scope))
		s.bucket = newBucket(depth, now)
		l.scopes[limit.Scope] = s
	}
	s.lastUsed = now
	return s
}

// sweep drops scopes that have been idle for scopeIdleTimeout.
func (l *Limiter) sweep(now time.Time) {
	if len(l.scopes) < sweepThreshold && now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	for scope, s := range l.scopes {
		if s.inFlight == 0 && now.Sub(s.lastUsed) >= scopeIdleTimeout {
			delete(l.scopes, scope)
		}
	}
}

func rateReason(level Level) reason.Code {
	switch level {
	case LevelAccount:
		return reason.AccountRate
	case LevelService:
		return reason.ServiceRate
	default:
		return reason.FleetRate
	}
}

func concurrencyReason(level Level) reason.Code {
	if level == LevelAccount {
		return reason.AccountConcurrency
	}
	return reason.Overload
}
