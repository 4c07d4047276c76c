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

// errNowhere means that no target can take a chat.
var errNowhere = errors.New("withdraw: no target to move to")

// asked is how many homes are told of a move: those that a returning chat's
// entry asks.
const asked = 2

// move starts the next move that the machine allows, off the loop.
func (d *Driver) move(ctx context.Context, l *leaving, now time.Time) {
	chat, ok := l.machine.Next(now)
	if !ok {
		return
	}
	from := l.target
	d.moves.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, moveTimeout)
		defer cancel()
		bytes, err := d.carry(ctx, from, chat)
		if err != nil && ctx.Err() == nil {
			event.WithdrawalMoveFault.Log(d.cfg.Log).Str("target", string(from.ID)).Err(err).Send()
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		l.machine.Moved(time.Now(), chat.Key, bytes, err == nil)
	})
}

// carry moves one chat and returns the bytes that left the engine.
func (d *Driver) carry(ctx context.Context, from fleet.Target, chat withdrawal.Chat) (int, error) {
	plan := d.plan(from, chat)
	if plan.Len() == 0 {
		return 0, errNowhere
	}
	to := plan.Step(0).Target
	kv, err := d.cfg.Engine.Export(ctx, from.Addr, chat.Key)
	if err != nil {
		return 0, err
	}
	if err := d.cfg.Engine.Import(ctx, to.Addr, chat.Key, kv); err != nil {
		return len(kv), err
	}
	d.announce(plan, to.ID, chat)
	return len(kv), nil
}

// plan is the one that the chat's return will follow.
func (d *Driver) plan(from fleet.Target, chat withdrawal.Chat) placement.Plan {
	group := d.cfg.Groups.Lookup(chat.Key)
	return d.cfg.Picker().Pick(placement.Request{
		Service: from.Service, Chat: chat.Key, Prefix: group.Prefix, Spread: group.Spread,
		Returning: true, Now: time.Now(), Load: func(fleet.TargetID) float64 { return 0 },
	})
}

// announce tells the homes that are asked for the chat, and this router's own
// table, where it is now.
func (d *Driver) announce(plan placement.Plan, to fleet.TargetID, chat withdrawal.Chat) {
	note := placement.ChatNote{
		Chat: chat.Key, Target: to, Held: chat.Held, Seen: uint32(time.Now().Unix()), Sure: true,
	}
	d.cfg.Notify(d.cfg.Self, note)
	for i := range min(asked, plan.Len()) {
		if at := plan.Step(i).Home; at != nil && at.ID != d.cfg.Self.ID {
			d.cfg.Notify(*at, note)
		}
	}
}
