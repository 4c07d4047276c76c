package placement

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
)

// ContextLocation is the last known location of a chat's cached context.
type ContextLocation struct {
	Target fleet.TargetID
	// Tokens is the number of context tokens in the target's cache.
	Tokens uint32
	// LastSeen is when the chat was last seen at the target, with a resolution of
	// one second.
	LastSeen time.Time
	// Confirmed is false if cache events of the target were missed since LastSeen.
	Confirmed bool
}

// bucketSize is the number of entries in a bucket.
const bucketSize = 8

// chatEntry holds one chat in 24 bytes. lastSeen is in Unix seconds; zero marks
// a free entry.
type chatEntry struct {
	chat        uint64
	tokens      uint32
	lastSeen    uint32
	targetIndex uint16
	confirmed   bool
}

// ChatTable records which target holds each chat's context, in a fixed number
// of 24-byte entries. Each chat maps to one bucket of eight entries. A full
// bucket evicts an unconfirmed entry first, otherwise the least recently seen
// one. A ChatTable is not safe for concurrent use.
type ChatTable struct {
	buckets       [][bucketSize]chatEntry
	targets       []fleet.TargetID
	targetIndexes map[fleet.TargetID]uint16
	streams       map[uint16]*cacheEventStream
	entries       int
	evicted       uint64
}

// maxTableTargets is the maximum number of distinct targets in a table.
const maxTableTargets = 1<<16 - 1

// NewChatTable returns a table with room for at least the given number of
// entries, rounded up to whole buckets.
func NewChatTable(entries int) *ChatTable {
	return &ChatTable{
		buckets:       newBuckets(entries),
		targetIndexes: map[fleet.TargetID]uint16{},
		streams:       map[uint16]*cacheEventStream{},
	}
}

func newBuckets(entries int) [][bucketSize]chatEntry {
	return make([][bucketSize]chatEntry, max(1, (entries+bucketSize-1)/bucketSize))
}

// Resize changes the number of entries, rounded up as by NewChatTable. Chats
// that no longer fit are evicted.
func (t *ChatTable) Resize(entries int) {
	old := t.buckets
	t.buckets = newBuckets(entries)
	t.entries = 0
	for i := range old {
		for _, e := range old[i] {
			if e.lastSeen != 0 {
				*t.allocate(fleet.ChatKey(e.chat)) = e
			}
		}
	}
}

// Len returns the number of chats in the table.
func (t *ChatTable) Len() int {
	return t.entries
}

// Cap returns the maximum number of chats in the table.
func (t *ChatTable) Cap() int {
	return len(t.buckets) * bucketSize
}

// Evicted returns the number of chats evicted to make room for others.
func (t *ChatTable) Evicted() uint64 {
	return t.evicted
}

// Record stores that the target holds the chat's context. It replaces the
// chat's existing entry unless that entry was seen later. It does nothing if
// the target is new and the table already has maxTableTargets targets.
func (t *ChatTable) Record(chat fleet.ChatKey, c ContextLocation) {
	targetIndex, ok := t.internTarget(c.Target)
	if !ok {
		return
	}
	lastSeen := unixSeconds(c.LastSeen)
	e := t.find(chat)
	if e == nil {
		e = t.allocate(chat)
	} else if e.lastSeen > lastSeen {
		return
	}
	*e = chatEntry{chat: uint64(chat), tokens: c.Tokens, lastSeen: lastSeen, targetIndex: targetIndex, confirmed: c.Confirmed}
}

// Lookup returns the last known location of the chat's context, and false if
// the table has no entry for the chat.
func (t *ChatTable) Lookup(chat fleet.ChatKey) (ContextLocation, bool) {
	e := t.find(chat)
	if e == nil {
		return ContextLocation{}, false
	}
	return t.entryContext(e), true
}

// Remove deletes the chat's entry if it refers to the given target.
func (t *ChatTable) Remove(chat fleet.ChatKey, target fleet.TargetID) {
	e := t.find(chat)
	if e == nil || t.targets[e.targetIndex] != target {
		return
	}
	*e = chatEntry{}
	t.entries--
}

// RemoveTarget deletes the entries of every chat at a target that lost its
// cache.
func (t *ChatTable) RemoveTarget(target fleet.TargetID) {
	targetIndex, ok := t.targetIndexes[target]
	if !ok {
		return
	}
	t.forEach(func(e *chatEntry) {
		if e.targetIndex == targetIndex {
			*e = chatEntry{}
			t.entries--
		}
	})
}

func (t *ChatTable) entryContext(e *chatEntry) ContextLocation {
	return ContextLocation{
		Target:    t.targets[e.targetIndex],
		Tokens:    e.tokens,
		LastSeen:  time.Unix(int64(e.lastSeen), 0),
		Confirmed: e.confirmed,
	}
}

func (t *ChatTable) bucket(chat fleet.ChatKey) *[bucketSize]chatEntry {
	return &t.buckets[rendezvous.Mix(0, uint64(chat))%uint64(len(t.buckets))]
}

func (t *ChatTable) find(chat fleet.ChatKey) *chatEntry {
	b := t.bucket(chat)
	for i := range b {
		if b[i].lastSeen != 0 && b[i].chat == uint64(chat) {
			return &b[i]
		}
	}
	return nil
}

// allocate returns an entry for a new chat, evicting one if the bucket is full.
func (t *ChatTable) allocate(chat fleet.ChatKey) *chatEntry {
	b := t.bucket(chat)
	victim := &b[0]
	for i := range b {
		if b[i].lastSeen == 0 {
			t.entries++
			return &b[i]
		}
		if retentionRank(&b[i]) < retentionRank(victim) {
			victim = &b[i]
		}
	}
	t.evicted++
	return victim
}

// retentionRank orders entries for eviction: the lowest rank is evicted first.
func retentionRank(e *chatEntry) uint64 {
	if e.confirmed {
		return 1<<32 | uint64(e.lastSeen)
	}
	return uint64(e.lastSeen)
}

// internTarget returns the table's index of a target and assigns one to a new
// target. It returns false if no index is left.
func (t *ChatTable) internTarget(target fleet.TargetID) (uint16, bool) {
	if i, ok := t.targetIndexes[target]; ok {
		return i, true
	}
	if len(t.targets) >= maxTableTargets {
		return 0, false
	}
	i := uint16(len(t.targets))
	t.targets = append(t.targets, target)
	t.targetIndexes[target] = i
	return i, true
}

func (t *ChatTable) forEach(f func(*chatEntry)) {
	for i := range t.buckets {
		for j := range t.buckets[i] {
			if t.buckets[i][j].lastSeen != 0 {
				f(&t.buckets[i][j])
			}
		}
	}
}

// unixSeconds returns at in Unix seconds, at least one because zero marks a
// free entry.
func unixSeconds(at time.Time) uint32 {
	return uint32(max(at.Unix(), 1))
}
