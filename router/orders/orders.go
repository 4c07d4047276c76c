// Package orders serves calls of plain services that must not be repeated and
// carry an idempotency key. Each call runs at most once, no matter at which
// routers its repeats arrive. All other requests pass through unchanged.
//
// The package records the intent in the journal before the call is dispatched,
// answers repeats with the recorded answer, makes repeats wait for a running
// call, and reports when a result is unknown.
package orders

import (
	"context"
	"errors"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keyjournal"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/plain"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/router/entry"
	"ragwortpond.example/ragwortpond/router/wire"
)

const (
	// MaxKeyBytes is the maximum length of an idempotency key.
	MaxKeyBytes = 255
	// OmittedHeader is set on a recorded answer whose body was too large to
	// record; its value is OmittedValue.
	OmittedHeader = "Ragwort-Body"
	OmittedValue  = "omitted"

	joinTimeout      = 30 * time.Second
	findJoinTimeout  = 100 * time.Millisecond
	maxBeginAttempts = 3
)

// Next serves a request that may be dispatched. *entry.Entry implements it.
type Next interface {
	Do(ctx context.Context, req *entry.Request, out wire.Sink) entry.Result
}

// Journal is the part of *keyjournal.Journal that this package uses.
type Journal interface {
	Begin(ctx context.Context, intent keyjournal.Intent) (keyjournal.Grant, error)
	FinishAsync(grant keyjournal.Grant, result keyjournal.Result)
	Abandon(ctx context.Context, grant keyjournal.Grant)
	Join(ctx context.Context, record keyjournal.Record) (keyjournal.Record, error)
	Lookup(ctx context.Context, account fleet.AccountName, key string) (keyjournal.Record, error)
}

// Config configures a Server. All fields are required.
type Config struct {
	Next    Next
	Journal Journal
	Metrics *metrics.Set
}

// Server handles orders before they reach the entry role. It is safe for
// concurrent use.
type Server struct {
	cfg Config
}

// New returns a Server with the given configuration.
func New(cfg Config) *Server {
	return &Server{cfg: cfg}
}

// Do serves one request and passes the answer to out.
func (s *Server) Do(ctx context.Context, req *entry.Request, out wire.Sink) entry.Result {
	if req.Kind != fleet.KindPlain || req.Repeatable {
		return s.cfg.Next.Do(ctx, req, out)
	}
	if req.IdempotencyKey == "" {
		return markNotRepeatable(s.cfg.Next.Do(ctx, req, out))
	}
	if !req.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	grant, record, err := s.beginOrJoin(ctx, req)
	switch {
	case err != nil:
		return s.countRequest(req, journalErrorResult(err))
	case record != nil:
		return s.countRequest(req, replay(record, out))
	default:
		return markNotRepeatable(s.run(ctx, grant, req, out))
	}
}

// markNotRepeatable replaces reasons that suggest a retry if the request may
// have run and must not run again.
func markNotRepeatable(r entry.Result) entry.Result {
	if r.Outcome == outcome.Dispatched {
		r.Reason = reason.NotRepeatable
	}
	return r
}

// beginOrJoin returns a grant to run the request, or the record of an earlier
// request with the same key.
func (s *Server) beginOrJoin(ctx context.Context, req *entry.Request) (keyjournal.Grant, *keyjournal.Record, error) {
	intent := keyjournal.Intent{
		Account: req.Account, Key: req.IdempotencyKey,
		Fingerprint: keyjournal.NewFingerprint(string(req.Service), req.Method, req.Path, string(req.Body)),
	}
	for range maxBeginAttempts {
		grant, err := s.cfg.Journal.Begin(ctx, intent)
		var exists *keyjournal.ExistsError
		if !errors.As(err, &exists) {
			return grant, nil, err
		}
		joinCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		record, err := s.cfg.Journal.Join(joinCtx, exists.Record)
		cancel()
		if !errors.Is(err, keyjournal.ErrNotRun) {
			return keyjournal.Grant{}, &record, err
		}
		intent.Replaces = record.Nonce
	}
	return keyjournal.Grant{}, nil, keyjournal.ErrUnavailable
}

