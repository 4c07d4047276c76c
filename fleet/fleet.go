// Package fleet holds the identifiers and plain records that every other
// package shares: routers, targets, failure domains, services and client
// accounts. It has no behaviour beyond validation and ordering and depends on
// nothing else in the module.
package fleet

import (
	"regexp"
	"strings"
)

// RouterID names one router process; it equals the common name of its peer
// certificate.
type RouterID string

// TargetID names one target: a model engine or an instance of a plain service.
type TargetID string

// ServiceName names a service, which callers give as the model or in the path.
type ServiceName string

// AccountName names a client account.
type AccountName string

// DomainName names a failure domain.
type DomainName string

// RegionName names a region, a set of failure domains near each other.
type RegionName string

// ChatKey identifies a chat across requests: a 64-bit hash of the caller's
// chat id, or of the leading messages where no id is given, salted with the
// client account.
type ChatKey uint64

// PrefixKey identifies a shared leading prompt (a 64-bit hash); zero means
// that the request has none worth grouping by.
type PrefixKey uint64

// AttemptID identifies one dispatch of a request to one target: 16 random
// bytes as 32 hexadecimal digits. Targets echo it.
type AttemptID string

// RequestID identifies one caller request; it is common to all its attempts.
type RequestID string

// TargetKind tells model engines from plain services.
type TargetKind string

// The kinds of target.
const (
	KindEngine TargetKind = "engine"
	KindPlain  TargetKind = "plain"
)

// Lifecycle is the announced state of a router or a target.
type Lifecycle string

// The announced states. A leaving member finishes its work and receives no
// new work.
const (
	Live    Lifecycle = "live"
	Leaving Lifecycle = "leaving"
	Gone    Lifecycle = "gone"
)

// Target describes one target as the settings name it.
type Target struct {
	ID      TargetID
	Service ServiceName
	Kind    TargetKind
	Domain  DomainName
	// Addr is host:port of the target's HTTP listener.
	Addr string
	// VM is the name under which the platform's VM list carries the target's
	// machine; empty means the target's own name.
	VM string
	// Weight scales the target's share of load; 1 is the norm.
	Weight float64
	// ChecksFencing says whether the target refuses orders that carry an old
	// fencing number.
	ChecksFencing bool
	// Engine is what the target is ordered to serve; the zero value orders
	// nothing.
	Engine EngineState
	// Fence is the platform version of the target's document, the fencing
	// number of its orders.
	Fence uint64
	// State is Leaving once an operator has withdrawn the target.
	State Lifecycle
}

// Router describes one router as membership knows it.
type Router struct {
	ID     RouterID   `cbor:"1,keyasint" json:"id"`
	Domain DomainName `cbor:"2,keyasint" json:"failure_domain"`
	Region RegionName `cbor:"3,keyasint" json:"region"`
	// PeerAddr is host:port of the router's QUIC listener.
	PeerAddr string `cbor:"4,keyasint" json:"peer_addr"`
	// Incarnation grows each time the router restarts or refutes a suspicion.
	Incarnation uint64 `cbor:"5,keyasint" json:"incarnation"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// ValidName reports whether s may name an object: 1 to 63 lower-case letters,
// digits, dots and hyphens, starting and ending with a letter or digit.
func ValidName(s string) bool {
	return namePattern.MatchString(s) && !strings.Contains(s, "..")
}
