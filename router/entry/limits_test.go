package entry

import (
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/settings"
)

func limitedSnapshot(t *testing.T) *settings.Snapshot {
	t.Helper()
	objects := []platform.Object{
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

func TestEachLevelLimitsItsOwn(t *testing.T) {
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

func TestReleaseMakesRoom(t *testing.T) {
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

func TestPassedDeadlineIsRefused(t *testing.T) {
	l := newLimits(nil)
	req := &Request{Service: "chat", Account: "free", Deadline: time.Now().Add(-time.Second)}
	_, refusal := l.admit(limitedSnapshot(t), req, time.Now)
	if refusal == nil || refusal.Reason != reason.Deadline {
		t.Errorf("got %v, want deadline", refusal)
	}
}
