package home

import (
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/placement"
)

// Chats records which target holds each chat's context, as known by a home
// router. It is safe for concurrent use.
type Chats struct {
	mu    sync.Mutex
	table *placement.ChatTable
	clock func() time.Time
}

// NewChats returns a table with capacity for the given number of chats.
func NewChats(entries int, clock func() time.Time) *Chats {
	return &Chats{table: placement.NewChatTable(entries), clock: clock}
}

// Resize changes the table's capacity to the given number of chats.
func (c *Chats) Resize(entries int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Resize(entries)
}

// Lookup returns the target recorded for a chat's context; false if there is
// none.
func (c *Chats) Lookup(chat fleet.ChatKey) (placement.ContextLocation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Lookup(chat)
}

// Record records that a target now holds a chat's context of held tokens.
func (c *Chats) Record(chat fleet.ChatKey, target fleet.TargetID, held int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Record(chat, placement.ContextLocation{Target: target, Tokens: uint32(max(held, 0)), LastSeen: c.clock(), Confirmed: true})
}

// Import adds notes received from another router.
func (c *Chats) Import(notes []placement.ChatRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Import(notes)
}

// Export returns the notes of all chats on targets for which accept returns
// true.
func (c *Chats) Export(accept func(fleet.TargetID) bool) []placement.ChatRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Export(func(n placement.ChatRecord) bool { return accept(n.Target) })
}

// ForgetTarget removes all chats of a target that lost its cache.
func (c *Chats) ForgetTarget(target fleet.TargetID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.RemoveTarget(target)
}

// Apply updates the table from a target's cache events and returns the number
// of events missed.
func (c *Chats) Apply(target fleet.TargetID, events []engine.CacheEvent) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.ApplyCacheEvent(target, events, c.clock())
}

// Len returns the number of chats in the table.
func (c *Chats) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Len()
}
