package membership

import "time"

// queue holds rumours that are still to be sent, at most one a subject, within
// a budget of bytes.
type queue struct {
	order  []string
	items  map[string]*pending
	tokens float64
	filled time.Time
}

type pending struct {
	rumour Rumour
	sends  int
}

func newQueue(now time.Time) *queue {
	return &queue{items: map[string]*pending{}, tokens: eventBytesBurst, filled: now}
}

func subject(r Rumour) string {
	if r.VM != "" {
		return "vm/" + r.VM
	}
	return "router/" + string(r.ID)
}

// add queues a rumour; it supersedes an older one of the same subject.
func (q *queue) add(r Rumour) {
	key := subject(r)
	if p, ok := q.items[key]; ok {
		p.rumour = r
		p.sends = rumourSends
		return
	}
	q.items[key] = &pending{rumour: r, sends: rumourSends}
	q.order = append(q.order, key)
}

// fresh reports whether a rumour waits that has not been sent yet.
func (q *queue) fresh() bool {
	for _, p := range q.items {
		if p.sends == rumourSends {
			return true
		}
	}
	return false
}

// take returns the rumours of one round, which goes to copies receivers, and
// charges the budget for it.
func (q *queue) take(now time.Time, copies int) []Rumour {
	q.refill(now)
	if copies == 0 || len(q.order) == 0 {
		return nil
	}
	var taken []Rumour
	var bytes int
	var again []string
	i := 0
	for ; i < len(q.order); i++ {
		p := q.items[q.order[i]]
		size := p.rumour.size()
		cost := float64(size * copies)
		if bytes+size > maxEventBytes || cost > q.tokens {
			break
		}
		bytes += size
		q.tokens -= cost
		taken = append(taken, p.rumour)
		p.sends--
		if p.sends > 0 {
			again = append(again, q.order[i])
			continue
		}
		delete(q.items, q.order[i])
	}
	q.order = append(q.order[i:len(q.order):len(q.order)], again...)
	return taken
}

func (q *queue) refill(now time.Time) {
	elapsed := now.Sub(q.filled).Seconds()
	if elapsed <= 0 {
		return
	}
	q.filled = now
	q.tokens = min(q.tokens+elapsed*eventBytesPerSec, eventBytesBurst)
}
