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

// newGate returns the gate for the placement policy. Baseline policies have no
// load bound.
func (r *Router) newGate() home.Gate {
	if !r.deps.Policy.Bounded() {
		return home.NewCountGate()
	}
	return home.NewLoadGate(home.GateConfig{
		Self: r.cfg.Self, Snapshot: r.settingsService.Snapshot, Targets: r.targets,
		PeerLoads: r.loadMeans, Chats: r.chats, Clock: time.Now,
	})
}

// startHome starts the background tasks of the home role.
func (r *Router) startHome(ctx context.Context, failures chan<- error) {
	if gate, ok := r.gate.(*home.LoadGate); ok {
		r.startComponent(failures, "gate", func() error { return gate.Run(ctx) })
		poller := home.NewPoller(home.PollConfig{
			Self: r.cfg.Self.ID, Targets: r.targets, Engine: r.deps.Engine, Loads: gate, Chats: r.chats,
			Clock: time.Now, Log: r.log, EventPeriod: r.cacheEventPeriod,
		})
		r.startComponent(failures, "poller", func() error { return poller.Run(ctx) })
	}
}

func (r *Router) cacheEventPeriod(service fleet.ServiceName) time.Duration {
	values := r.settingsService.Snapshot().Effective(r.cfg.Self.Domain, service, "")
	return values.Placement.CacheEventsMS.Duration()
}

// registerChatNotes registers the handlers for chat notes from other routers.
func (r *Router) registerChatNotes(mux *peer.Mux) {
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
func (r *Router) Notify(to fleet.Router, note placement.ChatRecord) {
	notes := []placement.ChatRecord{note}
	if to.ID == r.cfg.Self.ID {
		r.chats.Import(notes)
		return
	}
	// If the note is lost, the chat's context is read at most once more.
	_ = r.node.Send(to.PeerAddr, peer.MethodChatTable, wire.ChatNotes{Notes: notes})
}
