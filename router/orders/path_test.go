package orders_test

import (
	"context"
	"strings"
	"testing"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keyjournal"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/plain"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/router/entry"
	"ragwortpond.example/ragwortpond/router/orders"
	"ragwortpond.example/ragwortpond/router/wire"
	"ragwortpond.example/ragwortpond/settings"
)

// fakeJournal holds a single record.
type fakeJournal struct {
	record    *keyjournal.Record
	abandoned int
}

func (j *fakeJournal) Begin(context.Context, keyjournal.Intent) (keyjournal.Grant, error) {
	if j.record != nil {
		return keyjournal.Grant{}, &keyjournal.ExistsError{Record: *j.record}
	}
	j.record = &keyjournal.Record{State: keyjournal.StateIntent}
	return keyjournal.Grant{}, nil
}

func (j *fakeJournal) FinishAsync(_ keyjournal.Grant, r keyjournal.Result) {
	j.record.State, j.record.Response = r.State, r.Response
}

func (j *fakeJournal) Abandon(context.Context, keyjournal.Grant) {
	j.record = nil
	j.abandoned++
}

func (j *fakeJournal) Join(_ context.Context, r keyjournal.Record) (keyjournal.Record, error) {
	return r, nil
}

func (j *fakeJournal) Lookup(context.Context, fleet.AccountName, string) (keyjournal.Record, error) {
	return *j.record, nil
}

// fakeNext sends an answer if its result is answered, and counts its calls.
type fakeNext struct {
	body   string
	result entry.Result
	calls  int
}

func (n *fakeNext) Do(_ context.Context, _ *entry.Request, out wire.Sink) entry.Result {
	n.calls++
	if n.result.Outcome == outcome.Answered {
		_ = out.Head(wire.Head{Status: 201, Header: []plain.Field{{Name: "Location", Value: "/pedidos/7"}}})
		_ = out.Event(0, []byte(n.body))
	}
	return n.result
}

// recordingSink records an answer.
type recordingSink struct {
	head wire.Head
	body string
}

func (s *recordingSink) Head(h wire.Head) error            { s.head = h; return nil }
func (s *recordingSink) Event(_ uint64, data []byte) error { s.body += string(data); return nil }
func (s *recordingSink) Flush() error                      { return nil }

func orderRequest() *entry.Request {
	values := settings.Defaults()
	values.Journal.ResultBytes = 100
	return &entry.Request{
		Account: account, Service: service, Kind: fleet.KindPlain, Values: &values,
		Method: "POST", Path: "/pedidos", IdempotencyKey: "key",
	}
}

func (s *recordingSink) omitted() bool {
	for _, f := range s.head.Header {
		if f.Name == orders.OmittedHeader {
			return true
		}
	}
	return false
}

func TestRepeatReceivesRecordedAnswer(t *testing.T) {
	for _, c := range []struct {
		body    string
		omitted bool
	}{{"small", false}, {strings.Repeat("x", 101), true}} {
		next := &fakeNext{body: c.body, result: entry.Result{Outcome: outcome.Answered}}
		server := orders.New(orders.Config{Next: next, Journal: &fakeJournal{}, Metrics: metrics.NewSet()})
		var first, repeat recordingSink
		if r := server.Do(t.Context(), orderRequest(), &first); !r.Complete() || first.body != c.body || first.omitted() {
			t.Fatalf("first request: got %+v %+v, want the complete answer", r, first)
		}
		r := server.Do(t.Context(), orderRequest(), &repeat)
		if !r.Complete() || repeat.head.Status != 201 || repeat.omitted() != c.omitted || next.calls != 1 {
			t.Fatalf("repeat: got %+v %+v and %d calls, want the recorded answer and 1 call", r, repeat, next.calls)
		}
		if !c.omitted && repeat.body != c.body {
			t.Fatalf("repeat: got body %q, want %q", repeat.body, c.body)
		}
	}
}

func TestRequestsWithoutAnswer(t *testing.T) {
	journal := &fakeJournal{}
	next := &fakeNext{result: entry.Result{Reason: reason.TargetRefused}}
	server := orders.New(orders.Config{Next: next, Journal: journal, Metrics: metrics.NewSet()})
	if r := server.Do(t.Context(), orderRequest(), &recordingSink{}); r.Reason != reason.TargetRefused || journal.abandoned != 1 {
		t.Fatalf("not dispatched: got %+v and %d abandoned, want reason %q and 1 abandoned", r, journal.abandoned, reason.TargetRefused)
	}
	next.result = entry.Result{Outcome: outcome.Dispatched, Reason: reason.StreamBroken}
	if r := server.Do(t.Context(), orderRequest(), &recordingSink{}); r.Reason != reason.NotRepeatable {
		t.Fatalf("dispatched: got %+v, want reason %q", r, reason.NotRepeatable)
	}
	if r := server.Do(t.Context(), orderRequest(), &recordingSink{}); r.Reason != reason.ResultUnknown || next.calls != 2 {
		t.Fatalf("repeat: got %+v and %d calls, want reason %q and 2 calls", r, next.calls, reason.ResultUnknown)
	}
	keyless := orderRequest()
	keyless.IdempotencyKey = ""
	if r := server.Do(t.Context(), keyless, &recordingSink{}); r.Reason != reason.NotRepeatable || next.calls != 3 {
		t.Fatalf("without key: got %+v and %d calls, want reason %q and 3 calls", r, next.calls, reason.NotRepeatable)
	}
}
