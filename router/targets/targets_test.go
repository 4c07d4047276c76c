package targets

import (
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/membership"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/settings"
)

// testTracker is a tracker whose settings, view and clock are set by a test.
type testTracker struct {
	*Tracker
	snapshot *settings.Snapshot
	view     *membership.View
	now      time.Time
}

func newTestTracker(ids ...fleet.TargetID) *testTracker {
	tr := &testTracker{now: time.Unix(1_800_000_000, 0)}
	tr.setTargets(ids...)
	tr.setView()
	tr.Tracker = New(Config{
		Self:     fleet.Router{ID: "r1", Domain: "a"},
		Snapshot: func() *settings.Snapshot { return tr.snapshot },
		View:     func() *membership.View { return tr.view },
		Clock:    func() time.Time { return tr.now },
	})
	return tr
}

func (tr *testTracker) setTargets(ids ...fleet.TargetID) {
	tr.snapshot = &settings.Snapshot{Targets: map[fleet.ServiceName][]fleet.Target{}}
	for _, id := range ids {
		tr.snapshot.Targets["chat"] = append(tr.snapshot.Targets["chat"], fleet.Target{ID: id, Service: "chat", Domain: "a"})
	}
}

func (tr *testTracker) setView(leaving ...string) {
	tr.view = &membership.View{Routers: []fleet.Router{{ID: "r1", Domain: "a"}}, LeavingVMs: map[string]bool{}}
	for _, vm := range leaving {
		tr.view.LeavingVMs[vm] = true
	}
}

func (tr *testTracker) has(id fleet.TargetID) bool {
	_, _, ok := tr.Picker().Target("chat", id)
	return ok
}

func TestLeavingAndDownTargetsAreExcluded(t *testing.T) {
	tr := newTestTracker("e1", "e2")
	if !tr.has("e1") || !tr.has("e2") {
		t.Fatal("got a picker without a live target, want both targets")
	}
	tr.setView("e1")
	if tr.has("e1") {
		t.Error("target on a leaving VM is still in the picker")
	}
	tr.MarkDown("e2")
	if tr.has("e2") {
		t.Error("target that is down is still in the picker")
	}
	tr.now = tr.now.Add(targetDownPeriod)
	if !tr.has("e2") {
		t.Error("target is still excluded after targetDownPeriod")
	}
}

func TestPickerIsReusedWithoutChanges(t *testing.T) {
	tr := newTestTracker("e1")
	first := tr.Picker()
	if tr.Picker() != first {
		t.Error("got a rebuilt picker without a change, want the same picker")
	}
}

func TestNewTargetIsJoining(t *testing.T) {
	tr := newTestTracker("e1")
	tr.Picker()
	tr.setTargets("e1", "e2")
	for chat := range fleet.ChatKey(50) {
		plan := tr.Picker().Pick(placement.Request{Service: "chat", Chat: chat, Returning: true, Now: tr.now})
		if got := plan.Step(0).Target.ID; got != "e1" {
			t.Fatalf("returning chat: got target %s, which has just joined; want e1", got)
		}
	}
}
