package keyjournal

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
)

const (
	beginTimeout  = 3 * time.Second
	finishTimeout = 5 * time.Second
)

// Begin records an intent and returns the permission to run its request once.
// Any error means that the request was not and will not be run under this
// intent: ErrUnavailable, ErrKeyReused, ErrExpired, ErrKeyTimeAhead, or *ExistsError
// with the record that the key already has.
func (l *Journal) Begin(ctx context.Context, intent Intent) (Grant, error) {
	started := l.cfg.Clock()
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	cell, op, err := l.newBeginOp(ctx, intent, started)
	if err != nil {
		return Grant{}, err
	}
	grant := Grant{Cell: cell, Hash: op.Hash, Nonce: op.Nonce}
	l.intents.start(op.Nonce)
	verdict := l.submit(ctx, cell, op)
	l.observeBegin(op, verdict, started)
	if verdict.Kind == Done && l.cfg.Clock().Sub(started) > MaxClockSkew {
		verdict = Verdict{Kind: Unavailable}
	}
	if verdict.Kind == Done {
		return grant, nil
	}
	l.intents.markNotRun(op.Nonce)
	if verdict.Kind == Unavailable {
		l.submitInBackground(grant, newReleaseOp(grant))
	}
	return Grant{}, l.verdictError(cell, verdict)
}

func (l *Journal) newBeginOp(ctx context.Context, intent Intent, now time.Time) (Cell, *Op, error) {
	layout, err := l.currentLayout(ctx)
	if err != nil {
		return Cell{}, nil, err
	}
	if isTooFarAhead(intent.Key, now) {
		return Cell{}, nil, ErrKeyTimeAhead
	}
	hash := HashKey(intent.Account, intent.Key)
	retention := l.cfg.Settings().RetentionMS.Duration()
	cell, err := layout.Locate(hash, intent.Key, now, retention)
	if err != nil {
		return Cell{}, nil, err
	}
	op := &Op{
		Kind: OpBegin, Hash: hash, Nonce: NewNonce(), Fingerprint: intent.Fingerprint,
		Owner: l.owner, Replaces: intent.Replaces,
	}
	if !cell.Timed() {
		op.ExpiresMS = now.Add(retention).UnixMilli()
	}
	return cell, op, nil
}

func (l *Journal) observeBegin(op *Op, verdict Verdict, started time.Time) {
	l.cfg.Metrics.Journal.Ops.WithLabelValues(op.Kind.String(), verdict.Kind.String()).Inc()
	l.cfg.Metrics.Journal.BeginSeconds.Observe(l.cfg.Clock().Sub(started).Seconds())
}

func (l *Journal) verdictError(cell Cell, v Verdict) error {
	switch v.Kind {
	case Exists:
		record := *v.Record
		record.Cell = cell
		return &ExistsError{Record: record}
	case KeyReused:
		return ErrKeyReused
	case Expired:
		return ErrExpired
	case Full:
		event.JournalCellFull.Log(l.cfg.Log).Str("cell", cell.Name()).Send()
		return ErrFull
	default:
		return ErrUnavailable
	}
}

// Finish records the result of a granted request. If the write cannot be
// confirmed, it returns ErrUnavailable, and Run retries the write for as long as
// the router runs, unless a full backlog drops it first. It returns nil if the
// intent's record no longer exists.
func (l *Journal) Finish(ctx context.Context, grant Grant, result Result) error {
	l.intents.markFinished(grant.Nonce, result)
	op := newFinishOp(grant, result)
	verdict := l.submit(ctx, grant.Cell, op)
	l.cfg.Metrics.Journal.Ops.WithLabelValues(op.Kind.String(), verdict.Kind.String()).Inc()
	if verdict.Kind == Unavailable {
		l.addToBacklog(grant, op)
		return ErrUnavailable
	}
	return nil
}

// FinishAsync is like Finish but does not wait for the write; Flush does.
func (l *Journal) FinishAsync(grant Grant, result Result) {
	l.intents.markFinished(grant.Nonce, result)
	l.submitInBackground(grant, newFinishOp(grant, result))
}

// Abandon records that a granted request was not and will not be run, so that
// its key can be used again, on this router immediately.
func (l *Journal) Abandon(_ context.Context, grant Grant) {
	l.intents.markNotRun(grant.Nonce)
	l.submitInBackground(grant, newReleaseOp(grant))
}

// submitInBackground submits an operation without waiting for its verdict. An
// operation that fails is added to the backlog.
func (l *Journal) submitInBackground(grant Grant, op *Op) {
	l.backlog.startOp()
	err := l.pool.Go(func() {
		defer l.backlog.endOp()
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		verdict := l.submit(ctx, grant.Cell, op)
		l.cfg.Metrics.Journal.Ops.WithLabelValues(op.Kind.String(), verdict.Kind.String()).Inc()
		if verdict.Kind == Unavailable {
			l.addToBacklog(grant, op)
		}
	})
	if err != nil {
		l.addToBacklog(grant, op)
		l.backlog.endOp()
	}
}

func newFinishOp(grant Grant, result Result) *Op {
	return &Op{Kind: OpFinish, Hash: grant.Hash, Nonce: grant.Nonce, Result: result}
}

func newReleaseOp(grant Grant) *Op {
	return &Op{Kind: OpRelease, Hash: grant.Hash, Nonce: grant.Nonce}
}

// Lookup reads the record of a key from the platform. It returns ErrNotFound or
// ErrExpired if there is no record, and ErrUnavailable if it cannot be read.
func (l *Journal) Lookup(ctx context.Context, account fleet.AccountName, key string) (Record, error) {
	layout, err := l.currentLayout(ctx)
	if err != nil {
		return Record{}, err
	}
	hash := HashKey(account, key)
	now := l.cfg.Clock()
	cell, err := layout.Locate(hash, key, now, l.cfg.Settings().RetentionMS.Duration())
	if err != nil {
		return Record{}, err
	}
	return l.readRecord(ctx, cell, hash, now)
}

func (l *Journal) readRecord(ctx context.Context, cell Cell, hash KeyHash, now time.Time) (Record, error) {
	snapshot, err := l.loadCell(ctx, cell)
	if err != nil {
		return Record{}, errors.Join(ErrUnavailable, fmt.Errorf("read %s: %w", cell.Name(), err))
	}
	record, err := snapshot.content.Find(hash, now)
	record.Cell = cell
	return record, err
}
