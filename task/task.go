// Package task runs tasks with bounded mailboxes on a goroutine pool. A task owns its
// state; other goroutines access it only through messages, which are handled one at
// a time.
package task

import (
	"context"
	"errors"
	"sync"

	"github.com/panjf2000/ants/v2"
)

// ErrMailboxFull is returned by Send when the mailbox is full.
var ErrMailboxFull = errors.New("task: mailbox full")

// ErrStopped is returned by Send and Deliver when the task has stopped.
var ErrStopped = errors.New("task: stopped")

// Pool runs functions on a bounded number of goroutines. It is safe for concurrent
// use.
type Pool struct {
	ants *ants.Pool
}

// NewPool returns a pool of at most size goroutines.
func NewPool(size int) (*Pool, error) {
	p, err := ants.NewPool(size, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	return &Pool{ants: p}, nil
}

// Go runs f on the pool. When all goroutines are busy, it returns
// ants.ErrPoolOverload and does not block.
func (p *Pool) Go(f func()) error {
	return p.ants.Submit(f)
}

// Running returns the number of busy goroutines.
func (p *Pool) Running() int {
	return p.ants.Running()
}

// Release closes the pool and stops its idle goroutines. Running functions finish.
func (p *Pool) Release() {
	p.ants.Release()
}

// Task is a mailbox with one goroutine that handles the messages in order. It is safe
// for concurrent use.
type Task[M any] struct {
	mailbox chan M
	done    chan struct{}
	stop    context.CancelFunc
	once    sync.Once
}

// Start starts a task on the pool with a mailbox of the given capacity. handle is
// called for one message at a time, so the state it closes over needs no lock. Start
// returns the error of Pool.Go if no goroutine is free.
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

// Send puts m in the mailbox without blocking. It returns ErrMailboxFull if the
// mailbox is full and ErrStopped if the task has stopped.
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

// Deliver puts m in the mailbox and blocks while it is full. It returns ErrStopped
// if the task stops, or the error of ctx if ctx ends. If the mailbox has room, it may
// also return nil for a stopped task or an ended ctx.
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

// Done returns a channel that is closed when the task has stopped. Messages that are
// still in the mailbox then are not handled.
func (t *Task[M]) Done() <-chan struct{} {
	return t.done
}

// Stop stops the task after the current message and waits for it. It may be called
// more than once. It must not be called from the handler, where it would block
// forever.
func (t *Task[M]) Stop() {
	t.once.Do(t.stop)
	<-t.done
}
