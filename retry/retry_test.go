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

// world is the truth that the state machine cannot see: what ran where, and
// which events of the answer the caller has.
type world struct {
	retry.Config
	t   *rapid.T
	now time.Time
	req *retry.Request
	// left counts attempts whose first byte left; ran those that a target ran.
	left, ran int
	// present is the attempt under way: its target's events from offset base.
	base, events, length int
	held                 bool
	received             int
	// touched says that the present attempt reached for a target; retries
	// counts the attempts that followed such a one.
	touched        bool
	retries, steps int
}

// fault is what befalls one attempt: what really happened at the target and
// what the router is told.
type fault struct {
	name string
	left bool
	ran  bool
	end  retry.End
}

var faults = []fault{
	{"home refuses", false, false, retry.End{Reason: reason.LoadBound}},
	{"home leaving", false, false, retry.End{Reason: reason.TargetLeaving}},
	{"no home", false, false, retry.End{Reason: reason.HomeUnreachable}},
	{"dial fails", false, false, retry.End{Reason: reason.TargetDown}},
	{"target refuses", true, false, retry.End{Reason: reason.TargetRefused}},
	{"lost before it ran", true, false, retry.End{Outcome: outcome.Dispatched, Reason: reason.StreamBroken}},
	{"lost after it ran", true, true, retry.End{Outcome: outcome.Dispatched, Reason: reason.StreamBroken}},
	{"home lost", true, true, retry.End{Outcome: outcome.Dispatched, Reason: reason.HomeUnreachable}},
	{"crossed", true, true, retry.End{Outcome: outcome.Dispatched, Reason: reason.AnswerMismatch}},
	{"truncated", true, true, retry.End{Outcome: outcome.Dispatched, Reason: reason.AnswerTruncated}},
	{"whole", true, true, retry.End{Outcome: outcome.Answered, Whole: true}},
}

// send is a new attempt that goes on after what the caller has.
func (w *world) send() retry.End {
	f := rapid.SampledFrom(faults).Draw(w.t, "fault")
	if w.touched {
		w.retries++
	}
	w.touched = f.left || f.end.Reason == reason.TargetDown || f.end.Reason == reason.HomeUnreachable
	w.base, w.events, w.held = w.received, 0, f.ran
	if f.left {
		w.left++
	}
	if f.ran {
		w.ran++
	}
	return w.deliver(f)
}

// resume takes up the present attempt again: only a target that ran it can.
func (w *world) resume() retry.End {
	f := rapid.SampledFrom(faults).Draw(w.t, "resume fault")
	if !f.ran || !w.held {
		f = faults[rapid.IntRange(0, 4).Draw(w.t, "why")]
	}
	return w.deliver(f)
}

// deliver passes on as many events as the fault lets through.
func (w *world) deliver(f fault) retry.End {
	e := f.end
	rest := w.length - w.base - w.events
	switch {
	case e.Whole:
		w.events += rest
	case f.ran && w.Stream && e.Reason != reason.AnswerMismatch:
		w.events += rapid.IntRange(0, rest).Draw(w.t, "events")
	}
	w.received = w.base + w.events
	e.Events = uint64(w.events)
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(w.t, "ms")) * time.Millisecond)
	e.CallerGone = !e.Whole && rapid.IntRange(0, 50).Draw(w.t, "gone") == 0
	return e
}

func (w *world) serve() retry.Step {
	end := w.send()
	for {
		step := w.req.Next(w.now, end, rapid.Float64Range(0, 0.999).Draw(w.t, "jitter"))
		w.steps++
		w.check(step)
		w.now = w.now.Add(step.Wait)
		switch step.Action {
		case retry.Finish, retry.GiveUp:
			return step
		case retry.ResumeSame:
			end = w.resume()
		case retry.Elsewhere, retry.ResumeOther:
			if rapid.IntRange(0, 20).Draw(w.t, "exhausted") == 0 {
				return w.req.Exhausted()
			}
			end = w.send()
		}
	}
}

func (w *world) check(s retry.Step) {
	further := s.Action == retry.Elsewhere || s.Action == retry.ResumeOther
	if further && !w.Deadline.IsZero() && !w.now.Add(s.Wait).Before(w.Deadline) {
		w.t.Fatalf("%v after the deadline", s.Action)
	}
	if further && !w.Repeatable && w.left > 0 {
		w.t.Fatal("a non-repeatable request goes on after its first byte left")
	}
	if s.Action == retry.Elsewhere && w.received > 0 {
		w.t.Fatal("sent anew though the caller has a part of the answer")
	}
	if w.retries >= w.Terms.Attempts {
		w.t.Fatalf("%d retries with %d attempts allowed", w.retries, w.Terms.Attempts)
	}
}

func (w *world) checkFinal(s retry.Step) {
	switch s.Outcome.Word() {
	case outcome.NotRun:
		if w.ran > 0 {
			w.t.Fatal("told not-run, but it ran")
		}
	case outcome.Completed:
		if s.Action != retry.Finish || w.received != w.length {
			w.t.Fatalf("told completed with %d of %d events", w.received, w.length)
		}
	}
	if s.Action == retry.Finish && s.Outcome != outcome.Answered {
		w.t.Fatal("finished without an answer")
	}
	if !w.Repeatable && w.left > 1 {
		w.t.Fatal("a non-repeatable request left twice")
	}
	if s.Action == retry.GiveUp && s.Reason == reason.None {
		w.t.Fatal("gave up without a reason")
	}
}

// TestLifeCycle runs many requests through one allowance against faults drawn at
// random and compares what is told with what ran.
func TestLifeCycle(t *testing.T) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		limits := settings.Defaults().Retry
		limits.Attempts = rapid.IntRange(1, 5).Draw(t, "attempts")
		allowance := retry.NewReserve(start)
		requests := rapid.IntRange(1, 40).Draw(t, "requests")
		retries := 0
		for range requests {
			w := &world{t: t, now: start, length: rapid.IntRange(1, 30).Draw(t, "length")}
			w.Config = retry.Config{
				Repeatable: rapid.Bool().Draw(t, "repeatable"), Stream: rapid.Bool().Draw(t, "stream"), Terms: retry.TermsOf(limits),
			}
			if rapid.Bool().Draw(t, "has deadline") {
				w.Deadline = start.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "deadline")) * time.Millisecond)
			}
			w.req = retry.New(w.Config, allowance, w.now)
			w.checkFinal(w.serve())
			retries += w.retries
			steps += w.steps
		}
		if most := limits.BudgetRatio*float64(requests) + retry.Reserve; float64(retries) > most {
			t.Fatalf("%d retries of %d requests", retries, requests)
		}
	})
	t.Logf("%d steps", steps)
}

func TestBackoffGrowsAndSpreads(t *testing.T) {
	terms := retry.TermsOf(settings.Retry{BackoffMS: 20, BackoffMaxMS: 100})
	for failures, mean := range map[int]time.Duration{1: 20, 2: 40, 3: 80, 4: 100, 60: 100} {
		mean *= time.Millisecond
		if got := terms.Wait(failures, 0.5); got != mean {
			t.Errorf("after %d: %v, want %v", failures, got, mean)
		}
		if low := terms.Wait(failures, 0); low != mean/2 {
			t.Errorf("after %d: lowest %v", failures, low)
		}
	}
}

func TestRules(t *testing.T) {
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
		if got := retry.Repeatable(rules, fleet.ServiceName(c.service), c.method, c.path); got != c.want {
			t.Errorf("%v: got %v", c, got)
		}
	}
}
