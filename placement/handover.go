package placement

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// ChatRecord is the wire format of one ChatTable entry.
type ChatRecord struct {
	Chat   fleet.ChatKey  `cbor:"1,keyasint"`
	Target fleet.TargetID `cbor:"2,keyasint"`
	Tokens uint32         `cbor:"3,keyasint"`
	// LastSeen is in Unix seconds.
	LastSeen  uint32 `cbor:"4,keyasint"`
	Confirmed bool   `cbor:"5,keyasint"`
}

// Export returns the entries that accept returns true for, to be handed over to
// another router. It calls accept once for each chat; accept must not modify
// the table.
func (t *ChatTable) Export(accept func(ChatRecord) bool) []ChatRecord {
	var notes []ChatRecord
	t.forEach(func(e *chatEntry) {
		n := ChatRecord{Chat: fleet.ChatKey(e.chat), Target: t.targets[e.targetIndex], Tokens: e.tokens, LastSeen: e.lastSeen, Confirmed: e.confirmed}
		if accept(n) {
			notes = append(notes, n)
		}
	})
	return notes
}

// Import adds entries received from another router. An entry replaces the
// chat's existing one unless that was seen later; at the same second the later
// call wins. As long as neither a bucket nor the list of targets is full, Import
// is therefore idempotent, and the order of calls matters only for entries of
// the same second.
func (t *ChatTable) Import(notes []ChatRecord) {
	for _, n := range notes {
		t.Record(n.Chat, ContextLocation{Target: n.Target, Tokens: n.Tokens, LastSeen: time.Unix(int64(n.LastSeen), 0), Confirmed: n.Confirmed})
	}
}
