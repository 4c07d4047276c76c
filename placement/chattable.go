package placement

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
)

// Context says where a chat's context is believed to be.
type Context struct {
	Target fleet.TargetID
	// Held is the number of tokens of context.
	Held uint32
	// Seen is when the target last had the chat, in whole seconds.
	Seen time.Time
	// Sure is false once cache events were missed since the chat was seen.
	Sure bool
}

// tableWays is the number of entries of a bucket.
const tableWays = 8

// chatEntry is one chat in 24 bytes; seen is zero in a free entry.
type chatEntry struct {
	chat   uint64
	held   uint32
	seen   uint32
	target uint16
	sure   bool
}

// ChatTable remembers where chats have their context, in a fixed number of
// entries of 24 bytes. A chat has one bucket of eight entries; a full bucket
// drops an unsure entry first, else the one seen longest ago. It is not safe
// for concurrent use.
type ChatTable struct {
	buckets [][tableWays]chatEntry
	targets []fleet.TargetID
	indexes map[fleet.TargetID]uint16
	streams map[uint16]*cacheStream
	entries int
	evicted uint64
}

// maxTableTargets bounds the targets that a table can name.
const maxTableTargets = 1<<16 - 1

// NewChatTable returns a table for at least the given number of entries,
// rounded up to whole buckets.
func NewChatTable(entries int) *ChatTable {
	return &ChatTable{
		buckets: newBuckets(entries),
		indexes: map[fleet.TargetID]uint16{},
		streams: map[uint16]*cacheStream{},
	}
}

func newBuckets(entries int) [][tableWays]chatEntry {
	return make([][tableWays]chatEntry, max(1, (entries+tableWays-1)/tableWays))
}

// Resize gives the table room for another number of entries, rounded up as by
// NewChatTable. Chats for which there is no room any more are evicted.
func (t *ChatTable) Resize(entries int) {
	old := t.buckets
	t.buckets = newBuckets(entries)
	t.entries = 0
	for i := range old {
		for _, e := range old[i] {
			if e.seen != 0 {
				*t.room(fleet.ChatKey(e.chat)) = e
			}
		}
	}
}

// Len returns the number of chats in the table.
func (t *ChatTable) Len() int {
	return t.entries
}

// Cap returns the number of chats that the table has room for.
func (t *ChatTable) Cap() int {
	return len(t.buckets) * tableWays
}

// Evicted returns how many chats gave way to others.
func (t *ChatTable) Evicted() uint64 {
	return t.evicted
}

// Record notes that the target has the chat's context. An older note of the
// chat is replaced, a newer one is kept.
func (t *ChatTable) Record(chat fleet.ChatKey, c Context) {
	target, ok := t.index(c.Target)
	if !ok {
		return
	}
	seen := unixSeconds(c.Seen)
	e := t.find(chat)
	if e == nil {
		e = t.room(chat)
	} else if e.seen > seen {
		return
	}
	*e = chatEntry{chat: uint64(chat), held: c.Held, seen: seen, target: target, sure: c.Sure}
}

// Lookup returns where the chat's context is believed to be.
func (t *ChatTable) Lookup(chat fleet.ChatKey) (Context, bool) {
	e := t.find(chat)
	if e == nil {
		return Context{}, false
	}
	return t.context(e), true
}

// Forget drops the chat if it is noted at the target.
func (t *ChatTable) Forget(chat fleet.ChatKey, target fleet.TargetID) {
	e := t.find(chat)
	if e == nil || t.targets[e.target] != target {
		return
	}
	*e = chatEntry{}
	t.entries--
}

// ForgetTarget drops every chat noted at a target that lost its cache.
func (t *ChatTable) ForgetTarget(target fleet.TargetID) {
	index, ok := t.indexes[target]
	if !ok {
		return
	}
	t.each(func(e *chatEntry) {
		if e.target == index {
			*e = chatEntry{}
			t.entries--
		}
	})
}

func (t *ChatTable) context(e *chatEntry) Context {
	return Context{
		Target: t.targets[e.target],
		Held:   e.held,
		Seen:   time.Unix(int64(e.seen), 0),
		Sure:   e.sure,
	}
}

func (t *ChatTable) bucket(chat fleet.ChatKey) *[tableWays]chatEntry {
	return &t.buckets[rendezvous.Mix(0, uint64(chat))%uint64(len(t.buckets))]
}

func (t *ChatTable) find(chat fleet.ChatKey) *chatEntry {
	b := t.bucket(chat)
	for i := range b {
		if b[i].seen != 0 && b[i].chat == uint64(chat) {
			return &b[i]
		}
	}
	return nil
}

// room returns an entry for a new chat, evicting one if its bucket is full.
func (t *ChatTable) room(chat fleet.ChatKey) *chatEntry {
	b := t.bucket(chat)
	victim := &b[0]
	for i := range b {
		if b[i].seen == 0 {
			t.entries++
			return &b[i]
		}
		if worth(&b[i]) < worth(victim) {
			victim = &b[i]
		}
	}
	t.evicted++
	return victim
}

// worth orders entries by how well they deserve their place.
func worth(e *chatEntry) uint64 {
	if e.sure {
		return 1<<32 | uint64(e.seen)
	}
	return uint64(e.seen)
}

// index returns the small number of a target, giving it one if it is new.
func (t *ChatTable) index(target fleet.TargetID) (uint16, bool) {
	if i, ok := t.indexes[target]; ok {
		return i, true
	}
	if len(t.targets) >= maxTableTargets {
		return 0, false
	}
	i := uint16(len(t.targets))
	t.targets = append(t.targets, target)
	t.indexes[target] = i
	return i, true
}

func (t *ChatTable) each(f func(*chatEntry)) {
	for i := range t.buckets {
		for j := range t.buckets[i] {
			if t.buckets[i][j].seen != 0 {
				f(&t.buckets[i][j])
			}
		}
	}
}

// unixSeconds is at least one, since zero marks a free entry.
func unixSeconds(at time.Time) uint32 {
	return uint32(max(at.Unix(), 1))
}
