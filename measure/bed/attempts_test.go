package bed

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

// unlimited starts a bed in which the account of the tests has no limits.
func unlimited(t *testing.T, cfg Config) (*Bed, *Client, context.Context) {
	t.Helper()
	b, client, ctx := startBed(t, cfg)
	version, err := b.Change(ctx, settings.KindAccounts, account, func(doc map[string]any) { delete(doc, "settings") })
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range b.Members() {
		for m.Router.Snapshot().Revision < version && ctx.Err() == nil {
			time.Sleep(pollInterval)
		}
	}
	return b, client, ctx
}

// quick makes engines that answer fast.
func quick() Config {
	return Config{Engine: func(c *standin.EngineConfig) { c.TokensPerSecond = 1000 }}
}

// setFaults gives every engine the same faults.
func setFaults(b *Bed, f standin.EngineFaults) {
	for _, e := range b.Engines() {
		e.SetFaults(f)
	}
}

// setFaultsOfOne gives the engine that takes the first chat faults and the
// others none, so that there is always one to go to.
func setFaultsOfOne(ctx context.Context, t *testing.T, b *Bed, client *Client, f standin.EngineFaults) {
	t.Helper()
	setFaults(b, standin.EngineFaults{})
	before := executed(b)
	if a := sayOne(ctx, b, client, 0); !a.Right {
		t.Fatalf("no faults set: %+v", a)
	}
	for id, n := range executed(b) {
		if n > before[id] {
			b.Engine(id).SetFaults(f)
			return
		}
	}
	t.Fatal("no engine took the first chat")
}

func executed(b *Bed) map[fleet.TargetID]int {
	counts := map[fleet.TargetID]int{}
	for _, e := range b.Engines() {
		counts[e.ID()] = e.Stats().Executed
	}
	return counts
}

// sayOne sends the first message of chat number i.
func sayOne(ctx context.Context, b *Bed, client *Client, i int) Answer {
	members := b.Members()
	chat := &Chat{ID: fmt.Sprint("chat-", i), Account: account, Service: service}
	answer, _ := client.Say(ctx, members[i%len(members)], chat, fmt.Sprint("question ", i), 0)
	return answer
}

// sayMany sends one message in each of n chats at once through all routers.
func sayMany(ctx context.Context, b *Bed, client *Client, n int) []Answer {
	answers := make([]Answer, n)
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() { answers[i] = sayOne(ctx, b, client, i) })
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
		ofOne   bool
		faults  standin.EngineFaults
		discard reason.Code
	}{
		"broken, resumed there":     {false, standin.EngineFaults{BrokenRate: 1}, ""},
		"broken, resumed elsewhere": {true, standin.EngineFaults{BrokenRate: 1, NoResume: true}, ""},
		"truncated":                 {false, standin.EngineFaults{TruncatedRate: 1}, reason.AnswerTruncated},
		"crossed":                   {true, standin.EngineFaults{CrossedRate: 1}, reason.AnswerMismatch},
		"doubled":                   {false, standin.EngineFaults{DoubledRate: 1}, reason.AnswerMismatch},
		"late":                      {false, standin.EngineFaults{LateRate: 1, LateBy: 50 * time.Millisecond}, ""},
		"lost":                      {false, standin.EngineFaults{LostRate: 1}, ""},
		"refused":                   {true, standin.EngineFaults{RefuseRate: 1}, ""},
	}
	b, client, ctx := unlimited(t, quick())
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if tc.ofOne {
				setFaultsOfOne(ctx, t, b, client, tc.faults)
			} else {
				setFaults(b, tc.faults)
			}
			before := discards(t, b, tc.discard)
			answers := append([]Answer{sayOne(ctx, b, client, 0)}, sayMany(ctx, b, client, 24)...)
			for i, a := range answers {
				if !a.Right {
					t.Errorf("chat %d: %+v", i, a)
				}
			}
			if tc.discard != "" && discards(t, b, tc.discard) == before {
				t.Errorf("no discard for %s counted", tc.discard)
			}
		})
	}
}

// TestUnfinishableStreamEndsWithAnError wants a right beginning, no end marker
// and a word that does not claim more than is known.
func TestUnfinishableStreamEndsWithAnError(t *testing.T) {
	b, client, ctx := unlimited(t, quick())
	setFaults(b, standin.EngineFaults{BrokenRate: 1, NoResume: true})
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
	b, client, ctx := unlimited(t, slow())
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
	b, client, ctx := unlimited(t, slow())
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
	b, client, ctx := unlimited(t, slow())
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
		faults  standin.ServiceFaults
		outcome outcome.Word
		runs    int
	}{
		"lost answer":      {standin.ServiceFaults{LostRate: 1}, outcome.Unknown, 1},
		"crossed answer":   {standin.ServiceFaults{CrossedRate: 1}, outcome.Unknown, 1},
		"truncated answer": {standin.ServiceFaults{TruncatedRate: 1}, outcome.Unknown, 1},
		"refused":          {standin.ServiceFaults{RefuseRate: 1}, outcome.NotRun, 0},
		"whole":            {standin.ServiceFaults{}, outcome.Completed, 1},
	}
	b, client, ctx := startBed(t, Config{})
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for _, s := range b.Services() {
				s.SetFaults(tc.faults)
			}
			body := []byte(`{"key":"` + name + `"}`)
			a, err := client.Call(ctx, b.Members()[0], account, "pedidos", "POST", "/pedidos", "", body)
			if err != nil || a.Outcome != tc.outcome {
				t.Errorf("outcome %q, reason %q, %v", a.Outcome, a.Reason, err)
			}
			runs := 0
			for _, s := range b.Services() {
				runs += s.Executions()[name]
			}
			if runs != tc.runs {
				t.Errorf("ran %d times", runs)
			}
		})
	}
}
