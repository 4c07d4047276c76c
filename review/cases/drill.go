package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/review/standin"
)

func init() {
	checks["drill"] = checkDrill
}

// Timeline of the case, since its start.
const (
	drillCopyAt   = 12 * time.Second
	drillChangeAt = 19 * time.Second
	drillAwayAt   = 20 * time.Second
	drillBackAt   = 21 * time.Second
	drillRevokeAt = drillBackAt + standin.StabilityWindow + 500*time.Millisecond
	drillEnd      = drillRevokeAt + 25*time.Second
)

// checkDrill takes a key away some seconds after the store has come back from a copy. The
// key must not be served later than ConfigApplyMs after the confirmation.
func checkDrill(e *environment) (bool, error) {
	var runs sync.Map
	onRun := func(w *standin.Worker, r *http.Request) {
		runs.Store(r.Header.Get("Attempt-Id"), w.ID)
		e.record("run %s at %s, tenant %s", r.Header.Get("Attempt-Id"), w.ID, r.Header.Get("Tenant"))
	}
	if err := e.addSiteWorkers(onRun); err != nil {
		return false, err
	}
	e.putConfig(firstKey, keyOfTwo)
	if err := e.startRouters(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var confirmed time.Time
	late, servedLate := 0, 0
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range e.fleet.Routers {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				id, sent := fmt.Sprintf("look-%d-%d", i, n), time.Now()
				answer := e.send(standin.Ask{
					Router: e.serviceRouter(i), Method: http.MethodGet, Path: "/look/item", ID: id, Key: keyOfTwo, Deadline: 3 * time.Second,
				})
				e.record("answer %s from %s: %d whole=%v", id, e.fleet.Routers[i].Name, answer.Status, answer.Whole)
				mu.Lock()
				if !confirmed.IsZero() && sent.After(confirmed.Add(standin.ConfigApply+standin.MaxStretch)) {
					late++
					if _, ran := runs.Load(id); ran {
						servedLate++
					}
				}
				mu.Unlock()
			}
		})
	}
	e.sleepUntil(drillCopyAt)
	before := e.store.TakeCopy()
	e.record("the copy is of revision %d", e.store.Revision())
	e.sleepUntil(drillChangeAt)
	e.record("the operator takes the first key of tenant two away: revision %d", e.putConfig(keyOfTwo))
	e.sleepUntil(drillAwayAt)
	if e.trouble {
		e.record("the store goes away at revision %d", e.store.Revision())
		e.store.Leave()
		e.sleepUntil(drillBackAt)
		e.store.Restore(before)
		e.record("the store is back from the copy, at revision %d", e.store.Revision())
		e.record("the operator writes its newest config again: revision %d", e.rewriteConfig(keyOfTwo))
		for _, w := range e.workers {
			w.Register()
		}
		e.record("the workers have written their entries again: revision %d", e.store.Revision())
	}
	e.sleepUntil(drillRevokeAt)
	revision := e.putConfig()
	mu.Lock()
	confirmed = time.Now()
	mu.Unlock()
	e.record("the operator takes the last key of tenant two away: revision %d", revision)
	e.sleepUntil(drillEnd)
	close(stop)
	clients.Wait()
	e.record("requests with the key sent over ConfigApplyMs + MaxStretchMs after the confirmation: %d, run: %d", late, servedLate)
	if late == 0 {
		return false, fmt.Errorf("no requests after the confirmation")
	}
	return servedLate > 0, nil
}
