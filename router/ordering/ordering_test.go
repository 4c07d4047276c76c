package ordering_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/membership"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/router/ordering"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/standin"
	"ragwortpond.example/ragwortpond/weights"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent(),
		goleak.IgnoreAnyFunction("github.com/cloudwego/hertz/pkg/protocol.UpdateServerDate.func1"))
}

// fixture is one driver with one stand-in engine.
type fixture struct {
	engine  *standin.Engine
	objects *standin.Objects
	client  engine.Client
	config  ordering.Config
	home    fleet.RouterID
	leaving map[string]bool
	// pause is how long each call of view takes, from call number pauseAt on.
	pause     time.Duration
	pauseAt   int32
	viewCalls atomic.Int32
}

func newFixture(t *testing.T, checks bool, desired string) *fixture {
	t.Helper()
	e, err := standin.StartEngine(standin.EngineConfig{ChecksFencing: checks, TokensPerSecond: 2000})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Kill)
	f := &fixture{
		engine: e, objects: standin.NewObjects(standin.ObjectsConfig{}),
		client: engine.NewClient(engine.ClientConfig{}), home: "r1",
	}
	f.put(t, settings.KindFleet, "fleet", `{"settings": {"orders": {"loads_per_minute": 60000, "validity_ms": 60000}}}`)
	f.put(t, settings.KindDomains, "d", `{"region": "r"}`)
	f.put(t, settings.KindServices, "s", `{"kind": "engine"}`)
	f.put(t, settings.KindTargets, "t", f.targetDocument(checks, desired))
	snapshot := f.snapshot(t)
	f.config = ordering.Config{
		Self: "r1", Snapshot: func() *settings.Snapshot { return snapshot }, View: f.view,
		Store: f.objects, Engine: f.client, Log: zerolog.Nop(),
	}
	return f
}

func (f *fixture) targetDocument(checks bool, desired string) string {
	return fmt.Sprintf(`{"service": "s", "failure_domain": "d", "addr": %q, "checks_fencing": %t, "engine": %s}`,
		f.engine.Addr(), checks, desired)
}

func (f *fixture) put(t *testing.T, kind, name, data string) {
	t.Helper()
	old, _ := f.objects.Get(t.Context(), kind, name)
	if _, err := f.objects.Put(t.Context(), kind, name, []byte(data), old.Version); err != nil {
		t.Fatal(err)
	}
}

func (f *fixture) snapshot(t *testing.T) *settings.Snapshot {
	t.Helper()
	var all []objectapi.Object
	for _, kind := range []string{settings.KindFleet, settings.KindDomains, settings.KindServices, settings.KindTargets} {
		objects, _, err := f.objects.List(t.Context(), kind)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, objects...)
	}
	s, findings := settings.NewBuilder().Build(all)
	if len(findings) != 0 {
		t.Fatal(findings)
	}
	return s
}

func (f *fixture) view() *membership.View {
	if f.viewCalls.Add(1) >= f.pauseAt {
		time.Sleep(f.pause)
	}
	return &membership.View{Routers: []fleet.Router{{ID: f.home, Domain: "d", Region: "r"}}, LeavingVMs: f.leaving}
}

// runRounds runs n rounds and returns the state of the engine afterwards.
func (f *fixture) runRounds(t *testing.T, n int) engine.State {
	t.Helper()
	d := ordering.New(f.config)
	for range n {
		d.RunOnce(t.Context())
		time.Sleep(5 * time.Millisecond)
	}
	s, err := f.client.State(t.Context(), f.engine.Addr())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestEngineReachesDesiredState(t *testing.T) {
	for _, checks := range []bool{true, false} {
		f := newFixture(t, checks, `{"model": "m", "version": "v", "adapter": "a", "role": "decode"}`)
		store, err := standin.StartWeights(standin.WeightsConfig{})
		if err != nil {
			t.Fatal(err)
		}
		f.config.Weights = weights.NewClient(weights.ClientConfig{Addr: store.Addr(), Timeout: 5 * time.Second})
		got := f.runRounds(t, 12)
		want := engine.State{Model: "m", Version: "v", Adapter: "a", Role: "decode", Fence: 4}
		if got != want || store.Granted() != 3 {
			t.Errorf("checks fencing %v: got state %+v after %d grants, want %+v after 3", checks, got, store.Granted(), want)
		}
		store.Kill()
	}
}

// emptyStateClient reports an empty state for every engine.
type emptyStateClient struct{ engine.Client }

func (emptyStateClient) State(context.Context, string) (engine.State, error) {
	return engine.State{}, nil
}

// countingClient counts the orders sent through it.
type countingClient struct {
	engine.Client
	orders atomic.Int32
}

func (c *countingClient) Order(ctx context.Context, addr string, o engine.Order) error {
	c.orders.Add(1)
	return c.Client.Order(ctx, addr, o)
}

func TestOrderIsNotAppliedOrNotSent(t *testing.T) {
	store, err := standin.StartWeights(standin.WeightsConfig{LoadsPerMinute: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer store.Kill()
	busy := weights.NewClient(weights.ClientConfig{Addr: store.Addr(), Timeout: 5 * time.Second})
	if _, err := busy.Reserve(t.Context(), "other"); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		checks bool
		sent   int32
		set    func(*testing.T, *fixture)
	}{
		"the engine has a newer order": {true, 1, func(t *testing.T, f *fixture) {
			newer := engine.Order{Kind: engine.ChangeRole, Value: "x", Fence: 9}
			if err := f.client.Order(t.Context(), f.engine.Addr(), newer); err != nil {
				t.Fatal(err)
			}
			f.config.Engine = emptyStateClient{f.client}
		}},
		"old settings": {false, 0, func(t *testing.T, f *fixture) {
			f.put(t, settings.KindTargets, "t", f.targetDocument(false, `{"model": "newer"}`))
		}},
		"another home": {true, 0, func(_ *testing.T, f *fixture) { f.home = "r2" }},
		"a leaving VM": {true, 0, func(_ *testing.T, f *fixture) { f.leaving = map[string]bool{"t": true} }},
		"a pause before sending": {false, 0, func(t *testing.T, f *fixture) {
			f.put(t, settings.KindFleet, "fleet", `{"settings": {"orders": {"loads_per_minute": 60000, "validity_ms": 500}}}`)
			snapshot := f.snapshot(t)
			f.config.Snapshot = func() *settings.Snapshot { return snapshot }
			f.pause, f.pauseAt = 600*time.Millisecond, 5
		}},
		"the weight store's rate": {true, 0, func(_ *testing.T, f *fixture) { f.config.Weights = busy }},
		"no loads": {true, 0, func(t *testing.T, f *fixture) {
			f.put(t, settings.KindFleet, "fleet", `{"settings": {"orders": {"loads_per_minute": 0}}}`)
			snapshot := f.snapshot(t)
			f.config.Snapshot = func() *settings.Snapshot { return snapshot }
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, c.checks, `{"model": "m"}`)
			c.set(t, f)
			sent := &countingClient{Client: f.config.Engine}
			f.config.Engine = sent
			if got := f.runRounds(t, 1); got.Model != "" || sent.orders.Load() != c.sent {
				t.Errorf("got state %+v after %d orders, want no model after %d", got, sent.orders.Load(), c.sent)
			}
		})
	}
}
