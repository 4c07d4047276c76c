package entry

import (
	"context"

	"ragwortpond.example/ragwortpond/router/wire"
)

// Next serves requests that are within the limits.
type Next interface {
	Do(ctx context.Context, req *Request, out wire.Sink) Result
}

// Limited enforces the limits of the client account, the service and the fleet
// before it passes a request on. It comes before everything that spends
// resources on a request, including the recording of an order's intent. It is
// safe for concurrent use.
type Limited struct {
	entry *Entry
	next  Next
}

// Limit returns a handler that enforces the entry's limits and passes admitted
// requests to next.
func (e *Entry) Limit(next Next) *Limited {
	return &Limited{entry: e, next: next}
}

// Do serves a request, or refuses it as not run if it exceeds a limit.
func (l *Limited) Do(ctx context.Context, req *Request, out wire.Sink) Result {
	e := l.entry
	release, refusal := e.limits.admit(e.cfg.Snapshot(), req, e.cfg.Clock)
	if refusal != nil {
		result := Result{Reason: refusal.Reason, RetryAfter: refusal.RetryAfter}
		e.cfg.Metrics.Requests.WithLabelValues(string(req.Service), string(result.Outcome.Label())).Inc()
		return result
	}
	defer release()
	return l.next.Do(ctx, req, out)
}
