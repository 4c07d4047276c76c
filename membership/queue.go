package membership

import "time"

// updateQueue holds the updates still to be sent, at most one per router or VM.
// Sending is limited by a token bucket of bytes. Updates that carry a full
// router record, which announce new routers, are sent after all others.
type updateQueue struct {
	urgent      []string
	normal      []string
	pending     map[string]*queuedUpdate
	budgetBytes float64
	refilledAt  time.Time
}

type queuedUpdate struct {
	update    Update
	sendsLeft int
	urgent    bool
}

func newUpdateQueue(now time.Time) *updateQueue {
	return &updateQueue{pending: map[string]*queuedUpdate{}, budgetBytes: updateBurstBytes, refilledAt: now}
}

func subjectKey(r Update) string {
	if r.VM != "" {
		return "vm/" + r.VM
	}
	return "router/" + string(r.ID)
}

// add queues an update and replaces an older one for the same router or VM.
func (q *updateQueue) add(r Update) {
	key := subjectKey(r)
	p := &queuedUpdate{update: r, sendsLeft: sendsPerUpdate, urgent: r.Router == nil}
	old, queued := q.pending[key]
	q.pending[key] = p
	if queued && old.urgent == p.urgent {
		return
	}
	if p.urgent {
		q.urgent = append(q.urgent, key)
		return
	}
	q.normal = append(q.normal, key)
}

// hasUnsent reports whether either list starts with an update that was never
// sent.
func (q *updateQueue) hasUnsent() bool {
	return q.firstUnsent(q.urgent) || q.firstUnsent(q.normal)
}

// firstUnsent reports whether the first pending update was never sent. Updates
// that were sent once move to the end of the list; it does not see an unsent
// one added after them.
func (q *updateQueue) firstUnsent(keys []string) bool {
	for _, key := range keys {
		if p, queued := q.pending[key]; queued {
			return p.sendsLeft == sendsPerUpdate
		}
	}
	return false
}

// take returns the updates for the next message, which is sent to the given
// number of receivers, and charges the budget for all copies.
func (q *updateQueue) take(now time.Time, receivers int) []Update {
	q.refill(now)
	if receivers == 0 {
		return nil
	}
	remaining := maxUpdateBytesPerMessage
	var taken []Update
	q.urgent, taken = q.takeFrom(q.urgent, true, &remaining, receivers, nil)
	q.normal, taken = q.takeFrom(q.normal, false, &remaining, receivers, taken)
	return taken
}

// takeFrom appends updates of one list to taken while they fit into the
// remaining bytes of the message and into the budget. It returns the keys that
// stay in the list, and taken.
func (q *updateQueue) takeFrom(keys []string, urgent bool, remaining *int, receivers int, taken []Update) ([]string, []Update) {
	var resend []string
	for i, key := range keys {
		p, queued := q.pending[key]
		if !queued || p.urgent != urgent {
			continue
		}
		size := p.update.size()
		cost := float64(size * receivers)
		if size > *remaining || cost > q.budgetBytes {
			return append(keys[i:len(keys):len(keys)], resend...), taken
		}
		*remaining -= size
		q.budgetBytes -= cost
		taken = append(taken, p.update)
		p.sendsLeft--
		if p.sendsLeft == 0 {
			delete(q.pending, key)
			continue
		}
		resend = append(resend, key)
	}
	return resend, taken
}

func (q *updateQueue) refill(now time.Time) {
	elapsed := now.Sub(q.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	q.refilledAt = now
	q.budgetBytes = min(q.budgetBytes+elapsed*updateBytesPerSecond, updateBurstBytes)
}
