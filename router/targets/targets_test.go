package targets

import (
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/membership"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/settings"
)

// world is a tracker with settings, view and clock that a test sets.
type world struct {
	*Tracker
	snapshot *settings.Snapshot
	view     *membership.View
	now      time.Time
}

func newWorld(ids ...fleet.TargetID) *world {
	w := &world{now: time.Unix(1_800_000_000, 0)}
	w.setTargets(ids...)
	w.setView()
	w.Tracker = New(Config{
		Self:     fleet.Router{ID: "r1", Domain: "a"},
		Snapshot: func() *settings.Snapshot { return w.snapshot },
		View:     func() *membership.View { return w.view },
		Clock:    func() time.Time { return w.now },
	})
	return w
}

func (w *world) setTargets(ids ...fleet.TargetID) {
	w.snapshot = &settings.Snapshot{Targets: map[fleet.ServiceName][]fleet.Target{}}
	for _, id := range ids {
		w.snapshot.Targets["chat"] = append(w.snapshot.Targets["chat"], fleet.Target{ID: id, Service: "chat", Domain: "a"})
	}
}

func (w *world) setView(leaving ...string) {
	w.view = &membership.View{Routers: []fleet.Router{{ID: "r1", Domain: "a"}}, LeavingVMs: map[string]bool{}}
	for _, vm := range leaving {
		w.view.LeavingVMs[vm] = true
	}
}

func (w *world) has(id fleet.TargetID) bool {
	_, _, ok := w.Picker().Target("chat", id)
	return ok
}

func TestLeavingAndDownTargetsAreLeftOut(t *testing.T) {
	w := newWorld("e1", "e2")
	if !w.has("e1") || !w.has("e2") {
		t.Fatal("a live target is missing")
	}
	w.setView("e1")
	if w.has("e1") {
		t.Error("a target on a leaving VM is still picked")
	}
	w.Down("e2")
	if w.has("e2") {
		t.Error("a target that is down is still picked")
	}
	w.now = w.now.Add(downTime)
	if !w.has("e2") {
		t.Error("a target that was down is not tried again")
	}
}

func TestPickerIsKeptWhileNothingChanges(t *testing.T) {
	w := newWorld("e1")
	first := w.Picker()
	if w.Picker() != first {
		t.Error("the picker was built anew without a change")
	}
}

func TestTargetThatComesIsJoining(t *testing.T) {
	w := newWorld("e1")
	w.Picker()
	w.setTargets("e1", "e2")
	for chat := range fleet.ChatKey(50) {
		plan := w.Picker().Pick(placement.Request{Service: "chat", Chat: chat, Returning: true, Now: w.now})
		if got := plan.Step(0).Target.ID; got != "e1" {
			t.Fatalf("a returning chat goes to %s, which came just now", got)
		}
	}
}
