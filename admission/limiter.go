package admission

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/reason"
)

const (
	longestRetryAfter = 30 * time.Second
	busyRetryAfter    = time.Second
	idleScopeLife     = time.Minute
	maxScopes         = 16384
	sweepInterval     = 10 * time.Second
	leastDepth        = 2
	freeShare         = 0.5
	reportTime        = time.Second
)

// Level tells what a limit is for.
type Level uint8

// The levels at which limits hold.
const (
	LevelAccount Level = iota
	LevelService
	LevelFleet
)

// Scope names what a limit is for: one client account, one service, or the
// fleet, whose name is empty.
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

// Limit is the limit of one scope over the whole fleet. Zero values do not
// limit.
type Limit struct {
	Scope Scope
	// PerSecond is in requests a second, Burst the bucket's depth in requests.
	PerSecond float64
	Burst     int
	// Concurrency bounds requests in flight.
	Concurrency int
}

// Limiter holds one router's share of all limits.
type Limiter struct {
	peers  func(Scope) Peers
	scopes map[Scope]*scopeState
	swept  time.Time
}

type scopeState struct {
	bucket   bucket
	demand   meter
	inFlight int
	created  time.Time
	used     time.Time
}

// NewLimiter returns a limiter; peers tells what the others have.
func NewLimiter(peers func(Scope) Peers) *Limiter {
	return &Limiter{peers: peers, scopes: map[Scope]*scopeState{}}
}

// Admit counts a request against all its limits, or returns the refusal and
// counts only the demand. Each admitted request needs one Release.
func (l *Limiter) Admit(now time.Time, limits []Limit) *Refusal {
	l.sweep(now)
	for _, limit := range limits {
		l.scope(limit, now).demand.add(now, 1)
	}
	for _, limit := range limits {
		if r := l.check(limit, now); r != nil {
			return r
		}
	}
	for _, limit := range limits {
		s := l.scope(limit, now)
		s.inFlight++
		if limit.PerSecond > 0 {
			s.bucket.tokens--
		}
	}
	return nil
}

// Release ends an admitted request.
func (l *Limiter) Release(now time.Time, limits []Limit) {
	for _, limit := range limits {
		s := l.scopes[limit.Scope]
		if s != nil && s.inFlight > 0 {
			s.inFlight--
			s.used = now
		}
	}
}

// Usage is this router's part in one scope.
type Usage struct {
	Scope Scope
	// Demand is in requests a second, refused ones included.
	Demand   float64
	InFlight int
}

// Usage returns this router's part in every scope it has lately used.
func (l *Limiter) Usage(now time.Time) []Usage {
	usage := make([]Usage, 0, len(l.scopes))
	for scope, s := range l.scopes {
		s.demand.decay(now)
		usage = append(usage, Usage{Scope: scope, Demand: s.demand.perSecond, InFlight: s.inFlight})
	}
	return usage
}

func (l *Limiter) check(limit Limit, now time.Time) *Refusal {
	s := l.scope(limit, now)
	peers := l.peers(limit.Scope)
	if limit.Concurrency > 0 && s.inFlight >= concurrencyHere(limit, s, peers, now) {
		return &Refusal{Reason: concurrencyReason(limit.Scope.Level), RetryAfter: busyRetryAfter}
	}
	if limit.PerSecond <= 0 {
		return nil
	}
	rate, depth := here(limit, s, peers)
	s.bucket.fill(now, rate, depth)
	if s.bucket.tokens < 1 {
		return &Refusal{Reason: rateReason(limit.Scope.Level), RetryAfter: s.bucket.wait(rate)}
	}
	return nil
}

// here returns this router's rate and depth of a limit. A depth below
// leastDepth would lose what flows in between two requests.
func here(limit Limit, s *scopeState, peers Peers) (rate, depth float64) {
	part := share(s.demand.perSecond, limit.PerSecond, peers)
	return limit.PerSecond * part, max(float64(limit.Burst)*part, min(float64(limit.Burst), leastDepth), 1)
}

// concurrencyHere returns how many requests may be in flight here: this
// router's share, and beyond it as long as the fleet uses less than freeShare
// of the limit. A scope that is new here counts as unused elsewhere until the
// others had time to report.
func concurrencyHere(limit Limit, s *scopeState, peers Peers, now time.Time) int {
	free := float64(limit.Concurrency) * freeShare
	if !peers.Fresh {
		fair := max(limit.Concurrency/max(peers.Routers, 1), 1)
		if now.Sub(s.created) < reportTime {
			return max(fair, int(free))
		}
		return fair
	}
	part := share(s.demand.perSecond, float64(limit.Concurrency), peers)
	fair := max(int(float64(limit.Concurrency)*part), 1)
	left := limit.Concurrency - int(peers.InFlight+0.5)
	return max(min(fair, left), int(free-peers.InFlight), 0)
}

func (l *Limiter) scope(limit Limit, now time.Time) *scopeState {
	s := l.scopes[limit.Scope]
	if s == nil {
		s = &scopeState{demand: meter{at: now}, created: now}
		_, depth := here(limit, s, l.peers(limit.Scope))
		s.bucket = newBucket(depth, now)
		l.scopes[limit.Scope] = s
	}
	s.used = now
	return s
}

// sweep forgets scopes that have not been used for a while.
func (l *Limiter) sweep(now time.Time) {
	if len(l.scopes) < maxScopes && now.Sub(l.swept) < sweepInterval {
		return
	}
	l.swept = now
	for scope, s := range l.scopes {
		if s.inFlight == 0 && now.Sub(s.used) >= idleScopeLife {
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
