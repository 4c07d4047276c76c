package keyjournal

import (
	"context"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/event"
)

const (
	maxBacklogOps     = 10_000
	flushPollInterval = 5 * time.Millisecond
	retryBatchSize    = 64
)

// backlog holds failed operations that are to be retried, and counts those that
// are running in the background. It is safe for concurrent use.
type backlog struct {
	mu      sync.Mutex
	waiting []backlogEntry
	running int
}

type backlogEntry struct {
	grant Grant
	op    *Op
}

func newBacklog() *backlog {
	return &backlog{}
}

func (b *backlog) startOp() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running++
}

func (b *backlog) endOp() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

// add appends an operation. It returns false if the backlog was full and the
// oldest operation was dropped.
func (b *backlog) add(s backlogEntry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, s)
	if len(b.waiting) <= maxBacklogOps {
		return true
	}
	b.waiting = b.waiting[1:]
	return false
}

func (b *backlog) take(n int) []backlogEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, len(b.waiting))
	entries := append([]backlogEntry(nil), b.waiting[:n]...)
	b.waiting = b.waiting[n:]
	return entries
}

func (b *backlog) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting) + b.running
}

func (b *backlog) wait(ctx context.Context) error {
	ticker := time.NewTicker(flushPollInterval)
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

func (l *Journal) addToBacklog(grant Grant, op *Op) {
	if !l.backlog.add(backlogEntry{grant, op}) {
		event.JournalBacklogFull.Log(l.cfg.Log).Send()
	}
}

// retryBacklog retries the waiting operations in batches, oldest first, until
// none is left, a whole batch fails or ctx ends.
func (l *Journal) retryBacklog(ctx context.Context) {
	for ctx.Err() == nil {
		batch := l.backlog.take(retryBatchSize)
		if len(batch) == 0 || l.retryBatch(ctx, batch) == 0 {
			return
		}
	}
}

func (l *Journal) retryBatch(ctx context.Context, batch []backlogEntry) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	completed := 0
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	for _, s := range batch {
		wg.Go(func() {
			if l.submit(ctx, s.grant.Cell, s.op).Kind == Unavailable {
				l.addToBacklog(s.grant, s.op)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			completed++
		})
	}
	wg.Wait()
	return completed
}
