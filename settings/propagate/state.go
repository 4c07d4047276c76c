// Package propagate brings accepted settings into force on every router.
//
// A few watchers in each failure domain, chosen by rendezvous hashing, hold the
// watch on the platform. A change is pushed from them down a tree of the
// domain's routers; a periodic digest exchange with random routers, some of
// them in other failure domains, repairs what a push missed. Nothing is
// elected: a router that wrongly believes itself a watcher only costs one more
// waiting watch.
//
// Every object is applied only at a higher version than the one held, and a
// router knows the revision up to which it is complete, so neither a late
// message nor an old page of the platform takes a setting back.
package propagate

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ragwortpond.example/ragwortpond/objectapi"
)

// maxTombstones bounds the deletions that a router remembers.
const maxTombstones = 4096

// ID names one object.
type ID struct {
	Kind string
	Name string
}

// State is the settings objects that a router holds. It is pure and not safe
// for concurrent use.
//
// Complete is a revision: every object's last change at or before it is
// applied. Entries above it may be held too. Deletions are remembered as
// entries (tombstones) down to a floor, below which they are forgotten.
type State struct {
	entries    map[ID]Entry
	tombstones int
	complete   uint64
	floor      uint64
}

// NewState returns an empty state, complete at revision zero.
func NewState() *State {
	return &State{entries: map[ID]Entry{}}
}

// Complete returns the revision up to which every change is applied.
func (s *State) Complete() uint64 {
	return s.complete
}

// Apply takes a page and returns the entries that it changed. The state
// becomes complete up to the page's end only if the page joins on to what the
// state already has.
func (s *State) Apply(p Page) []Entry {
	var changed []Entry
	for _, e := range p.Entries {
		if s.set(e) {
			changed = append(changed, e)
		}
	}
	if p.From <= s.complete {
		s.complete = max(s.complete, p.To)
	}
	s.forget()
	return changed
}

// set holds e unless it is known to be out of date.
func (s *State) set(e Entry) bool {
	if e.Version <= s.complete {
		return false
	}
	id := ID{e.Kind, e.Name}
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

// Listing is all objects of one kind at a revision.
type Listing struct {
	Kind     string
	Objects  []objectapi.Object
	Revision uint64
}

// ApplyListings takes listings of all kinds and returns the entries that they
// changed. An object that a listing lacks was deleted by its revision; when it
// was is not known, so the floor rises to the listings' revision.
func (s *State) ApplyListings(listings []Listing) []Entry {
	if len(listings) == 0 {
		return nil
	}
	var changed []Entry
	end := listings[0].Revision
	for _, l := range listings {
		changed = append(changed, s.applyListing(l)...)
		end = min(end, l.Revision)
	}
	if end > s.complete {
		s.complete = end
		s.floor = end
	}
	s.forget()
	return changed
}

func (s *State) applyListing(l Listing) []Entry {
	if l.Revision <= s.complete {
		return nil
	}
	var changed []Entry
	listed := map[string]bool{}
	for _, o := range l.Objects {
		listed[o.Name] = true
		e := Entry{Kind: o.Kind, Name: o.Name, Version: o.Version, Data: o.Data}
		if s.set(e) {
			changed = append(changed, e)
		}
	}
	for id, e := range s.entries {
		if id.Kind != l.Kind || listed[id.Name] || e.Deleted || e.Version > l.Revision {
			continue
		}
		gone := Entry{Kind: id.Kind, Name: id.Name, Version: l.Revision, Deleted: true}
		if s.set(gone) {
			changed = append(changed, gone)
		}
	}
	return changed
}

// ApplyFull takes the whole state of another router, which has forgotten
// deletions that this one has not seen, and returns the entries it changed.
func (s *State) ApplyFull(full *State) []Entry {
	if full.complete <= s.complete {
		return nil
	}
	var changed []Entry
	for id, e := range s.entries {
		theirs, known := full.entries[id]
		current := known && theirs.Version >= e.Version
		if current || e.Deleted || e.Version > full.complete {
			continue
		}
		gone := Entry{Kind: id.Kind, Name: id.Name, Version: full.complete, Deleted: true}
		if s.set(gone) {
			changed = append(changed, gone)
		}
	}
	for _, e := range full.entries {
		if s.set(e) {
			changed = append(changed, e)
		}
	}
	s.complete = full.complete
	s.floor = max(s.floor, full.floor)
	s.forget()
	return changed
}

// Delta returns what changed after revision since, oldest first, in pages of
// about maxBytes of data; after is the last version of the page before, since
// for the first. It returns false if deletions after since have been forgotten,
// so that only the whole state helps. A transfer of the whole state gives the
// floor that it started with and goes on while that holds.
func (s *State) Delta(since, after, floor uint64, maxBytes int) (Page, bool) {
	if since < s.floor && floor != s.floor {
		return Page{}, false
	}
	return s.page(since, after, maxBytes), true
}

// Changes returns what changed after revision since as far as it is known, in
// one page. The page joins on only to states that are complete at the floor.
func (s *State) Changes(since uint64, maxBytes int) Page {
	return s.page(max(since, s.floor), since, maxBytes)
}

// page returns the entries above version after in a page that starts at from.
// Only the last page ends at the complete revision: an object that changed
// within an earlier page may have changed again since, and then it is in a
// later one.
func (s *State) page(from, after uint64, maxBytes int) Page {
	page := Page{From: from, To: max(from, s.complete)}
	for _, e := range s.newer(after) {
		if maxBytes <= 0 && page.last() < e.Version {
			page.To = from
			page.More = true
			break
		}
		page.Entries = append(page.Entries, e)
		maxBytes -= len(e.Data) + len(e.Name) + entryOverheadBytes
	}
	return page
}

// newer returns the entries above a version, oldest first.
func (s *State) newer(since uint64) []Entry {
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

// forget drops the oldest half of the tombstones once there are too many. Only
// deletions at or before the complete revision may go, because an older
// version of their objects is refused by that revision.
func (s *State) forget() {
	if s.tombstones <= maxTombstones {
		return
	}
	for i, e := range s.deletions() {
		if i >= maxTombstones/2 || e.Version > s.complete {
			return
		}
		delete(s.entries, ID{e.Kind, e.Name})
		s.tombstones--
		s.floor = max(s.floor, e.Version)
	}
}

func (s *State) deletions() []Entry {
	return slices.DeleteFunc(s.newer(0), func(e Entry) bool { return !e.Deleted })
}

// Objects returns the objects that exist, sorted by kind and name.
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

// Digest describes the state in a few bytes.
func (s *State) Digest() Digest {
	d := Digest{Complete: s.complete}
	for _, e := range s.entries {
		if e.Version > s.complete {
			d.Ahead = true
		}
		if !e.Deleted {
			d.Sum ^= e.sum()
		}
	}
	return d
}

func (e Entry) sum() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(e.Kind + "/" + e.Name + "\x00")
	_, _ = h.Write(e.Data)
	return h.Sum64() ^ e.Version*0x9e3779b97f4a7c15
}
