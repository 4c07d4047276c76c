package keyjournal

import "sync"

// maxEndedIntents is the number of ended intents kept to answer queries for
// their status, which come from other routers and from this one.
const maxEndedIntents = 20_000

// intentTable holds the intents of this router: those that wait for their
// verdict or run, and the maxEndedIntents that ended last. It is safe for
// concurrent use.
type intentTable struct {
	mu      sync.Mutex
	byNonce map[Nonce]*localIntent
	ended   []Nonce
}

// localIntent is one intent of this router. notRun and result are set before
// done is closed.
type localIntent struct {
	done   chan struct{}
	notRun bool
	result Result
}

func newIntentTable() *intentTable {
	return &intentTable{byNonce: map[Nonce]*localIntent{}}
}

func (t *intentTable) start(n Nonce) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byNonce[n] = &localIntent{done: make(chan struct{})}
}

// markNotRun records that the intent's request was not and will not be run.
func (t *intentTable) markNotRun(n Nonce) {
	t.complete(n, func(intent *localIntent) { intent.notRun = true })
}

func (t *intentTable) markFinished(n Nonce, result Result) {
	t.complete(n, func(intent *localIntent) { intent.result = result })
}

func (t *intentTable) complete(n Nonce, update func(*localIntent)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	intent, ok := t.byNonce[n]
	if !ok || intent.isDone() {
		return
	}
	update(intent)
	close(intent.done)
	t.ended = append(t.ended, n)
	if len(t.ended) > maxEndedIntents {
		delete(t.byNonce, t.ended[0])
		t.ended = t.ended[1:]
	}
}

func (intent *localIntent) isDone() bool {
	select {
	case <-intent.done:
		return true
	default:
		return false
	}
}

func (t *intentTable) find(n Nonce) *localIntent {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byNonce[n]
}
