package router

import (
	"context"
	"errors"
	"time"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/membership"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/router/home"
	"ragwortpond.example/ragwortpond/router/targets"
	"ragwortpond.example/ragwortpond/router/wire"

	"github.com/rs/zerolog"
)

// acceptTimeout is how long a home may take to say that it has an attempt.
const acceptTimeout = time.Second

// forwarder carries attempts to their homes: by a direct call where this
// router is the home, else over a peer stream.
type forwarder struct {
	self    fleet.RouterID
	node    *peer.Node
	home    *home.Home
	targets *targets.Tracker
	open    *openStreams
	log     zerolog.Logger
}

// Forward implements entry.Forwarder.
func (f *forwarder) Forward(ctx context.Context, to fleet.Router, fwd *wire.Forward, sink wire.Sink) wire.End {
	end := f.forward(ctx, to, fwd, sink)
	if end.Reason == reason.Draining {
		f.targets.MarkRouterDown(to.ID)
	}
	return end
}

func (f *forwarder) forward(ctx context.Context, to fleet.Router, fwd *wire.Forward, sink wire.Sink) wire.End {
	if to.ID == f.self {
		return f.home.Serve(ctx, fwd, sink)
	}
	payload, err := peer.Encode(fwd)
	if err != nil {
		return wire.Refused(reason.Internal, wire.Hint{})
	}
	stream, err := f.node.Open(ctx, to.PeerAddr, peer.MethodForward)
	if err != nil {
		f.silent(to.ID)
		return wire.Refused(reason.HomeUnreachable, wire.Hint{})
	}
	defer f.open.add(to.ID, stream)()
	defer stream.Cancel()
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	if err := stream.Send(wire.FrameForward, payload); err != nil {
		f.lost(to.ID, fwd, err)
		return wire.End{Outcome: outcome.Dispatched, Reason: reason.HomeUnreachable}
	}
	// A home that refused already has stopped reading, and closing fails then;
	// whether the stream really broke shows in what it sends back.
	_ = stream.Close()
	accepted := f.expectAccept(to.ID, fwd, stream)
	defer accepted()
	end, err := wire.Relay(ctx, stream, sink, accepted)
	if err != nil {
		f.lost(to.ID, fwd, err)
	}
	if errors.Is(err, peer.ErrBroken) && ctx.Err() == nil || errors.Is(err, peer.ErrBusy) {
		f.silent(to.ID)
	}
	return end
}

func (f *forwarder) lost(to fleet.RouterID, fwd *wire.Forward, err error) {
	event.StreamLost.Log(f.log).Str("home", string(to)).Str("request", string(fwd.Request)).
		Str("attempt", string(fwd.Attempt)).Err(err).Send()
}

// expectAccept gives up on a home that does not say in time that it has the
// attempt; the function that it returns ends the wait. A plain call is not given up on: the home may still run it, and its
// outcome would be unknown.
func (f *forwarder) expectAccept(to fleet.RouterID, fwd *wire.Forward, stream *peer.Stream) func() {
	if fwd.Kind != fleet.KindEngine {
		return func() {}
	}
	timer := time.AfterFunc(acceptTimeout, func() {
		f.silent(to)
		stream.Cancel()
	})
	return func() { timer.Stop() }
}

func (f *forwarder) silent(id fleet.RouterID) {
	event.HomeSilent.Log(f.log).Str("home", string(id)).Send()
	f.targets.MarkRouterDown(id)
}

// followMembers cuts the streams to routers that were removed, since their
// connections would stay silent until the idle timeout.
func (r *Router) followMembers(ctx context.Context, open *openStreams) {
	changed := r.members.Subscribe()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			open.cut(goneRouters(r.members.View()))
		}
	}
}

func goneRouters(v *membership.View) map[fleet.RouterID]bool {
	gone := map[fleet.RouterID]bool{}
	for _, m := range v.All {
		if m.State == membership.Gone {
			gone[m.Router.ID] = true
		}
	}
	return gone
}
