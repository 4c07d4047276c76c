package keyjournal

import "sync"

const maxEndedAttempts = 20_000

// attempts holds this router's own intents: those that wait for their verdict
// or run, and the last that ended. It is safe for concurrent use.
type attempts struct {
	mu      sync.Mutex
	byNonce map[Nonce]*attempt
	ended   []Nonce
}

// attempt is one own intent. Its end is set before done is closed.
type attempt struct {
	done    chan struct{}
	refused bool
	result  Result
}

func newAttempts() *attempts {
	return &attempts{byNonce: map[Nonce]*attempt{}}
}

func (a *attempts) start(n Nonce) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byNonce[n] = &attempt{done: make(chan struct{})}
}

// refuse notes that the intent's request was not and will not be run.
func (a *attempts) refuse(n Nonce) {
	a.end(n, func(at *attempt) { at.refused = true })
}

func (a *attempts) finish(n Nonce, result Result) {
	a.end(n, func(at *attempt) { at.result = result })
}

func (a *attempts) end(n Nonce, set func(*attempt)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.byNonce[n]
	if !ok || at.isDone() {
		return
	}
	set(at)
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

func (a *attempts) find(n Nonce) *attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byNonce[n]
}
