package retry_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/retry"
	"ragwortpond.example/ragwortpond/settings"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "6000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

// simulation holds the facts that the state machine cannot observe: which attempts
// ran, and which events of the answer the caller has received.
type simulation struct {
	retry.Config
	t   *rapid.T
	now time.Time
	req *retry.Request
	// sentCount counts attempts whose first byte was sent, runCount those that ran.
	sentCount, runCount int
	// The current attempt: its target's events start at offset base.
	base, events, length int
	resumable            bool
	received             int
	// contacted reports whether the current attempt tried to contact a target;
	// retries counts the attempts that followed such a one.
	contacted      bool
	retries, steps int
}

// fault is the fate of one attempt: what happened at the target and which end the
// router sees.
type fault struct {
	name     string
	sent     bool
	executed bool
	end      retry.AttemptResult
}

var faults = []fault{
	{"home refuses", false, false, retry.AttemptResult{Reason: reason.LoadBound}},
	{"home leaving", false, false, retry.AttemptResult{Reason: reason.TargetLeaving}},
	{"no home", false, false, retry.AttemptResult{Reason: reason.HomeUnreachable}},
	{"dial fails", false, false, retry.AttemptResult{Reason: reason.TargetDown}},
	{"target refuses", true, false, retry.AttemptResult{Reason: reason.TargetRefused}},
	{"lost before it ran", true, false, retry.AttemptResult{Outcome: outcome.Dispatched, Reason: reason.StreamBroken}},
	{"lost after it ran", true, true, retry.AttemptResult{Outcome: outcome.Dispatched, Reason: reason.StreamBroken}},
	{"home lost", true, true, retry.AttemptResult{Outcome: outcome.Dispatched, Reason: reason.HomeUnreachable}},
	{"crossed", true, true, retry.AttemptResult{Outcome: outcome.Dispatched, Reason: reason.AnswerMismatch}},
	{"truncated", true, true, retry.AttemptResult{Outcome: outcome.Dispatched, Reason: reason.AnswerTruncated}},
	{"whole", true, true, retry.AttemptResult{Outcome: outcome.Answered, Complete: true}},
}

// send starts a new attempt that continues after the events the caller has.
func (sim *simulation) send() retry.AttemptResult {
	f := rapid.SampledFrom(faults).Draw(sim.t, "fault")
	if sim.contacted {
		sim.retries++
	}
	sim.contacted = f.sent || f.end.Reason == reason.TargetDown || f.end.Reason == reason.HomeUnreachable
	sim.base, sim.events, sim.resumable = sim.received, 0, f.executed
	if f.sent {
		sim.sentCount++
	}
	if f.executed {
		sim.runCount++
	}
	return sim.deliver(f)
}

// resume resumes the current attempt, which succeeds only if its target ran it.
func (sim *simulation) resume() retry.AttemptResult {
	f := rapid.SampledFrom(faults).Draw(sim.t, "resume fault")
	if !f.executed || !sim.resumable {
		f = faults[rapid.IntRange(0, 4).Draw(sim.t, "why")]
	}
	return sim.deliver(f)
}

// deliver passes on as many events as the fault allows.
func (sim *simulation) deliver(f fault) retry.AttemptResult {
	e := f.end
	rest := sim.length - sim.base - sim.events
	switch {
	case e.Complete:
		sim.events += rest
	case f.executed && sim.Stream && e.Reason != reason.AnswerMismatch:
		sim.events += rapid.IntRange(0, rest).Draw(sim.t, "events")
	}
	sim.received = sim.base + sim.events
	e.Events = uint64(sim.events)
	sim.now = sim.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(sim.t, "ms")) * time.Millisecond)
	e.CallerDisconnected = !e.Complete && rapid.IntRange(0, 50).Draw(sim.t, "gone") == 0
	return e
}

func (sim *simulation) run() retry.Step {
	end := sim.send()
	for {
		step := sim.req.Next(sim.now, end, rapid.Float64Range(0, 0.999).Draw(sim.t, "jitter"))
		sim.steps++
		sim.checkStep(step)
		sim.now = sim.now.Add(step.Delay)
		switch step.Action {
		case retry.Finish, retry.GiveUp:
			return step
		case retry.ResumeOnSameTarget:
			end = sim.resume()
		case retry.NextTarget, retry.ResumeOnOtherTarget:
			if rapid.IntRange(0, 20).Draw(sim.t, "exhausted") == 0 {
				return sim.req.Exhausted()
			}
			end = sim.send()
		}
	}
}

