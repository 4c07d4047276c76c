package main

import (
	"sync"
	"time"
)

func init() {
	checks["split"] = checkSplit
}

// Timeline of the case, since its start.
const (
	splitCopyAt    = 12 * time.Second
	splitReleaseAt = 14 * time.Second
	splitAwayAt    = 20 * time.Second
	splitBackAt    = 21 * time.Second
	splitStreamsAt = 34 * time.Second
	splitStreams   = 30
	splitStopAt    = 37500 * time.Millisecond
	splitNewAt     = 45 * time.Second
)

// checkSplit starts workers of a new software version some seconds before the store comes back
// from a copy. Later one router is stopped, and clients take up its streams at the others.
func checkSplit(e *environment) (bool, error) {
	add := func(n int, version string) error {
		return e.addWorker(e.versionedWorker(n, version))
	}
	for n := range 2 {
		if err := add(n, "v1"); err != nil {
			return false, err
		}
	}
	e.putConfig(keyOfTwo)
	if err := e.startRouters(); err != nil {
		return false, err
	}
	starts := newStarts(e.fleet.Routers)
	router := e.fleet.Routers[len(e.fleet.Routers)-1]
	e.sleepUntil(splitCopyAt)
	before := e.store.TakeCopy()
	e.record("the copy is of revision %d", e.store.Revision())
	e.sleepUntil(splitReleaseAt)
	for n := range 10 {
		if err := add(n, "v2"); err != nil {
			return false, err
		}
	}
	e.record("ten workers of v2 have started beside the two of v1")
	e.sleepUntil(splitAwayAt)
	e.record("splits in the store: %s", e.store.Spec("ragwort-stream-versions", modelService))
	if e.trouble {
		e.record("the store goes away at revision %d", e.store.Revision())
		e.store.Leave()
		e.sleepUntil(splitBackAt)
		e.store.Restore(before)
		e.record("the store is back from the copy, at revision %d", e.store.Revision())
		e.rewriteConfig(keyOfTwo)
		for _, w := range e.workers {
			w.Register()
		}
		e.record("the operator and the workers have written again: revision %d", e.store.Revision())
	}
	results := make([]streamResult, splitStreams)
	var clients sync.WaitGroup
	e.sleepUntil(splitStreamsAt)
	for i := range results {
		clients.Go(func() { results[i] = e.readStream(i, router) })
		time.Sleep(100 * time.Millisecond)
	}
	e.sleepUntil(splitStopAt)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		e.restart(router, starts)
	}()
	e.sleepUntil(splitNewAt)
	begun := make([]bool, rollNew)
	var fresh sync.WaitGroup
	for i := range begun {
		fresh.Go(func() { begun[i] = e.beginsStream(i, router) })
	}
	fresh.Wait()
	clients.Wait()
	<-stopped
	e.record("splits in the store: %s", e.store.Spec("ragwort-stream-versions", modelService))
	return e.judgeResumed(results, begun, starts)
}
