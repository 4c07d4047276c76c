package placement

import (
	"time"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
)

// cacheStream follows the sequence numbers of one target's cache events.
type cacheStream struct {
	next uint64
}

// firstSequence is the highest number that a restarted target's first event
// may carry.
const firstSequence = 1

// Apply corrects the table by cache events of a target. A jump in the sequence
// makes every chat of the target unsure, since one of the missed events may be
// its eviction. A sequence that starts again means that the target restarted
// with an empty cache; other events with a number that was passed are ignored
// as late or doubled. It returns the number of events missed.
func (t *ChatTable) Apply(target fleet.TargetID, events []engine.CacheEvent, now time.Time) uint64 {
	index, ok := t.index(target)
	if !ok || len(events) == 0 {
		return 0
	}
	stream := t.streams[index]
	if stream == nil {
		stream = &cacheStream{next: events[0].Seq}
		t.streams[index] = stream
	}
	var missed uint64
	for _, e := range events {
		if e.Seq < stream.next {
			if e.Seq > firstSequence {
				continue
			}
			t.ForgetTarget(target)
			stream.next = e.Seq
		}
		if e.Seq > stream.next {
			t.doubt(target)
			missed += e.Seq - stream.next
		}
		stream.next = e.Seq + 1
		t.apply(target, e, now)
	}
	return missed
}

// doubt makes every chat of the target unsure.
func (t *ChatTable) doubt(target fleet.TargetID) {
	index := t.indexes[target]
	t.each(func(e *chatEntry) {
		if e.target == index {
			e.sure = false
		}
	})
}

func (t *ChatTable) apply(target fleet.TargetID, e engine.CacheEvent, now time.Time) {
	if !e.Stored && e.Tokens <= 0 {
		t.Forget(e.Chat, target)
		return
	}
	known, ok := t.Lookup(e.Chat)
	if ok && known.Target != target && known.Sure {
		return
	}
	t.Record(e.Chat, Context{Target: target, Held: uint32(max(e.Tokens, 0)), Seen: now, Sure: true})
}
