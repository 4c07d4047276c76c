package testbed

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/standin"
)

const (
	account = "balcao-natal"
	service = "assistente"
)

// startUnlimitedTestbed starts a testbed in which the test account has no limits, and
// waits until every router has these settings in force.
func startUnlimitedTestbed(t *testing.T, cfg Config) (*Testbed, *Client, context.Context) {
	t.Helper()
	b, client, ctx := startTestbed(t, cfg)
	version, err := b.UpdateDocument(ctx, settings.KindAccounts, account, func(doc map[string]any) { delete(doc, "settings") })
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range b.Routers() {
		for m.Router.Snapshot().Revision < version && ctx.Err() == nil {
			time.Sleep(pollInterval)
		}
	}
	return b, client, ctx
}

// fastConfig returns a configuration with engines that answer fast.
func fastConfig() Config {
	return Config{Engine: func(c *standin.EngineConfig) { c.TokensPerSecond = 1000 }}
}

// setFaults sets the same faults on every engine.
func setFaults(b *Testbed, f standin.EngineFaults) {
	for _, e := range b.Engines() {
		e.SetFaults(f)
	}
}

// setFaultsOnFirstEngine sets faults on the engine that serves chat 0 and clears
// them on all others, so that a retry always finds a working engine.
func setFaultsOnFirstEngine(ctx context.Context, t *testing.T, b *Testbed, client *Client, f standin.EngineFaults) {
	t.Helper()
	setFaults(b, standin.EngineFaults{})
	before := executions(b)
	if a := sendFirstMessage(ctx, b, client, 0); !a.Correct {
		t.Fatalf("chat without faults: got %+v, want a correct answer", a)
	}
	for id, n := range executions(b) {
		if n > before[id] {
			b.Engine(id).SetFaults(f)
			return
		}
	}
	t.Fatal("no engine executed the first chat")
}

func executions(b *Testbed) map[fleet.TargetID]int {
	counts := map[fleet.TargetID]int{}
	for _, e := range b.Engines() {
		counts[e.ID()] = e.Stats().Executed
	}
	return counts
}

// sendFirstMessage sends the first message of chat number i.
func sendFirstMessage(ctx context.Context, b *Testbed, client *Client, i int) Answer {
	members := b.Routers()
	chat := &Chat{ID: fmt.Sprint("chat-", i), Account: account, Service: service}
	answer, _ := client.SendMessage(ctx, members[i%len(members)], chat, fmt.Sprint("question ", i), 0)
	return answer
}

// sendFirstMessages sends the first message of n chats concurrently, spread over
// all routers.
func sendFirstMessages(ctx context.Context, b *Testbed, client *Client, n int) []Answer {
	answers := make([]Answer, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { answers[i] = sendFirstMessage(ctx, b, client, i) })
	}
	wg.Wait()
	return answers
}

// discardCount returns the number of answers that all routers discarded for a
// reason.
func discardCount(t *testing.T, b *Testbed, code reason.Code) float64 {
	t.Helper()
	sum := 0.0
	for _, m := range b.Routers() {
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

// Guards against an engine fault showing in a caller's answer: for each kind of
// fault, routers must detect the bad answer and resume or retry, so that every
// caller receives the expected text byte for byte.
func TestCallerGetsCorrectAnswersFromFaultyEngines(t *testing.T) {
	cases := map[string]struct {
		oneEngine bool
		faults    standin.EngineFaults
		discard   reason.Code
	}{
		"broken, resumed there":     {false, standin.EngineFaults{BrokenRate: 1}, ""},
		"broken, resumed elsewhere": {true, standin.EngineFaults{BrokenRate: 1, NoResume: true}, ""},
		"truncated":                 {false, standin.EngineFaults{TruncatedRate: 1}, reason.AnswerTruncated},
		"crossed":                   {true, standin.EngineFaults{WrongAttemptRate: 1}, reason.AnswerMismatch},
		"doubled":                   {false, standin.EngineFaults{DuplicateRate: 1}, reason.AnswerMismatch},
		"late":                      {false, standin.EngineFaults{DelayRate: 1, ExtraDelay: 50 * time.Millisecond}, ""},
		"lost":                      {false, standin.EngineFaults{LostRate: 1}, ""},
		"refused":                   {true, standin.EngineFaults{RefuseRate: 1}, ""},
	}
	b, client, ctx := startUnlimitedTestbed(t, fastConfig())
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if tc.oneEngine {
				setFaultsOnFirstEngine(ctx, t, b, client, tc.faults)
			} else {
				setFaults(b, tc.faults)
			}
			before := discardCount(t, b, tc.discard)
			answers := append([]Answer{sendFirstMessage(ctx, b, client, 0)}, sendFirstMessages(ctx, b, client, 24)...)
			for i, a := range answers {
				if !a.Correct {
					t.Errorf("chat %d: %+v", i, a)
				}
			}
			if tc.discard != "" && discardCount(t, b, tc.discard) == before {
				t.Errorf("discard counter for reason %s did not increase", tc.discard)
			}
		})
	}
}

