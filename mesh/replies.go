package mesh

import (
	"sync"
	"time"
)

// maxPendingReplies bounds the questions of one kind that wait for their replies.
const maxPendingReplies = 4096

// pendingReplies matches the replies to questions sent in datagrams. It is safe for
// concurrent use.
type pendingReplies[T any] struct {
	mu       sync.Mutex
	sequence uint32
	waiting  map[uint32]chan T
}

// expect registers a question with up to n replies and returns the sequence number to send
// with it and the channel of the replies. It returns false if too many questions wait.
// The caller must call forget.
func (p *pendingReplies[T]) expect(n int) (uint32, <-chan T, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) >= maxPendingReplies {
		return 0, nil, false
	}
	if p.waiting == nil {
		p.waiting = map[uint32]chan T{}
	}
	p.sequence++
	replies := make(chan T, n)
	p.waiting[p.sequence] = replies
	return p.sequence, replies, true
}

// forget drops a question.
func (p *pendingReplies[T]) forget(sequence uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, sequence)
}

// deliver passes on a reply to a question. Replies that nobody waits for are dropped.
func (p *pendingReplies[T]) deliver(sequence uint32, reply T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case p.waiting[sequence] <- reply:
	default:
	}
}

// receive returns the next reply, or false if there is none within a time.
func receive[T any](replies <-chan T, timeout time.Duration) (T, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		return reply, true
	case <-timer.C:
		var none T
		return none, false
	}
}
