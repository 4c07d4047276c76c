package entry

import (
	"context"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/router/wire"
	"ragwortpond.example/ragwortpond/settings"
)

func limitedSnapshot(t *testing.T) *settings.Snapshot {
	t.Helper()
	objects := []objectapi.Object{
		{Kind: "fleet", Name: "fleet", Version: 1, Data: []byte(`{"settings":{"limits":{"burst":2,"concurrency":5}}}`)},
		{Kind: "services", Name: "chat", Version: 2, Data: []byte(`{"kind":"engine","settings":{"limits":{"concurrency":4}}}`)},
		{Kind: "client-accounts", Name: "shop", Version: 3, Data: []byte(`{"key_hashes":["` + keys.Hash("k") + `"],"settings":{"limits":{"requests_per_second":1}}}`)},
	}
	snapshot, findings := settings.Build(objects)
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	return snapshot
}

func TestLimitsApplyPerLevel(t *testing.T) {
	snapshot := limitedSnapshot(t)
	l := newLimits(nil)
	now := time.UnixMilli(1_700_000_000_000)
	clock := func() time.Time { return now }
	admit := func(account string) reason.Code {
		req := &Request{Service: "chat"}
		req.Account = "free"
		if account != "" {
			req.Account = "shop"
		}
		_, refusal := l.admit(snapshot, req, clock)
		if refusal == nil {
			return reason.None
		}
		return refusal.Reason
	}
	for i, want := range []reason.Code{reason.None, reason.None, reason.AccountRate} {
		if got := admit("shop"); got != want {
			t.Fatalf("request %d of the limited account: got %q, want %q", i, got, want)
		}
	}
	for i, want := range []reason.Code{reason.None, reason.None, reason.Overload} {
		if got := admit(""); got != want {
			t.Fatalf("request %d of the other account: got %q, want %q", i, got, want)
		}
	}
}

func TestReleaseFreesConcurrencySlot(t *testing.T) {
	snapshot := limitedSnapshot(t)
	l := newLimits(nil)
	clock := time.Now
	for range 20 {
		release, refusal := l.admit(snapshot, &Request{Service: "chat", Account: "free"}, clock)
		if refusal != nil {
			t.Fatal(refusal)
		}
		release()
	}
}

func TestExpiredDeadlineIsRefused(t *testing.T) {
	l := newLimits(nil)
	req := &Request{Service: "chat", Account: "free", Deadline: time.Now().Add(-time.Second)}
	_, refusal := l.admit(limitedSnapshot(t), req, time.Now)
	if refusal == nil || refusal.Reason != reason.Deadline {
		t.Errorf("expired deadline: got %v, want reason deadline", refusal)
	}
}

// countingNext counts the requests that reach it.
type countingNext struct {
	requests int
}

func (c *countingNext) Do(context.Context, *Request, wire.Sink) Result {
	c.requests++
	return Result{Outcome: outcome.Answered}
}

// Refused requests must not reach the next handler. Otherwise an order over its
// rate limit would still record an intent in the journal.
func TestRefusedRequestsDoNotReachNext(t *testing.T) {
	snapshot := limitedSnapshot(t)
	now := time.UnixMilli(1_700_000_000_000)
	e := New(Config{
		Snapshot: func() *settings.Snapshot { return snapshot }, Clock: func() time.Time { return now },
		Metrics: metrics.NewSet(),
	})
	next := &countingNext{}
	limited := e.Limit(next)
	for i := range 5 {
		result := limited.Do(context.Background(), &Request{Service: "chat", Account: "shop"}, nil)
		refused := result.Reason == reason.AccountRate && result.Outcome == outcome.NotDispatched
		if want := i >= 2; refused != want {
			t.Errorf("request %d: got %+v, want refused %t", i, result, want)
		}
	}
	if next.requests != 2 {
		t.Errorf("got %d admitted requests, want 2", next.requests)
	}
}
