package keyjournal

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

const (
	testAccount  fleet.AccountName = "reseller"
	joinPatience                   = 2 * time.Second
)

// oracle is the set of what ran, and what callers were told.
type oracle struct {
	mu       sync.Mutex
	wait     sync.WaitGroup
	calls    int
	ran      map[string][]string
	tellings []telling
	faults   []string
}

// telling is what one call was told.
type telling struct {
	key, call, body string
	state           State
	err             error
	answer          string
}

func newOracle() *oracle {
	return &oracle{ran: map[string][]string{}}
}

func (o *oracle) fault(format string, args ...any) {
	o.faults = append(o.faults, fmt.Sprintf(format, args...))
}

// run notes that a call's request runs: at most one of a key may.
func (o *oracle) run(key, call string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ran[key] = append(o.ran[key], call)
	if len(o.ran[key]) > 1 {
		o.fault("key %s ran for calls %v", key, o.ran[key])
	}
}

func (o *oracle) tell(t telling) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tellings = append(o.tellings, t)
}

// order is one caller's call on one router and what happens to it there.
type order struct {
	key, body string
	router    int
	// pause is between the grant and the dispatch, run the time it runs.
	pause, run time.Duration
	// end is how the router ends it.
	end orderEnd
}

type orderEnd int

const (
	endRecorded orderEnd = iota
	endUnknown
	endAbandoned
	endSilent
)

// start makes a call on a goroutine of its own.
func (w *world) start(o order) {
	w.oracle.mu.Lock()
	w.oracle.calls++
	call := fmt.Sprintf("call-%d", w.oracle.calls)
	w.oracle.mu.Unlock()
	log := w.nodes[o.router].log.Load()
	w.oracle.wait.Go(func() { w.serve(log, call, o) })
}

// serve is what a router does with a call, as router/orders does it.
func (w *world) serve(log *Log, call string, o order) {
	intent := Intent{Account: testAccount, Key: o.key, Fingerprint: FingerprintOf(o.body)}
	told := telling{key: o.key, call: call, body: o.body}
	for range 3 {
		grant, err := log.Begin(context.Background(), intent)
		if err == nil {
			w.runOrder(log, grant, call, o)
			return
		}
		var exists *ExistsError
		if !errors.As(err, &exists) {
			told.err = err
			break
		}
		ctx, cancel := context.WithTimeout(context.Background(), joinPatience)
		record, err := log.Join(ctx, exists.Record)
		cancel()
		if !errors.Is(err, ErrNotRun) {
			told.state = record.State
			if record.Answer != nil {
				told.answer = string(record.Answer.Body)
			}
			break
		}
		intent.Replaces = record.Nonce
		told.err = ErrUnavailable
	}
	w.oracle.tell(told)
}

func (w *world) runOrder(log *Log, grant Grant, call string, o order) {
	time.Sleep(o.pause)
	if o.end == endAbandoned {
		log.Abandon(context.Background(), grant)
		w.oracle.tell(telling{key: o.key, call: call, body: o.body, err: ErrUnavailable})
		return
	}
	if w.crashed(log, o.router) {
		return
	}
	w.oracle.run(o.key, call)
	time.Sleep(o.run)
	if o.end == endSilent || w.crashed(log, o.router) {
		return
	}
	result := Result{State: StateCompleted, Answer: &Answer{Status: 200, Body: []byte(call)}}
	if o.end == endUnknown {
		result = Result{State: StateUnknown}
	}
	w.oracle.tell(telling{key: o.key, call: call, body: o.body, state: result.State, answer: call})
	log.FinishLater(grant, result)
}

// crashed says that the journal's router was started anew since.
func (w *world) crashed(log *Log, router int) bool {
	return w.nodes[router].log.Load() != log
}

// tally is what runs of the machine did: steps, calls, orders that ran, and what
// calls were told.
type tally struct {
	steps, calls, ran, completed, unknown, running, refused int
}

func (t *tally) add(o tally) {
	t.steps += o.steps
	t.calls += o.calls
	t.ran += o.ran
	t.completed += o.completed
	t.unknown += o.unknown
	t.running += o.running
	t.refused += o.refused
}

func (o *oracle) count(steps int) tally {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := tally{steps: steps, calls: o.calls, ran: len(o.ran)}
	for _, told := range o.tellings {
		switch {
		case told.err != nil:
			t.refused++
		case told.state == StateCompleted:
			t.completed++
		case told.state == StateIntent:
			t.running++
		default:
			t.unknown++
		}
	}
	return t
}

// check compares what callers were told with what ran.
func (o *oracle) check() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, t := range o.tellings {
		ran := o.ran[t.key]
		if t.err != nil && len(ran) > 0 && ran[0] == t.call {
			o.fault("%s of key %s was told not run (%v) and ran", t.call, t.key, t.err)
		}
		if t.state == StateCompleted && (len(ran) == 0 || ran[0] != t.answer) {
			o.fault("%s of key %s was told the answer of %s, but %v ran", t.call, t.key, t.answer, ran)
		}
	}
	return o.faults
}
