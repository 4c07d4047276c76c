package entry

import (
	"context"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
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
	candidates := e.cfg.Policy.Candidates(req, e.cfg.Snapshot().Targets[req.Service])
	for i, target := range candidates {
		if ctx.Err() != nil {
			return e.finish(result, p, reason.Deadline)
		}
		if i > 0 {
			e.cfg.Metrics.Retried(result.Reason)
		}
		end := e.attempt(ctx, req, target, p)
		result.Outcome = outcome.Join(result.Outcome, end.Outcome)
		result.Reason = end.Reason
		result.RetryAfter = time.Duration(end.Hint.RetryAfterMS) * time.Millisecond
		result.Target = target.ID
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

func (e *Entry) attempt(ctx context.Context, req *Request, t fleet.Target, sink wire.Sink) wire.End {
	home, ok := e.cfg.Homes.Home(t)
	if !ok {
		return wire.Refused(reason.HomeUnreachable, wire.Hint{})
	}
	return e.cfg.Forwarder.Forward(ctx, home, forwardOf(ctx, req, t), sink)
}

func forwardOf(ctx context.Context, req *Request, t fleet.Target) *wire.Forward {
	fwd := &wire.Forward{
		Request: req.ID, Attempt: NewAttemptID(), Service: req.Service, Target: t.ID, Kind: req.Kind,
		Account: req.Account, Chat: req.Chat, Prefix: req.Prefix, Priority: req.Values.Limits.Priority,
		PromptTokens: req.PromptTokens, AnswerTokens: req.AnswerTokens, Returning: req.Returning,
		Body: req.Body, Stream: req.Stream,
		Method: req.Method, Path: req.Path, Header: req.Header, IdempotencyKey: req.IdempotencyKey,
	}
	if deadline, ok := ctx.Deadline(); ok {
		fwd.DeadlineMS = max(1, time.Until(deadline).Milliseconds())
	}
	return fwd
}
