package bed

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/standin"
)

const (
	account = "balcao-natal"
	service = "assistente"
)

func withFaults(f standin.EngineFaults) Config {
	return Config{Engine: func(c *standin.EngineConfig) {
		c.Faults = f
		c.TokensPerSecond = 1000
	}}
}

// sayMany sends one message in each of n chats at once through all routers.
func sayMany(ctx context.Context, b *Bed, client *Client, n int) []Answer {
	members := b.Members()
	answers := make([]Answer, n)
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() {
			chat := &Chat{ID: fmt.Sprint("chat-", i), Account: account, Service: service}
			answers[i], _ = client.Say(ctx, members[i%len(members)], chat, fmt.Sprint("question ", i), 0)
		})
	}
	wait.Wait()
	return answers
}

// discards sums what all routers discarded for a reason.
func discards(t *testing.T, b *Bed, code reason.Code) float64 {
	t.Helper()
	sum := 0.0
	for _, m := range b.Members() {
		families, err := m.Metrics.Registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		for _, family := range families {
			if family.GetName() != "ragwort_discards_total" {
				continue
			}
			for _, metric := range family.GetMetric() {
				if metric.GetLabel()[0].GetValue() == string(code) {
					sum += metric.GetCounter().GetValue()
				}
			}
		}
	}
	return sum
}

// TestFaultyAnswersReachTheCallerWhole runs chats over engines with one fault
// each and wants every answer whole, byte for byte.
func TestFaultyAnswersReachTheCallerWhole(t *testing.T) {
	cases := map[string]struct {
		faults  standin.EngineFaults
		discard reason.Code
	}{
		"broken, resumed there":     {standin.EngineFaults{BrokenRate: 0.4}, ""},
		"broken, resumed elsewhere": {standin.EngineFaults{BrokenRate: 0.1, NoResume: true}, ""},
		"truncated":                 {standin.EngineFaults{TruncatedRate: 0.4}, reason.AnswerTruncated},
		"crossed":                   {standin.EngineFaults{CrossedRate: 0.1}, reason.AnswerMismatch},
		"doubled":                   {standin.EngineFaults{DoubledRate: 1}, reason.AnswerMismatch},
		"late":                      {standin.EngineFaults{LateRate: 0.5, LateBy: 50 * time.Millisecond}, ""},
		"lost":                      {standin.EngineFaults{LostRate: 0.4}, ""},
		"refused":                   {standin.EngineFaults{RefuseRate: 0.1}, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b, client, ctx := startBed(t, withFaults(tc.faults))
			for i, a := range sayMany(ctx, b, client, 40) {
				if !a.Right {
					t.Errorf("chat %d: %+v", i, a)
				}
			}
			if tc.discard != "" && discards(t, b, tc.discard) == 0 {
				t.Errorf("no discard for %s counted", tc.discard)
			}
		})
	}
}

// TestUnfinishableStreamEndsWithAnError wants a right beginning, no end marker
// and a word that does not claim more than is known.
func TestUnfinishableStreamEndsWithAnError(t *testing.T) {
	b, client, ctx := startBed(t, withFaults(standin.EngineFaults{BrokenRate: 1, NoResume: true}))
	chat := &Chat{ID: "x", Account: account, Service: service}
	a, err := client.Say(ctx, b.Members()[0], chat, "hello", 0)
	if err != nil {
		t.Fatal(err)
	}
	whole := strings.Join(standin.Answer([]standin.Message{{Role: "user", Content: "hello"}}, 0), "")
	if a.Whole || a.Text == "" || !strings.HasPrefix(whole, a.Text) {
		t.Errorf("whole %v, text %q of %q", a.Whole, a.Text, whole)
	}
	if a.Outcome != outcome.Unknown || a.Reason == reason.None {
		t.Errorf("outcome %q, reason %q", a.Outcome, a.Reason)
	}
}

// slow makes answers long enough to break things while they come.
func slow() Config {
	return Config{RoutersPerDomain: 2, Engine: func(c *standin.EngineConfig) { c.TokensPerSecond = 40 }}
}

// busy waits until an engine runs something.
func busy(ctx context.Context, t *testing.T, b *Bed) *standin.Engine {
	t.Helper()
	for ctx.Err() == nil {
		for _, e := range b.Engines() {
			if e.Stats().Running > 0 {
				return e
			}
		}
		time.Sleep(pollInterval)
	}
	t.Fatal("no engine became busy")
	return nil
}

func TestEngineCrashIsNotSeenByTheCaller(t *testing.T) {
	b, client, ctx := startBed(t, slow())
	done := make(chan []Answer)
	go func() { done <- sayMany(ctx, b, client, 6) }()
	busy(ctx, t, b).Kill()
	for i, a := range <-done {
		if !a.Right {
			t.Errorf("chat %d: %+v", i, a)
		}
	}
}

func TestHomeCrashResumesOnTheSameEngine(t *testing.T) {
	b, client, ctx := startBed(t, slow())
	entry := b.Members()[0]
	done := make(chan Answer)
	chat := &Chat{ID: "x", Account: account, Service: service}
	go func() {
		a, _ := client.Say(ctx, entry, chat, "hello", 0)
		done <- a
	}()
	e := busy(ctx, t, b)
	killed := false
	for _, m := range b.Members() {
		if m != entry && m.Router.InFlight() > 0 {
			m.Kill()
			killed = true
		}
	}
	if a := <-done; !a.Right {
		t.Errorf("%+v", a)
	}
	if n := e.Stats().Executed; n != 1 {
		t.Errorf("executed %d times", n)
	}
	t.Logf("the home was another router: %v", killed)
}

func TestCancelWhenTheCallerGoes(t *testing.T) {
	b, client, ctx := startBed(t, slow())
	call, cancel := context.WithCancel(ctx)
	go func() {
		chat := &Chat{ID: "x", Account: account, Service: service}
		_, _ = client.Say(call, b.Members()[0], chat, "hello", 0)
	}()
	e := busy(ctx, t, b)
	cancel()
	for e.Stats().Cancelled == 0 {
		if ctx.Err() != nil || e.Stats().Completed > 0 {
			t.Fatalf("not cancelled: %+v", e.Stats())
		}
		time.Sleep(pollInterval)
	}
}

func TestPlainCallsRunAtMostOnce(t *testing.T) {
	cases := map[string]struct {
		method  string
		faults  standin.ServiceFaults
		outcome outcome.Word
		runs    int
	}{
		"lost answer":      {"POST", standin.ServiceFaults{LostRate: 1}, outcome.Unknown, 1},
		"crossed answer":   {"POST", standin.ServiceFaults{CrossedRate: 1}, outcome.Unknown, 1},
		"truncated answer": {"POST", standin.ServiceFaults{TruncatedRate: 1}, outcome.Unknown, 1},
		"refused":          {"POST", standin.ServiceFaults{RefuseRate: 1}, outcome.NotRun, 0},
		"whole":            {"POST", standin.ServiceFaults{}, outcome.Completed, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b, client, ctx := startBed(t, Config{Service: func(c *standin.ServiceConfig) { c.Faults = tc.faults }})
			body := []byte(`{"key":"order-1"}`)
			a, err := client.Call(ctx, b.Members()[0], account, "pedidos", tc.method, "/pedidos", "", body)
			if err != nil || a.Outcome != tc.outcome {
				t.Errorf("outcome %q, reason %q, %v", a.Outcome, a.Reason, err)
			}
			runs := 0
			for _, s := range b.Services() {
				runs += s.Executions()["order-1"]
			}
			if runs != tc.runs {
				t.Errorf("ran %d times", runs)
			}
		})
	}
}
