// Package catalog holds what a router serves by: the configuration in force
// and the targets that take work, each as an immutable snapshot.
//
// The package does no I/O; the time is passed in. Snapshots are safe for
// concurrent use.
package catalog

import (
	"slices"
	"strings"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// Repetition says how often a request of a route may run.
type Repetition uint8

// The kinds of repetition.
const (
	// Once requests run at most once.
	Once Repetition = iota
	// Repeatable requests may run more than once.
	Repeatable
	// Resumable requests are streams that another target can go on with after
	// the last event that the client has.
	Resumable
)

// String returns the name used in logs and metrics.
func (r Repetition) String() string {
	names := [...]string{"once", "repeatable", "resumable"}
	if int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}

// Share is one service's part of a route's traffic.
type Share struct {
	Service fleet.ServiceName
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route says where requests of a host and path prefix go.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix     string
	Repetition Repetition
	// Stream says that answers are streams of events.
	Stream bool
	// Timeout is the longest time until a request's final answer; zero means
	// that there is no limit.
	Timeout time.Duration
	// Objective is the time to the answer, of streams to the first event.
	Objective time.Duration
	// Pause is the longest pause between the events of a stream that is on time.
	Pause time.Duration
	// Priority is the rank, 0 first.
	Priority int
	Shares   []Share
	// MaxTargets is the number of targets at which one request may run.
	MaxTargets int
	// Public routes need no client account.
	Public bool
	// Affinity says that requests carry the parts of their prompt.
	Affinity bool
}

// Kind names the kind of route for logs and metrics.
func (r *Route) Kind() string {
	if r.Stream {
		return r.Repetition.String() + "-stream"
	}
	return r.Repetition.String()
}

// ServiceAt returns the service for a point in [0, 1) of the route's shares.
func (r *Route) ServiceAt(point float64) fleet.ServiceName {
	sum := 0.0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	at := point * sum
	for _, s := range r.Shares {
		at -= s.Weight
		if at < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service describes one service.
type Service struct {
	Name fleet.ServiceName
	// Slots is the number of requests that one of its engines batches; zero for
	// plain services.
	Slots int
}

// Account is a client account.
type Account struct {
	Name fleet.AccountName
	// Priority replaces the routes' priority where it is set.
	Priority *int
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time from the first byte of a request's head to its
	// last, IdleTimeout that between requests; zero means no limit.
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of the configuration.
type Config struct {
	// Version is the operator's version; it only grows.
	Version uint64
	// Revision is the store's revision of the document.
	Revision uint64
	Limits   Limits
	Services map[fleet.ServiceName]Service
	accounts map[string]*Account
	routes   map[string][]*Route
}

// NewConfig indexes a configuration. accounts maps keys to client accounts; nil
// means that the configuration has no client accounts and needs no key.
func NewConfig(version, revision uint64, limits Limits, routes []*Route, services []Service, accounts map[string]*Account) *Config {
	c := &Config{
		Version: version, Revision: revision, Limits: limits, accounts: accounts,
		Services: make(map[fleet.ServiceName]Service, len(services)),
		routes:   map[string][]*Route{},
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

// Route returns the route of the longest prefix that begins path, among those
// of host. A port in host is ignored.
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

// Keyed reports whether requests need a client account's key.
func (c *Config) Keyed() bool {
	return c.accounts != nil
}

// Account returns the client account of a key.
func (c *Config) Account(key string) (*Account, bool) {
	a, ok := c.accounts[key]
	return a, ok
}

// Target is one target as it describes itself in the store.
type Target struct {
	ID      fleet.TargetID
	Service fleet.ServiceName
	Domain  fleet.DomainName
	// Addr is host:port.
	Addr string
	// Slots is the number of requests that it works on at once.
	Slots int
	// Leaving targets take no new work.
	Leaving bool
	// Started is the start of its process; a change means that it knows nothing
	// of before.
	Started time.Time
	// Revision is the store's revision of the description.
	Revision uint64
}

// Targets are the targets of each service that take work, in the order of their
// names.
type Targets map[fleet.ServiceName][]*Target

// View is what a router serves by at one moment.
type View struct {
	// Config is nil until one is known.
	Config  *Config
	Targets Targets
	// Leaving are the targets that finish their work and take no more.
	Leaving Targets
	// TargetsKnown says that the targets were read at least once.
	TargetsKnown bool
	// TargetsRevision is the store's revision up to which Targets holds.
	TargetsRevision uint64
}

// Ready reports whether the view is enough to serve by.
func (v *View) Ready() bool {
	return v.Config != nil && v.TargetsKnown
}
