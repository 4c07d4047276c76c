package router

import (
	"context"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/router/home"
	"ragwortpond.example/ragwortpond/router/wire"
)

// forwarder carries attempts to their homes: by a direct call where this
// router is the home, else over a peer stream.
type forwarder struct {
	self fleet.RouterID
	node *peer.Node
	home *home.Home
}

// Forward implements entry.Forwarder.
func (f *forwarder) Forward(ctx context.Context, to fleet.Router, fwd *wire.Forward, sink wire.Sink) wire.End {
	if to.ID == f.self {
		return f.home.Serve(ctx, fwd, sink)
	}
	payload, err := peer.Encode(fwd)
	if err != nil {
		return wire.Refused(reason.Internal, wire.Hint{})
	}
	stream, err := f.node.Open(ctx, to.PeerAddr, peer.MethodForward)
	if err != nil {
		return wire.Refused(reason.HomeUnreachable, wire.Hint{})
	}
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	if err := stream.Send(wire.FrameForward, payload); err != nil {
		stream.Cancel()
		return wire.End{Outcome: outcome.Dispatched, Reason: reason.HomeUnreachable}
	}
	stream.Close()
	return wire.Relay(ctx, stream, sink)
}
