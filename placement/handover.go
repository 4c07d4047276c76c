package placement

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// ChatNote is the wire format of one ChatTable entry.
type ChatNote struct {
	Chat   fleet.ChatKey  `cbor:"1,keyasint"`
	Target fleet.TargetID `cbor:"2,keyasint"`
	Held   uint32         `cbor:"3,keyasint"`
	// Seen is in Unix seconds.
	Seen uint32 `cbor:"4,keyasint"`
	Sure bool   `cbor:"5,keyasint"`
}

// Export returns the entries that accept returns true for, to be handed over to
// another router. It calls accept once for each chat; accept must not modify
// the table.
func (t *ChatTable) Export(accept func(ChatNote) bool) []ChatNote {
	var notes []ChatNote
	t.forEach(func(e *chatEntry) {
		n := ChatNote{Chat: fleet.ChatKey(e.chat), Target: t.targets[e.targetIndex], Held: e.tokens, Seen: e.lastSeen, Sure: e.confirmed}
		if accept(n) {
			notes = append(notes, n)
		}
	})
	return notes
}

// Import adds entries received from another router. Of two entries for the same
// chat the more recently seen one is kept, so Import is idempotent and the
// order of calls does not matter.
func (t *ChatTable) Import(notes []ChatNote) {
	for _, n := range notes {
		t.Record(n.Chat, Context{Target: n.Target, Held: n.Held, Seen: time.Unix(int64(n.Seen), 0), Sure: n.Sure})
	}
}
