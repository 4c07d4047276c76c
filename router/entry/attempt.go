package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/attemptloop"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/retry"
	"ragwortpond.example/ragwortpond/router/wire"
)

// requestRun runs one request through its attempts. It is used by one
// goroutine.
type requestRun struct {
	entry    *Entry
	req      *Request
	retries  *retry.Request
	delivery *delivery
	selector *targetSelector
	// candidate, sink and fwd belong to the current attempt.
	candidate candidate
	sink      wire.Sink
	fwd       *wire.Forward
	last      wire.End
	// attempts counts the attempts sent to a home; resumptions are not counted.
	attempts int
}

// run makes attempts until the caller has the complete answer or the retry
// policy allows no further attempt.
func (e *Entry) run(ctx context.Context, req *Request, out wire.Sink) Result {
	s := &requestRun{
		entry: e, req: req, selector: e.newSelector(req),
		delivery: newDelivery(out, req.Stream, func() { e.cfg.Metrics.CountDiscard(reason.AnswerMismatch) }),
	}
	s.retries = retry.New(retry.Config{
		Repeatable: req.Repeatable, Stream: req.Stream && req.Kind == fleet.KindEngine,
		Deadline: req.Deadline, Policy: retry.PolicyFromSettings(req.Values.Retry), Resumed: req.Resume != "",
	}, e.retryBudget, time.Now())
	return s.result(attemptloop.Run(ctx, s.retries, s, e.cfg.Metrics))
}

// Attempt implements attemptloop.Attempter. It returns false if no candidate is left,
// the delivered text cannot be continued, or the request's resume token is not
// valid or names an unknown target.
func (s *requestRun) Attempt(ctx context.Context, retryStep retry.Step) (retry.AttemptResult, bool) {
	end, ok := s.execute(ctx, retryStep)
	if !ok {
		return retry.AttemptResult{}, false
	}
	return s.recordEnd(ctx, end), true
}

// Log implements attemptloop.Attempter.
func (s *requestRun) Log(e event.Event) *zerolog.Event {
	line := e.Log(s.entry.cfg.Log).Str("request", string(s.req.ID)).Str("service", string(s.req.Service)).
		Str("account", string(s.req.Account))
	if s.candidate.Target != nil {
		line = line.Str("target", string(s.candidate.Target.ID))
	}
	if s.fwd != nil {
		line = line.Str("attempt", string(s.fwd.Attempt))
	}
	return line
}

// execute performs one retry step. It returns false if the step cannot be
// performed.
func (s *requestRun) execute(ctx context.Context, retryStep retry.Step) (wire.End, bool) {
	if retryStep.Action == retry.ResumeOnSameTarget {
		if s.fwd == nil {
			return s.resumeFromToken(ctx)
		}
		return s.resume(ctx, s.newAttemptReserver()), true
	}
	body := s.req.Body
	if retryStep.Action == retry.ResumeOnOtherTarget {
		s.decodeText()
		if s.delivery.text.isComplete() {
			return s.finishText(), true
		}
		var ok bool
		if body, ok = continuationBody(s.req.Body, &s.delivery.text); !ok {
			return wire.End{}, false
		}
	}
	if retryStep.Charged && s.candidate.Target != nil {
		s.selector.restart(s.candidate.Target.ID)
	}
	next, ok := s.selector.next()
	if !ok {
		return wire.End{}, false
	}
	return s.send(ctx, next, body), true
}

// send starts a new attempt at a candidate.
func (s *requestRun) send(ctx context.Context, cand candidate, body []byte) wire.End {
	s.candidate = cand
	s.fwd = newForward(s.req, cand)
	s.fwd.Body = body
	s.fwd.Spread = s.selector.spread
	s.sink = s.entry.addContextToken(s.req, cand, s.delivery)
	s.attempts++
	s.logPlaced()
	s.offerResume()
	s.delivery.beginAttempt()
	return s.forward(ctx, s.newAttemptReserver())
}

// logPlaced logs the selected target and the reason for the selection.
func (s *requestRun) logPlaced() {
	line := s.Log(event.RequestPlaced).Str("basis", s.candidate.Reason.String()).
		Float64("load", s.entry.loads.inFlight(s.candidate.Target.ID)).Int("spread", s.selector.spread).Dur("wait", s.candidate.wait)
	if s.candidate.Home != nil {
		line = line.Str("home", string(s.candidate.Home.ID))
	}
	line.Uint64("revision", s.entry.cfg.Snapshot().Revision).Send()
}

