package placement

import (
	"time"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
)

// cacheEventStream tracks the sequence numbers of one target's cache events.
type cacheEventStream struct {
	nextSeq uint64
}

// maxFirstSeq is the highest sequence number that the first event of a
// restarted target may have.
const maxFirstSeq = 1

// ApplyCacheEvent updates the table from the cache events of a target and returns the
// number of events missed. A gap in the sequence marks every chat of the target
// as unconfirmed, because any missed event may have been an eviction. A
// sequence that starts over means that the target restarted with an empty
// cache, so all its chats are removed. Other events with an already processed
// sequence number are ignored as late or duplicate.
func (t *ChatTable) ApplyCacheEvent(target fleet.TargetID, events []engine.CacheEvent, now time.Time) uint64 {
	targetIndex, ok := t.internTarget(target)
	if !ok || len(events) == 0 {
		return 0
	}
	stream := t.streams[targetIndex]
	if stream == nil {
		stream = &cacheEventStream{nextSeq: events[0].Seq}
		t.streams[targetIndex] = stream
	}
	var missed uint64
	for _, e := range events {
		if e.Seq < stream.nextSeq {
			if e.Seq > maxFirstSeq {
				continue
			}
			t.RemoveTarget(target)
			stream.nextSeq = e.Seq
		}
		if e.Seq > stream.nextSeq {
			t.markUnconfirmed(target)
			missed += e.Seq - stream.nextSeq
		}
		stream.nextSeq = e.Seq + 1
		t.applyEvent(target, e, now)
	}
	return missed
}

// markUnconfirmed marks every chat of the target as unconfirmed.
func (t *ChatTable) markUnconfirmed(target fleet.TargetID) {
	targetIndex := t.targetIndexes[target]
	t.forEach(func(e *chatEntry) {
		if e.targetIndex == targetIndex {
			e.confirmed = false
		}
	})
}

func (t *ChatTable) applyEvent(target fleet.TargetID, e engine.CacheEvent, now time.Time) {
	if !e.Stored && e.Tokens <= 0 {
		t.Remove(e.Chat, target)
		return
	}
	current, ok := t.Lookup(e.Chat)
	if ok && current.Target != target && current.Confirmed {
		return
	}
	t.Record(e.Chat, ContextLocation{Target: target, Tokens: uint32(max(e.Tokens, 0)), LastSeen: now, Confirmed: true})
}
