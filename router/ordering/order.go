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

// errStaleSettings means that the store has another version of the target's
// document than the settings this router uses.
var errStaleSettings = errors.New("ordering: the store has another version of the target's document than the local settings")

// reconcile sends one engine the next order that brings it closer to its
// desired state.
func (d *Driver) reconcile(ctx context.Context, t fleet.Target) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	plan, err := d.decide(ctx, t, d.now())
	if err == nil && plan.RequiresLoad && plan.Action == engineorder.Send {
		err = d.requestGrant(ctx, t, plan.Order)
	}
	if err == nil && plan.Action == engineorder.Send && d.hasGrant(t, plan) {
		err = d.confirmAndSend(ctx, t)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		event.EngineOrderFault.Log(d.cfg.Log).Str("target", string(t.ID)).Err(err).Send()
	}
}

// decide reads the engine's state and returns the resulting plan. settingsAt is
// when the read of the settings began.
func (d *Driver) decide(ctx context.Context, t fleet.Target, settingsAt time.Duration) (engineorder.Plan, error) {
	stateReadAt := d.now()
	observed, err := d.cfg.Engine.State(ctx, t.Addr)
	if err != nil {
		return engineorder.Plan{}, err
	}
	values := d.cfg.Snapshot().Effective(t.Domain, t.Service, "").Orders
	return engineorder.Decide(engineorder.Input{
		Desired: t.Engine, FencingNumber: t.Fence, Observed: observed, ChecksFencing: t.ChecksFencing, IsHome: d.isHome(t),
		StateReadAt: stateReadAt, SettingsReadAt: settingsAt, Validity: time.Duration(values.ValidityMS) * time.Millisecond,
	}, d.now()), nil
}

// requestGrant obtains permission for a load from the rate limit and from the
// weight store, unless the same order already has a grant.
func (d *Driver) requestGrant(ctx context.Context, t fleet.Target, o engine.Order) error {
	d.mu.Lock()
	existing, ok := d.grants[t.ID]
	d.mu.Unlock()
	if ok && existing.order == o {
		return nil
	}
	if d.loadLimiter.Limit() == 0 || !d.loadLimiter.Allow() {
		return nil
	}
	g := grant{order: o, validFrom: d.now()}
	if d.cfg.Weights != nil {
		ticket, err := d.cfg.Weights.Reserve(ctx, o.Value)
		if err != nil {
			return fmt.Errorf("ordering: reserve load for %s %q: %w", o.Kind, o.Value, err)
		}
		g.validFrom = d.now() + ticket.Delay
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.grants[t.ID] = g
	return nil
}

// hasGrant reports whether the plan's order may be sent now. Only orders that
// load from the weight store need a grant.
func (d *Driver) hasGrant(t fleet.Target, p engineorder.Plan) bool {
	if !p.RequiresLoad {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	g, ok := d.grants[t.ID]
	return ok && g.order == p.Order && d.now() >= g.validFrom
}

// confirmAndSend decides again on fresh reads, since obtaining grants may have
// taken long, and sends the order.
func (d *Driver) confirmAndSend(ctx context.Context, t fleet.Target) error {
	settingsAt := d.now()
	if !t.ChecksFencing {
		object, err := d.cfg.Store.Get(ctx, settings.KindTargets, string(t.ID))
		if err != nil {
			return err
		}
		if object.Version != t.Fence {
			return errStaleSettings
		}
	}
	plan, err := d.decide(ctx, t, settingsAt)
	if err != nil || plan.Action != engineorder.Send || !d.hasGrant(t, plan) {
		return err
	}
	return d.send(ctx, t, plan)
}

func (d *Driver) send(ctx context.Context, t fleet.Target, p engineorder.Plan) error {
	sendCtx, cancel := d.withValidity(ctx, p)
	defer cancel()
	ownHome := d.isHome(t)
	if !p.MaySend(d.now(), ownHome) {
		event.EngineOrderExpired.Log(d.cfg.Log).Str("target", string(t.ID)).Send()
		return nil
	}
	err := d.cfg.Engine.Order(sendCtx, t.Addr, p.Order)
	if errors.Is(err, engine.ErrStaleFence) {
		event.EngineOrderSuperseded.Log(d.cfg.Log).Str("target", string(t.ID)).Uint64("fence", p.Order.Fence).Send()
		return nil
	}
	if err != nil {
		return err
	}
	event.EngineOrderSent.Log(d.cfg.Log).Str("target", string(t.ID)).Str("kind", string(p.Order.Kind)).
		Str("value", p.Order.Value).Uint64("fence", p.Order.Fence).Send()
	return d.verifyApplied(ctx, t, p.Order)
}

// withValidity limits the call of a bounded order to the order's validity, so
// that no part of it is sent later.
func (d *Driver) withValidity(ctx context.Context, p engineorder.Plan) (context.Context, context.CancelFunc) {
	if !p.HasDeadline {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, d.start.Add(p.Deadline))
}

func (d *Driver) verifyApplied(ctx context.Context, t fleet.Target, sent engine.Order) error {
	plan, err := d.decide(ctx, t, d.now())
	if err != nil {
		return err
	}
	if plan.Action == engineorder.Send && plan.Order == sent {
		event.EngineOrderNotApplied.Log(d.cfg.Log).Str("target", string(t.ID)).Str("kind", string(sent.Kind)).Send()
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.grants, t.ID)
	return nil
}
