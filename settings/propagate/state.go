// Package propagate distributes accepted settings to every router.
//
// A few routers in each failure domain, chosen by rendezvous hashing, watch the
// platform. These watchers push each change down a tree of the domain's
// routers. A periodic digest exchange with random routers, some of them in
// other failure domains, transfers the changes that a push missed. There is no
// leader election: a router that takes itself for a watcher by mistake only
// costs one more open watch.
//
// An object is applied only if its version is higher than the one held, and a
// router tracks the revision up to which it is complete. So neither a late
// message nor an old page from the platform can revert a setting.
package propagate

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ragwortpond.example/ragwortpond/objectapi"
)

// maxTombstones is the number of tombstones above which a state is pruned.
const maxTombstones = 4096

// ObjectID identifies one object.
type ObjectID struct {
	Kind string
	Name string
}

// State holds the settings objects of a router. It does no I/O and is not safe
// for concurrent use.
//
// The last change of every object at or before the complete revision has been
// applied. The state may also hold entries above it. Deletions are kept as
// entries (tombstones) above the tombstone floor; those at or below it may have
// been pruned.
type State struct {
	entries        map[ObjectID]Entry
	tombstones     int
	complete       uint64
	tombstoneFloor uint64
}

// NewState returns an empty state, complete at revision zero.
func NewState() *State {
	return &State{entries: map[ObjectID]Entry{}}
}

// Complete returns the revision up to which every change has been applied.
func (s *State) Complete() uint64 {
	return s.complete
}

// Apply applies a page and returns the entries that changed. The complete
// revision rises to the end of the page only if the page leaves no gap, that
// is, if it starts at or before the complete revision.
func (s *State) Apply(p Page) []Entry {
	var changed []Entry
	for _, e := range p.Entries {
		if s.setIfNewer(e) {
			changed = append(changed, e)
		}
	}
	if p.From <= s.complete {
		s.complete = max(s.complete, p.To)
	}
	s.pruneTombstones()
	return changed
}

// setIfNewer stores e and reports true, unless e is at or before the complete
// revision or not newer than the entry held.
func (s *State) setIfNewer(e Entry) bool {
	if e.Version <= s.complete {
		return false
	}
	id := ObjectID{e.Kind, e.Name}
	old, held := s.entries[id]
	if held && old.Version >= e.Version {
		return false
	}
	if held && old.Deleted {
		s.tombstones--
	}
	if e.Deleted {
		s.tombstones++
	}
	s.entries[id] = e
	return true
}

// Listing holds all objects of one kind at a revision.
type Listing struct {
	Kind     string
	Objects  []objectapi.Object
	Revision uint64
}

// ApplyListings applies listings of all kinds and returns the entries that
// changed. An object missing from a listing was deleted at or before the
// listing's revision. The version of the deletion is unknown, so the tombstone
// floor rises to the lowest revision of the listings.
func (s *State) ApplyListings(listings []Listing) []Entry {
	if len(listings) == 0 {
		return nil
	}
	var changed []Entry
	complete := listings[0].Revision
	for _, l := range listings {
		changed = append(changed, s.applyListing(l)...)
		complete = min(complete, l.Revision)
	}
	if complete > s.complete {
		s.complete = complete
		s.tombstoneFloor = complete
	}
	s.pruneTombstones()
	return changed
}

// applyListing applies one listing. It ignores a listing that is not newer than
// the complete revision.
func (s *State) applyListing(l Listing) []Entry {
	if l.Revision <= s.complete {
		return nil
	}
	var changed []Entry
	listed := map[string]bool{}
	for _, o := range l.Objects {
		listed[o.Name] = true
		e := Entry{Kind: o.Kind, Name: o.Name, Version: o.Version, Data: o.Data}
		if s.setIfNewer(e) {
			changed = append(changed, e)
		}
	}
	for id, e := range s.entries {
		if id.Kind != l.Kind || listed[id.Name] || e.Deleted || e.Version > l.Revision {
			continue
		}
		deletion := Entry{Kind: id.Kind, Name: id.Name, Version: l.Revision, Deleted: true}
		if s.setIfNewer(deletion) {
			changed = append(changed, deletion)
		}
	}
	return changed
}

