// Package task runs tasks with bounded mailboxes on an ants pool. A task owns
// its state; others reach it only by messages, handled one at a time.
package task

import (
	"context"
	"errors"
	"sync"

	"github.com/panjf2000/ants/v2"
)

// ErrMailboxFull is returned when a mailbox holds its capacity of messages.
var ErrMailboxFull = errors.New("task: mailbox full")

// ErrStopped is returned when the task no longer takes messages.
var ErrStopped = errors.New("task: stopped")

// Pool runs functions on a bounded number of goroutines.
type Pool struct {
	ants *ants.Pool
}

// NewPool returns a pool of at most size goroutines. Go returns
// ants.ErrPoolOverload rather than blocking when all are busy.
func NewPool(size int) (*Pool, error) {
	p, err := ants.NewPool(size, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	return &Pool{ants: p}, nil
}

// Go runs f on the pool.
func (p *Pool) Go(f func()) error {
	return p.ants.Submit(f)
}

// Running returns the number of busy goroutines.
func (p *Pool) Running() int {
	return p.ants.Running()
}

// Release stops the pool's idle goroutines; functions that still run finish.
func (p *Pool) Release() {
	p.ants.Release()
}

// Task is a mailbox with one goroutine that handles its messages in order.
type Task[M any] struct {
	mailbox chan M
	done    chan struct{}
	stop    context.CancelFunc
	once    sync.Once
}

// Start runs a task on the pool. The handler is called for one message at a
// time, so the state it closes over needs no lock. Start returns the pool's
// error if no goroutine is free.
func Start[M any](pool *Pool, capacity int, handle func(M)) (*Task[M], error) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Task[M]{mailbox: make(chan M, capacity), done: make(chan struct{}), stop: cancel}
	err := pool.Go(func() { t.loop(ctx, handle) })
	if err != nil {
		cancel()
		return nil, err
	}
	return t, nil
}

func (t *Task[M]) loop(ctx context.Context, handle func(M)) {
	defer close(t.done)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-t.mailbox:
			handle(m)
		}
	}
}

// Send puts m in the mailbox without blocking: ErrMailboxFull when it is
// full, ErrStopped when the task has stopped.
func (t *Task[M]) Send(m M) error {
	select {
	case <-t.done:
		return ErrStopped
	default:
	}
	select {
	case t.mailbox <- m:
		return nil
	default:
		return ErrMailboxFull
	}
}

// Deliver puts m in the mailbox, waiting for room until ctx ends.
func (t *Task[M]) Deliver(ctx context.Context, m M) error {
	select {
	case t.mailbox <- m:
		return nil
	case <-t.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Done is closed when the task has stopped; messages still in the mailbox then
// are not handled.
func (t *Task[M]) Done() <-chan struct{} {
	return t.done
}

// Stop ends the task after the message it is handling and waits for it. It
// may be called more than once, and not from the handler.
func (t *Task[M]) Stop() {
	t.once.Do(t.stop)
	<-t.done
}
