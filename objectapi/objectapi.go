// Package objectapi is the face of the platform: its object API and its
// lagging list of VMs.
//
// Versions: the platform gives every accepted change one number from a single
// growing sequence, its revision. An object's version is the revision of its
// last change, so versions of different objects can be compared in time and a
// version never repeats.
package objectapi

import (
	"context"
	"errors"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// MaxValueBytes is the largest value that the object API takes.
const MaxValueBytes = 1 << 20

// Errors of the object API. Callers test them with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrConflict means that the object's version is not the one given; the
	// change has not taken effect.
	ErrConflict = errors.New("platform: version conflict")
	// ErrUnavailable means that the platform refused the call before running
	// it, or could not be connected to; a change has not taken effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown means that no answer came: a change may have taken effect.
	ErrUnknown = errors.New("platform: answer lost")
	// ErrRateLimited means that the platform refused the call for its rate; a
	// change has not taken effect.
	ErrRateLimited = errors.New("platform: rate limited")
	// ErrTooLarge means that the value is over MaxValueBytes.
	ErrTooLarge = errors.New("platform: value too large")
	// ErrCompacted means that the watch's starting revision is no longer held;
	// the caller lists anew.
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
	// Deleted says that the object was deleted at Object.Version.
	Deleted bool `json:"deleted"`
}

// VM is one entry of the lagging list.
type VM struct {
	Name   string           `json:"name"`
	Domain fleet.DomainName `json:"failure_domain"`
	State  fleet.Lifecycle  `json:"state"`
	// PeerAddr is set for the system's own entry VMs.
	PeerAddr string `json:"peer_addr,omitempty"`
}

// Store is the object API. Implementations are safe for concurrent use. Every
// method returns one of the package's errors, wrapped, or the context's.
type Store interface {
	// Get reads one object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List reads all objects of a kind, sorted by name, and the revision at
	// which the list was taken.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Put writes an object if its version is ifVersion and returns the new
	// version; ifVersion zero creates it.
	Put(ctx context.Context, kind, name string, data []byte, ifVersion uint64) (uint64, error)
	// Delete removes an object if its version is ifVersion and returns the
	// revision of the removal.
	Delete(ctx context.Context, kind, name string, ifVersion uint64) (uint64, error)
	// Watch waits up to wait for changes of the given kinds after revision
	// from, and returns them in order with the revision up to which they are
	// complete. No change within the wait gives an empty slice and no error.
	Watch(ctx context.Context, kinds []string, from uint64, wait time.Duration) ([]Change, uint64, error)
}

// VMLister reads the platform's lagging list of VMs.
type VMLister interface {
	VMs(ctx context.Context) ([]VM, error)
}
