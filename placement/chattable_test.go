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

// TestChatTableAgainstMap compares a roomy table with a plain map.
func TestChatTableAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewChatTable(4096)
		oracle := map[fleet.ChatKey]Context{}
		now := 0
		chat := rapid.Uint64Range(0, 30)
		target := rapid.SampledFrom([]fleet.TargetID{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"record": func(t *rapid.T) {
				now++
				c := Context{Target: target.Draw(t, "target"), Held: rapid.Uint32().Draw(t, "held"), Seen: at(now), Sure: true}
				k := fleet.ChatKey(chat.Draw(t, "chat"))
				table.Record(k, c)
				oracle[k] = c
			},
			"forget": func(t *rapid.T) {
				k, from := fleet.ChatKey(chat.Draw(t, "chat")), target.Draw(t, "target")
				table.Forget(k, from)
				if oracle[k].Target == from {
					delete(oracle, k)
				}
			},
			"forget target": func(t *rapid.T) {
				from := target.Draw(t, "target")
				table.ForgetTarget(from)
				for k, c := range oracle {
					if c.Target == from {
						delete(oracle, k)
					}
				}
			},
			"hand over": func(t *rapid.T) {
				other := NewChatTable(4096)
				notes := table.Export(func(ChatNote) bool { return true })
				other.Import(notes)
				other.Import(notes)
				table = other
			},
			"": func(t *rapid.T) {
				if table.Len() != len(oracle) {
					t.Fatalf("%d chats, want %d", table.Len(), len(oracle))
				}
				for k, want := range oracle {
					if got, ok := table.Lookup(k); !ok || got != want {
						t.Fatalf("chat %d: %+v, want %+v", k, got, want)
					}
				}
			},
		})
	})
}

func TestChatTableIsBoundedAndKeepsTheRecent(t *testing.T) {
	table := NewChatTable(64)
	for i := range 1000 {
		table.Record(fleet.ChatKey(i), Context{Target: "a", Seen: at(i), Sure: true})
	}
	if table.Len() > table.Cap() {
		t.Errorf("%d chats in %d entries", table.Len(), table.Cap())
	}
	if int(table.Evicted())+table.Len() != 1000 {
		t.Errorf("%d evicted and %d kept of 1000", table.Evicted(), table.Len())
	}
	for i := 990; i < 1000; i++ {
		if _, ok := table.Lookup(fleet.ChatKey(i)); !ok {
			t.Errorf("chat %d is among the last ten and was evicted", i)
		}
	}
}

func TestImportKeepsTheLaterNote(t *testing.T) {
	table := NewChatTable(64)
	table.Record(1, Context{Target: "new", Seen: at(10), Sure: true})
	table.Import([]ChatNote{{Chat: 1, Target: "old", Seen: unixSeconds(at(5))}})
	if got, _ := table.Lookup(1); got.Target != "new" {
		t.Errorf("an older note replaced a later one: %+v", got)
	}
}

func TestCacheEvents(t *testing.T) {
	table := NewChatTable(64)
	stored := func(seq uint64, chat fleet.ChatKey) engine.CacheEvent {
		return engine.CacheEvent{Seq: seq, Chat: chat, Stored: true, Tokens: 9}
	}
	table.Apply("a", []engine.CacheEvent{stored(7, 1), stored(8, 2), {Seq: 9, Chat: 1}}, at(1))
	if _, ok := table.Lookup(1); ok {
		t.Error("an evicted chat is still noted")
	}
	if got, _ := table.Lookup(2); !got.Sure || got.Held != 9 {
		t.Errorf("a stored chat is noted as %+v", got)
	}
	if missed := table.Apply("a", []engine.CacheEvent{stored(12, 3)}, at(2)); missed != 2 {
		t.Errorf("%d events missed, want 2", missed)
	}
	if got, _ := table.Lookup(2); got.Sure {
		t.Error("a chat stayed sure over a gap")
	}
	table.Apply("a", []engine.CacheEvent{{Seq: 8, Chat: 2}}, at(2))
	if _, ok := table.Lookup(2); !ok {
		t.Error("a doubled event was applied again")
	}
	table.Apply("a", []engine.CacheEvent{stored(0, 4)}, at(3))
	if _, ok := table.Lookup(3); ok {
		t.Error("a chat outlived its target's restart")
	}
	if _, ok := table.Lookup(4); !ok {
		t.Error("the event after a restart was lost")
	}
}

func TestCacheEventDoesNotMoveASureChat(t *testing.T) {
	table := NewChatTable(64)
	table.Record(1, Context{Target: "b", Seen: at(5), Sure: true})
	table.Apply("a", []engine.CacheEvent{{Seq: 1, Chat: 1, Stored: true}, {Seq: 2, Chat: 1}}, at(6))
	if got, ok := table.Lookup(1); !ok || got.Target != "b" {
		t.Errorf("a late event of another target moved the chat to %+v", got)
	}
}
