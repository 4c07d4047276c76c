// Package objectapi defines the interface to the platform: its object API and
// its VM list, which lags behind the actual state.
//
// The platform numbers all accepted changes in one increasing sequence; the
// number of a change is its revision. The version of an object is the revision
// of its last change. Therefore versions of different objects are ordered in
// time, and no version is ever used twice.
package objectapi

import (
	"context"
	"errors"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// MaxValueBytes is the maximum size of an object's data.
const MaxValueBytes = 1 << 20

// Errors of the object API. Callers test them with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrConflict means that the object's current version differs from the
	// expected one; the change has not taken effect.
	ErrConflict = errors.New("platform: version conflict")
	// ErrUnavailable means that the platform refused the call before running
	// it, or could not be connected to; a change has not taken effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrResultUnknown means that there was no definite response to a write; the change
	// may have taken effect.
	ErrResultUnknown = errors.New("platform: result of the write unknown")
	// ErrRateLimited means that the platform refused the call because of its rate
	// limit; a change has not taken effect.
	ErrRateLimited = errors.New("platform: rate limited")
	// ErrTooLarge means that the value is over MaxValueBytes.
	ErrTooLarge = errors.New("platform: value too large")
	// ErrCompacted means that the platform no longer holds the changes since the
	// starting revision of a watch; the caller must list the objects again.
	ErrCompacted = errors.New("platform: revision compacted")
)

// Object is one object with its version.
type Object struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Data    []byte `json:"data"`
}

// Change is one event of a watch.
type Change struct {
	Object Object `json:"object"`
	// Deleted is set if the object was deleted at Object.Version.
	Deleted bool `json:"deleted"`
}

// VM is one entry of the platform's VM list.
type VM struct {
	Name   string           `json:"name"`
	Domain fleet.DomainName `json:"failure_domain"`
	State  fleet.Lifecycle  `json:"state"`
	// PeerAddr is the address for traffic between routers. It is set only for VMs
	// that run a router.
	PeerAddr string `json:"peer_addr,omitempty"`
}

// Store is the object API. Implementations must be safe for concurrent use. All
// errors wrap one of the package's errors or the context's error.
type Store interface {
	// Get returns an object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind, sorted by name, and the revision at
	// which the list is valid.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Put replaces an object if its version is ifVersion, or creates it if
	// ifVersion is zero. It returns the new version.
	Put(ctx context.Context, kind, name string, data []byte, ifVersion uint64) (uint64, error)
	// Delete removes an object if its version is ifVersion and returns the
	// revision of the deletion.
	Delete(ctx context.Context, kind, name string, ifVersion uint64) (uint64, error)
	// Watch waits up to wait for changes of the given kinds after revision from.
	// It returns them in order, with the revision up to which they are complete.
	// If there is no change in that time, it returns an empty slice and no error.
	Watch(ctx context.Context, kinds []string, from uint64, wait time.Duration) ([]Change, uint64, error)
}

// VMLister reads the platform's VM list.
type VMLister interface {
	// VMs returns the VM list, which lags behind the actual state.
	VMs(ctx context.Context) ([]VM, error)
}
