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
	remoteTimeout       = 800 * time.Millisecond
	remoteFinishTimeout = 3 * time.Second
	joinMargin          = 50 * time.Millisecond
)

// ErrNotRun means that the owner of a recorded intent reported that the request
// was not and will not be run. A new intent may replace the recorded one.
var ErrNotRun = errors.New("journal: recorded intent was not run")

// peerCall is the payload of a journal call between routers: an operation on a
// cell if Op is set, else a query for the status of an intent of the called
// router.
type peerCall struct {
	Cell Cell `cbor:"1,keyasint,omitempty"`
	Op   *Op  `cbor:"2,keyasint,omitempty"`
	// Nonce and BootID identify the intent; WaitMS is how long to wait for its
	// end, in milliseconds.
	Nonce  Nonce  `cbor:"3,keyasint,omitempty"`
	BootID uint64 `cbor:"4,keyasint,omitempty"`
	WaitMS int64  `cbor:"5,keyasint,omitempty"`
}

// peerReply is the response to a peerCall.
type peerReply struct {
	Verdict Verdict       `cbor:"1,keyasint,omitempty"`
	Attempt attemptStatus `cbor:"2,keyasint,omitempty"`
}

// attemptStatus is the status that an owner reports for an intent.
type attemptStatus struct {
	_      struct{} `cbor:",toarray"`
	Known  bool
	NotRun bool
	Ended  bool
	Result Result
}

// Register registers the journal's handler for calls from other routers.
func (l *Journal) Register(mux *peer.Mux) {
	mux.HandleCall(peer.MethodJournal, l.handleCall)
}

func (l *Journal) handleCall(ctx context.Context, _ fleet.RouterID, payload []byte) (any, error) {
	var c peerCall
	if err := cbor.Unmarshal(payload, &c); err != nil {
		return nil, fmt.Errorf("journal: decode call: %w", err)
	}
	if c.Op != nil {
		return &peerReply{Verdict: l.submitLocal(ctx, c.Cell, c.Op)}, nil
	}
	if c.BootID != l.owner.BootID {
		return &peerReply{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.WaitMS)*time.Millisecond)
	defer cancel()
	return &peerReply{Attempt: l.awaitAttempt(ctx, c.Nonce)}, nil
}

// submit submits an operation to the cell's preferred writer or, if that fails,
// on this router. Operations are idempotent, so submitting one twice is safe.
func (l *Journal) submit(ctx context.Context, cell Cell, op *Op) Verdict {
	writer, local := l.preferredWriter(cell)
	if !local {
		verdict := l.submitRemote(ctx, writer, cell, op)
		if verdict.Kind != Unavailable {
			return verdict
		}
	}
	return l.submitLocal(ctx, cell, op)
}

func (l *Journal) submitRemote(ctx context.Context, writer fleet.Router, cell Cell, op *Op) Verdict {
	timeout := remoteTimeout
	if op.Kind != OpBegin {
		timeout = remoteFinishTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var r peerReply
	err := l.cfg.PeerClient.Call(ctx, writer.PeerAddr, peer.MethodJournal, &peerCall{Cell: cell, Op: op}, &r)
	if err != nil || r.Verdict.Kind == 0 {
		return Verdict{Kind: Unavailable}
	}
	return r.Verdict
}

func (l *Journal) submitLocal(ctx context.Context, cell Cell, op *Op) Verdict {
	for ctx.Err() == nil {
		b, err := l.batcher(cell)
		if err != nil {
			break
		}
		verdict := b.submit(ctx, op)
		if verdict.Kind != Unavailable || !isStopped(b.task) {
			return verdict
		}
	}
	return Verdict{Kind: Unavailable}
}

func isStopped(t *task.Task[batcherMessage]) bool {
	select {
	case <-t.Done():
		return true
	default:
		return false
	}
}

// awaitAttempt waits until an intent of this router ends or ctx ends, and
// returns its status.
func (l *Journal) awaitAttempt(ctx context.Context, n Nonce) attemptStatus {
	intent := l.intents.find(n)
	if intent == nil {
		return attemptStatus{}
	}
	select {
	case <-intent.done:
		return attemptStatus{Known: true, Ended: true, NotRun: intent.notRun, Result: intent.result}
	case <-ctx.Done():
		if intent.isDone() {
			return attemptStatus{Known: true, Ended: true, NotRun: intent.notRun, Result: intent.result}
		}
		return attemptStatus{Known: true}
	}
}

// Join waits for the end of a recorded intent, until ctx ends, and returns its
// record: still StateIntent if the request is running, StateUnknown if its owner
// is gone or cannot be reached. ErrNotRun means that the owner will not run it.
func (l *Journal) Join(ctx context.Context, record Record) (Record, error) {
	if record.State != StateIntent {
		return record, nil
	}
	status, err := l.queryOwner(ctx, record)
	switch {
	case err == nil && status.NotRun:
		return record, ErrNotRun
	case err == nil && status.Ended:
		record.State = status.Result.State
		record.Response = status.Result.Response
		return record, nil
	case err == nil && status.Known:
		return record, nil
	default:
		return l.rereadRecord(ctx, record)
	}
}

func (l *Journal) queryOwner(ctx context.Context, record Record) (attemptStatus, error) {
	if record.Owner == l.owner {
		return l.awaitAttempt(ctx, record.Nonce), nil
	}
	owner, ok := l.cfg.FindRouter(record.Owner.Router)
	if !ok {
		return attemptStatus{}, peer.ErrUnreachable
	}
	var reply peerReply
	query := &peerCall{Nonce: record.Nonce, BootID: record.Owner.BootID, WaitMS: joinWaitMS(ctx)}
	err := l.cfg.PeerClient.Call(ctx, owner.PeerAddr, peer.MethodJournal, query, &reply)
	return reply.Attempt, err
}

func joinWaitMS(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return beginTimeout.Milliseconds()
	}
	return max(0, (time.Until(deadline) - joinMargin).Milliseconds())
}

// rereadRecord reads a record for which its owner returned no status, since the
// owner may have recorded the result before it stopped.
func (l *Journal) rereadRecord(ctx context.Context, record Record) (Record, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), remoteTimeout)
	defer cancel()
	found, err := l.readRecord(ctx, record.Cell, record.Hash, l.cfg.Clock())
	if err == nil && found.State != StateIntent {
		return found, nil
	}
	event.JournalOwnerUnknown.Log(l.cfg.Log).Str("owner", string(record.Owner.Router)).Send()
	record.State = StateUnknown
	return record, nil
}
