package relay_test

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform/standin"
	"ragwortpond.example/ragwortpond/relay"
	"ragwortpond.example/ragwortpond/targetlimit"
)

// limitFixture is a relay whose targets name a limit, with a permit source that tests set.
type limitFixture struct {
	*fixture
	limits *targetlimit.Tracker
	// limit is what the targets name; empty means none.
	limit atomic.Value
	// asked counts the requests for permits.
	asked  atomic.Int64
	permit func(id fleet.TargetID) targetlimit.Answer
}

func newLimitFixture(t *testing.T, targets int, permit func(fleet.TargetID) targetlimit.Answer, setup func(i int, target *standin.Target)) *limitFixture {
	t.Helper()
	f := &limitFixture{limits: targetlimit.NewTracker(), permit: permit}
	f.limit.Store("")
	route := repeatableRoute
	route.PromptAffinity = true
	f.fixture = newFixture(t, targets, route, func(i int, target *standin.Target) {
		target.Limit = func() string { return f.limit.Load().(string) }
		if setup != nil {
			setup(i, target)
		}
	}, func(cfg *relay.Config) {
		cfg.Limits = f.limits
		cfg.RequestPermit = func(id fleet.TargetID, _ targetlimit.Precedence) targetlimit.Answer {
			f.asked.Add(1)
			return f.permit(id)
		}
	})
	return f
}

func grant(fleet.TargetID) targetlimit.Answer {
	return targetlimit.Answer{Answered: true, Granted: true}
}

func deny(fleet.TargetID) targetlimit.Answer {
	return targetlimit.Answer{Answered: true, Wait: time.Second}
}

func (f *limitFixture) post(want int) *http.Response {
	f.t.Helper()
	response, _, err := f.do(f.request(http.MethodPost, "x"))
	if err != nil || response.StatusCode != want {
		f.t.Fatalf("got %v, error %v, want status %d", response, err, want)
	}
	return response
}

// TestRequestToLimitedTargetNeedsPermit follows one target through a limit.
func TestRequestToLimitedTargetNeedsPermit(t *testing.T) {
	f := newLimitFixture(t, 1, deny, nil)
	f.post(http.StatusOK)
	f.limit.Store("2.5")
	f.post(http.StatusOK)
	if f.asked.Load() != 0 {
		t.Error("a permit was asked for before the limit was known")
	}
	response := f.post(http.StatusServiceUnavailable)
	if after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err != nil || after <= 0 || after > 8 {
		t.Errorf("got Retry-After %q, want some seconds", response.Header.Get("Retry-After"))
	}
	if got := f.asked.Load(); got != 1 {
		t.Errorf("got %d requests for a permit, want 1", got)
	}
	if got := len(f.runs()); got != 2 {
		t.Errorf("got %d runs, want 2", got)
	}
	f.permit = grant
	f.limit.Store("")
	f.post(http.StatusOK)
	if report, ok := f.limits.Report("t0", time.Now()); !ok || !report.Lifted {
		t.Errorf("got report %+v after a response without a limit, want it lifted", report)
	}
}

func TestOtherTargetsTakeExcessOfLimitedOne(t *testing.T) {
	denied := fleet.TargetID("t0")
	f := newLimitFixture(t, 3, func(id fleet.TargetID) targetlimit.Answer {
		if id == denied {
			return deny(id)
		}
		return grant(id)
	}, nil)
	f.limits.RecordNamed(denied, 5, time.Now())
	for range 20 {
		f.post(http.StatusOK)
	}
	if got := len(f.targets[0].Arrivals()); got != 0 {
		t.Errorf("got %d requests at the target without permits, want none", got)
	}
}

// TestLimitOutlivesEntryOfTarget guards against sends beyond a target's limit once its entry has been away.
func TestLimitOutlivesEntryOfTarget(t *testing.T) {
	t.Parallel()
	f := newLimitFixture(t, 1, deny, nil)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = f.relay.Run(ctx) }()
	f.limit.Store("2.5")
	f.post(http.StatusOK)
	f.publish()
	time.Sleep(1500 * time.Millisecond)
	f.publish(f.targets...)
	f.post(http.StatusServiceUnavailable)
	if got := len(f.runs()); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

