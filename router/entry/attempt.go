package entry

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/course"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/retry"
	"ragwortpond.example/ragwortpond/router/wire"
)

// serving is one request on its way through its attempts. It belongs to one
// goroutine.
type serving struct {
	entry    *Entry
	req      *Request
	delivery *delivery
	walk     *walk
	// at, sink and fwd are of the present attempt.
	at   step
	sink wire.Sink
	fwd  *wire.Forward
	last wire.End
	// attempts counts those sent to a home, resumptions not included.
	attempts int
}

// run takes a request through its attempts until it has its whole answer or
// none follows.
func (e *Entry) run(ctx context.Context, req *Request, out wire.Sink) Result {
	s := &serving{
		entry: e, req: req, walk: e.newWalk(req),
		delivery: newDelivery(out, req.Stream, func() { e.cfg.Metrics.Discarded(reason.AnswerMismatch) }),
	}
	life := retry.New(retry.Config{
		Repeatable: req.Repeatable, Stream: req.Stream && req.Kind == fleet.KindEngine,
		Deadline: req.Deadline, Terms: retry.TermsOf(req.Values.Retry), Begun: req.Resume != "",
	}, e.allowance, time.Now())
	return s.result(course.Run(ctx, life, s, e.cfg.Metrics))
}

// Attempt implements course.Path. There is none where no candidate is left, or
// where no target can go on from the text so far.
func (s *serving) Attempt(ctx context.Context, step retry.Step) (retry.End, bool) {
	end, ok := s.act(ctx, step)
	if !ok {
		return retry.End{}, false
	}
	return s.ended(ctx, end), true
}

// Log implements course.Path.
func (s *serving) Log(e event.Event) *zerolog.Event {
	line := e.Log(s.entry.cfg.Log).Str("request", string(s.req.ID)).Str("service", string(s.req.Service)).
		Str("account", string(s.req.Account))
	if s.at.Target != nil {
		line = line.Str("target", string(s.at.Target.ID))
	}
	if s.fwd != nil {
		line = line.Str("attempt", string(s.fwd.Attempt))
	}
	return line
}

// act carries a step out; false means that it cannot be.
func (s *serving) act(ctx context.Context, upcoming retry.Step) (wire.End, bool) {
	if upcoming.Action == retry.ResumeSame {
		if s.fwd == nil {
			return s.takeUp(ctx)
		}
		return s.resume(ctx), true
	}
	body := s.req.Body
	if upcoming.Action == retry.ResumeOther {
		s.delivery.text.read()
		s.delivery.text.limit = tokenLimit(body)
		if s.delivery.text.over() {
			return s.finishText(), true
		}
		var ok bool
		if body, ok = continued(s.req.Body, &s.delivery.text); !ok {
			return wire.End{}, false
		}
	}
	if upcoming.Charged && s.at.Target != nil {
		s.walk.again(s.at.Target.ID)
	}
	next, ok := s.walk.next()
	if !ok {
		return wire.End{}, false
	}
	return s.send(ctx, next, body), true
}

// send makes a new attempt at a candidate.
func (s *serving) send(ctx context.Context, at step, body []byte) wire.End {
	s.at = at
	s.fwd = forwardOf(s.req, at)
	s.fwd.Body = body
	s.fwd.Spread = s.walk.spread
	s.sink = s.entry.withToken(s.req, at, s.delivery)
	s.attempts++
	s.logPlaced()
	s.offerResume()
	s.delivery.attempt()
	return s.forward(ctx)
}

// logPlaced logs the choice of a target with what it rests on.
func (s *serving) logPlaced() {
	line := s.Log(event.RequestPlaced).Str("basis", s.at.Why.String()).
		Float64("load", s.entry.loads.of(s.at.Target.ID)).Int("spread", s.walk.spread).Dur("wait", s.at.wait)
	if s.at.Home != nil {
		line = line.Str("home", string(s.at.Home.ID))
	}
	line.Uint64("revision", s.entry.cfg.Snapshot().Revision).Send()
}

// resume takes the present attempt's stream up again where it broke: through
// the router that is the target's home now, and through this one where the home
// was lost.
func (s *serving) resume(ctx context.Context) wire.End {
	s.fwd.Resume = true
	s.fwd.ResumeFrom = s.delivery.next
	s.fwd.Body = nil
	_, home, ok := s.entry.cfg.Targets.Picker().Target(s.req.Service, s.at.Target.ID)
	if ok {
		s.at.Home = home
	}
	if s.last.Reason == reason.HomeUnreachable {
		s.at.Home = &s.entry.cfg.Self
	}
	return s.forward(ctx)
}

func (s *serving) forward(ctx context.Context) wire.End {
	if s.at.Home == nil {
		return wire.Refused(reason.HomeUnreachable, wire.Hint{})
	}
	if deadline, ok := ctx.Deadline(); ok {
		s.fwd.DeadlineMS = max(1, time.Until(deadline).Milliseconds())
	}
	done := s.entry.loads.begin(s.at.Target.ID)
	defer done()
	return s.entry.cfg.Forwarder.Forward(ctx, *s.at.Home, s.fwd, s.sink)
}

// finishText ends an answer whose text is all there and of which only the end
// was lost.
func (s *serving) finishText() wire.End {
	if err := s.delivery.finish(); err != nil {
		return wire.End{Outcome: outcome.Dispatched, Reason: reason.StreamBroken}
	}
	return wire.End{Outcome: outcome.Answered}
}

// ended takes the end of an attempt for what follows.
func (s *serving) ended(ctx context.Context, end wire.End) retry.End {
	d := s.delivery
	if end.Whole() && !d.received() {
		end = wire.End{Outcome: outcome.Dispatched, Reason: reason.AnswerTruncated}
	}
	s.last = end
	if s.at.Target != nil {
		s.walk.ended(s.at, end)
	}
	if end.Reason == reason.AnswerMismatch || end.Reason == reason.AnswerTruncated {
		s.entry.cfg.Metrics.Discarded(end.Reason)
	}
	return retry.End{
		Outcome: end.Outcome, Reason: end.Reason, Whole: end.Whole() || d.complete(), Events: d.next,
		CallerGone: d.gone || errors.Is(ctx.Err(), context.Canceled),
	}
}

func (s *serving) result(last retry.Step) Result {
	r := Result{
		Outcome: last.Outcome, Reason: last.Reason, Started: s.delivery.started, Attempts: s.attempts,
		RetryAfter: time.Duration(s.last.Hint.RetryAfterMS) * time.Millisecond,
	}
	if s.at.Target != nil {
		r.Target = s.at.Target.ID
	}
	return r
}

func forwardOf(req *Request, at step) *wire.Forward {
	return &wire.Forward{
		Request: req.ID, Attempt: NewAttemptID(), Service: req.Service, Target: at.Target.ID, Kind: req.Kind,
		Account: req.Account, Chat: req.Chat, Prefix: req.Prefix, Priority: req.Values.Limits.Priority,
		Weight:       req.Values.Limits.Weight,
		PromptTokens: req.PromptTokens, AnswerTokens: req.AnswerTokens, Returning: req.Returning,
		ContextOnly: at.ContextOnly, Redirected: at.redirected || at.insist, Wait: at.wait > 0, WaitMS: at.wait.Milliseconds(), Stream: req.Stream,
		Method: req.Method, Path: req.Path, Header: req.Header, IdempotencyKey: req.IdempotencyKey,
	}
}
