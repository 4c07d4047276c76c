package propagate

import (
	"context"

	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/task"
)

// Ways by which a change came, as metric labels.
const (
	wayWatch  = "watch"
	wayPush   = "push"
	wayDigest = "digest"
	wayFetch  = "fetch"
	wayList   = "list"
)

const ownerMailbox = 256

// message is one request to the owner of the state.
type message struct {
	update func(*State) []Entry
	read   func(*State)
	done   chan result
}

// result says how an update moved the state.
type result struct {
	before, after uint64
	changed       []Entry
	// delta is what the routers below must hear of, entries that were held ahead
	// of the complete revision included.
	delta Page
}

// owner is the task that owns the state.
type owner struct {
	task      *task.Task[message]
	state     *State
	pageBytes int
	publish   func(objects []objectapi.Object, complete uint64, changed bool)
}

func newOwner(pool *task.Pool, pageBytes int, publish func([]objectapi.Object, uint64, bool)) (*owner, error) {
	o := &owner{state: NewState(), pageBytes: pageBytes, publish: publish}
	t, err := task.Start(pool, ownerMailbox, o.handle)
	o.task = t
	return o, err
}

func (o *owner) handle(m message) {
	r := result{before: o.state.Complete()}
	if m.read != nil {
		m.read(o.state)
	}
	if m.update != nil {
		r.changed = m.update(o.state)
	}
	r.after = o.state.Complete()
	if len(r.changed) > 0 {
		r.delta = o.state.Changes(r.before, o.pageBytes)
	}
	o.settle(r)
	m.done <- r
}

// settle publishes what an update changed before its sender hears of it.
func (o *owner) settle(r result) {
	if len(r.changed) > 0 {
		o.publish(o.state.Objects(), r.after, true)
		return
	}
	if r.after != r.before {
		o.publish(nil, r.after, false)
	}
}

// do sends a message and waits until it has been handled; ctx bounds only the
// wait for room in the mailbox, so that no read outlives its caller.
func (p *Service) do(ctx context.Context, m message) (result, error) {
	o := p.owner.Load()
	if o == nil {
		return result{}, ErrNotReady
	}
	m.done = make(chan result, 1)
	if err := o.task.Deliver(ctx, m); err != nil {
		return result{}, err
	}
	select {
	case r := <-m.done:
		return r, nil
	case <-o.task.Done():
		return result{}, task.ErrStopped
	}
}

// update changes the state, counts what changed and passes it on.
func (p *Service) update(ctx context.Context, way string, f func(*State) []Entry) (result, error) {
	r, err := p.do(ctx, message{update: f})
	if err != nil || len(r.changed) == 0 {
		return r, err
	}
	p.counters.Applied.WithLabelValues(way).Add(float64(len(r.changed)))
	p.forward(r)
	return r, nil
}

// forward queues a change for the routers below this one.
func (p *Service) forward(r result) {
	if !p.loaded.Load() {
		return
	}
	select {
	case p.outbox <- r.delta:
	default:
		p.counters.PushDrops.Inc()
	}
}

func (p *Service) apply(ctx context.Context, way string, page Page) (result, error) {
	return p.update(ctx, way, func(s *State) []Entry { return s.Apply(page) })
}

func (p *Service) digest(ctx context.Context) (Digest, error) {
	var d Digest
	_, err := p.do(ctx, message{read: func(s *State) { d = s.Digest() }})
	return d, err
}

// fetchPage reads a page of the own state for a peer.
func (p *Service) fetchPage(ctx context.Context, request fetchRequest) (fetchAnswer, error) {
	var answer fetchAnswer
	_, err := p.do(ctx, message{read: func(s *State) {
		floor := request.Floor
		if request.Whole {
			floor = s.floor
		}
		page, ok := s.Delta(request.Since, request.After, floor, p.config.pageBytes)
		answer = fetchAnswer{Page: page, Floor: s.floor, Full: !ok}
	}})
	return answer, err
}
