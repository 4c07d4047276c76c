package router

import (
	"context"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/router/wire"
)

const (
	// maxNotesPerCall is the maximum number of notes in one call.
	maxNotesPerCall = 2_000
	handOverTimeout = 3 * time.Second
)

// handOver sends the chats in this router's table that were seen since the
// given time to the routers that will be queried for them once it has left: the
// home of the target that holds the chat, and the home of the chat's first
// candidate. Each chat whose note cannot be sent costs one more read of its
// context.
func (r *Router) handOver(ctx context.Context, since time.Time) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for id, notes := range r.notesByHome(since) {
		wait.Go(func() { r.sendNotes(ctx, id, notes) })
	}
	wait.Wait()
}

// notesByHome groups the notes to hand over by the peer address of their
// destination.
func (r *Router) notesByHome(since time.Time) map[string][]placement.ChatRecord {
	services := r.servicesByTarget()
	picker := r.targets.Picker()
	byHome := map[string][]placement.ChatRecord{}
	for _, n := range r.chats.Export(func(fleet.TargetID) bool { return true }) {
		service, ok := services[n.Target]
		if !ok || int64(n.LastSeen) < since.Unix() {
			continue
		}
		first := r.firstHome(picker, service, n.Chat)
		_, targetHome, _ := picker.Target(service, n.Target)
		for _, dest := range distinctRouters(first, targetHome) {
			if dest.ID != r.cfg.Self.ID {
				byHome[dest.PeerAddr] = append(byHome[dest.PeerAddr], n)
			}
		}
	}
	return byHome
}

func (r *Router) servicesByTarget() map[fleet.TargetID]fleet.ServiceName {
	services := map[fleet.TargetID]fleet.ServiceName{}
	for service, all := range r.settingsService.Snapshot().Targets {
		for _, t := range all {
			services[t.ID] = service
		}
	}
	return services
}

// firstHome returns the home that is queried first when the chat returns, or
// nil if the service has no target.
func (r *Router) firstHome(picker *placement.Picker, service fleet.ServiceName, chat fleet.ChatKey) *fleet.Router {
	group := r.groups.Lookup(chat)
	plan := picker.Pick(placement.Request{
		Service: service, Chat: chat, Prefix: group.Prefix, Spread: group.Spread, Returning: true,
		Now: time.Now(), Load: func(fleet.TargetID) float64 { return 0 },
	})
	if plan.Len() == 0 {
		return nil
	}
	return plan.Step(0).Home
}

func distinctRouters(a, b *fleet.Router) []*fleet.Router {
	switch {
	case a == nil && b == nil:
		return nil
	case a == nil:
		return []*fleet.Router{b}
	case b == nil || a.ID == b.ID:
		return []*fleet.Router{a}
	default:
		return []*fleet.Router{a, b}
	}
}

func (r *Router) sendNotes(ctx context.Context, addr string, notes []placement.ChatRecord) {
	for len(notes) > 0 {
		n := min(len(notes), maxNotesPerCall)
		var answer struct{}
		err := r.node.Call(ctx, addr, peer.MethodChatTable, wire.ChatNotes{Notes: notes[:n]}, &answer)
		if err != nil {
			event.RouterHandoverFailed.Log(r.log).Str("peer", addr).Int("chats", len(notes)).Err(err).Send()
			return
		}
		notes = notes[n:]
	}
}