func TestRestartedTargetHasNoLimit(t *testing.T) {
	f := newLimitFixture(t, 1, deny, nil)
	f.limits.RecordNamed("t0", 5, time.Now())
	f.post(http.StatusServiceUnavailable)
	f.relay.ResetTarget("t0")
	f.post(http.StatusOK)
}

// TestRetryNeedsPermit lets the first target fail: the retry may not go to a target whose
// limit is used up.
func TestRetryNeedsPermit(t *testing.T) {
	f := newLimitFixture(t, 2, deny, func(i int, target *standin.Target) {
		if i == 0 {
			target.Behave = func(*http.Request) standin.Behavior { return standin.CloseBeforeResponse }
		}
	})
	f.limits.RecordNamed("t1", 5, time.Now())
	f.post(http.StatusBadGateway)
	if got := len(f.targets[1].Arrivals()); got != 0 {
		t.Errorf("got %d requests at the target without permits, want none", got)
	}
}

// TestUnansweredPermitSendsOwnPart checks that a router that is alone sends its part of the
// limit, and no more.
func TestUnansweredPermitSendsOwnPart(t *testing.T) {
	f := newLimitFixture(t, 1, func(fleet.TargetID) targetlimit.Answer { return targetlimit.Answer{} }, nil)
	f.limit.Store("10")
	f.post(http.StatusOK)
	served := 0
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		response, _, err := f.do(f.request(http.MethodPost, "x"))
		if err != nil {
			t.Fatal(err)
		}
		if response.StatusCode == http.StatusOK {
			served++
		}
	}
	if served < 4 || served > 10 {
		t.Errorf("got %d requests served in 1 s, want at most 10, and most of them", served)
	}
}

// TestLimitIsReadFromTargetsOwnAnswersOnly sends values and answers that set no limit.
func TestLimitIsReadFromTargetsOwnAnswersOnly(t *testing.T) {
	for name, behavior := range map[string]standin.Behavior{"garbage": standin.Serve, "another answer first": standin.MismatchedFirst} {
		t.Run(name, func(t *testing.T) {
			f := newLimitFixture(t, 1, deny, func(_ int, target *standin.Target) {
				target.Behave = func(*http.Request) standin.Behavior { return behavior }
			})
			f.limit.Store("some")
			f.post(http.StatusOK)
			if n := f.limits.Limited(time.Now()); n != 0 {
				t.Errorf("got %d limited targets, want none", n)
			}
		})
	}
	f := newLimitFixture(t, 1, grant, nil)
	f.limits.RecordNamed("t0", 5, time.Now())
	f.limit.Store("NaN")
	f.post(http.StatusOK)
	if report, ok := f.limits.Report("t0", time.Now()); !ok || report.Lifted {
		t.Errorf("got report %+v after a limit that cannot be read, want the old one", report)
	}
}

// TestCacheIsNotFetchedFromLimitedTarget guards against cache fetches that add to the load of a target in need.
func TestCacheIsNotFetchedFromLimitedTarget(t *testing.T) {
	f := newLimitFixture(t, 3, grant, nil)
	const prompt = "system:100,chat:200,own:10"
	if _, _, err := f.do(f.request(http.MethodPost, "x", "Prompt-Prefix", prompt)); err != nil {
		t.Fatal(err)
	}
	home := fleet.TargetID(f.runs()[0].Header.Get("Expect-Instance"))
	f.permit = deny
	f.limits.RecordNamed(home, 5, time.Now())
	if _, _, err := f.do(f.request(http.MethodPost, "x", "Prompt-Prefix", prompt)); err != nil {
		t.Fatal(err)
	}
	for _, run := range f.runs() {
		if source := run.Header.Get("Kv-Fetch"); source != "" {
			t.Errorf("got a fetch from %s, want none while its holder is limited", source)
		}
	}
	if got := len(f.runs()); got != 2 {
		t.Errorf("got %d runs, want 2", got)
	}
}
