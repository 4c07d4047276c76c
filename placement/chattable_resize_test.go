package placement

import (
	"testing"

	"ragwortpond.example/ragwortpond/fleet"
)

func TestResizeKeepsChats(t *testing.T) {
	table := NewChatTable(64)
	for chat := range fleet.ChatKey(16) {
		table.Record(chat, ContextLocation{Target: "e1", Tokens: uint32(chat), LastSeen: at(int(chat)), Confirmed: true})
	}
	kept := table.Len()
	table.Resize(4096)
	if table.Cap() != 4096 || table.Len() != kept {
		t.Fatalf("got %d chats with room for %d, want %d with room for 4096", table.Len(), table.Cap(), kept)
	}
	for chat := range fleet.ChatKey(16) {
		c, ok := table.Lookup(chat)
		if !ok || c.Target != "e1" || c.Tokens != uint32(chat) || !c.Confirmed {
			t.Errorf("chat %d: got %+v, %v, want an unchanged entry", chat, c, ok)
		}
	}
	evicted := table.Evicted()
	table.Resize(8)
	if table.Len() != 8 || table.Evicted() != evicted+8 {
		t.Errorf("got %d remaining and %d evicted chats, want 8 and 8", table.Len(), table.Evicted()-evicted)
	}
	if _, ok := table.Lookup(15); !ok {
		t.Error("the most recently seen chat was evicted")
	}
}
