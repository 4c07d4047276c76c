package membership

import "time"

// rumourQueue holds the rumours still to be sent, at most one per router or VM.
// Sending is limited by a token bucket of bytes. Rumours that carry a full
// router record, which announce new routers, are sent after all others.
type rumourQueue struct {
	urgent      []string
	normal      []string
	pending     map[string]*queuedRumour
	budgetBytes float64
	refilledAt  time.Time
}

type queuedRumour struct {
	rumour    Update
	sendsLeft int
	urgent    bool
}

func newRumourQueue(now time.Time) *rumourQueue {
	return &rumourQueue{pending: map[string]*queuedRumour{}, budgetBytes: rumourBurstBytes, refilledAt: now}
}

func subjectKey(r Update) string {
	if r.VM != "" {
		return "vm/" + r.VM
	}
	return "router/" + string(r.ID)
}

// add queues a rumour and replaces an older one for the same router or VM.
func (q *rumourQueue) add(r Update) {
	key := subjectKey(r)
	p := &queuedRumour{rumour: r, sendsLeft: sendsPerRumour, urgent: r.Router == nil}
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

// hasUnsent reports whether either list starts with a rumour that was never
// sent.
func (q *rumourQueue) hasUnsent() bool {
	return q.firstUnsent(q.urgent) || q.firstUnsent(q.normal)
}

// firstUnsent reports whether the first pending rumour was never sent. Rumours
// that were sent once move to the end of the list; it does not see an unsent
// one added after them.
func (q *rumourQueue) firstUnsent(keys []string) bool {
	for _, key := range keys {
		if p, queued := q.pending[key]; queued {
			return p.sendsLeft == sendsPerRumour
		}
	}
	return false
}

// take returns the rumours for the next message, which is sent to the given
// number of receivers, and charges the budget for all copies.
func (q *rumourQueue) take(now time.Time, receivers int) []Update {
	q.refill(now)
	if receivers == 0 {
		return nil
	}
	remaining := maxRumourBytesPerMessage
	var taken []Update
	q.urgent, taken = q.takeFrom(q.urgent, true, &remaining, receivers, nil)
	q.normal, taken = q.takeFrom(q.normal, false, &remaining, receivers, taken)
	return taken
}

// takeFrom appends rumours of one list to taken while they fit into the
// remaining bytes of the message and into the budget. It returns the keys that
// stay in the list, and taken.
func (q *rumourQueue) takeFrom(keys []string, urgent bool, remaining *int, receivers int, taken []Update) ([]string, []Update) {
	var resend []string
	for i, key := range keys {
		p, queued := q.pending[key]
		if !queued || p.urgent != urgent {
			continue
		}
		size := p.rumour.size()
		cost := float64(size * receivers)
		if size > *remaining || cost > q.budgetBytes {
			return append(keys[i:len(keys):len(keys)], resend...), taken
		}
		*remaining -= size
		q.budgetBytes -= cost
		taken = append(taken, p.rumour)
		p.sendsLeft--
		if p.sendsLeft == 0 {
			delete(q.pending, key)
			continue
		}
		resend = append(resend, key)
	}
	return resend, taken
}

func (q *rumourQueue) refill(now time.Time) {
	elapsed := now.Sub(q.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	q.refilledAt = now
	q.budgetBytes = min(q.budgetBytes+elapsed*rumourBytesPerSecond, rumourBurstBytes)
}
