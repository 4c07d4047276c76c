package directory

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"ragwortpond.example/ragwortpond/platform"
)

// maxTombstones bounds the number of tombstones; all are dropped when it is reached.
const maxTombstones = 4096

// entries holds the targets' entries as stored, with a digest by which routers
// compare them. It is not safe for concurrent use.
type entries struct {
	objects map[string]platform.Object
	// tombstones maps deleted entries to the revision up to which put ignores them.
	tombstones map[string]uint64
	// digest is the sum, modulo 2^64, of the hashes of all entries.
	digest uint64
	// newest is the highest revision of an entry or a deletion that was applied.
	newest uint64
}

func newEntries() *entries {
	return &entries{objects: map[string]platform.Object{}, tombstones: map[string]uint64{}}
}

// put stores an entry unless the stored one or a tombstone is at least as new, and
// reports whether it did.
func (e *entries) put(o platform.Object) bool {
	if revision, ok := e.tombstones[o.Name]; ok && o.Revision <= revision {
		return false
	}
	old, ok := e.objects[o.Name]
	if ok && old.Revision >= o.Revision {
		return false
	}
	if ok {
		e.digest -= entryHash(old)
	}
	delete(e.tombstones, o.Name)
	e.objects[o.Name] = o
	e.newest = max(e.newest, o.Revision)
	e.digest += entryHash(o)
	return true
}

// deletionApplies reports whether a deletion as of a revision removes an entry: the
// entry exists and is not newer. Revision zero removes an entry of any revision.
func (e *entries) deletionApplies(name string, revision uint64) bool {
	old, ok := e.objects[name]
	return ok && (revision == 0 || old.Revision <= revision)
}

// remove applies a deletion as of a revision, leaves a tombstone, and reports
// whether the deletion applied.
func (e *entries) remove(name string, revision uint64) bool {
	if !e.deletionApplies(name, revision) {
		return false
	}
	old := e.objects[name]
	if len(e.tombstones) >= maxTombstones {
		clear(e.tombstones)
	}
	e.tombstones[name] = max(old.Revision, revision)
	e.newest = max(e.newest, revision)
	e.digest -= entryHash(old)
	delete(e.objects, name)
	return true
}

// entryHash returns an entry's summand of the digest. The digest is a sum, so that
// it does not depend on the order of changes.
func entryHash(o platform.Object) uint64 {
	var revision [8]byte
	binary.LittleEndian.PutUint64(revision[:], o.Revision)
	d := xxhash.New()
	_, _ = d.WriteString(o.Name)
	_, _ = d.Write(revision[:])
	return d.Sum64()
}
