package engineorder_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/engineorder"
	"ragwortpond.example/ragwortpond/fleet"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.steps": "60"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const validity = 2 * time.Second

// home is a router with its own, perhaps old, view.
type home struct {
	fence      uint64
	settingsAt time.Duration
	stateAt    time.Duration
	own        bool
	plan       engineorder.Plan
}

// world is one engine, its settings by version, and two homes.
type world struct {
	checks    bool
	documents []fleet.EngineState
	engine    engine.State
	confirmed uint64
	now       time.Duration
	homes     [2]home
}

func (w *world) pick(t *rapid.T) *home {
	return &w.homes[rapid.IntRange(0, 1).Draw(t, "home")]
}

func (w *world) change(t *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b"})
	w.documents = append(w.documents, fleet.EngineState{
		Model: name.Draw(t, "model"), Version: name.Draw(t, "version"), Role: name.Draw(t, "role"),
	})
}

func (w *world) refresh(t *rapid.T) {
	h := w.pick(t)
	h.fence = uint64(len(w.documents) - 1)
	h.settingsAt = w.now
}

func (w *world) decide(t *rapid.T) {
	h := w.pick(t)
	h.stateAt = w.now
	desired := w.documents[h.fence]
	h.plan = engineorder.Decide(engineorder.View{
		Desired: desired, Fence: h.fence, Observed: w.engine, ChecksFencing: w.checks, OwnHome: h.own,
		StateReadAt: h.stateAt, SettingsReadAt: h.settingsAt, Validity: validity,
	}, w.now)
	if h.plan.Action != engineorder.Done {
		return
	}
	if w.engine.Model != desired.Model || w.engine.Version != desired.Version || w.engine.Role != desired.Role {
		t.Fatalf("done, but the engine serves %+v and not %+v", w.engine, desired)
	}
	w.confirmed = max(w.confirmed, h.fence)
}

func (w *world) send(t *rapid.T) {
	h := w.pick(t)
	if !h.plan.MaySend(w.now, h.own) {
		return
	}
	if !h.own {
		t.Fatal("sent by a router that is not the home")
	}
	if !w.checks && (w.now-h.stateAt >= validity || w.now-h.settingsAt >= validity) {
		t.Fatalf("sent at %v with state of %v and settings of %v", w.now, h.stateAt, h.settingsAt)
	}
	order := h.plan.Order
	h.plan = engineorder.Plan{}
	if w.checks && order.Fence < w.engine.Fence {
		return
	}
	if w.checks && order.Fence < w.confirmed {
		t.Fatalf("the engine went back to fence %d after %d was done", order.Fence, w.confirmed)
	}
	apply(&w.engine, order)
}

func apply(s *engine.State, o engine.Order) {
	s.Fence = o.Fence
	switch o.Kind {
	case engine.LoadModel:
		s.Model = o.Value
	case engine.LoadVersion:
		s.Version = o.Value
	case engine.LoadAdapter:
		s.Adapter = o.Value
	case engine.ChangeRole:
		s.Role = o.Value
	}
}

func TestTwoHomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{checks: rapid.Bool().Draw(t, "checks"), documents: make([]fleet.EngineState, 1)}
		w.homes[0].own = true
		t.Repeat(map[string]func(*rapid.T){
			"change":  w.change,
			"refresh": w.refresh,
			"decide":  w.decide,
			"send":    w.send,
			"pause": func(t *rapid.T) {
				w.now += time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond
			},
			"move": func(t *rapid.T) {
				h := w.pick(t)
				h.own = !h.own
			},
		})
	})
}

func TestPausedHomeDoesNotSend(t *testing.T) {
	v := engineorder.View{
		Desired: fleet.EngineState{Model: "m"}, Fence: 3, OwnHome: true,
		StateReadAt: time.Second, SettingsReadAt: 500 * time.Millisecond, Validity: validity,
	}
	p := engineorder.Decide(v, time.Second)
	if p.Action != engineorder.Send || !p.Load {
		t.Fatalf("plan %+v", p)
	}
	for now, want := range map[time.Duration]bool{2499 * time.Millisecond: true, 2500 * time.Millisecond: false} {
		if got := p.MaySend(now, true); got != want {
			t.Errorf("may send at %v: %v", now, got)
		}
	}
	if got := engineorder.Decide(v, 3*time.Second).Action; got != engineorder.Wait {
		t.Errorf("action on old reads: %v", got)
	}
}
