package home

import (
	"slices"

	"ragwortpond.example/ragwortpond/placement"
)

// waiter is an attempt before a gate.
type waiter struct {
	attempt     placement.Attempt
	limits      placement.Limits
	priority    int
	queueLength int
	resume      bool
	// admitted is closed when the attempt may go.
	admitted chan struct{}
}

// waitQueue orders waiting attempts by falling priority, then by arrival.
type waitQueue struct {
	waiters []*waiter
}

func (q *waitQueue) len() int {
	return len(q.waiters)
}

func (q *waitQueue) push(w *waiter) {
	i := len(q.waiters)
	for i > 0 && q.waiters[i-1].priority < w.priority {
		i--
	}
	q.waiters = slices.Insert(q.waiters, i, w)
}

func (q *waitQueue) head() *waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	return q.waiters[0]
}

func (q *waitQueue) remove(w *waiter) {
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
}

// precedes reports whether an attempt waits that goes before w.
func (q *waitQueue) precedes(w *waiter) bool {
	head := q.head()
	return head != nil && head != w && head.priority >= w.priority
}
