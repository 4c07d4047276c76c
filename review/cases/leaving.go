package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/review/standin"
)

func init() {
	checks["leaving"] = checkLeaving
}

// Timeline of the case, since its start.
const (
	leavingCutAt   = 15 * time.Second
	leavingAt      = leavingCutAt + 500*time.Millisecond
	leavingHealAt  = leavingCutAt + 5500*time.Millisecond
	leavingEnd     = leavingHealAt + 4*time.Second
	leavingSpacing = 40 * time.Millisecond
	// lingerTime is how long a worker serves beyond DrainMs.
	lingerTime = 1500 * time.Millisecond
	// leavingRouter is the router that is cut off.
	leavingRouter = 1
)

// passedOn is when a router had first passed on an answer with Server-Leaving of a worker.
type passedOn struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (p *passedOn) note(worker string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.at[worker]; !ok {
		p.at[worker] = time.Now()
	}
}

// late reports whether a request that a client sent at a time must not reach a worker.
func (p *passedOn) late(worker string, sent time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.at[worker]
	return ok && sent.After(at.Add(standin.DrainTime))
}

// checkLeaving lets an engine and a worker of the desk leave while one router is partitioned
// from the store and the other routers. Their answers say that they leave.
func checkLeaving(e *environment) (bool, error) {
	passed := passedOn{at: map[string]time.Time{}}
	var mu sync.Mutex
	sentAt, lateAt := map[string]time.Time{}, map[string]string{}
	onArrival := func(w *standin.Worker, r *http.Request) {
		id := r.Header.Get("Attempt-Id")
		mu.Lock()
		defer mu.Unlock()
		if passed.late(w.ID, sentAt[id]) {
			lateAt[id] = w.ID
			e.record("late: %s reaches %s, which leaves", id, w.ID)
		}
	}
	onRun := func(w *standin.Worker, r *http.Request) {
		e.record("run %s at %s", r.Header.Get("Attempt-Id"), w.ID)
	}
	if err := e.addSiteWorkers(onRun); err != nil {
		return false, err
	}
	for _, w := range e.workers {
		w.OnArrival = onArrival
	}
	e.putConfig(keyOfTwo)
	if err := e.startRouters(); err != nil {
		return false, err
	}
	router := e.fleet.Routers[leavingRouter]
	asked, cut, lost := 0, 0, 0
	send := func(id, path string, deadline time.Duration, onEvent func(int, string)) {
		mu.Lock()
		asked++
		sentAt[id] = time.Now()
		mu.Unlock()
		answer := e.send(standin.Ask{
			Router: router, Method: http.MethodPost, Path: path, ID: id, Key: keyOfTwo, Body: "order", Deadline: deadline, OnEvent: onEvent,
			OnHead: func(_ int, h http.Header) {
				if seal := h.Get("Response-Seal"); h.Get("Server-Leaving") != "" && len(seal) > len("seal-") {
					passed.note(seal[len("seal-"):])
				}
			},
		})
		e.record("answer %s: %d whole=%v by %s", id, answer.Status, answer.Whole, answer.Header.Get("Response-Seal"))
		mu.Lock()
		defer mu.Unlock()
		if lateAt[id] != "" && (answer.Status != http.StatusOK || !answer.Whole) {
			cut++
		}
		if answer.Status != http.StatusOK || !answer.Whole {
			lost++
		}
	}
	var clients sync.WaitGroup
	clients.Go(func() {
		e.sleepUntil(leavingCutAt - time.Second)
		for n := 0; time.Since(e.started) < leavingEnd; n++ {
			clients.Go(func() { send(fmt.Sprintf("book-%d", n), "/book/visit", 3*time.Second, nil) })
			clients.Go(func() { send(fmt.Sprintf("ask-%d", n), "/ask/talk", 12*time.Second, func(int, string) {}) })
			time.Sleep(leavingSpacing)
		}
	})
	e.sleepUntil(leavingCutAt)
	if e.trouble {
		e.fleet.SetCut(leavingRouter, true)
		e.record("%s is cut off from the store and the other routers", router.Name)
	}
	e.sleepUntil(leavingAt)
	var exits sync.WaitGroup
	for _, w := range []*standin.Worker{e.workers[0], e.workers[12]} {
		exits.Go(func() {
			w.Leave()
			e.record("%s leaves: the store has accepted that it is draining", w.ID)
			time.Sleep(standin.DrainTime + lingerTime)
			w.Exit()
			e.record("%s has ended", w.ID)
		})
	}
	e.sleepUntil(leavingHealAt)
	if e.trouble {
		e.fleet.SetCut(leavingRouter, false)
		e.record("%s is back", router.Name)
	}
	exits.Wait()
	clients.Wait()
	e.record("requests: %d, not served: %d; that reached a leaving worker over DrainMs after an answer that said so: %d, of these not answered whole: %d", asked, lost, len(lateAt), cut)
	if asked == 0 {
		return false, fmt.Errorf("nothing was asked")
	}
	return len(lateAt) > 0, nil
}
