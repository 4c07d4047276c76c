package admission

import (
	"slices"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/reason"
)

// QueueItem is a request in a Queue.
type QueueItem[T comparable] struct {
	Account fleet.AccountName
	// Weight is the account's share of the service; values of zero or less count as one.
	Weight float64
	// Priority orders requests: larger numbers are served first, unlike
	// catalog.Route.Priority.
	Priority int
	// Cost is the request's work in any unit; values of zero or less count as one.
	Cost  float64
	Value T
}

// Queue is a bounded queue of waiting requests. Higher priorities are served
// first. Within a priority, accounts share the service by weight (start-time fair
// queueing over virtual time), and requests of one account are served in order.
// The zero value is an empty queue.
type Queue[T comparable] struct {
	flows map[flowKey]*flow[T]
	// virtualTime is the virtual time of each priority.
	virtualTime map[int]float64
	length      int
	lastArrival uint64
}

type flowKey struct {
	priority int
	account  fleet.AccountName
}

// flow holds the requests of one account at one priority. start is the virtual
// start time of its first request.
type flow[T comparable] struct {
	items   []QueueItem[T]
	start   float64
	arrival uint64
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int {
	return q.length
}

// Push adds a request to a queue of at most limit requests. If the queue is full,
// it displaces a request at the lowest priority that does not exceed the new
// one's: the last request of the account with the most queued work per weight. It
// returns the displaced requests, or a refusal if that account and priority are
// the new request's own.
func (q *Queue[T]) Push(w QueueItem[T], limit int) (displaced []T, refusal *RefusalError) {
	if limit <= 0 {
		return nil, &RefusalError{Reason: reason.QueueFull}
	}
	for q.length >= limit {
		key, ok := q.selectDisplaced(w)
		if !ok {
			return nil, &RefusalError{Reason: reason.QueueFull}
		}
		f := q.flows[key]
		last := f.items[len(f.items)-1]
		q.Remove(last.Value)
		displaced = append(displaced, last.Value)
	}
	q.enqueue(w)
	return displaced, nil
}

func (q *Queue[T]) enqueue(w QueueItem[T]) {
	if q.flows == nil {
		q.flows = map[flowKey]*flow[T]{}
		q.virtualTime = map[int]float64{}
	}
	key := flowKey{w.Priority, w.Account}
	f := q.flows[key]
	if f == nil {
		f = &flow[T]{start: q.virtualTime[w.Priority]}
		q.flows[key] = f
	}
	if len(f.items) == 0 {
		q.lastArrival++
		f.arrival = q.lastArrival
		f.start = max(f.start, q.virtualTime[w.Priority])
	}
	f.items = append(f.items, w)
	q.length++
}

// selectDisplaced returns the flow to displace a request from in favor of w; false
// if w itself is to be refused.
func (q *Queue[T]) selectDisplaced(w QueueItem[T]) (flowKey, bool) {
	own := flowKey{w.Priority, w.Account}
	victim := own
	victimWork := queuedWork(q.flows[own]) + w.cost()/w.weight()
	for key, f := range q.flows {
		if len(f.items) == 0 || key.priority > victim.priority || key == own {
			continue
		}
		heavier := queuedWork(f) > victimWork || (queuedWork(f) == victimWork && key.account > victim.account && victim != own)
		if key.priority < victim.priority || heavier {
			victim, victimWork = key, queuedWork(f)
		}
	}
	return victim, victim != own
}

// queuedWork returns the queued cost of a flow divided by its weight.
func queuedWork[T comparable](f *flow[T]) float64 {
	if f == nil {
		return 0
	}
	sum := 0.0
	for _, w := range f.items {
		sum += w.cost() / w.weight()
	}
	return sum
}

// Head returns the next request to be served without removing it.
func (q *Queue[T]) Head() (QueueItem[T], bool) {
	key, ok := q.nextFlow()
	if !ok {
		return QueueItem[T]{}, false
	}
	return q.flows[key].items[0], true
}

func (q *Queue[T]) nextFlow() (flowKey, bool) {
	var best flowKey
	var bestFlow *flow[T]
	for key, f := range q.flows {
		if len(f.items) == 0 {
			continue
		}
		if bestFlow == nil || precedes(key, f, best, bestFlow) {
			best, bestFlow = key, f
		}
	}
	return best, bestFlow != nil
}

func precedes[T comparable](a flowKey, fa *flow[T], b flowKey, fb *flow[T]) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	if fa.start != fb.start {
		return fa.start < fb.start
	}
	return fa.arrival < fb.arrival
}

// Pop removes and returns the next request and charges its cost to the account.
func (q *Queue[T]) Pop() (QueueItem[T], bool) {
	key, ok := q.nextFlow()
	if !ok {
		return QueueItem[T]{}, false
	}
	f := q.flows[key]
	w := f.items[0]
	q.virtualTime[key.priority] = f.start
	f.start += w.cost() / w.weight()
	q.removeAt(key, 0)
	return w, true
}

// Remove removes a request that is no longer waiting, without charging its
// account. It reports whether the request was in the queue.
func (q *Queue[T]) Remove(value T) bool {
	for key, f := range q.flows {
		i := slices.IndexFunc(f.items, func(w QueueItem[T]) bool { return w.Value == value })
		if i >= 0 {
			q.removeAt(key, i)
			return true
		}
	}
	return false
}

// removeAt removes an item. It drops empty flows whose virtual start time has been
// reached, since a new flow would start at the same virtual time, and all flows
// once the queue is empty.
func (q *Queue[T]) removeAt(key flowKey, i int) {
	f := q.flows[key]
	f.items = slices.Delete(f.items, i, i+1)
	q.length--
	for k, idle := range q.flows {
		if len(idle.items) == 0 && (q.length == 0 || idle.start <= q.virtualTime[k.priority]) {
			delete(q.flows, k)
		}
	}
	if q.length == 0 {
		clear(q.virtualTime)
	}
}

func (w QueueItem[T]) cost() float64 {
	if w.Cost <= 0 {
		return 1
	}
	return w.Cost
}

func (w QueueItem[T]) weight() float64 {
	if w.Weight <= 0 {
		return 1
	}
	return w.Weight
}
