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

// router is a router with its own, possibly outdated, view of the settings.
type router struct {
	fence          uint64
	settingsReadAt time.Duration
	stateReadAt    time.Duration
	isHome         bool
	plan           engineorder.Plan
}

// model is one engine, its settings documents by version, and two routers.
type model struct {
	checksFencing bool
	documents     []fleet.EngineState
	engine        engine.State
	// confirmedFence is the newest fence for which a router found the engine in
	// the desired state.
	confirmedFence uint64
	now            time.Duration
	routers        [2]router
}

func (m *model) pickRouter(t *rapid.T) *router {
	return &m.routers[rapid.IntRange(0, 1).Draw(t, "home")]
}

func (m *model) addDocument(t *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b"})
	m.documents = append(m.documents, fleet.EngineState{
		Model: name.Draw(t, "model"), Version: name.Draw(t, "version"), Role: name.Draw(t, "role"),
	})
}

func (m *model) readSettings(t *rapid.T) {
	r := m.pickRouter(t)
	r.fence = uint64(len(m.documents) - 1)
	r.settingsReadAt = m.now
}

func (m *model) decide(t *rapid.T) {
	r := m.pickRouter(t)
	r.stateReadAt = m.now
	desired := m.documents[r.fence]
	r.plan = engineorder.Decide(engineorder.Input{
		Desired: desired, FencingNumber: r.fence, Observed: m.engine, ChecksFencing: m.checksFencing, IsHome: r.isHome,
		StateReadAt: r.stateReadAt, SettingsReadAt: r.settingsReadAt, Validity: validity,
	}, m.now)
	if r.plan.Action != engineorder.Done {
		return
	}
	if m.engine.Model != desired.Model || m.engine.Version != desired.Version || m.engine.Role != desired.Role {
		t.Fatalf("got action Done with engine state %+v, want state %+v", m.engine, desired)
	}
	m.confirmedFence = max(m.confirmedFence, r.fence)
}

func (m *model) send(t *rapid.T) {
	r := m.pickRouter(t)
	if !r.plan.MaySend(m.now, r.isHome) {
		return
	}
	if !r.isHome {
		t.Fatal("got an order from a router that is not the home")
	}
	if !m.checksFencing && (m.now-r.stateReadAt >= validity || m.now-r.settingsReadAt >= validity) {
		t.Fatalf("got an order at %v with the state read at %v and the settings at %v, want both within the validity", m.now, r.stateReadAt, r.settingsReadAt)
	}
	order := r.plan.Order
	r.plan = engineorder.Plan{}
	if m.checksFencing && order.Fence < m.engine.Fence {
		return
	}
	if m.checksFencing && order.Fence < m.confirmedFence {
		t.Fatalf("got an order with fence %d accepted after fence %d was done", order.Fence, m.confirmedFence)
	}
	applyOrder(&m.engine, order)
}

func applyOrder(s *engine.State, o engine.Order) {
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

// Guards against orders from outdated views: two routers, of which none, one or
// both hold themselves to be the home, read, decide and send with pauses in
// between. No order may come from a router that is not the home, exceed the
// validity, or revert an engine that checks fencing numbers.
func TestTwoRoutersSendOnlyAllowedOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{checksFencing: rapid.Bool().Draw(t, "checks"), documents: make([]fleet.EngineState, 1)}
		m.routers[0].isHome = true
		t.Repeat(map[string]func(*rapid.T){
			"change":  m.addDocument,
			"refresh": m.readSettings,
			"decide":  m.decide,
			"send":    m.send,
			"pause": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond
			},
			"move": func(t *rapid.T) {
				r := m.pickRouter(t)
				r.isHome = !r.isHome
			},
		})
	})
}

// Guards against a home that is paused after its decision and then sends an
// outdated order: a plan expires at the end of the validity after its older read.
func TestPlanExpiresAfterValidity(t *testing.T) {
	v := engineorder.Input{
		Desired: fleet.EngineState{Model: "m"}, FencingNumber: 3, IsHome: true,
		StateReadAt: time.Second, SettingsReadAt: 500 * time.Millisecond, Validity: validity,
	}
	p := engineorder.Decide(v, time.Second)
	if p.Action != engineorder.Send || !p.RequiresLoad {
		t.Fatalf("got plan %+v, want an order that loads", p)
	}
	for now, want := range map[time.Duration]bool{2499 * time.Millisecond: true, 2500 * time.Millisecond: false} {
		if got := p.MaySend(now, true); got != want {
			t.Errorf("MaySend at %v: got %v, want %v", now, got, want)
		}
	}
	if got := engineorder.Decide(v, 3*time.Second).Action; got != engineorder.Wait {
		t.Errorf("action on outdated reads: got %v, want Wait", got)
	}
}
