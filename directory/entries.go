package directory

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"ragwortpond.example/ragwortpond/platform"
)

// mostGone bounds the deletions that are remembered.
const mostGone = 4096

// entries are the targets' entries as they stand in the store, with a digest by
// which routers compare them.
type entries struct {
	objects map[string]platform.Object
	// gone holds the revision up to which a deleted entry must not come back.
	gone   map[string]uint64
	digest uint64
}

func newEntries() *entries {
	return &entries{objects: map[string]platform.Object{}, gone: map[string]uint64{}}
}

// put takes an entry and reports whether it is newer than what is known.
func (e *entries) put(o platform.Object) bool {
	if revision, ok := e.gone[o.Name]; ok && o.Revision <= revision {
		return false
	}
	old, ok := e.objects[o.Name]
	if ok && old.Revision >= o.Revision {
		return false
	}
	if ok {
		e.digest -= entryHash(old)
	}
	delete(e.gone, o.Name)
	e.objects[o.Name] = o
	e.digest += entryHash(o)
	return true
}

// covered reports whether a deletion as of a revision removes an entry: there is
// one, and it is not newer. Revision zero covers every entry.
func (e *entries) covered(name string, revision uint64) bool {
	old, ok := e.objects[name]
	return ok && (revision == 0 || old.Revision <= revision)
}

// remove takes a deletion as of a revision and reports whether there was such an
// entry.
func (e *entries) remove(name string, revision uint64) bool {
	if !e.covered(name, revision) {
		return false
	}
	old := e.objects[name]
	if len(e.gone) >= mostGone {
		clear(e.gone)
	}
	e.gone[name] = max(old.Revision, revision)
	e.digest -= entryHash(old)
	delete(e.objects, name)
	return true
}

// entryHash is an entry's part of the digest; parts are added up, so that the
// order of changes does not matter.
func entryHash(o platform.Object) uint64 {
	var revision [8]byte
	binary.LittleEndian.PutUint64(revision[:], o.Revision)
	d := xxhash.New()
	_, _ = d.WriteString(o.Name)
	_, _ = d.Write(revision[:])
	return d.Sum64()
}