// ApplyFull applies the whole state of another router and returns the entries
// that changed. It is used when the other router has pruned tombstones that
// this state lacks: objects that are missing from the other state count as
// deleted.
func (s *State) ApplyFull(full *State) []Entry {
	if full.complete <= s.complete {
		return nil
	}
	var changed []Entry
	for id, e := range s.entries {
		other, known := full.entries[id]
		current := known && other.Version >= e.Version
		if current || e.Deleted || e.Version > full.complete {
			continue
		}
		deletion := Entry{Kind: id.Kind, Name: id.Name, Version: full.complete, Deleted: true}
		if s.setIfNewer(deletion) {
			changed = append(changed, deletion)
		}
	}
	for _, e := range full.entries {
		if s.setIfNewer(e) {
			changed = append(changed, e)
		}
	}
	s.complete = full.complete
	s.tombstoneFloor = max(s.tombstoneFloor, full.tombstoneFloor)
	s.pruneTombstones()
	return changed
}

// Delta returns a page of the entries changed after revision since, oldest
// first, with about maxBytes of data. after is the last version of the previous
// page, or since for the first one. It returns false if tombstones after since
// have been pruned; the caller then needs the whole state. A transfer of the
// whole state passes the floor at which it started, and can continue as long as
// the floor is unchanged.
func (s *State) Delta(since, after, floor uint64, maxBytes int) (Page, bool) {
	if since < s.tombstoneFloor && floor != s.tombstoneFloor {
		return Page{}, false
	}
	return s.pageAfter(since, after, maxBytes), true
}

// Changes returns one page of the entries changed after revision since. If
// since is below the tombstone floor, deletions may be missing, and the page
// starts at the floor: it completes only states that are complete up to there.
func (s *State) Changes(since uint64, maxBytes int) Page {
	return s.pageAfter(max(since, s.tombstoneFloor), since, maxBytes)
}

// pageAfter returns a page that starts at revision from, with the entries above
// version after. Only the last page ends at the complete revision, because an
// object that changed within the range of an earlier page may have changed
// again, and is then only in a later page.
func (s *State) pageAfter(from, after uint64, maxBytes int) Page {
	page := Page{From: from, To: max(from, s.complete)}
	for _, e := range s.entriesAfter(after) {
		if maxBytes <= 0 && page.lastVersion() < e.Version {
			page.To = from
			page.More = true
			break
		}
		page.Entries = append(page.Entries, e)
		maxBytes -= len(e.Data) + len(e.Name) + entryOverheadBytes
	}
	return page
}

// entriesAfter returns the entries above a version, oldest first.
func (s *State) entriesAfter(since uint64) []Entry {
	var entries []Entry
	for _, e := range s.entries {
		if e.Version > since {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return entries
}

// pruneTombstones deletes the oldest tombstones, half of maxTombstones, once
// there are more than maxTombstones. It keeps those above the complete
// revision: only at or below it are older versions of the object rejected
// without a tombstone.
func (s *State) pruneTombstones() {
	if s.tombstones <= maxTombstones {
		return
	}
	for i, e := range s.tombstonesByVersion() {
		if i >= maxTombstones/2 || e.Version > s.complete {
			return
		}
		delete(s.entries, ObjectID{e.Kind, e.Name})
		s.tombstones--
		s.tombstoneFloor = max(s.tombstoneFloor, e.Version)
	}
}

// tombstonesByVersion returns the tombstones, oldest first.
func (s *State) tombstonesByVersion() []Entry {
	return slices.DeleteFunc(s.entriesAfter(0), func(e Entry) bool { return !e.Deleted })
}

// Objects returns the objects that are not deleted, sorted by kind and name.
func (s *State) Objects() []objectapi.Object {
	objs := make([]objectapi.Object, 0, len(s.entries)-s.tombstones)
	for _, e := range s.entries {
		if !e.Deleted {
			objs = append(objs, objectapi.Object{Kind: e.Kind, Name: e.Name, Version: e.Version, Data: e.Data})
		}
	}
	slices.SortFunc(objs, func(a, b objectapi.Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return objs
}

// Digest returns the digest of the state. Tombstones do not count towards its
// sum.
func (s *State) Digest() Digest {
	d := Digest{Complete: s.complete}
	for _, e := range s.entries {
		if e.Version > s.complete {
			d.Ahead = true
		}
		if !e.Deleted {
			d.Sum ^= e.hash()
		}
	}
	return d
}

func (e Entry) hash() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(e.Kind + "/" + e.Name + "\x00")
	_, _ = h.Write(e.Data)
	return h.Sum64() ^ e.Version*0x9e3779b97f4a7c15
}
