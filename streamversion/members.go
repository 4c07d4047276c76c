package streamversion

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// MembersKind is the kind of the objects that list the routers which may begin streams while they
// are cut off, one a service.
const MembersKind = "ragwort-stream-versions-members"

// maxListed bounds the list; a router that is not listed needs a lease.
const maxListed = 4096

// Member is what a router knows of another one, or of itself.
type Member struct {
	Router fleet.RouterID
	// Process distinguishes the processes of the router; it increases with each start.
	Process int64
	// Revision is the newest split that this process has told it knows; zero if none.
	Revision uint64
	// Listed is the newest revision of the list that it has told to know.
	Listed uint64
	// Ended is set if the router has announced that it leaves, and was not heard of since.
	Ended bool
}

// Readers tells which routers of the fleet read the list of routers.
type Readers uint8

// Values of Readers. Those of earlier builds do not read it.
const (
	SomeUnknown Readers = iota
	SomeDoNot
	AllRead
)

// Told tells up to which split all listed routers know it.
type Told struct {
	// Revision is that of the newest split that all of them know. Others are in use by none.
	Revision uint64 `json:"revision"`
	// AtMS is the Unix time in milliseconds at which the last of them was found to have told so. Splits
	// from that at Before on may have been in use until then.
	AtMS   int64  `json:"at_ms,omitempty"`
	Before uint64 `json:"before,omitempty"`
}

// inUse returns the revision of the oldest split that streams in progress may have begun under.
func (t Told) inUse(over time.Duration, now time.Time) uint64 {
	if now.Sub(time.UnixMilli(t.AtMS)) < over {
		return t.Before
	}
	return t.Revision
}

// raise returns what is told once all listed routers know a newer split. over is how long after its
// last use streams of a split may be in progress.
func (t Told) raise(revision uint64, over time.Duration, now time.Time) Told {
	if now.Sub(time.UnixMilli(t.AtMS)) >= over {
		t.Before = t.Revision
	}
	t.Revision, t.AtMS = revision, now.UnixMilli()
	return t
}

// Listing tells a router that the store lists it.
type Listing struct {
	Service fleet.ServiceName
	// Revision is that of the list.
	Revision uint64
	// Floor is the newest split that the router is listed to know.
	Floor uint64
	Told
	// Whole reports that no router of an earlier build, which does not read the list, is known.
	Whole bool
}

// lateMember is a listed router that has not told to know the newest split.
type lateMember struct {
	// Floor is the newest split that it has told to know.
	Floor uint64 `json:"floor"`
	// SinceMS is the Unix time in milliseconds at which it was found late.
	SinceMS int64 `json:"since_ms"`
}

// members is the document of an object of MembersKind. A listed process may go on under any split
// from its floor on, until it tells that it knows a newer one.
type members struct {
	// Era is the store's era in which it was written. In a newer one, it may lack routers.
	Era uint64 `json:"era,omitempty"`
	// Newest is the floor of all listed routers that are not late.
	Newest uint64 `json:"newest"`
	// Told is the newest split that all listed routers know. No process is listed later with a
	// lower floor.
	Told Told `json:"told"`
	// Processes holds the listed processes.
	Processes map[fleet.RouterID]int64      `json:"processes"`
	Late      map[fleet.RouterID]lateMember `json:"late,omitempty"`
}

// parseMembers decodes a list of routers.
func parseMembers(document []byte) (*members, error) {
	m := &members{}
	if err := json.Unmarshal(document, m); err != nil {
		return nil, fmt.Errorf("streamversion: members: %w", err)
	}
	return m, nil
}

// floor returns the newest split that a listed router is known to know.
func (m *members) floor(router fleet.RouterID) uint64 {
	if late, ok := m.Late[router]; ok {
		return late.Floor
	}
	return m.Newest
}

// clone returns a copy.
func (m *members) clone() *members {
	next := *m
	next.Processes, next.Late = maps.Clone(m.Processes), maps.Clone(m.Late)
	if next.Processes == nil {
		next.Processes = map[fleet.RouterID]int64{}
	}
	if next.Late == nil {
		next.Late = map[fleet.RouterID]lateMember{}
	}
	return &next
}

// inEra returns the list as of an era of the store. remembered is the list at the time when the one
// before ended, nil if it is not known. The copy has all routers that relied on it for listingDelay.
func (m *members) inEra(era uint64, remembered *members) *members {
	next := m.clone()
	if m.Era < era && remembered != nil {
		next = remembered.clone()
	}
	next.Era = max(m.Era, era)
	return next
}

// update returns the list with what is known of the routers, as of a split of which nobody knows a
// newer one. changed reports whether routers were added or removed. over is how long after its last
// use streams of a split may be in progress.
func (m *members) update(known []Member, revision uint64, over time.Duration, now time.Time) (next *members, changed bool) {
	next = m.clone()
	floors := map[fleet.RouterID]uint64{}
	for router := range next.Processes {
		floors[router] = m.floor(router)
	}
	for _, k := range known {
		process, listed := next.Processes[k.Router]
		switch {
		case k.Process < process, !listed && (k.Ended || len(next.Processes) >= maxListed):
		case k.Ended:
			delete(next.Processes, k.Router)
			delete(floors, k.Router)
			changed = true
		case k.Revision >= revision:
			changed = changed || !listed || k.Process > process
			next.Processes[k.Router], floors[k.Router] = k.Process, revision
		case listed && k.Process == process:
			floors[k.Router] = max(floors[k.Router], k.Revision)
		}
	}
	next.setFloors(floors, revision, over, now)
	return next, changed
}

// setFloors sets what the listed routers know. Those that have been late for listedTime are removed.
func (m *members) setFloors(floors map[fleet.RouterID]uint64, revision uint64, over time.Duration, now time.Time) {
	before, replaced := m.Late, m.Newest < revision
	m.Newest, m.Late = revision, map[fleet.RouterID]lateMember{}
	told, used := revision, m.Told.Revision > 0
	for router, floor := range floors {
		if floor >= revision {
			continue
		}
		l, ok := before[router]
		if !ok || replaced {
			// It may have learned of the split before without telling.
			l.SinceMS = now.UnixMilli()
		}
		l.Floor = floor
		if l.ended(now) {
			delete(m.Processes, router)
			continue
		}
		m.Late[router], told = l, min(told, floor)
	}
	switch {
	case told <= m.Told.Revision:
	case used:
		m.Told = m.Told.raise(told, over, now)
	default:
		m.Told.Revision = told
	}
}

// ended reports whether a router that has been late for so long begins no streams any more.
func (l lateMember) ended(now time.Time) bool {
	return now.Sub(time.UnixMilli(l.SinceMS)) >= listedTime+clockError
}
