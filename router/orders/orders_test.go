package orders_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/examples"
	"ragwortpond.example/ragwortpond/measure/testbed"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/standin"
)

const (
	testLimit = 30 * time.Second
	account   = "balcao-natal"
	service   = "pedidos"
)

// fixture is three real routers with stand-ins for targets and platform.
type fixture struct {
	*testbed.Testbed
	t      *testing.T
	client *testbed.Client
	ctx    context.Context
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)
	dir, err := examples.Deployment(examples.TochaViva)
	if err != nil {
		t.Fatal(err)
	}
	objects, findings := settings.LoadFS(dir)
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	b, err := testbed.Start(ctx, testbed.Config{Objects: objects, RoutersPerDomain: 1, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	client := b.NewClient()
	t.Cleanup(client.Close)
	return &fixture{Testbed: b, t: t, client: client, ctx: ctx}
}

func (f *fixture) order(router int, key, body string) testbed.Answer {
	answer, err := f.client.Call(f.ctx, f.Routers()[router], account, service, "POST", "/pedidos", key, []byte(body))
	if err != nil {
		f.t.Error(err)
	}
	return answer
}

func (f *fixture) check(a testbed.Answer, status int, word outcome.Label, code reason.Code) {
	f.t.Helper()
	if a.Status != status || a.Outcome != word || a.Reason != code {
		f.t.Fatalf("got %d %s %q, want %d %s %q", a.Status, a.Outcome, a.Reason, status, word, code)
	}
}

// executions returns how often all services together executed the request with
// a key.
func (f *fixture) executions(key string) int {
	total := 0
	for _, s := range f.Services() {
		total += s.Executions()[key]
	}
	return total
}

func (f *fixture) setFaults(faults standin.ServiceFaults) {
	for _, s := range f.Services() {
		s.SetFaults(faults)
	}
}

type status struct {
	State  string `json:"state"`
	Answer struct {
		Status int    `json:"status"`
		Body   string `json:"body"`
	} `json:"answer"`
}

// find queries the status of a key.
func (f *fixture) find(router int, key string) (int, status) {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.ctx, "GET", f.Routers()[router].CallerURL()+"/v1/requests/"+key, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+f.AccountKeys[account])
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	var s status
	if err := json.Unmarshal(raw, &s); err != nil {
		f.t.Fatalf("%s: %v", raw, err)
	}
	return resp.StatusCode, s
}