// run dispatches a request that has a grant and records its result. The caller
// does not wait until the result is recorded.
func (s *Server) run(ctx context.Context, grant keyjournal.Grant, req *entry.Request, out wire.Sink) entry.Result {
	rec := &answerRecorder{Sink: out, limit: req.Values.Journal.ResultBytes}
	result := s.cfg.Next.Do(ctx, req, rec)
	switch {
	case result.Outcome == outcome.NotDispatched:
		s.cfg.Journal.Abandon(ctx, grant)
	case result.Outcome == outcome.Answered && rec.answer != nil:
		s.cfg.Journal.FinishAsync(grant, keyjournal.Result{State: keyjournal.StateCompleted, Response: rec.answer})
	default:
		s.cfg.Journal.FinishAsync(grant, keyjournal.Result{State: keyjournal.StateUnknown})
	}
	return result
}

func (s *Server) countRequest(req *entry.Request, r entry.Result) entry.Result {
	s.cfg.Metrics.Requests.WithLabelValues(string(req.Service), string(r.Outcome.Label())).Inc()
	return r
}

// journalErrorResult converts an error of the journal. The request of an
// expired key may have run long ago, so its outcome is unknown. With the other
// errors, this request was not run.
func journalErrorResult(err error) entry.Result {
	switch {
	case errors.Is(err, keyjournal.ErrKeyReused):
		return entry.Result{Reason: reason.KeyReused}
	case errors.Is(err, keyjournal.ErrKeyTimeAhead):
		return entry.Result{Reason: reason.KeyAhead}
	case errors.Is(err, keyjournal.ErrExpired):
		return entry.Result{Outcome: outcome.Dispatched, Reason: reason.KeyExpired}
	default:
		return entry.Result{Reason: reason.JournalUnavailable}
	}
}

// replay answers a repeat from the record.
func replay(record *keyjournal.Record, out wire.Sink) entry.Result {
	switch {
	case record.State == keyjournal.StateIntent:
		return entry.Result{Outcome: outcome.Dispatched, Reason: reason.AttemptRunning}
	case record.State != keyjournal.StateCompleted || record.Response == nil:
		return entry.Result{Outcome: outcome.Dispatched, Reason: reason.ResultUnknown}
	}
	answer := record.Response
	head := wire.Head{Status: answer.Status, CachedTokens: -1}
	for _, f := range answer.Header {
		head.Header = append(head.Header, plain.Field{Name: f.Name, Value: f.Value})
	}
	if answer.BodyOmitted {
		head.Header = append(head.Header, plain.Field{Name: OmittedHeader, Value: OmittedValue})
	}
	result := entry.Result{Outcome: outcome.Answered}
	if out.Head(head) != nil || out.Event(0, answer.Body) != nil {
		result.Reason = reason.StreamBroken
		return result
	}
	result.HeadSent = true
	return result
}

// answerRecorder records a copy of an answer that passes through it.
type answerRecorder struct {
	wire.Sink
	limit  int
	answer *keyjournal.Response
}

// Head implements wire.Sink.
func (r *answerRecorder) Head(h wire.Head) error {
	r.answer = &keyjournal.Response{Status: h.Status}
	size := 0
	for _, f := range h.Header {
		size += len(f.Name) + len(f.Value)
		r.answer.Header = append(r.answer.Header, keyjournal.HeaderField{Name: f.Name, Value: f.Value})
	}
	if size > r.limit {
		r.answer.Header = nil
	}
	return r.Sink.Head(h)
}

// Event implements wire.Sink.
func (r *answerRecorder) Event(seq uint64, data []byte) error {
	if !r.answer.BodyOmitted {
		r.answer.Body = append(r.answer.Body, data...)
	}
	if len(r.answer.Body) > r.limit {
		r.answer.Body = nil
		r.answer.BodyOmitted = true
	}
	return r.Sink.Event(seq, data)
}
