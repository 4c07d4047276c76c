package ordering

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/engineorder"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/settings"
)

// errOldSettings means that the platform has another version of the target's
// document than this router.
var errOldSettings = errors.New("ordering: the settings at hand are not the platform's")

// order brings one engine a step nearer to its desired state.
func (d *Driver) order(ctx context.Context, t fleet.Target) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	plan, err := d.decide(ctx, t, d.now())
	if err == nil && plan.Load && plan.Action == engineorder.Send {
		err = d.grant(ctx, t, plan.Order)
	}
	if err == nil && plan.Action == engineorder.Send && d.granted(t, plan) {
		err = d.confirmAndSend(ctx, t)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		event.EngineOrderFault.Log(d.cfg.Log).Str("target", string(t.ID)).Err(err).Send()
	}
}

// decide reads the engine's state and decides; the settings were read at
// settingsAt.
func (d *Driver) decide(ctx context.Context, t fleet.Target, settingsAt time.Duration) (engineorder.Plan, error) {
	at := d.now()
	observed, err := d.cfg.Engine.State(ctx, t.Addr)
	if err != nil {
		return engineorder.Plan{}, err
	}
	values := d.cfg.Snapshot().Effective(t.Domain, t.Service, "").Orders
	return engineorder.Decide(engineorder.View{
		Desired: t.Engine, Fence: t.Fence, Observed: observed, ChecksFencing: t.ChecksFencing, OwnHome: d.isHome(t),
		StateReadAt: at, SettingsReadAt: settingsAt, Validity: time.Duration(values.ValidityMS) * time.Millisecond,
	}, d.now()), nil
}

// grant takes leave for a load from the rate and from the weight store, unless
// the same order has it already.
func (d *Driver) grant(ctx context.Context, t fleet.Target, o engine.Order) error {
	d.mu.Lock()
	held, ok := d.grants[t.ID]
	d.mu.Unlock()
	if ok && held.order == o {
		return nil
	}
	if d.loads.Limit() == 0 || !d.loads.Allow() {
		return nil
	}
	g := grant{order: o, from: d.now()}
	if d.cfg.Weights != nil {
		ticket, err := d.cfg.Weights.Reserve(ctx, o.Value)
		if err != nil {
			return fmt.Errorf("%s %q: %w", o.Kind, o.Value, err)
		}
		g.from = d.now() + ticket.Wait
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.grants[t.ID] = g
	return nil
}

// granted reports whether the plan's order may go now as far as loads go.
func (d *Driver) granted(t fleet.Target, p engineorder.Plan) bool {
	if !p.Load {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	g, ok := d.grants[t.ID]
	return ok && g.order == p.Order && d.now() >= g.from
}

// confirmAndSend decides anew on fresh reads, since grants may have taken long,
// and sends the order.
func (d *Driver) confirmAndSend(ctx context.Context, t fleet.Target) error {
	settingsAt := d.now()
	if !t.ChecksFencing {
		object, err := d.cfg.Store.Get(ctx, settings.KindTargets, string(t.ID))
		if err != nil {
			return err
		}
		if object.Version != t.Fence {
			return errOldSettings
		}
	}
	plan, err := d.decide(ctx, t, settingsAt)
	if err != nil || plan.Action != engineorder.Send || !d.granted(t, plan) {
		return err
	}
	return d.send(ctx, t, plan)
}

func (d *Driver) send(ctx context.Context, t fleet.Target, p engineorder.Plan) error {
	sending, cancel := d.bound(ctx, p)
	defer cancel()
	ownHome := d.isHome(t)
	if !p.MaySend(d.now(), ownHome) {
		event.EngineOrderLapsed.Log(d.cfg.Log).Str("target", string(t.ID)).Send()
		return nil
	}
	err := d.cfg.Engine.Order(sending, t.Addr, p.Order)
	if errors.Is(err, engine.ErrOldFence) {
		event.EngineOrderSuperseded.Log(d.cfg.Log).Str("target", string(t.ID)).Uint64("fence", p.Order.Fence).Send()
		return nil
	}
	if err != nil {
		return err
	}
	event.EngineOrderSent.Log(d.cfg.Log).Str("target", string(t.ID)).Str("kind", string(p.Order.Kind)).
		Str("value", p.Order.Value).Uint64("fence", p.Order.Fence).Send()
	return d.readBack(ctx, t, p.Order)
}

// bound gives a bounded order's call its validity as deadline, so that nothing
// of it leaves later.
func (d *Driver) bound(ctx context.Context, p engineorder.Plan) (context.Context, context.CancelFunc) {
	if !p.Bounded {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, d.start.Add(p.Until))
}

func (d *Driver) readBack(ctx context.Context, t fleet.Target, sent engine.Order) error {
	plan, err := d.decide(ctx, t, d.now())
	if err != nil {
		return err
	}
	if plan.Action == engineorder.Send && plan.Order == sent {
		event.EngineOrderUnheeded.Log(d.cfg.Log).Str("target", string(t.ID)).Str("kind", string(sent.Kind)).Send()
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.grants, t.ID)
	return nil
}
