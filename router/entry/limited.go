package entry

import (
	"context"

	"ragwortpond.example/ragwortpond/router/wire"
)

// Next serves a request that is within the limits.
type Next interface {
	Do(ctx context.Context, req *Request, out wire.Sink) Result
}

// Limited serves requests within the limits of their client account, their
// service and the fleet. It stands before everything that costs something for
// a request, the recording of an order's intent included. It is safe for
// concurrent use.
type Limited struct {
	entry *Entry
	next  Next
}

// Limit returns next behind the limits of the entry.
func (e *Entry) Limit(next Next) *Limited {
	return &Limited{entry: e, next: next}
}

// Do serves a request, or refuses it as not run.
func (l *Limited) Do(ctx context.Context, req *Request, out wire.Sink) Result {
	e := l.entry
	release, refusal := e.limits.admit(e.cfg.Snapshot(), req, e.cfg.Clock)
	if refusal != nil {
		result := Result{Reason: refusal.Reason, RetryAfter: refusal.RetryAfter}
		e.cfg.Metrics.Requests.WithLabelValues(string(req.Service), string(result.Outcome.Word())).Inc()
		return result
	}
	defer release()
	return l.next.Do(ctx, req, out)
}