// Guards against a stream that breaks on every engine, and cannot be resumed,
// looking complete. The caller must receive a correct prefix without [DONE], and an
// error with outcome unknown, because an engine may have run the request.
func TestUnresumableStreamEndsWithError(t *testing.T) {
	b, client, ctx := startUnlimitedTestbed(t, fastConfig())
	setFaults(b, standin.EngineFaults{BrokenRate: 1, NoResume: true})
	chat := &Chat{ID: "x", Account: account, Service: service}
	a, err := client.SendMessage(ctx, b.Routers()[0], chat, "hello", 0)
	if err != nil {
		t.Fatal(err)
	}
	full := strings.Join(standin.Answer([]standin.Message{{Role: "user", Content: "hello"}}, 0), "")
	if a.Complete || a.Text == "" || !strings.HasPrefix(full, a.Text) {
		t.Errorf("got complete %v and text %q, want an incomplete, non-empty prefix of %q", a.Complete, a.Text, full)
	}
	if a.Outcome != outcome.Unknown || a.Reason == reason.None {
		t.Errorf("got outcome %q and reason %q, want outcome %q with a reason", a.Outcome, a.Reason, outcome.Unknown)
	}
}

// slowConfig returns a configuration with engines that answer slowly, so that a
// test can inject a failure while an answer is streaming.
func slowConfig() Config {
	return Config{RoutersPerDomain: 2, Engine: func(c *standin.EngineConfig) { c.TokensPerSecond = 40 }}
}

// waitForBusyEngine waits until an engine has a running request and returns it.
func waitForBusyEngine(ctx context.Context, t *testing.T, b *Testbed) *standin.Engine {
	t.Helper()
	for ctx.Err() == nil {
		for _, e := range b.Engines() {
			if e.Stats().Running > 0 {
				return e
			}
		}
		time.Sleep(pollInterval)
	}
	t.Fatal("no engine has a running request")
	return nil
}

func TestChatsSurviveEngineCrash(t *testing.T) {
	b, client, ctx := startUnlimitedTestbed(t, slowConfig())
	done := make(chan []Answer)
	go func() { done <- sendFirstMessages(ctx, b, client, 6) }()
	waitForBusyEngine(ctx, t, b).Kill()
	for i, a := range <-done {
		if !a.Correct {
			t.Errorf("chat %d: %+v", i, a)
		}
	}
}

func TestStreamResumesOnSameEngineAfterHomeCrash(t *testing.T) {
	b, client, ctx := startUnlimitedTestbed(t, slowConfig())
	entry := b.Routers()[0]
	done := make(chan Answer)
	chat := &Chat{ID: "x", Account: account, Service: service}
	go func() {
		a, _ := client.SendMessage(ctx, entry, chat, "hello", 0)
		done <- a
	}()
	e := waitForBusyEngine(ctx, t, b)
	killed := false
	for _, m := range b.Routers() {
		if m != entry && m.Router.InFlight() > 0 {
			m.Kill()
			killed = true
		}
	}
	if a := <-done; !a.Correct {
		t.Errorf("got %+v, want a correct answer", a)
	}
	if n := e.Stats().Executed; n != 1 {
		t.Errorf("got %d executions on the engine, want 1", n)
	}
	t.Logf("home was on another router and was killed: %v", killed)
}

func TestCallerDisconnectCancelsEngineRequest(t *testing.T) {
	b, client, ctx := startUnlimitedTestbed(t, slowConfig())
	callCtx, cancel := context.WithCancel(ctx)
	go func() {
		chat := &Chat{ID: "x", Account: account, Service: service}
		_, _ = client.SendMessage(callCtx, b.Routers()[0], chat, "hello", 0)
	}()
	e := waitForBusyEngine(ctx, t, b)
	cancel()
	for e.Stats().Cancelled == 0 {
		if ctx.Err() != nil || e.Stats().Completed > 0 {
			t.Fatalf("got %+v, want a cancelled request", e.Stats())
		}
		time.Sleep(pollInterval)
	}
}

func TestPlainCallsRunAtMostOnce(t *testing.T) {
	cases := map[string]struct {
		faults  standin.ServiceFaults
		outcome outcome.Label
		runs    int
	}{
		"lost answer":      {standin.ServiceFaults{LostRate: 1}, outcome.Unknown, 1},
		"crossed answer":   {standin.ServiceFaults{WrongAttemptRate: 1}, outcome.Unknown, 1},
		"truncated answer": {standin.ServiceFaults{TruncatedRate: 1}, outcome.Unknown, 1},
		"refused":          {standin.ServiceFaults{RefuseRate: 1}, outcome.NotRun, 0},
		"whole":            {standin.ServiceFaults{}, outcome.Completed, 1},
	}
	b, client, ctx := startTestbed(t, Config{})
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for _, s := range b.Services() {
				s.SetFaults(tc.faults)
			}
			body := []byte(`{"key":"` + name + `"}`)
			a, err := client.Call(ctx, b.Routers()[0], account, "pedidos", "POST", "/pedidos", "", body)
			if err != nil || a.Outcome != tc.outcome {
				t.Errorf("got outcome %q, reason %q, error %v; want outcome %q", a.Outcome, a.Reason, err, tc.outcome)
			}
			runs := 0
			for _, s := range b.Services() {
				runs += s.Executions()[name]
			}
			if runs != tc.runs {
				t.Errorf("got %d executions, want %d", runs, tc.runs)
			}
		})
	}
}