// resume resumes the current attempt's stream at the first missing event. It
// goes through the current home of the target, or through this router if the
// previous home was unreachable.
func (s *requestRun) resume(ctx context.Context, mayGiveUp func() bool) wire.End {
	s.fwd.Resume = true
	s.fwd.ResumeFrom = s.delivery.next
	s.fwd.Body = nil
	_, home, ok := s.entry.cfg.Targets.Picker().Target(s.req.Service, s.candidate.Target.ID)
	if ok {
		s.candidate.Home = home
	}
	if s.last.Reason == reason.HomeUnreachable {
		s.candidate.Home = &s.entry.cfg.Self
	}
	return s.forward(ctx, mayGiveUp)
}

// newAttemptReserver returns a function that reports whether another target can
// serve the request if the attempt in progress is given up, and takes the retry for
// it from the budget. It is called while the attempt waits for its home. The
// resumption that may come first is not charged, but its failure is.
func (s *requestRun) newAttemptReserver() func() bool {
	continuable := sync.OnceValue(s.isContinuable)
	return func() bool {
		return s.selector.hasAlternative(s.candidate.Target.ID) && continuable() && s.retries.Reserve(time.Now())
	}
}

// isContinuable reports whether another target can continue what the caller has of
// the answer, or end it if its text is complete.
func (s *requestRun) isContinuable() bool {
	if !s.delivery.hasAnswer() {
		return true
	}
	s.decodeText()
	if s.delivery.text.isComplete() {
		return true
	}
	_, ok := continuationBody(s.req.Body, &s.delivery.text)
	return ok
}

// decodeText decodes the text delivered so far.
func (s *requestRun) decodeText() {
	s.delivery.text.decodeEvents()
	s.delivery.text.limit = tokenLimit(s.req.Body)
}

func (s *requestRun) forward(ctx context.Context, mayGiveUp func() bool) wire.End {
	if s.candidate.Home == nil {
		return wire.Refused(reason.HomeUnreachable, wire.Hint{})
	}
	if deadline, ok := ctx.Deadline(); ok {
		s.fwd.DeadlineMS = max(1, time.Until(deadline).Milliseconds())
	}
	done := s.entry.loads.begin(s.candidate.Target.ID)
	defer done()
	return s.entry.cfg.Forwarder.Forward(ctx, *s.candidate.Home, s.fwd, s.sink, mayGiveUp)
}

// finishText ends an answer whose text was delivered completely and of which
// only the end marker was lost.
func (s *requestRun) finishText() wire.End {
	if err := s.delivery.finish(); err != nil {
		return wire.End{Outcome: outcome.Dispatched, Reason: reason.StreamBroken}
	}
	return wire.End{Outcome: outcome.Answered}
}

// recordEnd updates the delivery and the target selection with the end of an
// attempt and converts it for the retry policy.
func (s *requestRun) recordEnd(ctx context.Context, end wire.End) retry.AttemptResult {
	d := s.delivery
	if end.Complete() && !d.hasAnswer() {
		end = wire.End{Outcome: outcome.Dispatched, Reason: reason.AnswerTruncated}
	}
	s.last = end
	if s.candidate.Target != nil {
		s.selector.recordEnd(s.candidate, end)
	}
	if end.Reason == reason.AnswerMismatch || end.Reason == reason.AnswerTruncated {
		s.entry.cfg.Metrics.CountDiscard(end.Reason)
	}
	return retry.AttemptResult{
		Outcome: end.Outcome, Reason: end.Reason, Complete: end.Complete() || d.complete(), Events: d.next,
		CallerDisconnected: d.callerGone || errors.Is(ctx.Err(), context.Canceled),
	}
}

func (s *requestRun) result(last retry.Step) Result {
	r := Result{
		Outcome: last.Outcome, Reason: last.Reason, HeadSent: s.delivery.started, Attempts: s.attempts,
		RetryAfter: time.Duration(s.last.Hint.RetryAfterMS) * time.Millisecond,
	}
	if s.candidate.Target != nil {
		r.Target = s.candidate.Target.ID
	}
	return r
}

func newForward(req *Request, cand candidate) *wire.Forward {
	return &wire.Forward{
		Request: req.ID, Attempt: NewAttemptID(), Service: req.Service, Target: cand.Target.ID, Kind: req.Kind,
		Account: req.Account, Chat: req.Chat, Prefix: req.Prefix, Priority: req.Values.Limits.Priority,
		Weight:       req.Values.Limits.Weight,
		PromptTokens: req.PromptTokens, AnswerTokens: req.AnswerTokens, Returning: req.Returning,
		ContextOnly: cand.ContextOnly, Redirected: cand.redirected || cand.noRedirect, Wait: cand.wait > 0, WaitMS: cand.wait.Milliseconds(), Stream: req.Stream,
		Method: req.Method, Path: req.Path, Header: req.Header, IdempotencyKey: req.IdempotencyKey,
	}
}
