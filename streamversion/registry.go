package streamversion

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortpond.example/ragwortpond/fleet"
)

// Origin stands for the service and the software version that began a stream.
type Origin uint32

// NewOrigin returns the origin of streams of a service at a version.
func NewOrigin(service fleet.ServiceName, version fleet.SoftwareVersion) Origin {
	return Origin(xxhash.Sum64String(string(service) + "\x00" + string(version)))
}

const (
	// recordLifetime is at least how long a record is kept.
	recordLifetime = 30 * time.Second
	// maxRecords bounds each of the two generations of records.
	maxRecords = 8192
)

// Registry remembers where streams began. It is safe for concurrent use.
type Registry struct {
	mu sync.Mutex
	// recent holds the records since rotatedAt, older those of the generation before.
	recent, older map[Key]Origin
	rotatedAt     time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{recent: map[Key]Origin{}, older: map[Key]Origin{}}
}

// Record remembers where a stream began. The first record of a stream holds. If there are too
// many records, it is dropped.
func (r *Registry) Record(key Key, origin Origin, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	_, known := r.older[key]
	if _, ok := r.recent[key]; ok || known || len(r.recent) >= maxRecords {
		return
	}
	r.recent[key] = origin
}

// Find returns where a stream began, or false if that is not known.
func (r *Registry) Find(key Key, now time.Time) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	if origin, ok := r.recent[key]; ok {
		return origin, true
	}
	origin, ok := r.older[key]
	return origin, ok
}

// All returns the records of the last recordLifetime or more.
func (r *Registry) All(now time.Time) map[Key]Origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	all := maps.Clone(r.older)
	if all == nil {
		all = map[Key]Origin{}
	}
	maps.Copy(all, r.recent)
	return all
}

// Moved returns the records of streams, all of one service, that did not begin at the version that a
// split gives them.
func (r *Registry) Moved(service fleet.ServiceName, split Split, now time.Time) map[Key]Origin {
	moved := r.All(now)
	maps.DeleteFunc(moved, func(key Key, origin Origin) bool { return origin == NewOrigin(service, split.VersionOf(key)) })
	return moved
}

// rotate starts a new generation of records when recordLifetime has passed; r.mu must be
// held.
func (r *Registry) rotate(now time.Time) {
	age := now.Sub(r.rotatedAt)
	if age < recordLifetime {
		return
	}
	r.older, r.recent, r.rotatedAt = r.recent, map[Key]Origin{}, now
	if age >= 2*recordLifetime {
		r.older = map[Key]Origin{}
	}
}
