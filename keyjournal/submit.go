package keyjournal

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/task"
)

const (
	remoteTimeout = 800 * time.Millisecond
	settleTimeout = 3 * time.Second
	joinMargin    = 50 * time.Millisecond
)

// ErrNotRun means that a recorded intent's owner says that the request was not
// and will not be run; its nonce may be replaced.
var ErrNotRun = errors.New("journal: recorded intent was not run")

// call is the payload of a journal call between routers: an operation on a
// cell, or a question about an attempt of the router asked.
type call struct {
	Cell Cell `cbor:"1,keyasint,omitempty"`
	Op   *Op  `cbor:"2,keyasint,omitempty"`
	// Nonce and Boot name the attempt; WaitMS is how long to wait for its end.
	Nonce  Nonce  `cbor:"3,keyasint,omitempty"`
	Boot   uint64 `cbor:"4,keyasint,omitempty"`
	WaitMS int64  `cbor:"5,keyasint,omitempty"`
}

// reply answers a call.
type reply struct {
	Verdict Verdict  `cbor:"1,keyasint,omitempty"`
	Attempt progress `cbor:"2,keyasint,omitempty"`
}

// progress is what an owner says of its attempt.
type progress struct {
	_       struct{} `cbor:",toarray"`
	Known   bool
	Refused bool
	Ended   bool
	Result  Result
}

// Register registers the journal's handler for calls of other routers.
func (l *Log) Register(mux *peer.Mux) {
	mux.HandleCall(peer.MethodJournal, l.answer)
}

func (l *Log) answer(ctx context.Context, _ fleet.RouterID, payload []byte) (any, error) {
	var c call
	if err := cbor.Unmarshal(payload, &c); err != nil {
		return nil, fmt.Errorf("journal: decode call: %w", err)
	}
	if c.Op != nil {
		return &reply{Verdict: l.submitHere(ctx, c.Cell, c.Op)}, nil
	}
	if c.Boot != l.owner.Boot {
		return &reply{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.WaitMS)*time.Millisecond)
	defer cancel()
	return &reply{Attempt: l.watch(ctx, c.Nonce)}, nil
}

// submit carries an operation out through the cell's preferred writer, or here
// when that fails. Doing it twice does no harm.
func (l *Log) submit(ctx context.Context, cell Cell, op *Op) Verdict {
	writer, here := l.preferred(cell)
	if !here {
		verdict := l.submitTo(ctx, writer, cell, op)
		if verdict.Kind != Unavailable {
			return verdict
		}
	}
	return l.submitHere(ctx, cell, op)
}

func (l *Log) submitTo(ctx context.Context, writer fleet.Router, cell Cell, op *Op) Verdict {
	timeout := remoteTimeout
	if op.Kind != OpBegin {
		timeout = settleTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var r reply
	err := l.cfg.Caller.Call(ctx, writer.PeerAddr, peer.MethodJournal, &call{Cell: cell, Op: op}, &r)
	if err != nil || r.Verdict.Kind == 0 {
		return Verdict{Kind: Unavailable}
	}
	return r.Verdict
}

func (l *Log) submitHere(ctx context.Context, cell Cell, op *Op) Verdict {
	for ctx.Err() == nil {
		ln, err := l.lane(cell)
		if err != nil {
			break
		}
		verdict := ln.submit(ctx, op)
		if verdict.Kind != Unavailable || !stopped(ln.task) {
			return verdict
		}
	}
	return Verdict{Kind: Unavailable}
}

func stopped(t *task.Task[laneMessage]) bool {
	select {
	case <-t.Done():
		return true
	default:
		return false
	}
}

// watch waits for the end of one of this router's own attempts.
func (l *Log) watch(ctx context.Context, n Nonce) progress {
	at := l.attempts.find(n)
	if at == nil {
		return progress{}
	}
	select {
	case <-at.done:
		return progress{Known: true, Ended: true, Refused: at.refused, Result: at.result}
	case <-ctx.Done():
		if at.isDone() {
			return progress{Known: true, Ended: true, Refused: at.refused, Result: at.result}
		}
		return progress{Known: true}
	}
}

// Join waits until ctx ends for the end of a recorded intent and returns its
// record: still StateIntent while the request runs, StateUnknown when its owner
// is gone or cannot be reached. ErrNotRun means that the owner will not run it.
func (l *Log) Join(ctx context.Context, record Record) (Record, error) {
	if record.State != StateIntent {
		return record, nil
	}
	p, err := l.ask(ctx, record)
	switch {
	case err == nil && p.Refused:
		return record, ErrNotRun
	case err == nil && p.Ended:
		record.State = p.Result.State
		record.Answer = p.Result.Answer
		return record, nil
	case err == nil && p.Known:
		return record, nil
	default:
		return l.reread(ctx, record)
	}
}

func (l *Log) ask(ctx context.Context, record Record) (progress, error) {
	if record.Owner == l.owner {
		return l.watch(ctx, record.Nonce), nil
	}
	owner, ok := l.cfg.Find(record.Owner.Router)
	if !ok {
		return progress{}, peer.ErrUnreachable
	}
	var answer reply
	question := &call{Nonce: record.Nonce, Boot: record.Owner.Boot, WaitMS: waitOf(ctx)}
	err := l.cfg.Caller.Call(ctx, owner.PeerAddr, peer.MethodJournal, question, &answer)
	return answer.Attempt, err
}

func waitOf(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return beginTimeout.Milliseconds()
	}
	return max(0, (time.Until(deadline) - joinMargin).Milliseconds())
}

// reread reads a record whose owner does not speak for it: the owner may have
// recorded the end before it went.
func (l *Log) reread(ctx context.Context, record Record) (Record, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), remoteTimeout)
	defer cancel()
	found, err := l.find(ctx, record.Cell, record.Hash, l.cfg.Clock())
	if err == nil && found.State != StateIntent {
		return found, nil
	}
	event.JournalOwnerUnknown.Log(l.cfg.Log).Str("owner", string(record.Owner.Router)).Send()
	record.State = StateUnknown
	return record, nil
}
