// Package fleet defines the identifiers and records that the other packages share:
// routers, targets, failure domains, services and client accounts. It contains no
// logic except validation, and imports no other package of the module.
package fleet

import (
	"regexp"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// RouterID identifies a router process. It equals the common name of its peer
// certificate.
type RouterID string

// TargetID identifies a target: a model engine or an instance of a plain service.
type TargetID string

// Hash returns the hash by which messages between routers name the target.
func (id TargetID) Hash() uint32 {
	return uint32(xxhash.Sum64String(string(id)))
}

// ServiceName is the name of a service. Callers give it as the model or in the path.
type ServiceName string

// Hash returns the hash by which messages between routers name the service.
func (name ServiceName) Hash() uint32 {
	return uint32(xxhash.Sum64String(string(name)))
}

// AccountName is the name of a client account.
type AccountName string

// DomainName is the name of a failure domain.
type DomainName string

// SoftwareVersion is the version of the software that a target runs. Versions have no order.
type SoftwareVersion string

// RegionName is the name of a region, a set of failure domains close to each other.
type RegionName string

// ChatKey identifies a chat across requests: a 64-bit hash of the caller's
// chat id, or of the leading messages where no id is given, salted with the
// client account.
type ChatKey uint64

// PrefixKey identifies a shared leading prompt by a 64-bit hash. Zero means that the
// request has no leading prompt worth grouping by.
type PrefixKey uint64

// AttemptID identifies one dispatch of a request to one target: 16 random bytes as
// 32 hexadecimal digits. Targets return it with the answer.
type AttemptID string

// RequestID identifies a request of a caller. All its attempts share it.
type RequestID string

// TargetKind distinguishes model engines from plain services.
type TargetKind string

// The kinds of target.
const (
	KindEngine TargetKind = "engine"
	KindPlain  TargetKind = "plain"
)

// Lifecycle is the announced state of a router or a target.
type Lifecycle string

// The announced states. A leaving router or target finishes its work and receives no
// new work.
const (
	Live    Lifecycle = "live"
	Leaving Lifecycle = "leaving"
	Gone    Lifecycle = "gone"
)

// Target describes a target as configured in the settings.
type Target struct {
	ID      TargetID
	Service ServiceName
	Kind    TargetKind
	Domain  DomainName
	// Addr is host:port of the target's HTTP listener.
	Addr string
	// VM is the name of the target's machine in the platform's VM list; empty
	// means the target's ID.
	VM string
	// Weight scales the target's share of load; 1 is the normal weight.
	Weight float64
	// ChecksFencing means that the target refuses orders with an old fencing
	// number.
	ChecksFencing bool
	// Engine is the state that the target is ordered to have; the zero value
	// orders nothing.
	Engine EngineState
	// Fence is the platform version of the target's document. It is used as the
	// fencing number of the target's orders.
	Fence uint64
	// State is Leaving once an operator has withdrawn the target.
	State Lifecycle
}

// Router describes a router as a member of the fleet.
type Router struct {
	ID     RouterID   `cbor:"1,keyasint" json:"id"`
	Domain DomainName `cbor:"2,keyasint" json:"failure_domain"`
	Region RegionName `cbor:"3,keyasint" json:"region"`
	// PeerAddr is host:port of the router's QUIC listener.
	PeerAddr string `cbor:"4,keyasint" json:"peer_addr"`
	// Incarnation increases each time the router restarts or refutes a suspicion.
	Incarnation uint64 `cbor:"5,keyasint" json:"incarnation"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// ValidName reports whether s is a valid object name: 1 to 63 lower-case letters,
// digits, dots and hyphens, without consecutive dots, starting and ending with a
// letter or digit.
func ValidName(s string) bool {
	return namePattern.MatchString(s) && !strings.Contains(s, "..")
}
