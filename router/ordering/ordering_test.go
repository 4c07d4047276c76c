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

// bed is one driver before one stand-in engine.
type bed struct {
	engine  *standin.Engine
	objects *standin.Objects
	client  engine.Client
	config  ordering.Config
	home    fleet.RouterID
	leaving map[string]bool
	// pause is how long the view takes from its call number pauseAt on.
	pause   time.Duration
	pauseAt int32
	views   atomic.Int32
}

func newBed(t *testing.T, checks bool, desired string) *bed {
	t.Helper()
	e, err := standin.StartEngine(standin.EngineConfig{ChecksFencing: checks, TokensPerSecond: 2000})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Kill)
	b := &bed{
		engine: e, objects: standin.NewObjects(standin.ObjectsConfig{}),
		client: engine.NewClient(engine.ClientConfig{}), home: "r1",
	}
	b.put(t, settings.KindFleet, "fleet", `{"settings": {"orders": {"loads_per_minute": 60000, "validity_ms": 60000}}}`)
	b.put(t, settings.KindDomains, "d", `{"region": "r"}`)
	b.put(t, settings.KindServices, "s", `{"kind": "engine"}`)
	b.put(t, settings.KindTargets, "t", b.target(checks, desired))
	snapshot := b.snapshot(t)
	b.config = ordering.Config{
		Self: "r1", Snapshot: func() *settings.Snapshot { return snapshot }, View: b.view,
		Store: b.objects, Engine: b.client, Log: zerolog.Nop(),
	}
	return b
}

func (b *bed) target(checks bool, desired string) string {
	return fmt.Sprintf(`{"service": "s", "failure_domain": "d", "addr": %q, "checks_fencing": %t, "engine": %s}`,
		b.engine.Addr(), checks, desired)
}

func (b *bed) put(t *testing.T, kind, name, data string) {
	t.Helper()
	old, _ := b.objects.Get(t.Context(), kind, name)
	if _, err := b.objects.Put(t.Context(), kind, name, []byte(data), old.Version); err != nil {
		t.Fatal(err)
	}
}

func (b *bed) snapshot(t *testing.T) *settings.Snapshot {
	t.Helper()
	var all []objectapi.Object
	for _, kind := range []string{settings.KindFleet, settings.KindDomains, settings.KindServices, settings.KindTargets} {
		objects, _, err := b.objects.List(t.Context(), kind)
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

func (b *bed) view() *membership.View {
	if b.views.Add(1) >= b.pauseAt {
		time.Sleep(b.pause)
	}
	return &membership.View{Routers: []fleet.Router{{ID: b.home, Domain: "d", Region: "r"}}, LeavingVMs: b.leaving}
}

// rounds runs some rounds and returns what the engine serves then.
func (b *bed) rounds(t *testing.T, n int) engine.State {
	t.Helper()
	d := ordering.New(b.config)
	for range n {
		d.Round(t.Context())
		time.Sleep(5 * time.Millisecond)
	}
	s, err := b.client.State(t.Context(), b.engine.Addr())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestEngineComesToItsDesiredState(t *testing.T) {
	for _, checks := range []bool{true, false} {
		b := newBed(t, checks, `{"model": "m", "version": "v", "adapter": "a", "role": "decode"}`)
		store, err := standin.StartWeights(standin.WeightsConfig{})
		if err != nil {
			t.Fatal(err)
		}
		b.config.Weights = weights.NewClient(weights.ClientConfig{Addr: store.Addr(), Timeout: 5 * time.Second})
		got := b.rounds(t, 12)
		want := engine.State{Model: "m", Version: "v", Adapter: "a", Role: "decode", Fence: 4}
		if got != want || store.Granted() != 3 {
			t.Errorf("checks %v: serves %+v after %d grants", checks, got, store.Granted())
		}
		store.Kill()
	}
}

// blind hides what an engine serves.
type blind struct{ engine.Client }

func (blind) State(context.Context, string) (engine.State, error) { return engine.State{}, nil }

// counting counts the orders that a driver sends.
type counting struct {
	engine.Client
	orders atomic.Int32
}

func (c *counting) Order(ctx context.Context, addr string, o engine.Order) error {
	c.orders.Add(1)
	return c.Client.Order(ctx, addr, o)
}

func TestOrderIsNotTakenOrSent(t *testing.T) {
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
		set    func(*testing.T, *bed)
	}{
		"the engine has a newer order": {true, 1, func(t *testing.T, b *bed) {
			newer := engine.Order{Kind: engine.ChangeRole, Value: "x", Fence: 9}
			if err := b.client.Order(t.Context(), b.engine.Addr(), newer); err != nil {
				t.Fatal(err)
			}
			b.config.Engine = blind{b.client}
		}},
		"old settings": {false, 0, func(t *testing.T, b *bed) {
			b.put(t, settings.KindTargets, "t", b.target(false, `{"model": "newer"}`))
		}},
		"another home": {true, 0, func(_ *testing.T, b *bed) { b.home = "r2" }},
		"a leaving VM": {true, 0, func(_ *testing.T, b *bed) { b.leaving = map[string]bool{"t": true} }},
		"a pause before sending": {false, 0, func(t *testing.T, b *bed) {
			b.put(t, settings.KindFleet, "fleet", `{"settings": {"orders": {"loads_per_minute": 60000, "validity_ms": 500}}}`)
			snapshot := b.snapshot(t)
			b.config.Snapshot = func() *settings.Snapshot { return snapshot }
			b.pause, b.pauseAt = 600*time.Millisecond, 5
		}},
		"the weight store's rate": {true, 0, func(_ *testing.T, b *bed) { b.config.Weights = busy }},
		"no loads": {true, 0, func(t *testing.T, b *bed) {
			b.put(t, settings.KindFleet, "fleet", `{"settings": {"orders": {"loads_per_minute": 0}}}`)
			snapshot := b.snapshot(t)
			b.config.Snapshot = func() *settings.Snapshot { return snapshot }
		}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, c.checks, `{"model": "m"}`)
			c.set(t, b)
			sent := &counting{Client: b.config.Engine}
			b.config.Engine = sent
			if got := b.rounds(t, 1); got.Model != "" || sent.orders.Load() != c.sent {
				t.Errorf("the engine serves %+v after %d orders", got, sent.orders.Load())
			}
		})
	}
}