func (sim *simulation) checkStep(s retry.Step) {
	newAttempt := s.Action == retry.NextTarget || s.Action == retry.ResumeOnOtherTarget
	if newAttempt && !sim.Deadline.IsZero() && !sim.now.Add(s.Delay).Before(sim.Deadline) {
		sim.t.Fatalf("%v after the deadline", s.Action)
	}
	if newAttempt && !sim.Repeatable && sim.sentCount > 0 {
		sim.t.Fatal("non-repeatable request retried after its first byte was sent")
	}
	if s.Action == retry.NextTarget && sim.received > 0 {
		sim.t.Fatal("request sent again from the start though the caller has part of the answer")
	}
	if sim.retries >= sim.Policy.MaxAttempts {
		sim.t.Fatalf("got %d retries, want fewer than %d attempts", sim.retries, sim.Policy.MaxAttempts)
	}
}

func (sim *simulation) checkFinal(s retry.Step) {
	switch s.Outcome.Label() {
	case outcome.NotRun:
		if sim.runCount > 0 {
			sim.t.Fatal("reported not-run, but the request ran")
		}
	case outcome.Completed:
		if s.Action != retry.Finish || sim.received != sim.length {
			sim.t.Fatalf("reported completed with %d of %d events", sim.received, sim.length)
		}
	}
	if s.Action == retry.Finish && s.Outcome != outcome.Answered {
		sim.t.Fatal("finished without a complete answer")
	}
	if !sim.Repeatable && sim.sentCount > 1 {
		sim.t.Fatal("non-repeatable request sent twice")
	}
	if s.Action == retry.GiveUp && s.Reason == reason.None {
		sim.t.Fatal("gave up without a reason")
	}
}

// TestRequestLifeCycle runs many requests that share one budget against random
// faults and compares the reported outcomes with what ran.
func TestRequestLifeCycle(t *testing.T) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		limits := settings.Defaults().Retry
		limits.Attempts = rapid.IntRange(1, 5).Draw(t, "attempts")
		budget := retry.NewStandaloneBudget(start)
		requests := rapid.IntRange(1, 40).Draw(t, "requests")
		retries := 0
		for range requests {
			sim := &simulation{t: t, now: start, length: rapid.IntRange(1, 30).Draw(t, "length")}
			sim.Config = retry.Config{
				Repeatable: rapid.Bool().Draw(t, "repeatable"), Stream: rapid.Bool().Draw(t, "stream"), Policy: retry.PolicyFromSettings(limits),
			}
			if rapid.Bool().Draw(t, "has deadline") {
				sim.Deadline = start.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "deadline")) * time.Millisecond)
			}
			sim.req = retry.New(sim.Config, budget, sim.now)
			sim.checkFinal(sim.run())
			retries += sim.retries
			steps += sim.steps
		}
		if limit := limits.BudgetRatio*float64(requests) + retry.InitialReserve; float64(retries) > limit {
			t.Fatalf("got %d retries of %d requests, want at most %.1f", retries, requests, limit)
		}
	})
	t.Logf("%d steps", steps)
}

func TestBackoffDoublesWithJitter(t *testing.T) {
	terms := retry.PolicyFromSettings(settings.Retry{BackoffMS: 20, BackoffMaxMS: 100})
	for failures, mean := range map[int]time.Duration{1: 20, 2: 40, 3: 80, 4: 100, 60: 100} {
		mean *= time.Millisecond
		if got := terms.Delay(failures, 0.5); got != mean {
			t.Errorf("after %d failures: got %v, want %v", failures, got, mean)
		}
		if low := terms.Delay(failures, 0); low != mean/2 {
			t.Errorf("after %d failures: got minimum %v, want %v", failures, low, mean/2)
		}
	}
}

func TestRepeatableRules(t *testing.T) {
	rules := []settings.Rule{
		{Service: "shop", Methods: []string{"POST"}, PathPrefix: "/search", Repeatable: true},
		{Service: "shop", PathPrefix: "/report", Repeatable: false},
	}
	cases := []struct {
		service, method, path string
		want                  bool
	}{
		{"shop", "POST", "/search/x", true},
		{"shop", "POST", "/orders", false},
		{"other", "POST", "/search", false},
		{"shop", "GET", "/report", false},
		{"shop", "GET", "/x", true},
		{"shop", "HEAD", "/x", true},
		{"shop", "PUT", "/search", false},
	}
	for _, c := range cases {
		if got := retry.IsRepeatable(rules, fleet.ServiceName(c.service), c.method, c.path); got != c.want {
			t.Errorf("%v: got %v, want %v", c, got, c.want)
		}
	}
}
