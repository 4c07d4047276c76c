package keyjournal

import "sync"

const maxEndedAttempts = 20_000

// attemptTable holds the intents of this router: those that wait for their
// verdict or run, and the maxEndedAttempts that ended last. It is safe for
// concurrent use.
type attemptTable struct {
	mu      sync.Mutex
	byNonce map[Nonce]*attempt
	ended   []Nonce
}

// attempt is one intent of this router. notRun and result are set before done
// is closed.
type attempt struct {
	done   chan struct{}
	notRun bool
	result Result
}

func newAttemptTable() *attemptTable {
	return &attemptTable{byNonce: map[Nonce]*attempt{}}
}

func (a *attemptTable) start(n Nonce) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byNonce[n] = &attempt{done: make(chan struct{})}
}

// markNotRun records that the intent's request was not and will not be run.
func (a *attemptTable) markNotRun(n Nonce) {
	a.complete(n, func(at *attempt) { at.notRun = true })
}

func (a *attemptTable) markFinished(n Nonce, result Result) {
	a.complete(n, func(at *attempt) { at.result = result })
}

func (a *attemptTable) complete(n Nonce, update func(*attempt)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.byNonce[n]
	if !ok || at.isDone() {
		return
	}
	update(at)
	close(at.done)
	a.ended = append(a.ended, n)
	if len(a.ended) > maxEndedAttempts {
		delete(a.byNonce, a.ended[0])
		a.ended = a.ended[1:]
	}
}

func (at *attempt) isDone() bool {
	select {
	case <-at.done:
		return true
	default:
		return false
	}
}

func (a *attemptTable) find(n Nonce) *attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byNonce[n]
}
