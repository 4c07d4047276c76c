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

// Begin records an intent and returns leave to run its request once. Any error
// means that the request was not and will not be run under this intent:
// ErrUnavailable, ErrKeyReused, ErrExpired, ErrAhead, or *ExistsError with the record that
// the key has already.
func (l *Log) Begin(ctx context.Context, intent Intent) (Grant, error) {
	started := l.cfg.Clock()
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	cell, op, err := l.beginOp(ctx, intent, started)
	if err != nil {
		return Grant{}, err
	}
	grant := Grant{Cell: cell, Hash: op.Hash, Nonce: op.Nonce}
	l.attempts.start(op.Nonce)
	verdict := l.submit(ctx, cell, op)
	l.observe(op, verdict, started)
	if verdict.Kind == Done && l.cfg.Clock().Sub(started) > SkewLimit {
		verdict = Verdict{Kind: Unavailable}
	}
	if verdict.Kind == Done {
		return grant, nil
	}
	l.attempts.refuse(op.Nonce)
	if verdict.Kind == Unavailable {
		l.settle(grant, releaseOf(grant))
	}
	return Grant{}, l.refusal(cell, verdict)
}

func (l *Log) beginOp(ctx context.Context, intent Intent, now time.Time) (Cell, *Op, error) {
	layout, err := l.currentLayout(ctx)
	if err != nil {
		return Cell{}, nil, err
	}
	if ahead(intent.Key, now) {
		return Cell{}, nil, ErrAhead
	}
	hash := HashKey(intent.Account, intent.Key)
	retention := l.cfg.Values().RetentionMS.Duration()
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

func (l *Log) observe(op *Op, verdict Verdict, started time.Time) {
	l.cfg.Metrics.Journal.Ops.WithLabelValues(op.Kind.String(), verdict.Kind.String()).Inc()
	l.cfg.Metrics.Journal.BeginSeconds.Observe(l.cfg.Clock().Sub(started).Seconds())
}

func (l *Log) refusal(cell Cell, v Verdict) error {
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

// Finish records how a granted request ended. Where that fails, it is tried
// again in the background for as long as the router runs.
func (l *Log) Finish(ctx context.Context, grant Grant, result Result) error {
	l.attempts.finish(grant.Nonce, result)
	op := finishOf(grant, result)
	verdict := l.submit(ctx, grant.Cell, op)
	l.cfg.Metrics.Journal.Ops.WithLabelValues(op.Kind.String(), verdict.Kind.String()).Inc()
	if verdict.Kind == Unavailable {
		l.addBacklog(grant, op)
		return ErrUnavailable
	}
	return nil
}

// FinishLater is Finish without waiting; Flush waits for it.
func (l *Log) FinishLater(grant Grant, result Result) {
	l.attempts.finish(grant.Nonce, result)
	l.settle(grant, finishOf(grant, result))
}

// Abandon says that a granted request was not and will not be run: its key may
// be used again, at once on this router.
func (l *Log) Abandon(_ context.Context, grant Grant) {
	l.attempts.refuse(grant.Nonce)
	l.settle(grant, releaseOf(grant))
}

// settle carries out an operation in the background.
func (l *Log) settle(grant Grant, op *Op) {
	l.backlog.begin()
	err := l.pool.Go(func() {
		defer l.backlog.end()
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		verdict := l.submit(ctx, grant.Cell, op)
		l.cfg.Metrics.Journal.Ops.WithLabelValues(op.Kind.String(), verdict.Kind.String()).Inc()
		if verdict.Kind == Unavailable {
			l.addBacklog(grant, op)
		}
	})
	if err != nil {
		l.addBacklog(grant, op)
		l.backlog.end()
	}
}

func finishOf(grant Grant, result Result) *Op {
	return &Op{Kind: OpFinish, Hash: grant.Hash, Nonce: grant.Nonce, Result: result}
}

func releaseOf(grant Grant) *Op {
	return &Op{Kind: OpRelease, Hash: grant.Hash, Nonce: grant.Nonce}
}

// Lookup reads what is recorded of a key from the platform: ErrNotFound,
// ErrExpired or ErrUnavailable where there is no record to be had.
func (l *Log) Lookup(ctx context.Context, account fleet.AccountName, key string) (Record, error) {
	layout, err := l.currentLayout(ctx)
	if err != nil {
		return Record{}, err
	}
	hash := HashKey(account, key)
	now := l.cfg.Clock()
	cell, err := layout.Locate(hash, key, now, l.cfg.Values().RetentionMS.Duration())
	if err != nil {
		return Record{}, err
	}
	return l.find(ctx, cell, hash, now)
}

func (l *Log) find(ctx context.Context, cell Cell, hash KeyHash, now time.Time) (Record, error) {
	held, err := l.load(ctx, cell)
	if err != nil {
		return Record{}, errors.Join(ErrUnavailable, fmt.Errorf("read %s: %w", cell.Name(), err))
	}
	record, err := held.content.Find(hash, now)
	record.Cell = cell
	return record, err
}
