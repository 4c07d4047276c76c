// Package home implements the home role. A home router is the only one that
// admits attempts to its targets; it dispatches them and returns the answers to
// the entry routers.
package home

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/plain"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/router/targets"
	"ragwortpond.example/ragwortpond/router/wire"
	"ragwortpond.example/ragwortpond/settings"
)

// Gate decides whether an attempt may be sent to its target now.
// Implementations are safe for concurrent use.
type Gate interface {
	// Acquire waits for capacity at the target for as long as the attempt
	// permits. A resumption is always admitted, because its work is already at
	// the target. Acquire returns a function to call once when the attempt has
	// ended, or nil and the refusal.
	Acquire(ctx context.Context, t fleet.Target, fwd *wire.Forward) (release func(), refusal wire.End)
	// InFlight returns the number of attempts in flight to a target.
	InFlight(id fleet.TargetID) int
}

// Config configures a Home.
type Config struct {
	Self     fleet.RouterID
	Snapshot func() *settings.Snapshot
	Gate     Gate
	Targets  *targets.Tracker
	Chats    *Chats
	Groups   *Groups
	Engine   engine.Client
	Plain    plain.Client
	Metrics  *metrics.Set
	Log      zerolog.Logger
}

// Home serves attempts. It is safe for concurrent use.
type Home struct {
	cfg      Config
	inFlight atomic.Int64
	draining atomic.Bool
}

// New returns a Home with the given configuration.
func New(cfg Config) *Home {
	return &Home{cfg: cfg}
}

// HandleStream serves an attempt forwarded by another router. It is the handler
// of peer.MethodForward.
func (h *Home) HandleStream(ctx context.Context, _ fleet.RouterID, s *peer.Stream) {
	kind, payload, err := s.Receive()
	if err != nil {
		return
	}
	var fwd wire.Forward
	if kind != wire.FrameForward || peer.Decode(payload, &fwd) != nil {
		s.RejectFrame()
		return
	}
	sink := wire.NewStreamSink(s)
	if sink.SendAccepted() != nil {
		return
	}
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	sink.SendEnd(h.serve(ctx, &fwd, sink))
}

// StartDraining makes the home refuse new attempts with reason.Draining.
// Resumptions are still served. Once InFlight has dropped to zero after that, no new
// attempt is dispatched.
func (h *Home) StartDraining() {
	h.draining.Store(true)
}

// Serve admits and dispatches one attempt and passes its answer to sink. It
// returns when the attempt has ended. Cancelling ctx cancels the attempt at the
// target.
func (h *Home) Serve(ctx context.Context, fwd *wire.Forward, sink wire.Sink) wire.End {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	return h.serve(ctx, fwd, sink)
}

func (h *Home) serve(ctx context.Context, fwd *wire.Forward, sink wire.Sink) wire.End {
	if h.draining.Load() && !fwd.Resume {
		return wire.Refused(reason.Draining, wire.Hint{})
	}
	target, ok := h.findTarget(fwd)
	if !ok {
		return wire.Refused(reason.NoTarget, wire.Hint{})
	}
	if !fwd.Resume && h.cfg.Targets.IsDown(target.ID) {
		return wire.Refused(reason.TargetDown, wire.Hint{})
	}
	if fwd.DeadlineMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(fwd.DeadlineMS)*time.Millisecond)
		defer cancel()
	}
	queuedAt := time.Now()
	release, refusal := h.cfg.Gate.Acquire(ctx, target, fwd)
	if release == nil {
		return refusal
	}
	h.cfg.Metrics.QueueSeconds.WithLabelValues(string(fwd.Service)).Observe(time.Since(queuedAt).Seconds())
	gauge := h.cfg.Metrics.InFlight.WithLabelValues("home")
	gauge.Inc()
	cancelling := false
	done := func() {
		gauge.Dec()
		release()
	}
	defer func() {
		if !cancelling {
			done()
		}
	}()
	if fwd.Kind == fleet.KindPlain {
		return h.dispatchPlain(ctx, target, fwd, sink)
	}
	end := h.dispatchChat(ctx, target, fwd, sink)
	h.recordEnd(target, fwd, end)
	if unwanted(ctx, end) {
		cancelling = true
		h.cancelInBackground(ctx, target, fwd, done)
	}
	return end
}

// recordEnd updates the state of the target and the chat tables with the end of
// an attempt.
func (h *Home) recordEnd(t fleet.Target, fwd *wire.Forward, end wire.End) {
	switch {
	case end.Reason == reason.TargetDown:
		h.cfg.Targets.MarkDown(t.ID)
		h.cfg.Chats.ForgetTarget(t.ID)
	case end.Reason == reason.TargetLeaving:
		h.cfg.Targets.MarkDown(t.ID)
	case end.Outcome != outcome.NotDispatched && fwd.Chat != 0:
		h.cfg.Chats.Record(fwd.Chat, t.ID, fwd.PromptTokens+fwd.AnswerTokens)
		h.cfg.Groups.Record(fwd)
	}
}

// InFlight returns the number of attempts accepted and not yet ended, including
// queued ones.
func (h *Home) InFlight() int {
	return int(h.inFlight.Load())
}

func (h *Home) findTarget(fwd *wire.Forward) (fleet.Target, bool) {
	for _, t := range h.cfg.Snapshot().Targets[fwd.Service] {
		if t.ID == fwd.Target {
			return t, true
		}
	}
	return fleet.Target{}, false
}
