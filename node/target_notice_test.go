package node

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
)

// entryAbsence is longer than the interval at which routers drop the state of targets that are
// not listed.
const entryAbsence = 1500 * time.Millisecond

// noticeFixture is a router whose only target wants no more requests.
type noticeFixture struct {
	*fixture
	t       *testing.T
	client  *http.Client
	target  *standin.Target
	request int
}

func newNoticeFixture(t *testing.T, target *standin.Target) *noticeFixture {
	t.Helper()
	// The pauses of these tests are longer than routers keep idle connections.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	f := &noticeFixture{fixture: startFixture(t, nextAddress()), t: t, client: client}
	f.store.Delete(platform.KindTargets, "t")
	config := configDocument(2)
	config["Services"] = []any{map[string]any{"Name": "s", "HealthPath": standin.HealthPath}}
	f.store.Put(platform.KindConfig, platform.ConfigName, config)
	f.startProcess(target)
	within(t, followTime, "view with one target", func() bool {
		return f.knows("n") && !f.knows("t") && f.node.directory.View().Config.Version == 2
	})
	return f
}

// startProcess starts a process of target "n" and writes its entry.
func (f *noticeFixture) startProcess(target *standin.Target) {
	f.t.Helper()
	target.ID, target.Service, target.Zone = "n", "s", "d"
	if err := target.Start(""); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(target.Close)
	f.target = target
	f.store.Put(platform.KindTargets, "n", target.Entry("ready"))
}

// hideEntry deletes the target's entry for a time and then writes it again.
func (f *noticeFixture) hideEntry() {
	f.t.Helper()
	f.store.Delete(platform.KindTargets, "n")
	within(f.t, followTime, "view without the target", func() bool { return !f.knows("n") })
	time.Sleep(entryAbsence)
	f.store.Put(platform.KindTargets, "n", f.target.Entry("ready"))
	within(f.t, followTime, "view with the target", func() bool { return f.knows("n") })
}

// arrivals sends a request and returns the number that have reached the target's process.
func (f *noticeFixture) arrivals() int {
	f.t.Helper()
	f.request++
	response, _, err := f.post(f.client, "a"+strconv.Itoa(f.request))
	if err != nil {
		f.t.Fatal(err)
	}
	if n := len(f.target.Arrivals()); n > 0 || response.StatusCode == http.StatusServiceUnavailable {
		return n
	}
	f.t.Fatalf("got status %d, want 503 for a request that was sent to no target", response.StatusCode)
	return 0
}

// TestNoticeOutlivesEntryOfTarget guards against requests to a target that wants none, once its entry has been away.
func TestNoticeOutlivesEntryOfTarget(t *testing.T) {
	for name, target := range map[string]*standin.Target{
		"leaving": {Leaving: func() bool { return true }},
		"quiet": {
			Behave:     func(*http.Request) standin.Behavior { return standin.Reject },
			RetryAfter: func() string { return "60" },
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newNoticeFixture(t, target)
			if got := f.arrivals() + f.arrivals(); got != 2 {
				t.Fatalf("got %d arrivals, want 1 after each of two requests", got)
			}
			f.hideEntry()
			if got := f.arrivals(); got != 1 {
				t.Errorf("got %d arrivals after the entry was away, want 1", got)
			}
			f.target.Close()
			f.startProcess(&standin.Target{})
			within(t, followTime, "requests to the new process", func() bool { return f.arrivals() > 0 })
		})
	}
}

// TestNoticeIsNotOfNewProcessWhoseEntryWasAway guards against a target that gets no requests because its ID had one that
// left.
func TestNoticeIsNotOfNewProcessWhoseEntryWasAway(t *testing.T) {
	t.Parallel()
	var leaving atomic.Bool
	leaving.Store(true)
	f := newNoticeFixture(t, &standin.Target{Leaving: leaving.Load})
	f.arrivals()
	f.target.Close()
	f.store.Delete(platform.KindTargets, "n")
	within(t, followTime, "view without the target", func() bool { return !f.knows("n") })
	f.startProcess(&standin.Target{})
	within(t, followTime, "requests to the new process", func() bool { return f.arrivals() > 0 })
}

// TestNoticeOfProcessThatIsNotListedYetHolds guards against requests to a target that leaves, because its process started
// while this router was cut off from the store, and its entry becomes known after its notice.
func TestNoticeOfProcessThatIsNotListedYetHolds(t *testing.T) {
	t.Parallel()
	f := newNoticeFixture(t, &standin.Target{})
	if f.arrivals() != 1 {
		t.Fatal("got no arrival, want 1")
	}
	addr, first := f.target.Addr(), f.node.directory.View().Targets["s"][0].StartedAt
	f.target.Close()
	f.store.Fail(standin.Refusing)
	second := &standin.Target{ID: "n", Service: "s", Zone: "d", Leaving: func() bool { return true }}
	if err := second.Start(addr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(second.Close)
	f.target = second
	within(t, followTime, "the notice of the second process", func() bool { return f.arrivals() == 1 })
	f.store.Put(platform.KindTargets, "n", second.Entry("ready"))
	f.store.Fail(standin.Healthy)
	within(t, followTime, "the entry of the second process", func() bool {
		return f.node.directory.View().Targets["s"][0].StartedAt.After(first)
	})
	for range 4 {
		if got := f.arrivals(); got != 1 {
			t.Fatalf("got %d arrivals after the entry became known, want 1", got)
		}
		time.Sleep(entryAbsence / 2)
	}
}
