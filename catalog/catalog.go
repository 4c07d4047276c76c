// Package catalog holds the data that a router serves requests with: the
// configuration in force and the targets that accept requests, each as an
// immutable snapshot.
//
// The package does no I/O; the current time is a parameter. Snapshots are safe for
// concurrent use.
package catalog

import (
	"iter"
	"slices"
	"strings"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// RunPolicy tells how often a request of a route may run.
type RunPolicy uint8

// Run policies.
const (
	// RunOnce requests run at most once.
	RunOnce RunPolicy = iota
	// Repeatable requests may run more than once.
	Repeatable
	// Resumable requests are streams that another target can continue after the
	// last event that the client has received.
	Resumable
)

// String returns the name used in logs and metrics.
func (r RunPolicy) String() string {
	names := [...]string{"once", "repeatable", "resumable"}
	if int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}

// WeightedService is the share of a route's traffic that one service receives.
type WeightedService struct {
	Service fleet.ServiceName
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route describes the handling of requests with a host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix    string
	RunPolicy RunPolicy
	// Stream reports whether answers are event streams.
	Stream bool
	// Timeout is the maximum time until a request's final answer; zero means no
	// limit.
	Timeout time.Duration
	// LatencyObjective is the desired time to the answer, or to the first event of a
	// stream; zero means none.
	LatencyObjective time.Duration
	// MaxEventGap is the maximum pause between the events of a stream that is on time.
	MaxEventGap time.Duration
	// Priority is the priority of the route's requests: smaller numbers are more
	// urgent, and 0 is the most urgent.
	Priority         int
	WeightedServices []WeightedService
	// MaxTargets is the maximum number of targets at which one request may run.
	MaxTargets int
	// Public routes need no client account.
	Public bool
	// PromptAffinity reports whether requests carry the parts of their prompt.
	PromptAffinity bool
}

// Kind returns the kind of the route for logs and metrics.
func (r *Route) Kind() string {
	if r.Stream {
		return r.RunPolicy.String() + "-stream"
	}
	return r.RunPolicy.String()
}

// ServiceAt returns the service at a point in [0, 1) of the route's weighted shares,
// or an empty name if the route has no shares.
func (r *Route) ServiceAt(point float64) fleet.ServiceName {
	sum := 0.0
	for _, s := range r.WeightedServices {
		sum += s.Weight
	}
	at := point * sum
	for _, s := range r.WeightedServices {
		at -= s.Weight
		if at < 0 {
			return s.Service
		}
	}
	if len(r.WeightedServices) == 0 {
		return ""
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}

// Service describes a service.
type Service struct {
	Name fleet.ServiceName
	// Slots is the batch size of each of its engines, in requests; zero for plain
	// services.
	Slots int
	// HealthPath is the path at which its targets tell of their health; empty if there is
	// none.
	HealthPath string
	// ColdPerSecond is the number of requests that a cold target of the service takes in a
	// second, from all routers together; zero if it is not bounded. A target is cold for
	// ColdStart after its start, and may become cold again.
	ColdPerSecond float64
	ColdStart     time.Duration
	// ColdError tells why the configuration names no usable rate; nil if it does, or names none.
	ColdError error
}

// Account is a client account.
type Account struct {
	Name fleet.AccountName
	// Priority overrides the priority of the routes if it is not nil.
	Priority *int
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time from the first to the last byte of a request's
	// head, IdleTimeout the time between requests; zero means no limit.
	HeaderTimeout, IdleTimeout time.Duration
}

// NamedAccount is a client account as a configuration lists it.
type NamedAccount struct {
	Account
	Keys []string
}

// ConfigSource holds the entries of a configuration in the order in which they are written.
type ConfigSource struct {
	// Version is the operator's version number.
	Version  uint64
	Limits   Limits
	Routes   []*Route
	Services []Service
	// Accounts is nil if the configuration has no list of client accounts, so that requests need
	// no key. A list that is there and empty admits nobody to routes that are not public.
	Accounts []NamedAccount
	// Remarks tell what could not be taken as it is written.
	Remarks []Remark
}

// Remark is a part of a route that is not taken as it is written.
type Remark struct {
	Route, Text string
}

// RequiresKey reports whether requests need the key of a client account.
func (s *ConfigSource) RequiresKey() bool {
	return s.Accounts != nil
}

// AccountsByKey returns the client accounts by their keys, or nil if requests need no key. An empty
// key is left out: it is that of requests without one.
func (s *ConfigSource) AccountsByKey() map[string]*Account {
	if !s.RequiresKey() {
		return nil
	}
	accounts := map[string]*Account{}
	for i := range s.Accounts {
		for _, key := range s.Accounts[i].Keys {
			if key != "" {
				accounts[key] = &s.Accounts[i].Account
			}
		}
	}
	return accounts
}

// Config is one version of the configuration.
type Config struct {
	// Version is the operator's version number; it only increases.
	Version uint64
	// Revision is the store's revision of the document.
	Revision uint64
	Limits   Limits
	Services map[fleet.ServiceName]Service
	// StreamLifetimes holds the services with resumable streams, and the longest time from
	// the beginning of such a stream to the last attempt to resume it.
	StreamLifetimes map[fleet.ServiceName]time.Duration
	accounts        map[string]*Account
	routes          map[string][]*Route
}

// NewConfig builds and indexes a configuration. accounts maps keys to client
// accounts; nil means that requests need no key, and an empty map that no key is admitted.
func NewConfig(version, revision uint64, limits Limits, routes []*Route, services []Service, accounts map[string]*Account) *Config {
	c := &Config{
		Version: version, Revision: revision, Limits: limits, accounts: accounts,
		Services: make(map[fleet.ServiceName]Service, len(services)),
		routes:   map[string][]*Route{}, StreamLifetimes: streamLifetimes(routes),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

const (
	// defaultStreamLifetime is the lifetime of streams on routes without a timeout.
	defaultStreamLifetime = time.Minute
	// minStreamLifetime is the shortest lifetime: clients may wait longer than the timeout of
	// a route, or than one that has been lowered.
	minStreamLifetime = 15 * time.Second
	// resumeLag is the time for which a client may resume a stream at the end of its
	// timeout.
	resumeLag = time.Second
)

// streamLifetimes returns the value of Config.StreamLifetimes.
func streamLifetimes(routes []*Route) map[fleet.ServiceName]time.Duration {
	lifetimes := map[fleet.ServiceName]time.Duration{}
	for _, r := range routes {
		if r.RunPolicy != Resumable {
			continue
		}
		lifetime := max(r.Timeout, minStreamLifetime)
		if r.Timeout <= 0 {
			lifetime = defaultStreamLifetime
		}
		for _, s := range r.WeightedServices {
			lifetimes[s.Service] = max(lifetimes[s.Service], lifetime+resumeLag)
		}
	}
	return lifetimes
}

// Route returns the route of host with the longest prefix of path, and false if
// there is none. A port in host is ignored, and so is the case of host.
func (c *Config) Route(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// RequiresKey reports whether requests need the key of a client account.
func (c *Config) RequiresKey() bool {
	return c.accounts != nil
}

// AdmitsNobody reports whether requests need a key and no client account has one.
func (c *Config) AdmitsNobody() bool {
	return c.RequiresKey() && len(c.accounts) == 0
}

// Account returns the client account of a key, and false if the key is unknown.
func (c *Config) Account(key string) (*Account, bool) {
	a, ok := c.accounts[key]
	return a, ok
}

// Target is a target as it describes itself in the store.
type Target struct {
	ID      fleet.TargetID
	Service fleet.ServiceName
	Domain  fleet.DomainName
	// Addr is host:port.
	Addr string
	// Version is the version of its software. Only targets of the same version can continue
	// a stream.
	Version fleet.SoftwareVersion
	// Slots is the number of requests that the target runs at the same time.
	Slots int
	// Leaving targets accept no new requests.
	Leaving bool
	// StartedAt is the start time of its process. When it changes, the process has
	// restarted and lost its state.
	StartedAt time.Time
	// ColdFor is how much longer the target stays cold, as of its entry; zero if it is warm. It
	// is only of use if ColdError is nil.
	ColdFor time.Duration
	// ColdError tells why the entry does not say whether the target is cold; nil if it does.
	ColdError error
	// ReadAt is when this router read the entry, by its own clock; zero if that is not known.
	ReadAt time.Time
	// ColdUntil is until when the target is cold by its entries, see TargetSet.Put; zero if it
	// never was.
	ColdUntil time.Time
	// Sequence counts what its process has written to the store; zero if that is not known.
	Sequence uint64
	// Revision is the store's revision of this description, Era the store's era then.
	Revision, Era uint64
}

// Targets maps each service to its targets, sorted by ID.
type Targets map[fleet.ServiceName][]*Target

// Evacuation is an operator's request that nothing more be sent to the targets of a failure
// domain.
type Evacuation struct {
	Domain fleet.DomainName
	// Revision is the store's revision of the request, Since when a router first knew of it.
	Revision uint64
	Since    time.Time
	// CacheUntil is when other targets cease to fetch cache from its targets.
	CacheUntil time.Time
}

// View is the snapshot that a router serves requests with.
type View struct {
	// Config is nil until a configuration has been loaded.
	Config  *Config
	Targets Targets
	// Leaving holds the targets that finish their requests and accept no new ones.
	Leaving Targets
	// Evacuated holds the targets of evacuated failure domains, those that leave included, as far as they are
	// emptied by now. They finish their requests and are sent no more.
	Evacuated Targets
	// Evacuations are the evacuations in force, sorted by failure domain.
	Evacuations []Evacuation
	// AwaitsEvacuations is set until it is known which failure domains are evacuated.
	AwaitsEvacuations bool
	// TargetsLoaded reports whether the targets have been read at least once.
	TargetsLoaded bool
	// TargetsRevision is the store's revision at which Targets is current.
	TargetsRevision uint64
}

// All returns the targets of a service, those that leave or are evacuated included.
func (v *View) All(service fleet.ServiceName) iter.Seq[*Target] {
	return func(yield func(*Target) bool) {
		for _, targets := range []Targets{v.Targets, v.Leaving, v.Evacuated} {
			for _, t := range targets[service] {
				if !yield(t) {
					return
				}
			}
		}
	}
}

// Ready reports whether the view is sufficient to serve requests.
func (v *View) Ready() bool {
	return v.Config != nil && v.TargetsLoaded && !v.AwaitsEvacuations
}
