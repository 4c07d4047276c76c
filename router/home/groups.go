package home

import (
	"sync"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/router/wire"
)

// Group says by which prefix a chat is placed, and over how many targets.
type Group struct {
	Prefix fleet.PrefixKey
	Spread int
}

// Groups remembers the prefix groups of chats, so that a chat moved away from
// a leaving target goes where its return is placed. It forgets everything when
// it is full, which costs moved chats of groups one read of their own part. It
// is safe for concurrent use.
type Groups struct {
	mu    sync.Mutex
	limit int
	of    map[fleet.ChatKey]Group
}

// NewGroups returns a table for the given number of chats.
func NewGroups(limit int) *Groups {
	return &Groups{limit: limit, of: map[fleet.ChatKey]Group{}}
}

// Record notes the group of an attempt's chat, if it has one.
func (g *Groups) Record(fwd *wire.Forward) {
	if fwd.Chat == 0 || fwd.Prefix == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.of) >= g.limit {
		clear(g.of)
	}
	g.of[fwd.Chat] = Group{Prefix: fwd.Prefix, Spread: fwd.Spread}
}

// Lookup returns a chat's group, the zero value where it has none.
func (g *Groups) Lookup(chat fleet.ChatKey) Group {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.of[chat]
}
