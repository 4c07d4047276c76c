package home

import (
	"ragwortpond.example/ragwortpond/admission"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/placement"
)

// waiter is an attempt before a gate.
type waiter struct {
	attempt     placement.Attempt
	limits      placement.Limits
	account     fleet.AccountName
	weight      float64
	work        float64
	priority    int
	queueLength int
	resume      bool
	// admitted is closed when the attempt may go.
	admitted chan struct{}
	// displaced is closed when the attempt gave way to another in a full queue,
	// or when its target got another home; moved tells the latter.
	displaced chan struct{}
	moved     bool
}

// waitQueue orders waiting attempts by falling priority, and within a priority
// fairly between client accounts.
type waitQueue struct {
	fair admission.Queue[*waiter]
}

func (q *waitQueue) len() int {
	return q.fair.Len()
}

// push adds a waiter. It returns those that give way, which are not told, or
// the refusal of a full queue.
func (q *waitQueue) push(w *waiter) ([]*waiter, *admission.Refusal) {
	return q.fair.Push(admission.Waiting[*waiter]{
		Account: w.account, Weight: w.weight, Priority: w.priority, Cost: w.work, Value: w,
	}, w.queueLength)
}

func (q *waitQueue) head() *waiter {
	w, _ := q.fair.Head()
	return w.Value
}

// pop takes the head.
func (q *waitQueue) pop() {
	q.fair.Pop()
}

// remove takes out a waiter that gave up and reports whether it waited.
func (q *waitQueue) remove(w *waiter) bool {
	return q.fair.Remove(w)
}

// precedes reports whether an attempt waits that goes before w.
func (q *waitQueue) precedes(w *waiter) bool {
	head := q.head()
	return head != nil && head != w && head.priority >= w.priority
}
