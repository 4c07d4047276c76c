package keyjournal

import (
	"context"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/event"
)

const (
	maxBacklog  = 10_000
	flushPoll   = 5 * time.Millisecond
	retryAtOnce = 64
)

// backlog holds operations that could not be carried out, and counts those
// under way. It is safe for concurrent use.
type backlog struct {
	mu      sync.Mutex
	waiting []settlement
	running int
}

type settlement struct {
	grant Grant
	op    *Op
}

func newBacklog() *backlog {
	return &backlog{}
}

func (b *backlog) begin() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running++
}

func (b *backlog) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

// add returns false if the oldest operation was dropped to make room.
func (b *backlog) add(s settlement) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, s)
	if len(b.waiting) <= maxBacklog {
		return true
	}
	b.waiting = b.waiting[1:]
	return false
}

func (b *backlog) take(n int) []settlement {
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, len(b.waiting))
	taken := append([]settlement(nil), b.waiting[:n]...)
	b.waiting = b.waiting[n:]
	return taken
}

func (b *backlog) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting) + b.running
}

func (b *backlog) wait(ctx context.Context) error {
	ticker := time.NewTicker(flushPoll)
	defer ticker.Stop()
	for b.size() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (l *Log) addBacklog(grant Grant, op *Op) {
	if !l.backlog.add(settlement{grant, op}) {
		event.JournalBacklogFull.Log(l.cfg.Log).Send()
	}
}

// retryBacklog tries the oldest waiting operations again, until one round
// brings none through.
func (l *Log) retryBacklog(ctx context.Context) {
	for ctx.Err() == nil {
		batch := l.backlog.take(retryAtOnce)
		if len(batch) == 0 || l.retryRound(ctx, batch) == 0 {
			return
		}
	}
}

func (l *Log) retryRound(ctx context.Context, batch []settlement) int {
	var wait sync.WaitGroup
	var mu sync.Mutex
	through := 0
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	for _, s := range batch {
		wait.Go(func() {
			if l.submit(ctx, s.grant.Cell, s.op).Kind == Unavailable {
				l.addBacklog(s.grant, s.op)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			through++
		})
	}
	wait.Wait()
	return through
}
