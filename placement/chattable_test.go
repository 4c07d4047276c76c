package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
)

func at(seconds int) time.Time {
	return time.Unix(int64(1_000_000+seconds), 0)
}

// TestChatTableMatchesMapModel compares a table that never has to evict with a
// map, over random operations.
func TestChatTableMatchesMapModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewChatTable(4096)
		model := map[fleet.ChatKey]ContextLocation{}
		now := 0
		chat := rapid.Uint64Range(0, 30)
		target := rapid.SampledFrom([]fleet.TargetID{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"record": func(t *rapid.T) {
				now++
				c := ContextLocation{Target: target.Draw(t, "target"), Tokens: rapid.Uint32().Draw(t, "held"), LastSeen: at(now), Confirmed: true}
				k := fleet.ChatKey(chat.Draw(t, "chat"))
				table.Record(k, c)
				model[k] = c
			},
			"forget": func(t *rapid.T) {
				k, from := fleet.ChatKey(chat.Draw(t, "chat")), target.Draw(t, "target")
				table.Remove(k, from)
				if model[k].Target == from {
					delete(model, k)
				}
			},
			"forget target": func(t *rapid.T) {
				from := target.Draw(t, "target")
				table.RemoveTarget(from)
				for k, c := range model {
					if c.Target == from {
						delete(model, k)
					}
				}
			},
			"hand over": func(t *rapid.T) {
				other := NewChatTable(4096)
				notes := table.Export(func(ChatRecord) bool { return true })
				other.Import(notes)
				other.Import(notes)
				table = other
			},
			"": func(t *rapid.T) {
				if table.Len() != len(model) {
					t.Fatalf("got %d chats, want %d", table.Len(), len(model))
				}
				for k, want := range model {
					if got, ok := table.Lookup(k); !ok || got != want {
						t.Fatalf("chat %d: got %+v, want %+v", k, got, want)
					}
				}
			},
		})
	})
}

func TestChatTableIsBoundedAndKeepsRecentChats(t *testing.T) {
	table := NewChatTable(64)
	for i := range 1000 {
		table.Record(fleet.ChatKey(i), ContextLocation{Target: "a", LastSeen: at(i), Confirmed: true})
	}
	if table.Len() > table.Cap() {
		t.Errorf("got %d chats in a table for %d, want no more", table.Len(), table.Cap())
	}
	if int(table.Evicted())+table.Len() != 1000 {
		t.Errorf("got %d evicted and %d kept chats, want 1000 in total", table.Evicted(), table.Len())
	}
	for i := 990; i < 1000; i++ {
		if _, ok := table.Lookup(fleet.ChatKey(i)); !ok {
			t.Errorf("chat %d was evicted, want the last ten kept", i)
		}
	}
}

func TestImportKeepsLaterRecord(t *testing.T) {
	table := NewChatTable(64)
	table.Record(1, ContextLocation{Target: "new", LastSeen: at(10), Confirmed: true})
	table.Import([]ChatRecord{{Chat: 1, Target: "old", LastSeen: unixSeconds(at(5))}})
	if got, _ := table.Lookup(1); got.Target != "new" {
		t.Errorf("got %+v after importing an older record, want target new", got)
	}
}

func TestApplyCacheEvents(t *testing.T) {
	table := NewChatTable(64)
	stored := func(seq uint64, chat fleet.ChatKey) engine.CacheEvent {
		return engine.CacheEvent{Seq: seq, Chat: chat, Stored: true, Tokens: 9}
	}
	table.ApplyCacheEvent("a", []engine.CacheEvent{stored(7, 1), stored(8, 2), {Seq: 9, Chat: 1}}, at(1))
	if _, ok := table.Lookup(1); ok {
		t.Error("chat 1 is still in the table after its eviction event")
	}
	if got, _ := table.Lookup(2); !got.Confirmed || got.Tokens != 9 {
		t.Errorf("stored chat: got %+v, want a confirmed entry with 9 tokens", got)
	}
	if missed := table.ApplyCacheEvent("a", []engine.CacheEvent{stored(12, 3)}, at(2)); missed != 2 {
		t.Errorf("got %d events missed, want 2", missed)
	}
	if got, _ := table.Lookup(2); got.Confirmed {
		t.Error("chat 2 is still confirmed after a gap in the events")
	}
	table.ApplyCacheEvent("a", []engine.CacheEvent{{Seq: 8, Chat: 2}}, at(2))
	if _, ok := table.Lookup(2); !ok {
		t.Error("a duplicate eviction event was applied")
	}
	table.ApplyCacheEvent("a", []engine.CacheEvent{stored(0, 4)}, at(3))
	if _, ok := table.Lookup(3); ok {
		t.Error("chat 3 is still in the table after its target restarted")
	}
	if _, ok := table.Lookup(4); !ok {
		t.Error("the first event after the restart was not applied")
	}
}

func TestCacheEventDoesNotMoveConfirmedChat(t *testing.T) {
	table := NewChatTable(64)
	table.Record(1, ContextLocation{Target: "b", LastSeen: at(5), Confirmed: true})
	table.ApplyCacheEvent("a", []engine.CacheEvent{{Seq: 1, Chat: 1, Stored: true}, {Seq: 2, Chat: 1}}, at(6))
	if got, ok := table.Lookup(1); !ok || got.Target != "b" {
		t.Errorf("got %+v after an event of another target, want target b", got)
	}
}
