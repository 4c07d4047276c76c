package home

import (
	"context"
	"errors"
	"time"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/plain"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/router/wire"
)

func (h *Home) dispatchChat(ctx context.Context, t fleet.Target, fwd *wire.Forward, sink wire.Sink) wire.End {
	answer, err := h.openAnswer(ctx, t, fwd)
	if err != nil {
		return chatEnd(ctx, err)
	}
	stop := context.AfterFunc(ctx, func() { answer.Close() })
	defer stop()
	defer answer.Close()
	head := wire.Head{Status: answer.Status(), CachedTokens: answer.CachedTokens()}
	if err := sink.Head(head); err != nil {
		return wire.End{Outcome: outcome.Dispatched, Reason: reason.StreamBroken}
	}
	return relayAnswer(ctx, answer, sink)
}

// cancelTimeout limits the call that cancels an attempt at its engine.
const cancelTimeout = 2 * time.Second

// unwanted reports whether an attempt has to be cancelled at its engine because the
// entry router no longer wants it. If the connection to the entry router was lost,
// the attempt continues for a while, so that its stream can be resumed through
// another router.
func unwanted(ctx context.Context, end wire.End) bool {
	return end.Outcome == outcome.Dispatched && ctx.Err() != nil && !peer.ConnectionLost(ctx)
}

// cancelInBackground cancels an attempt at its engine, then calls done. It does not
// block, because the engine may be silent while a caller waits for the end of the
// attempt. Until done is called the attempt counts as in flight.
func (h *Home) cancelInBackground(ctx context.Context, t fleet.Target, fwd *wire.Forward, done func()) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	attempt := fwd.Attempt
	h.inFlight.Add(1)
	go func() {
		defer h.inFlight.Add(-1)
		defer done()
		defer cancel()
		_ = h.cfg.Engine.Cancel(ctx, t.Addr, attempt)
	}()
}

func (h *Home) openAnswer(ctx context.Context, t fleet.Target, fwd *wire.Forward) (engine.Response, error) {
	if fwd.Resume {
		return h.cfg.Engine.Resume(ctx, t.Addr, fwd.Attempt, fwd.ResumeFrom)
	}
	return h.cfg.Engine.Chat(ctx, t.Addr, engine.Request{
		Attempt: fwd.Attempt, Chat: fwd.Chat, Priority: fwd.Priority, Body: fwd.Body, Stream: fwd.Stream,
	})
}

// buffered is implemented by answers that report whether another event is
// available without waiting, so that several events can be sent in one write.
type buffered interface {
	Buffered() bool
}

func relayAnswer(ctx context.Context, answer engine.Response, sink wire.Sink) wire.End {
	b, _ := answer.(buffered)
	for {
		ev, err := answer.Next()
		if err != nil {
			return chatEnd(ctx, err)
		}
		if ev.Done {
			return wire.End{Outcome: outcome.Answered}
		}
		if err := sink.Event(ev.Seq, ev.Data); err != nil {
			return wire.End{Outcome: outcome.Dispatched, Reason: reason.StreamBroken}
		}
		if b != nil && b.Buffered() {
			continue
		}
		if err := sink.Flush(); err != nil {
			return wire.End{Outcome: outcome.Dispatched, Reason: reason.StreamBroken}
		}
	}
}

func chatEnd(ctx context.Context, err error) wire.End {
	switch {
	case errors.Is(err, engine.ErrNotSent):
		return wire.Refused(notSentReason(ctx), wire.Hint{})
	case errors.Is(err, engine.ErrLeaving):
		return wire.Refused(reason.TargetLeaving, wire.Hint{})
	case errors.Is(err, engine.ErrRefused), errors.Is(err, engine.ErrNoStream):
		return wire.Refused(reason.TargetRefused, wire.Hint{})
	case ctx.Err() != nil:
		return wire.End{Outcome: outcome.Dispatched, Reason: reason.Deadline}
	case errors.Is(err, engine.ErrMismatch):
		return wire.End{Outcome: outcome.Dispatched, Reason: reason.AnswerMismatch}
	case errors.Is(err, engine.ErrTruncated):
		return wire.End{Outcome: outcome.Dispatched, Reason: reason.AnswerTruncated}
	default:
		return wire.End{Outcome: outcome.Dispatched, Reason: reason.StreamBroken}
	}
}

func (h *Home) dispatchPlain(ctx context.Context, t fleet.Target, fwd *wire.Forward, sink wire.Sink) wire.End {
	answer, err := h.cfg.Plain.Do(ctx, t.Addr, plain.Call{
		Attempt: fwd.Attempt, Method: fwd.Method, Path: fwd.Path, Header: fwd.Header,
		Body: fwd.Body, IdempotencyKey: fwd.IdempotencyKey,
	})
	if err != nil {
		return plainEnd(ctx, err)
	}
	if err := sink.Head(wire.Head{Status: answer.Status, Header: answer.Header, CachedTokens: -1}); err != nil {
		return wire.End{Outcome: outcome.Answered, Reason: reason.StreamBroken}
	}
	if err := sink.Event(0, answer.Body); err != nil {
		return wire.End{Outcome: outcome.Answered, Reason: reason.StreamBroken}
	}
	return wire.End{Outcome: outcome.Answered}
}

func plainEnd(ctx context.Context, err error) wire.End {
	switch {
	case errors.Is(err, plain.ErrNotSent):
		return wire.Refused(notSentReason(ctx), wire.Hint{})
	case errors.Is(err, plain.ErrRefused):
		return wire.Refused(reason.TargetRefused, wire.Hint{})
	case ctx.Err() != nil:
		return wire.End{Outcome: outcome.Dispatched, Reason: reason.Deadline}
	case errors.Is(err, plain.ErrMismatch):
		return wire.End{Outcome: outcome.Dispatched, Reason: reason.AnswerMismatch}
	case errors.Is(err, plain.ErrTruncated):
		return wire.End{Outcome: outcome.Dispatched, Reason: reason.AnswerTruncated}
	default:
		return wire.End{Outcome: outcome.Dispatched, Reason: reason.StreamBroken}
	}
}

// notSentReason distinguishes an unreachable target from an attempt that was
// cancelled before it was sent, which says nothing about its target.
func notSentReason(ctx context.Context) reason.Code {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return reason.Deadline
	case ctx.Err() != nil:
		return reason.HomeUnreachable
	default:
		return reason.TargetDown
	}
}
