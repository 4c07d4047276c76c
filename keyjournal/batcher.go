package keyjournal

import (
	"context"
	"time"

	"ragwortpond.example/ragwortpond/task"
)

const (
	batcherMailboxSize = 4096
	batcherIdleTimeout = 30 * time.Second
	finishBatchDelay   = 500 * time.Millisecond
)

// pendingOp is an operation that waits for its verdict.
type pendingOp struct {
	op      *Op
	verdict chan Verdict
}

// batcherMessage is a message to a batcher; exactly one field is set.
type batcherMessage struct {
	add *pendingOp
	// flush is the number of the timer that fired.
	flush     uint64
	done      *writeOutcome
	idleQuery chan bool
}

// writeOutcome is what a write reports to its batcher. The snapshot is empty
// after a failure.
type writeOutcome struct {
	snapshot cellSnapshot
	stats    writeStats
}

// batcher collects the operations of one cell into batches and writes one batch
// at a time. It is a task: its fields belong to the task's goroutine.
type batcher struct {
	log    *Journal
	cell   Cell
	task   *task.Task[batcherMessage]
	ctx    context.Context
	cancel context.CancelFunc

	pending []*pendingOp
	// cached is the snapshot that the last write left.
	cached  cellSnapshot
	limiter *shardLimiter
	writing bool
	// armedTimer is the number of the timer that fires at flushAt, zero for none;
	// lastTimer is the last number that was given out.
	armedTimer uint64
	lastTimer  uint64
	flushAt    time.Time
	lastUsed   time.Time
}

// batcher returns the cell's batcher, which is created on first use. It returns
// task.ErrStopped after Close.
func (l *Journal) batcher(cell Cell) (*batcher, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.batchers == nil {
		return nil, task.ErrStopped
	}
	if b, ok := l.batchers[cell]; ok {
		return b, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &batcher{log: l, cell: cell, ctx: ctx, cancel: cancel, lastUsed: time.Now(), limiter: l.limiter(cell.Shard)}
	t, err := task.Start(l.pool, batcherMailboxSize, b.handle)
	if err != nil {
		cancel()
		return nil, err
	}
	b.task = t
	l.batchers[cell] = b
	return b, nil
}

func (b *batcher) stop() {
	b.cancel()
	b.task.Stop()
}

// submit passes an operation to the batcher and waits for its verdict.
func (b *batcher) submit(ctx context.Context, op *Op) Verdict {
	p := &pendingOp{op: op, verdict: make(chan Verdict, 1)}
	if b.task.Deliver(ctx, batcherMessage{add: p}) != nil {
		return Verdict{Kind: Unavailable}
	}
	select {
	case v := <-p.verdict:
		return v
	case <-b.task.Done():
		return Verdict{Kind: Unavailable}
	case <-ctx.Done():
		return Verdict{Kind: Unavailable}
	}
}

func (b *batcher) handle(m batcherMessage) {
	switch {
	case m.add != nil:
		b.lastUsed = time.Now()
		b.pending = append(b.pending, m.add)
		b.scheduleFlush(b.batchDelay(m.add.op))
	case m.flush != 0:
		b.flush(m.flush)
	case m.done != nil:
		b.finishWrite(m.done)
	case m.idleQuery != nil:
		m.idleQuery <- b.isIdle()
	}
}

func (b *batcher) isIdle() bool {
	return !b.writing && len(b.pending) == 0 && time.Since(b.lastUsed) > batcherIdleTimeout
}

// batchDelay returns how long an operation may wait for others to share its
// write. OpFinish and OpRelease may wait longer, because no client waits for
// them.
func (b *batcher) batchDelay(op *Op) time.Duration {
	if op.Kind == OpBegin {
		return b.limiter.delay(b.log.cfg.Settings().BatchMS.Duration())
	}
	return b.limiter.delay(finishBatchDelay)
}

// scheduleFlush ensures that a flush follows within delay. While a write is in
// progress it does nothing: finishWrite schedules the next flush.
func (b *batcher) scheduleFlush(delay time.Duration) {
	flushAt := time.Now().Add(delay)
	if b.writing || b.armedTimer != 0 && !flushAt.Before(b.flushAt) {
		return
	}
	b.lastTimer++
	b.armedTimer = b.lastTimer
	b.flushAt = flushAt
	timer := b.armedTimer
	time.AfterFunc(delay, func() { _ = b.task.Deliver(b.ctx, batcherMessage{flush: timer}) })
}

func (b *batcher) flush(timer uint64) {
	if timer != b.armedTimer || b.writing {
		return
	}
	b.armedTimer = 0
	if len(b.pending) == 0 {
		return
	}
	batch := b.pending
	b.pending = nil
	b.writing = true
	b.limiter.recordStart()
	snapshot := b.cached
	err := b.log.pool.Go(func() {
		outcome := b.write(snapshot, batch)
		_ = b.task.Deliver(b.ctx, batcherMessage{done: outcome})
	})
	if err != nil {
		b.writing = false
		replyAll(batch, Verdict{Kind: Unavailable})
	}
}

// finishWrite takes over the outcome of a write and schedules the next flush.
func (b *batcher) finishWrite(outcome *writeOutcome) {
	b.writing = false
	b.cached = outcome.snapshot
	b.limiter.recordWrite(outcome.stats)
	for _, p := range b.pending {
		b.scheduleFlush(b.batchDelay(p.op))
	}
}

func replyAll(batch []*pendingOp, v Verdict) {
	for _, p := range batch {
		p.verdict <- v
	}
}

// stopIdleBatchers stops the batchers that were idle for batcherIdleTimeout.
func (l *Journal) stopIdleBatchers() {
	l.mu.Lock()
	batchers := make([]*batcher, 0, len(l.batchers))
	for _, b := range l.batchers {
		batchers = append(batchers, b)
	}
	l.mu.Unlock()
	for _, b := range batchers {
		idle := make(chan bool, 1)
		if b.task.Send(batcherMessage{idleQuery: idle}) != nil {
			continue
		}
		if !<-idle {
			continue
		}
		l.mu.Lock()
		delete(l.batchers, b.cell)
		l.mu.Unlock()
		b.stop()
	}
}