func (f *fixture) waitRecorded(router int, key string) {
	f.t.Helper()
	for f.ctx.Err() == nil {
		if code, s := f.find(router, key); code == 200 && s.State != "running" {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.t.Fatalf("order %q: result was not recorded", key)
}

func TestRepeatsReceiveRecordedAnswer(t *testing.T) {
	f := newFixture(t)
	first := f.order(0, "order-1", "two drums")
	f.check(first, 200, outcome.Completed, reason.None)
	for router := range f.Routers() {
		repeat := f.order(router, "order-1", "two drums")
		f.check(repeat, 200, outcome.Completed, reason.None)
		if string(repeat.Body) != string(first.Body) {
			t.Fatalf("got answer %s to the repeat, want %s", repeat.Body, first.Body)
		}
	}
	f.check(f.order(1, "order-1", "three drums"), 422, outcome.NotRun, reason.KeyReused)
	if n := f.executions("order-1"); n != 1 {
		t.Fatalf("got %d executions, want 1", n)
	}
	f.waitRecorded(2, "order-1")
	if code, s := f.find(2, "order-1"); code != 200 || s.State != "completed" || s.Answer.Body != string(first.Body) {
		t.Fatalf("got status %d %+v, want 200 and the completed answer %s", code, s, first.Body)
	}
	if code, _ := f.find(0, "never-sent"); code != 404 {
		t.Fatalf("key that was never sent: got status %d, want 404", code)
	}
	expired := "01000000-0000-7000-8000-000000000001"
	f.check(f.order(0, expired, "two drums"), 410, outcome.Unknown, reason.KeyExpired)
	ahead := "ff000000-0000-7000-8000-000000000001"
	f.check(f.order(0, ahead, "two drums"), 400, outcome.NotRun, reason.KeyAhead)
	if n := f.executions(expired) + f.executions(ahead); n != 0 {
		t.Fatalf("expired key and key ahead of time: got %d executions, want 0", n)
	}
}

func TestRepeatsJoinRunningCall(t *testing.T) {
	f := newFixture(t)
	f.setFaults(standin.ServiceFaults{Delay: 400 * time.Millisecond})
	answers := make(chan testbed.Answer, 6)
	for i := range cap(answers) {
		go func() { answers <- f.order(i%len(f.Routers()), "order-2", "two drums") }()
	}
	var body string
	for range cap(answers) {
		a := <-answers
		f.check(a, 200, outcome.Completed, reason.None)
		if body != "" && body != string(a.Body) {
			t.Fatalf("got different answers %s and %s", body, a.Body)
		}
		body = string(a.Body)
	}
	if n := f.executions("order-2"); n != 1 {
		t.Fatalf("got %d executions, want 1", n)
	}
}

func TestLostAnswerIsUnknownAndNotRunAgain(t *testing.T) {
	f := newFixture(t)
	f.setFaults(standin.ServiceFaults{LostRate: 1})
	f.check(f.order(0, "", "two drums"), 502, outcome.Unknown, reason.NotRepeatable)
	f.check(f.order(0, "order-3", "two drums"), 502, outcome.Unknown, reason.NotRepeatable)
	f.setFaults(standin.ServiceFaults{})
	for router := range f.Routers() {
		f.check(f.order(router, "order-3", "two drums"), 409, outcome.Unknown, reason.ResultUnknown)
	}
	if n := f.executions("order-3"); n != 1 {
		t.Fatalf("got %d executions, want 1", n)
	}
	f.setFaults(standin.ServiceFaults{RefuseRate: 1})
	refused := f.order(0, "order-4", "two drums")
	if refused.Outcome != outcome.NotRun {
		t.Fatalf("refused by every target: got %+v, want outcome %q", refused, outcome.NotRun)
	}
	f.setFaults(standin.ServiceFaults{})
	f.check(f.order(1, "order-4", "two drums"), 200, outcome.Completed, reason.None)
}

func TestPlatformOutageRefusesOnlyOrders(t *testing.T) {
	f := newFixture(t)
	f.Platform.SetFaults(standin.Faults{Outage: true})
	f.check(f.order(0, "order-5", "two drums"), 503, outcome.NotRun, reason.JournalUnavailable)
	lookup, err := f.client.Call(f.ctx, f.Routers()[0], account, service, "GET", "/estoque/7", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	f.check(lookup, 200, outcome.Completed, reason.None)
	f.Platform.SetFaults(standin.Faults{DropResponses: 3, ResponseDelayMS: 20})
	f.check(f.order(1, "order-5", "two drums"), 200, outcome.Completed, reason.None)
	if n := f.executions("order-5"); n != 1 {
		t.Fatalf("got %d executions, want 1", n)
	}
}

// A router that accepted an order crashes while the order runs. A repeat at
// another router must not run the order again, whatever outcome it reports.
func TestRouterCrashDuringOrderDoesNotRunItTwice(t *testing.T) {
	f := newFixture(t)
	f.setFaults(standin.ServiceFaults{Delay: 600 * time.Millisecond})
	const key = "order-6"
	go func() {
		body := []byte("two drums")
		_, _ = f.client.Call(f.ctx, f.Routers()[0], account, service, "POST", "/pedidos", key, body)
	}()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if _, s := f.find(1, key); s.State == "running" {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("order is not recorded as running after 5 s")
		}
	}
	f.Routers()[0].Kill()
	a := f.order(1, key, "two drums")
	if a.Outcome == outcome.NotRun {
		t.Fatalf("got %+v, want an outcome other than %q", a, outcome.NotRun)
	}
	time.Sleep(700 * time.Millisecond)
	if n := f.executions(key); n > 1 {
		t.Fatalf("got %d executions, want at most 1", n)
	}
	if a.Outcome == outcome.Completed && f.executions(key) != 1 {
		t.Fatal("reported as completed, but not executed exactly once")
	}
	if a.Status != 409 && a.Status != 200 {
		t.Fatalf("got status %d, want 409 or 200", a.Status)
	}
}
