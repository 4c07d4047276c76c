package home

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/membership"
	"ragwortpond.example/ragwortpond/router/targets"
	"ragwortpond.example/ragwortpond/settings"
)

// reporting is an engine that only answers polls.
type reporting struct {
	engine.Client
	load   engine.Load
	events []engine.CacheEvent
	from   []uint64
	err    error
}

func (r *reporting) Load(context.Context, string) (engine.Load, error) {
	return r.load, r.err
}

func (r *reporting) CacheEvents(_ context.Context, _ string, from uint64) ([]engine.CacheEvent, error) {
	r.from = append(r.from, from)
	return r.events, nil
}

// reports keeps the last report.
type reports struct {
	requests float64
	at       time.Time
}

func (r *reports) Report(_ fleet.Target, requests float64, at time.Time) {
	r.requests, r.at = requests, at
}

func newPoll(e *reporting, period time.Duration) (*Poller, *reports, *Chats) {
	now := time.Unix(1_800_000_000, 0)
	clock := func() time.Time {
		now = now.Add(time.Second)
		return now
	}
	self := fleet.Router{ID: "r1", Domain: "a"}
	snapshot := &settings.Snapshot{Targets: map[fleet.ServiceName][]fleet.Target{
		"chat": {{ID: "e1", Service: "chat", Kind: fleet.KindEngine, Domain: "a"}},
		"desk": {{ID: "p1", Service: "desk", Kind: fleet.KindPlain, Domain: "a"}},
	}}
	view := &membership.View{Routers: []fleet.Router{self}}
	seen, chats := &reports{}, NewChats(16, clock)
	poller := NewPoller(PollConfig{
		Self: "r1", Engine: e, Reports: seen, Chats: chats, Clock: clock, Log: zerolog.Nop(),
		EventPeriod: func(fleet.ServiceName) time.Duration { return period },
		Targets: targets.New(targets.Config{
			Self: self, Clock: clock,
			Snapshot: func() *settings.Snapshot { return snapshot },
			View:     func() *membership.View { return view },
		}),
	})
	return poller, seen, chats
}

func TestPollCorrectsLoadAndChats(t *testing.T) {
	e := &reporting{
		load:   engine.Load{Running: 3, Waiting: 2, At: time.Unix(1_799_999_998, 0)},
		events: []engine.CacheEvent{{Seq: 1, Chat: 7, Stored: true, Tokens: 40}, {Seq: 2, Chat: 8, Stored: true, Tokens: 9}},
	}
	poller, seen, chats := newPoll(e, time.Millisecond)
	poller.round(context.Background())
	if seen.requests != 5 || !seen.at.Equal(e.load.At) {
		t.Errorf("report %+v, want 5 requests at the engine's time", seen)
	}
	if known, ok := chats.Lookup(7); !ok || known.Target != "e1" || !known.Sure {
		t.Errorf("chat 7: %+v %t", known, ok)
	}
	e.events = []engine.CacheEvent{{Seq: 9, Chat: 8, Stored: false}}
	poller.round(context.Background())
	if e.from[1] != 2 {
		t.Errorf("asked from %d, want 2", e.from[1])
	}
	if known, _ := chats.Lookup(7); known.Sure {
		t.Error("chat 7 is sure although events were missed")
	}
	if _, ok := chats.Lookup(8); ok {
		t.Error("chat 8 was evicted and is still known")
	}
}

func TestPollAsksForAllEventsAfterAFault(t *testing.T) {
	e := &reporting{events: []engine.CacheEvent{{Seq: 4, Chat: 7, Stored: true, Tokens: 1}}}
	poller, _, _ := newPoll(e, time.Millisecond)
	poller.round(context.Background())
	e.err = errors.New("down")
	poller.round(context.Background())
	e.err = nil
	poller.round(context.Background())
	if last := e.from[len(e.from)-1]; last != 0 {
		t.Errorf("asked from %d after a fault, want 0", last)
	}
}

func TestReportOfTheFutureCountsAsOfNow(t *testing.T) {
	now := time.Unix(100, 0)
	if got := reportTime(now.Add(time.Minute), now); !got.Equal(now) {
		t.Errorf("got %v, want %v", got, now)
	}
}

func TestEventsAreReadOnlyWhereWanted(t *testing.T) {
	e := &reporting{events: []engine.CacheEvent{{Seq: 1, Chat: 7, Stored: true, Tokens: 1}}}
	poller, seen, _ := newPoll(e, 0)
	poller.round(context.Background())
	if len(e.from) != 0 {
		t.Errorf("events were read %d times", len(e.from))
	}
	if seen.at.IsZero() {
		t.Error("no load was reported")
	}
}
