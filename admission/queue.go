package admission

import (
	"slices"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/reason"
)

// Waiting is one request in a Queue.
type Waiting[T comparable] struct {
	Account fleet.AccountName
	// Weight is the client account's share; zero and less count as one.
	Weight float64
	// Priority orders requests, higher first.
	Priority int
	// Cost is the request's work in any unit; zero and less count as one.
	Cost  float64
	Value T
}

// Queue is a bounded queue of waiting requests. Higher priorities go first.
// Within a priority, accounts share the service by their weights (start-time
// fair queueing over virtual time), and each account's requests keep their
// order. The zero value is an empty queue.
type Queue[T comparable] struct {
	flows map[flowKey]*flow[T]
	// virtual is each priority's virtual time.
	virtual map[int]float64
	length  int
	arrival uint64
}

type flowKey struct {
	priority int
	account  fleet.AccountName
}

// flow is the requests of one account at one priority. start is the virtual
// start time of its first request.
type flow[T comparable] struct {
	items   []Waiting[T]
	start   float64
	arrived uint64
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int {
	return q.length
}

// Push adds a request to a queue of at most limit requests. When it is full,
// the last request of the account that waits with most work by its weight,
// at the lowest priority below or equal to the new one, is displaced and
// returned; if that is the new one itself, it is refused.
func (q *Queue[T]) Push(w Waiting[T], limit int) (displaced []T, refusal *Refusal) {
	if limit <= 0 {
		return nil, &Refusal{Reason: reason.QueueFull}
	}
	for q.length >= limit {
		key, ok := q.victim(w)
		if !ok {
			return nil, &Refusal{Reason: reason.QueueFull}
		}
		f := q.flows[key]
		last := f.items[len(f.items)-1]
		q.Remove(last.Value)
		displaced = append(displaced, last.Value)
	}
	q.add(w)
	return displaced, nil
}

func (q *Queue[T]) add(w Waiting[T]) {
	if q.flows == nil {
		q.flows = map[flowKey]*flow[T]{}
		q.virtual = map[int]float64{}
	}
	key := flowKey{w.Priority, w.Account}
	f := q.flows[key]
	if f == nil {
		f = &flow[T]{start: q.virtual[w.Priority]}
		q.flows[key] = f
	}
	if len(f.items) == 0 {
		q.arrival++
		f.arrived = q.arrival
		f.start = max(f.start, q.virtual[w.Priority])
	}
	f.items = append(f.items, w)
	q.length++
}

// victim returns the flow that gives way to w, if any does.
func (q *Queue[T]) victim(w Waiting[T]) (flowKey, bool) {
	own := flowKey{w.Priority, w.Account}
	worst := own
	worstWork := work(q.flows[own]) + w.cost()/w.weight()
	for key, f := range q.flows {
		if len(f.items) == 0 || key.priority > worst.priority || key == own {
			continue
		}
		heavier := work(f) > worstWork || (work(f) == worstWork && key.account > worst.account && worst != own)
		if key.priority < worst.priority || heavier {
			worst, worstWork = key, work(f)
		}
	}
	return worst, worst != own
}

// work is a flow's waiting work by its weight.
func work[T comparable](f *flow[T]) float64 {
	if f == nil {
		return 0
	}
	sum := 0.0
	for _, w := range f.items {
		sum += w.cost() / w.weight()
	}
	return sum
}

// Head returns the request that goes next.
func (q *Queue[T]) Head() (Waiting[T], bool) {
	key, ok := q.first()
	if !ok {
		return Waiting[T]{}, false
	}
	return q.flows[key].items[0], true
}

func (q *Queue[T]) first() (flowKey, bool) {
	var best flowKey
	var bestFlow *flow[T]
	for key, f := range q.flows {
		if len(f.items) == 0 {
			continue
		}
		if bestFlow == nil || before(key, f, best, bestFlow) {
			best, bestFlow = key, f
		}
	}
	return best, bestFlow != nil
}

func before[T comparable](a flowKey, fa *flow[T], b flowKey, fb *flow[T]) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	if fa.start != fb.start {
		return fa.start < fb.start
	}
	return fa.arrived < fb.arrived
}

// Pop takes the request that goes next and charges its account.
func (q *Queue[T]) Pop() (Waiting[T], bool) {
	key, ok := q.first()
	if !ok {
		return Waiting[T]{}, false
	}
	f := q.flows[key]
	w := f.items[0]
	q.virtual[key.priority] = f.start
	f.start += w.cost() / w.weight()
	q.take(key, 0)
	return w, true
}

// Remove takes out a request that no longer waits, without a charge. It
// reports whether the request was there.
func (q *Queue[T]) Remove(value T) bool {
	for key, f := range q.flows {
		i := slices.IndexFunc(f.items, func(w Waiting[T]) bool { return w.Value == value })
		if i >= 0 {
			q.take(key, i)
			return true
		}
	}
	return false
}

// take removes an item and forgets flows whose charge has been worked off.
func (q *Queue[T]) take(key flowKey, i int) {
	f := q.flows[key]
	f.items = slices.Delete(f.items, i, i+1)
	q.length--
	for k, old := range q.flows {
		if len(old.items) == 0 && (q.length == 0 || old.start <= q.virtual[k.priority]) {
			delete(q.flows, k)
		}
	}
	if q.length == 0 {
		clear(q.virtual)
	}
}

func (w Waiting[T]) cost() float64 {
	if w.Cost <= 0 {
		return 1
	}
	return w.Cost
}

func (w Waiting[T]) weight() float64 {
	if w.Weight <= 0 {
		return 1
	}
	return w.Weight
}
