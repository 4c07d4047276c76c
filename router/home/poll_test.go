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

// fakeEngine is an engine that answers only polls.
type fakeEngine struct {
	engine.Client
	load   engine.Load
	events []engine.CacheEvent
	reads  []uint64
	err    error
}

func (r *fakeEngine) Load(context.Context, string) (engine.Load, error) {
	return r.load, r.err
}

func (r *fakeEngine) CacheEvents(_ context.Context, _ string, from uint64) ([]engine.CacheEvent, error) {
	r.reads = append(r.reads, from)
	return r.events, nil
}

// fakeReports keeps the last report.
type fakeReports struct {
	requests float64
	at       time.Time
}

func (r *fakeReports) Report(_ fleet.Target, requests float64, at time.Time) {
	r.requests, r.at = requests, at
}

func newTestPoller(e *fakeEngine, period time.Duration) (*Poller, *fakeReports, *Chats) {
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
	report, chats := &fakeReports{}, NewChats(16, clock)
	poller := NewPoller(PollConfig{
		Self: "r1", Engine: e, Loads: report, Chats: chats, Clock: clock, Log: zerolog.Nop(),
		EventPeriod: func(fleet.ServiceName) time.Duration { return period },
		Targets: targets.New(targets.Config{
			Self: self, Clock: clock,
			Snapshot: func() *settings.Snapshot { return snapshot },
			View:     func() *membership.View { return view },
		}),
	})
	return poller, report, chats
}

func TestPollUpdatesLoadAndChats(t *testing.T) {
	e := &fakeEngine{
		load:   engine.Load{Running: 3, Waiting: 2, At: time.Unix(1_799_999_998, 0)},
		events: []engine.CacheEvent{{Seq: 1, Chat: 7, Stored: true, Tokens: 40}, {Seq: 2, Chat: 8, Stored: true, Tokens: 9}},
	}
	poller, report, chats := newTestPoller(e, time.Millisecond)
	poller.pollAll(context.Background())
	if report.requests != 5 || !report.at.Equal(e.load.At) {
		t.Errorf("got report %+v, want 5 requests at %v", report, e.load.At)
	}
	if recorded, ok := chats.Lookup(7); !ok || recorded.Target != "e1" || !recorded.Confirmed {
		t.Errorf("chat 7: got %+v, found %t; want a confirmed entry at e1", recorded, ok)
	}
	e.events = []engine.CacheEvent{{Seq: 9, Chat: 8, Stored: false}}
	poller.pollAll(context.Background())
	if e.reads[1] != 2 {
		t.Errorf("second read of cache events: got start %d, want 2", e.reads[1])
	}
	if recorded, _ := chats.Lookup(7); recorded.Confirmed {
		t.Error("chat 7: got confirmed after missed events, want unconfirmed")
	}
	if _, ok := chats.Lookup(8); ok {
		t.Error("chat 8: found after its eviction, want not found")
	}
}

func TestPollReadsAllEventsAfterError(t *testing.T) {
	e := &fakeEngine{events: []engine.CacheEvent{{Seq: 4, Chat: 7, Stored: true, Tokens: 1}}}
	poller, _, _ := newTestPoller(e, time.Millisecond)
	poller.pollAll(context.Background())
	e.err = errors.New("down")
	poller.pollAll(context.Background())
	e.err = nil
	poller.pollAll(context.Background())
	if last := e.reads[len(e.reads)-1]; last != 0 {
		t.Errorf("read of cache events after an error: got start %d, want 0", last)
	}
}

func TestReportTimeInFutureIsNow(t *testing.T) {
	now := time.Unix(100, 0)
	if got := reportTime(now.Add(time.Minute), now); !got.Equal(now) {
		t.Errorf("got %v, want %v", got, now)
	}
}

func TestEventsAreNotReadWithZeroPeriod(t *testing.T) {
	e := &fakeEngine{events: []engine.CacheEvent{{Seq: 1, Chat: 7, Stored: true, Tokens: 1}}}
	poller, report, _ := newTestPoller(e, 0)
	poller.pollAll(context.Background())
	if len(e.reads) != 0 {
		t.Errorf("got %d reads of cache events, want 0", len(e.reads))
	}
	if report.at.IsZero() {
		t.Error("got no load report, want one")
	}
}
