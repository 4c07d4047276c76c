package propagate

import (
	"context"

	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/task"
)

// Sources of changes, as values of a metric label.
const (
	sourceWatch  = "watch"
	sourcePush   = "push"
	sourceDigest = "digest"
	sourceFetch  = "fetch"
	sourceList   = "list"
)

const ownerMailboxLength = 256

// ownerRequest is a request to run functions on the state. Either function may
// be nil. done receives the result.
type ownerRequest struct {
	update func(*State) []Entry
	read   func(*State)
	done   chan updateResult
}

// updateResult is the effect of a request: the complete revision before and
// after it, and the entries that changed.
type updateResult struct {
	before, after uint64
	changed       []Entry
	// delta is the page to push to the children. It includes entries that the
	// state already held above the complete revision.
	delta Page
}

// stateOwner is the task that owns the state. Only its goroutine accesses the
// state.
type stateOwner struct {
	task      *task.Task[ownerRequest]
	state     *State
	pageBytes int
	publish   func(objects []objectapi.Object, complete uint64, changed bool)
}

func newStateOwner(pool *task.Pool, pageBytes int, publish func([]objectapi.Object, uint64, bool)) (*stateOwner, error) {
	o := &stateOwner{state: NewState(), pageBytes: pageBytes, publish: publish}
	t, err := task.Start(pool, ownerMailboxLength, o.handle)
	o.task = t
	return o, err
}

func (o *stateOwner) handle(m ownerRequest) {
	result := updateResult{before: o.state.Complete()}
	if m.read != nil {
		m.read(o.state)
	}
	if m.update != nil {
		result.changed = m.update(o.state)
	}
	result.after = o.state.Complete()
	if len(result.changed) > 0 {
		result.delta = o.state.Changes(result.before, o.pageBytes)
	}
	o.publishResult(result)
	m.done <- result
}

// publishResult publishes the changes of a request. It runs before the result
// is sent, so that changes are in force when the request returns.
func (o *stateOwner) publishResult(result updateResult) {
	if len(result.changed) > 0 {
		o.publish(o.state.Objects(), result.after, true)
		return
	}
	if result.after != result.before {
		o.publish(nil, result.after, false)
	}
}

// runOnState sends a request to the state's owner and waits until it has been
// handled. ctx bounds only the wait for room in the mailbox, so that a read
// function never runs after its caller has returned.
func (p *Service) runOnState(ctx context.Context, m ownerRequest) (updateResult, error) {
	owner := p.owner.Load()
	if owner == nil {
		return updateResult{}, ErrNotReady
	}
	m.done = make(chan updateResult, 1)
	if err := owner.task.Deliver(ctx, m); err != nil {
		return updateResult{}, err
	}
	select {
	case result := <-m.done:
		return result, nil
	case <-owner.task.Done():
		return updateResult{}, task.ErrStopped
	}
}

// update runs f on the state, counts the changed entries and queues them for
// the children.
func (p *Service) update(ctx context.Context, source string, f func(*State) []Entry) (updateResult, error) {
	result, err := p.runOnState(ctx, ownerRequest{update: f})
	if err != nil || len(result.changed) == 0 {
		return result, err
	}
	p.counters.Applied.WithLabelValues(source).Add(float64(len(result.changed)))
	p.queuePush(result)
	return result, nil
}

// queuePush queues a change to be pushed to the children, once this router is
// ready. If the queue is full, the change is dropped, and the digest exchange
// transfers it.
func (p *Service) queuePush(result updateResult) {
	if !p.loaded.Load() {
		return
	}
	select {
	case p.queuedPages <- result.delta:
	default:
		p.counters.PushDrops.Inc()
	}
}

func (p *Service) applyPage(ctx context.Context, source string, page Page) (updateResult, error) {
	return p.update(ctx, source, func(s *State) []Entry { return s.Apply(page) })
}

func (p *Service) localDigest(ctx context.Context) (Digest, error) {
	var d Digest
	_, err := p.runOnState(ctx, ownerRequest{read: func(s *State) { d = s.Digest() }})
	return d, err
}

// readPage returns a page of this router's state for a peer.
func (p *Service) readPage(ctx context.Context, request fetchRequest) (fetchAnswer, error) {
	var answer fetchAnswer
	_, err := p.runOnState(ctx, ownerRequest{read: func(s *State) {
		floor := request.Floor
		if request.Whole {
			floor = s.tombstoneFloor
		}
		page, ok := s.Delta(request.Since, request.After, floor, p.config.pageBytes)
		answer = fetchAnswer{Page: page, Floor: s.tombstoneFloor, Full: !ok}
	}})
	return answer, err
}
