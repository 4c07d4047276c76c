package placement

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// ChatNote is one chat of a table as it is sent to another router.
type ChatNote struct {
	Chat   fleet.ChatKey  `cbor:"1,keyasint"`
	Target fleet.TargetID `cbor:"2,keyasint"`
	Held   uint32         `cbor:"3,keyasint"`
	// Seen is in Unix seconds.
	Seen uint32 `cbor:"4,keyasint"`
	Sure bool   `cbor:"5,keyasint"`
}

// Export returns the notes that the filter accepts, for a hand-over. The
// filter is called once for each chat and must not change the table.
func (t *ChatTable) Export(accept func(ChatNote) bool) []ChatNote {
	var notes []ChatNote
	t.each(func(e *chatEntry) {
		n := ChatNote{Chat: fleet.ChatKey(e.chat), Target: t.targets[e.target], Held: e.held, Seen: e.seen, Sure: e.sure}
		if accept(n) {
			notes = append(notes, n)
		}
	})
	return notes
}

// Import records notes that another router sent; of two notes of one chat the
// later stays, so importing is idempotent and the order does not matter.
func (t *ChatTable) Import(notes []ChatNote) {
	for _, n := range notes {
		t.Record(n.Chat, Context{Target: n.Target, Held: n.Held, Seen: time.Unix(int64(n.Seen), 0), Sure: n.Sure})
	}
}
