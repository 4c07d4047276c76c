package membership

import "time"

// queue holds rumours that are still to be sent, at most one a subject, within
// a budget of bytes. Announcements of new routers give way to the others.
type queue struct {
	urgent []string
	others []string
	items  map[string]*pending
	tokens float64
	filled time.Time
}

type pending struct {
	rumour Rumour
	sends  int
	urgent bool
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
	p := &pending{rumour: r, sends: rumourSends, urgent: r.Router == nil}
	old, waits := q.items[key]
	q.items[key] = p
	if waits && old.urgent == p.urgent {
		return
	}
	if p.urgent {
		q.urgent = append(q.urgent, key)
		return
	}
	q.others = append(q.others, key)
}

// fresh reports whether a rumour waits that has not been sent yet.
func (q *queue) fresh() bool {
	return q.anyFresh(q.urgent) || q.anyFresh(q.others)
}

// anyFresh looks at the head of a line: rumours sent once stand at its end.
func (q *queue) anyFresh(line []string) bool {
	for _, key := range line {
		if p, waits := q.items[key]; waits {
			return p.sends == rumourSends
		}
	}
	return false
}

// take returns the rumours of one round, which goes to copies receivers, and
// charges the budget for it.
func (q *queue) take(now time.Time, copies int) []Rumour {
	q.refill(now)
	if copies == 0 {
		return nil
	}
	room := maxEventBytes
	var taken []Rumour
	q.urgent, taken = q.takeLine(q.urgent, true, &room, copies, nil)
	q.others, taken = q.takeLine(q.others, false, &room, copies, taken)
	return taken
}

// takeLine takes from one line while room in bytes and the budget last, and
// returns what stays in it.
func (q *queue) takeLine(line []string, urgent bool, room *int, copies int, taken []Rumour) ([]string, []Rumour) {
	var again []string
	for i, key := range line {
		p, waits := q.items[key]
		if !waits || p.urgent != urgent {
			continue
		}
		size := p.rumour.size()
		cost := float64(size * copies)
		if size > *room || cost > q.tokens {
			return append(line[i:len(line):len(line)], again...), taken
		}
		*room -= size
		q.tokens -= cost
		taken = append(taken, p.rumour)
		p.sends--
		if p.sends == 0 {
			delete(q.items, key)
			continue
		}
		again = append(again, key)
	}
	return again, taken
}

func (q *queue) refill(now time.Time) {
	elapsed := now.Sub(q.filled).Seconds()
	if elapsed <= 0 {
		return
	}
	q.filled = now
	q.tokens = min(q.tokens+elapsed*eventBytesPerSec, eventBytesBurst)
}
