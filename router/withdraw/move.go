package withdraw

import (
	"context"
	"errors"
	"time"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/withdrawal"
)

// errNoTarget means that no target can take over a chat.
var errNoTarget = errors.New("withdraw: no target to move the chat to")

// notifiedHomes is the number of homes notified of a move: those that an entry
// router queries for a returning chat.
const notifiedHomes = 2

// startMove starts the next move that the state machine allows, in its own
// goroutine.
func (d *Driver) startMove(ctx context.Context, w *targetWithdrawal, now time.Time) {
	chat, ok := w.machine.StartMove(now)
	if !ok {
		return
	}
	from := w.target
	d.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, moveTimeout)
		defer cancel()
		bytes, err := d.moveChat(ctx, from, chat)
		if err != nil && ctx.Err() == nil {
			event.WithdrawalMoveFault.Log(d.cfg.Log).Str("target", string(from.ID)).Err(err).Send()
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		w.machine.FinishMove(time.Now(), chat.Key, bytes, err == nil)
	})
}

// moveChat moves one chat and returns the number of bytes exported from the
// engine.
func (d *Driver) moveChat(ctx context.Context, from fleet.Target, chat withdrawal.Chat) (int, error) {
	plan := d.returnPlan(from, chat)
	if plan.Len() == 0 {
		return 0, errNoTarget
	}
	to := plan.Step(0).Target
	kv, err := d.cfg.Engine.Export(ctx, from.Addr, chat.Key)
	if err != nil {
		return 0, err
	}
	if err := d.cfg.Engine.Import(ctx, to.Addr, chat.Key, kv); err != nil {
		return len(kv), err
	}
	d.notifyHomes(plan, to.ID, chat)
	return len(kv), nil
}

// returnPlan returns the plan that the chat will follow when it returns.
func (d *Driver) returnPlan(from fleet.Target, chat withdrawal.Chat) placement.Plan {
	group := d.cfg.Groups.Lookup(chat.Key)
	return d.cfg.Picker().Pick(placement.Request{
		Service: from.Service, Chat: chat.Key, Prefix: group.Prefix, Spread: group.Spread,
		Returning: true, Now: time.Now(), Load: func(fleet.TargetID) float64 { return 0 },
	})
}

// notifyHomes sends the chat's new location to this router's own table and to
// the homes that are queried for the chat.
func (d *Driver) notifyHomes(plan placement.Plan, to fleet.TargetID, chat withdrawal.Chat) {
	note := placement.ChatRecord{
		Chat: chat.Key, Target: to, Tokens: chat.Tokens, LastSeen: uint32(time.Now().Unix()), Confirmed: true,
	}
	d.cfg.Notify(d.cfg.Self, note)
	for i := range min(notifiedHomes, plan.Len()) {
		if targetHome := plan.Step(i).Home; targetHome != nil && targetHome.ID != d.cfg.Self.ID {
			d.cfg.Notify(*targetHome, note)
		}
	}
}
