package router

import (
	"context"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/router/home"
	"ragwortpond.example/ragwortpond/router/wire"
)

// newGate returns the gate of the policy: baselines hold no load bound.
func (r *Router) newGate() home.Gate {
	if !r.deps.Policy.Bounded() {
		return home.NewCountGate()
	}
	return home.NewLoadGate(home.GateConfig{
		Self: r.cfg.Self, Snapshot: r.source.Snapshot, Targets: r.targets,
		Means: r.means, Chats: r.chats, Clock: time.Now,
	})
}

// startHome starts what the home role runs besides its attempts.
func (r *Router) startHome(ctx context.Context, failures chan<- error) {
	if gate, ok := r.gate.(*home.LoadGate); ok {
		r.start(failures, "gate", func() error { return gate.Run(ctx) })
		poller := home.NewPoller(home.PollConfig{
			Self: r.cfg.Self.ID, Targets: r.targets, Engine: r.deps.Engine, Reports: gate, Chats: r.chats,
			Clock: time.Now, Log: r.log, EventPeriod: r.cacheEventPeriod,
		})
		r.start(failures, "poller", func() error { return poller.Run(ctx) })
	}
}

func (r *Router) cacheEventPeriod(service fleet.ServiceName) time.Duration {
	values := r.source.Snapshot().Effective(r.cfg.Self.Domain, service, "")
	return values.Placement.CacheEventsMS.Duration()
}

// registerChats takes notes of chats from other routers.
func (r *Router) registerChats(mux *peer.Mux) {
	mux.HandleDatagram(peer.MethodChatTable, func(_ fleet.RouterID, payload []byte) {
		var m wire.ChatNotes
		if peer.Decode(payload, &m) == nil {
			r.chats.Import(m.Notes)
		}
	})
	mux.HandleCall(peer.MethodChatTable, func(_ context.Context, _ fleet.RouterID, payload []byte) (any, error) {
		var m wire.ChatNotes
		if err := peer.Decode(payload, &m); err != nil {
			return nil, err
		}
		r.chats.Import(m.Notes)
		return struct{}{}, nil
	})
}

// Notify implements entry.Notifier.
func (r *Router) Notify(to fleet.Router, note placement.ChatNote) {
	notes := []placement.ChatNote{note}
	if to.ID == r.cfg.Self.ID {
		r.chats.Import(notes)
		return
	}
	// A lost note costs the chat one read of its context at most.
	_ = r.node.Send(to.PeerAddr, peer.MethodChatTable, wire.ChatNotes{Notes: notes})
}
