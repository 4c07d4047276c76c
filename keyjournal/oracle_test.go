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
	testAccount fleet.AccountName = "reseller"
	joinTimeout                   = 2 * time.Second
)

// oracle records which calls ran, by key, and which responses callers got, and
// finds violations of at-most-once execution.
type oracle struct {
	mu         sync.Mutex
	wg         sync.WaitGroup
	calls      int
	ran        map[string][]string
	responses  []response
	violations []string
}

// response is the response to one call.
type response struct {
	key, call, body string
	state           State
	err             error
	answer          string
}

func newOracle() *oracle {
	return &oracle{ran: map[string][]string{}}
}

func (o *oracle) addViolation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// addRun records that the request of a call runs. At most one call of a key may
// run.
func (o *oracle) addRun(key, call string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ran[key] = append(o.ran[key], call)
	if len(o.ran[key]) > 1 {
		o.addViolation("key %s ran more than once, for calls %v", key, o.ran[key])
	}
}

func (o *oracle) addResponse(r response) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.responses = append(o.responses, r)
}

// order is one call to one router and how the router handles it.
type order struct {
	key, body string
	router    int
	// pause is the time from the grant to the dispatch, run the time for which
	// the request runs.
	pause, run time.Duration
	// end is how the order ends on the router.
	end orderEnd
}

type orderEnd int

const (
	endRecorded orderEnd = iota
	endUnknown
	endAbandoned
	// endLost means that the order runs and its result is never recorded.
	endLost
)

// startOrder makes a call on a separate goroutine.
func (c *cluster) startOrder(o order) {
	c.oracle.mu.Lock()
	c.oracle.calls++
	call := fmt.Sprintf("call-%d", c.oracle.calls)
	c.oracle.mu.Unlock()
	journal := c.nodes[o.router].journal.Load()
	c.oracle.wg.Go(func() { c.serveOrder(journal, call, o) })
}

// serveOrder handles a call in the same way as package router/orders.
func (c *cluster) serveOrder(journal *Journal, call string, o order) {
	intent := Intent{Account: testAccount, Key: o.key, Fingerprint: NewFingerprint(o.body)}
	got := response{key: o.key, call: call, body: o.body}
	for range 3 {
		grant, err := journal.Begin(context.Background(), intent)
		if err == nil {
			c.runOrder(journal, grant, call, o)
			return
		}
		var exists *ExistsError
		if !errors.As(err, &exists) {
			got.err = err
			break
		}
		ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
		record, err := journal.Join(ctx, exists.Record)
		cancel()
		if !errors.Is(err, ErrNotRun) {
			got.state = record.State
			if record.Response != nil {
				got.answer = string(record.Response.Body)
			}
			break
		}
		intent.Replaces = record.Nonce
		got.err = ErrUnavailable
	}
	c.oracle.addResponse(got)
}

func (c *cluster) runOrder(journal *Journal, grant Grant, call string, o order) {
	time.Sleep(o.pause)
	if o.end == endAbandoned {
		journal.Abandon(context.Background(), grant)
		c.oracle.addResponse(response{key: o.key, call: call, body: o.body, err: ErrUnavailable})
		return
	}
	if c.restarted(journal, o.router) {
		return
	}
	c.oracle.addRun(o.key, call)
	time.Sleep(o.run)
	if o.end == endLost || c.restarted(journal, o.router) {
		return
	}
	result := Result{State: StateCompleted, Response: &Response{Status: 200, Body: []byte(call)}}
	if o.end == endUnknown {
		result = Result{State: StateUnknown}
	}
	c.oracle.addResponse(response{key: o.key, call: call, body: o.body, state: result.State, answer: call})
	journal.FinishAsync(grant, result)
}

// restarted reports whether the router was restarted with another journal.
func (c *cluster) restarted(journal *Journal, router int) bool {
	return c.nodes[router].journal.Load() != journal
}

// runCounts counts what happened in runs of the state machine: steps, calls,
// keys whose order ran, and responses by kind.
type runCounts struct {
	steps, calls, ran, completed, unknown, running, refused int
}

func (t *runCounts) add(o runCounts) {
	t.steps += o.steps
	t.calls += o.calls
	t.ran += o.ran
	t.completed += o.completed
	t.unknown += o.unknown
	t.running += o.running
	t.refused += o.refused
}

func (o *oracle) count(steps int) runCounts {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := runCounts{steps: steps, calls: o.calls, ran: len(o.ran)}
	for _, got := range o.responses {
		switch {
		case got.err != nil:
			t.refused++
		case got.state == StateCompleted:
			t.completed++
		case got.state == StateIntent:
			t.running++
		default:
			t.unknown++
		}
	}
	return t
}

// check compares the responses with the calls that ran and returns all
// violations.
func (o *oracle) check() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.responses {
		ran := o.ran[r.key]
		if r.err != nil && len(ran) > 0 && ran[0] == r.call {
			o.addViolation("%s of key %s ran, but got the response that it did not run (%v)", r.call, r.key, r.err)
		}
		if r.state == StateCompleted && (len(ran) == 0 || ran[0] != r.answer) {
			o.addViolation("%s of key %s got the response of call %s, but the calls that ran are %v", r.call, r.key, r.answer, ran)
		}
	}
	return o.violations
}
