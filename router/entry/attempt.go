package entry

import (
	"context"
	"time"

	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/router/wire"
)

// progress wraps the caller's sink and remembers how far the answer got.
type progress struct {
	out     wire.Sink
	started bool
	next    uint64
}

func (p *progress) Head(h wire.Head) error {
	if p.started {
		return nil
	}
	p.started = true
	return p.out.Head(h)
}

func (p *progress) Event(seq uint64, data []byte) error {
	if seq < p.next {
		return nil
	}
	p.next = seq + 1
	return p.out.Event(seq, data)
}

func (p *progress) Flush() error {
	return p.out.Flush()
}

// run walks the candidates until one answers or none is left.
func (e *Entry) run(ctx context.Context, req *Request, out wire.Sink) Result {
	p := &progress{out: out}
	result := Result{Reason: reason.NoTarget}
	w := e.newWalk(req)
	for step, ok := w.next(); ok; step, ok = w.next() {
		if ctx.Err() != nil {
			return e.finish(result, p, reason.Deadline)
		}
		if result.Attempts > 0 {
			e.cfg.Metrics.Retried(result.Reason)
		}
		end := e.attempt(ctx, req, step, p)
		w.ended(step, end)
		result.Outcome = outcome.Join(result.Outcome, end.Outcome)
		result.Reason = end.Reason
		result.RetryAfter = time.Duration(end.Hint.RetryAfterMS) * time.Millisecond
		result.Target = step.Target.ID
		result.Attempts++
		if !e.another(req, p, end) {
			break
		}
	}
	return e.finish(result, p, result.Reason)
}

// another says whether a further candidate may be tried after end.
func (e *Entry) another(req *Request, p *progress, end wire.End) bool {
	if end.Whole() || p.started {
		return false
	}
	return end.Outcome == outcome.NotDispatched || req.Repeatable
}

func (e *Entry) finish(r Result, p *progress, code reason.Code) Result {
	r.Reason = code
	r.Started = p.started
	return r
}

func (e *Entry) attempt(ctx context.Context, req *Request, s step, sink wire.Sink) wire.End {
	if s.Home == nil {
		return wire.Refused(reason.HomeUnreachable, wire.Hint{})
	}
	done := e.loads.begin(s.Target.ID)
	defer done()
	return e.cfg.Forwarder.Forward(ctx, *s.Home, forwardOf(ctx, req, s), e.withToken(req, s, sink))
}

func forwardOf(ctx context.Context, req *Request, s step) *wire.Forward {
	fwd := &wire.Forward{
		Request: req.ID, Attempt: NewAttemptID(), Service: req.Service, Target: s.Target.ID, Kind: req.Kind,
		Account: req.Account, Chat: req.Chat, Prefix: req.Prefix, Priority: req.Values.Limits.Priority,
		Weight:       req.Values.Limits.Weight,
		PromptTokens: req.PromptTokens, AnswerTokens: req.AnswerTokens, Returning: req.Returning,
		ContextOnly: s.ContextOnly, Redirected: s.redirected, Wait: s.wait,
		Body: req.Body, Stream: req.Stream,
		Method: req.Method, Path: req.Path, Header: req.Header, IdempotencyKey: req.IdempotencyKey,
	}
	if deadline, ok := ctx.Deadline(); ok {
		fwd.DeadlineMS = max(1, time.Until(deadline).Milliseconds())
	}
	return fwd
}
