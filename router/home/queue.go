package home

import (
	"ragwortpond.example/ragwortpond/admission"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/placement"
)

// waiter is an attempt waiting for admission by a gate.
type waiter struct {
	attempt        placement.Attempt
	limits         placement.Limits
	account        fleet.AccountName
	weight         float64
	work           float64
	priority       int
	maxQueueLength int
	resume         bool
	// admitted is closed when the attempt is admitted.
	admitted chan struct{}
	// displaced is closed when the attempt was displaced from a full queue by
	// another, or when its target got another home. In the second case
	// homeChanged is set first.
	displaced   chan struct{}
	homeChanged bool
}

// waitQueue orders waiting attempts by descending priority, and fairly between
// client accounts within a priority.
type waitQueue struct {
	fair admission.Queue[*waiter]
}

func (q *waitQueue) len() int {
	return q.fair.Len()
}

// push adds a waiter. It returns the waiters that it displaced, which the
// caller must notify, or a refusal if the queue is full.
func (q *waitQueue) push(w *waiter) ([]*waiter, *admission.RefusalError) {
	return q.fair.Push(admission.QueueItem[*waiter]{
		Account: w.account, Weight: w.weight, Priority: w.priority, Cost: w.work, Value: w,
	}, w.maxQueueLength)
}

func (q *waitQueue) head() *waiter {
	w, _ := q.fair.Head()
	return w.Value
}

// pop removes the head of the queue.
func (q *waitQueue) pop() {
	q.fair.Pop()
}

// remove removes a waiter that no longer waits and reports whether it was
// queued.
func (q *waitQueue) remove(w *waiter) bool {
	return q.fair.Remove(w)
}

// precedes reports whether an attempt is queued that has to be admitted before
// w.
func (q *waitQueue) precedes(w *waiter) bool {
	head := q.head()
	return head != nil && head != w && head.priority >= w.priority
}
