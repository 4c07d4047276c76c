package router

import (
	"context"
	"errors"
	"time"

	"ragwortpond.example/ragwortpond/attemptloop"
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

// acceptTimeout is how long a home may take to accept an attempt before the entry
// router looks for another way.
const acceptTimeout = time.Second

// forwarder sends attempts to their homes: by a direct call if this router is
// the home, otherwise over a peer stream.
type forwarder struct {
	self    fleet.RouterID
	node    *peer.Endpoint
	home    *home.Home
	targets *targets.Tracker
	streams *openStreams
	log     zerolog.Logger
}

// Forward implements entry.Forwarder.
func (f *forwarder) Forward(ctx context.Context, to fleet.Router, fwd *wire.Forward, sink wire.Sink, mayGiveUp func() bool) wire.End {
	end := f.forward(ctx, to, fwd, sink, mayGiveUp)
	if end.Reason == reason.Draining {
		f.targets.MarkRouterDown(to.ID)
	}
	return end
}

func (f *forwarder) forward(ctx context.Context, to fleet.Router, fwd *wire.Forward, sink wire.Sink, mayGiveUp func() bool) wire.End {
	if to.ID == f.self {
		return f.home.Serve(ctx, fwd, sink)
	}
	payload, err := peer.Encode(fwd)
	if err != nil {
		return wire.Refused(reason.Internal, wire.Hint{})
	}
	stream, err := f.node.Open(ctx, to.PeerAddr, peer.MethodForward)
	if err != nil {
		f.markUnresponsive(to.ID)
		return wire.Refused(reason.HomeUnreachable, wire.Hint{})
	}
	defer f.streams.add(to.ID, stream)()
	defer stream.Cancel()
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	if err := stream.Send(wire.FrameForward, payload); err != nil {
		f.logStreamLost(to.ID, fwd, err)
		return wire.End{Outcome: outcome.Dispatched, Reason: reason.HomeUnreachable}
	}
	// Closing fails if the home has already refused the attempt and stopped
	// reading. What the home sends back shows whether the stream is really
	// broken.
	_ = stream.Close()
	stopTimer := f.startAcceptTimer(to.ID, fwd, stream, mayGiveUp)
	defer stopTimer()
	end, err := wire.Relay(ctx, stream, sink, stopTimer)
	if err != nil {
		f.logStreamLost(to.ID, fwd, err)
	}
	if errors.Is(err, peer.ErrBroken) && ctx.Err() == nil || errors.Is(err, peer.ErrBusy) {
		f.markUnresponsive(to.ID)
	}
	return end
}

func (f *forwarder) logStreamLost(to fleet.RouterID, fwd *wire.Forward, err error) {
	event.StreamLost.Log(f.log).Str("home", string(to)).Str("request", string(fwd.Request)).
		Str("attempt", string(fwd.Attempt)).Err(err).Send()
}

// startAcceptTimer marks a home that does not accept the attempt within
// acceptTimeout as unresponsive, and cancels the stream once mayGiveUp allows
// it. The returned function stops the timer. There is no timer for a plain call:
// the home may still run it, and its outcome would be unknown.
func (f *forwarder) startAcceptTimer(to fleet.RouterID, fwd *wire.Forward, stream *peer.Stream, mayGiveUp func() bool) func() {
	if fwd.Kind != fleet.KindEngine {
		return func() {}
	}
	marked := false
	timer := attemptloop.StartGiveUpTimer(acceptTimeout, func() bool {
		if !marked {
			marked = true
			f.markUnresponsive(to)
		}
		allowed := mayGiveUp()
		if allowed {
			stream.Cancel()
		}
		return allowed
	})
	return func() { timer.Stop() }
}

func (f *forwarder) markUnresponsive(id fleet.RouterID) {
	event.HomeUnresponsive.Log(f.log).Str("home", string(id)).Send()
	f.targets.MarkRouterDown(id)
}

// cancelStreamsToRemoved cancels the streams to routers that were removed from
// the membership, since their connections would stay silent until the idle
// timeout.
func (r *Router) cancelStreamsToRemoved(ctx context.Context, streams *openStreams) {
	changed := r.members.Subscribe()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			streams.cancelTo(removedRouters(r.members.View()))
		}
	}
}

func removedRouters(v *membership.View) map[fleet.RouterID]bool {
	removed := map[fleet.RouterID]bool{}
	for _, m := range v.Members {
		if m.State == membership.Removed {
			removed[m.Router.ID] = true
		}
	}
	return removed
}
