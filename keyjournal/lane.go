package keyjournal

import (
	"context"
	"time"

	"ragwortpond.example/ragwortpond/task"
)

const (
	laneMailbox = 4096
	laneIdle    = 30 * time.Second
	settleWait  = 500 * time.Millisecond
)

// request is an operation that waits for its verdict.
type request struct {
	op    *Op
	reply chan Verdict
}

// laneMessage is one message to a lane; one field is set.
type laneMessage struct {
	add    *request
	flush  uint64
	done   *writeDone
	isIdle chan bool
}

// writeDone is what a write leaves to its lane.
type writeDone struct {
	held   held
	result writeResult
}

// lane gathers the operations of one cell into writes, one write at a time. It
// is a task: its fields belong to the task's goroutine.
type lane struct {
	log    *Log
	cell   Cell
	task   *task.Task[laneMessage]
	ctx    context.Context
	cancel context.CancelFunc

	waiting []*request
	held    held
	pacer   *pacer
	writing bool
	// timer is the number of the armed timer, due its time; zero for none.
	timer  uint64
	timers uint64
	due    time.Time
	used   time.Time
}

// lane returns the cell's lane, made at first use.
func (l *Log) lane(cell Cell) (*lane, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lanes == nil {
		return nil, task.ErrStopped
	}
	if ln, ok := l.lanes[cell]; ok {
		return ln, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	ln := &lane{log: l, cell: cell, ctx: ctx, cancel: cancel, used: time.Now(), pacer: l.pacer(cell.Shard)}
	t, err := task.Start(l.pool, laneMailbox, ln.handle)
	if err != nil {
		cancel()
		return nil, err
	}
	ln.task = t
	l.lanes[cell] = ln
	return ln, nil
}

func (ln *lane) stop() {
	ln.cancel()
	ln.task.Stop()
}

// submit puts an operation to the lane and waits for its verdict.
func (ln *lane) submit(ctx context.Context, op *Op) Verdict {
	r := &request{op: op, reply: make(chan Verdict, 1)}
	if ln.task.Deliver(ctx, laneMessage{add: r}) != nil {
		return Verdict{Kind: Unavailable}
	}
	select {
	case v := <-r.reply:
		return v
	case <-ln.task.Done():
		return Verdict{Kind: Unavailable}
	case <-ctx.Done():
		return Verdict{Kind: Unavailable}
	}
}

func (ln *lane) handle(m laneMessage) {
	switch {
	case m.add != nil:
		ln.used = time.Now()
		ln.waiting = append(ln.waiting, m.add)
		ln.arm(ln.patience(m.add.op))
	case m.flush != 0:
		ln.flush(m.flush)
	case m.done != nil:
		ln.finishWrite(m.done)
	case m.isIdle != nil:
		m.isIdle <- ln.idle()
	}
}

func (ln *lane) idle() bool {
	return !ln.writing && len(ln.waiting) == 0 && time.Since(ln.used) > laneIdle
}

// patience is how long an operation may wait for others to share its write.
// Nobody waits for a result or a release to be recorded.
func (ln *lane) patience(op *Op) time.Duration {
	if op.Kind == OpBegin {
		return ln.pacer.wait(ln.log.cfg.Values().BatchMS.Duration())
	}
	return ln.pacer.wait(settleWait)
}

// arm sees to a flush after wait at the latest.
func (ln *lane) arm(wait time.Duration) {
	due := time.Now().Add(wait)
	if ln.writing || ln.timer != 0 && !due.Before(ln.due) {
		return
	}
	ln.timers++
	ln.timer = ln.timers
	ln.due = due
	number := ln.timer
	time.AfterFunc(wait, func() { _ = ln.task.Deliver(ln.ctx, laneMessage{flush: number}) })
}

func (ln *lane) flush(timer uint64) {
	if timer != ln.timer || ln.writing {
		return
	}
	ln.timer = 0
	if len(ln.waiting) == 0 {
		return
	}
	batch := ln.waiting
	ln.waiting = nil
	ln.writing = true
	ln.pacer.started()
	start := ln.held
	err := ln.log.pool.Go(func() {
		done := ln.write(start, batch)
		_ = ln.task.Deliver(ln.ctx, laneMessage{done: done})
	})
	if err != nil {
		ln.writing = false
		answerAll(batch, Verdict{Kind: Unavailable})
	}
}

// finishWrite takes over what a write left and arms the next.
func (ln *lane) finishWrite(done *writeDone) {
	ln.writing = false
	ln.held = done.held
	ln.pacer.ended(done.result)
	for _, r := range ln.waiting {
		ln.arm(ln.patience(r.op))
	}
}

func answerAll(batch []*request, v Verdict) {
	for _, r := range batch {
		r.reply <- v
	}
}

// retireIdle stops lanes that had nothing to do for some time.
func (l *Log) retireIdle() {
	l.mu.Lock()
	lanes := make([]*lane, 0, len(l.lanes))
	for _, ln := range l.lanes {
		lanes = append(lanes, ln)
	}
	l.mu.Unlock()
	for _, ln := range lanes {
		answer := make(chan bool, 1)
		if ln.task.Send(laneMessage{isIdle: answer}) != nil {
			continue
		}
		if !<-answer {
			continue
		}
		l.mu.Lock()
		delete(l.lanes, ln.cell)
		l.mu.Unlock()
		ln.stop()
	}
}
