package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

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
	cycle    *retry.Request
	delivery *delivery
	walk     *walk
	// step and fwd are of the present attempt.
	step step
	fwd  *wire.Forward
	hint wire.Hint
	// attempts counts those sent to a home, resumptions not included.
	attempts int
}

// run takes a request through its attempts until it has its whole answer or
// none follows.
func (e *Entry) run(ctx context.Context, req *Request, out wire.Sink) Result {
	s := &serving{
		entry: e, req: req, walk: e.newWalk(req),
		delivery: newDelivery(out, req.Stream, func() { e.cfg.Metrics.Discarded(reason.AnswerMismatch) }),
		cycle: retry.New(retry.Config{
			Repeatable: req.Repeatable, Stream: req.Stream && req.Kind == fleet.KindEngine,
			Deadline: req.Deadline, Limits: req.Values.Retry,
		}, e.budget),
	}
	step := retry.Step{Action: retry.Elsewhere}
	for {
		if !s.wait(ctx, step.Wait) {
			return s.result(s.cycle.Expired())
		}
		end, ok := s.act(ctx, step)
		if !ok {
			return s.result(s.cycle.Exhausted())
		}
		step = s.next(ctx, end)
		if step.Action == retry.Finish || step.Action == retry.GiveUp {
			return s.result(step)
		}
		e.cfg.Metrics.Retried(step.Reason)
	}
}

func (s *serving) wait(ctx context.Context, d time.Duration) bool {
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

// act carries a step out; false means that there is no further candidate, or
// that no target can go on from the text so far.
func (s *serving) act(ctx context.Context, step retry.Step) (wire.End, bool) {
	if step.Action == retry.ResumeSame {
		return s.resume(ctx), true
	}
	body := s.req.Body
	if step.Action == retry.ResumeOther {
		s.delivery.text.limit = tokenLimit(body)
		if s.delivery.text.over() {
			return s.finishText(), true
		}
		var ok bool
		if body, ok = continued(s.req.Body, &s.delivery.text); !ok {
			return wire.End{}, false
		}
	}
	next, ok := s.walk.next()
	if !ok {
		return wire.End{}, false
	}
	return s.send(ctx, next, body), true
}

// send makes a new attempt at a candidate.
func (s *serving) send(ctx context.Context, next step, body []byte) wire.End {
	s.step = next
	s.fwd = forwardOf(s.req, next)
	s.fwd.Body = body
	s.attempts++
	s.delivery.attempt()
	return s.forward(ctx)
}

// resume takes the present attempt's stream up again where it broke.
func (s *serving) resume(ctx context.Context) wire.End {
	s.fwd.Resume = true
	s.fwd.ResumeFrom = s.delivery.next
	s.fwd.Body = nil
	return s.forward(ctx)
}

func (s *serving) forward(ctx context.Context) wire.End {
	if s.step.Home == nil {
		return wire.Refused(reason.HomeUnreachable, wire.Hint{})
	}
	if deadline, ok := ctx.Deadline(); ok {
		s.fwd.DeadlineMS = max(1, time.Until(deadline).Milliseconds())
	}
	done := s.entry.loads.begin(s.step.Target.ID)
	defer done()
	sink := s.entry.withToken(s.req, s.step, s.delivery)
	end := s.entry.cfg.Forwarder.Forward(ctx, *s.step.Home, s.fwd, sink)
	s.walk.ended(s.step, end)
	return end
}

// finishText ends an answer whose text is all there and of which only the end
// was lost.
func (s *serving) finishText() wire.End {
	if err := s.delivery.finish(); err != nil {
		return wire.End{Outcome: outcome.Dispatched, Reason: reason.StreamBroken}
	}
	return wire.End{Outcome: outcome.Answered}
}

// next lets the life cycle decide what follows an end.
func (s *serving) next(ctx context.Context, end wire.End) retry.Step {
	s.hint = end.Hint
	d := s.delivery
	whole := end.Whole() && d.received()
	if end.Whole() && !whole {
		end = wire.End{Outcome: outcome.Dispatched, Reason: reason.AnswerTruncated}
	}
	if end.Reason == reason.AnswerMismatch || end.Reason == reason.AnswerTruncated {
		s.entry.cfg.Metrics.Discarded(end.Reason)
	}
	return s.cycle.Next(time.Now(), retry.End{
		Outcome: end.Outcome, Reason: end.Reason, Whole: whole || d.complete(), Events: d.next,
		CallerGone: d.gone || errors.Is(ctx.Err(), context.Canceled),
	}, rand.Float64())
}

func (s *serving) result(step retry.Step) Result {
	if step.Action == retry.Finish {
		if err := s.delivery.begin(); err != nil {
			step.Reason = reason.StreamBroken
		}
	}
	return Result{
		Outcome: step.Outcome, Reason: step.Reason, Started: s.delivery.started, Target: s.step.Target.ID,
		RetryAfter: time.Duration(s.hint.RetryAfterMS) * time.Millisecond, Attempts: s.attempts,
	}
}

func forwardOf(req *Request, s step) *wire.Forward {
	return &wire.Forward{
		Request: req.ID, Attempt: NewAttemptID(), Service: req.Service, Target: s.Target.ID, Kind: req.Kind,
		Account: req.Account, Chat: req.Chat, Prefix: req.Prefix, Priority: req.Values.Limits.Priority,
		PromptTokens: req.PromptTokens, AnswerTokens: req.AnswerTokens, Returning: req.Returning,
		ContextOnly: s.ContextOnly, Redirected: s.redirected, Wait: s.wait, Stream: req.Stream,
		Method: req.Method, Path: req.Path, Header: req.Header, IdempotencyKey: req.IdempotencyKey,
	}
}
