package home

import (
	"sync"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/router/wire"
)

// Group holds the prefix by which a chat is placed and the number of targets
// over which that prefix is spread.
type Group struct {
	Prefix fleet.PrefixKey
	Spread int
}

// Groups records the prefix groups of chats, so that a chat moved away from a
// leaving target goes to the target where its return will be placed. When the
// table is full, it is cleared; chats of cleared groups that are moved then
// have to read their own part of the context once more. It is safe for
// concurrent use.
type Groups struct {
	mu     sync.Mutex
	limit  int
	byChat map[fleet.ChatKey]Group
}

// NewGroups returns a table for the given number of chats.
func NewGroups(limit int) *Groups {
	return &Groups{limit: limit, byChat: map[fleet.ChatKey]Group{}}
}

// Record records the prefix group of an attempt's chat. Attempts without a chat
// or a prefix are ignored.
func (g *Groups) Record(fwd *wire.Forward) {
	if fwd.Chat == 0 || fwd.Prefix == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.byChat) >= g.limit {
		clear(g.byChat)
	}
	g.byChat[fwd.Chat] = Group{Prefix: fwd.Prefix, Spread: fwd.Spread}
}

// Lookup returns a chat's group, or the zero value if none is recorded.
func (g *Groups) Lookup(chat fleet.ChatKey) Group {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.byChat[chat]
}
