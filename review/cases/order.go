package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	checks["order"] = checkOrder
}

// Timeline of the case, since its start.
const (
	orderCutAt     = 24 * time.Second
	orderReleaseAt = 25 * time.Second
	orderStreamsAt = 32 * time.Second
	orderHealAt    = orderCutAt + 12*time.Second
	orderStopAt    = 38*time.Second + 500*time.Millisecond
	// cutRouter is the router that is cut off, and stopped later.
	cutRouter    = 1
	orderStreams = 36
	// allowedMixed is how many streams may hold events of two software versions.
	allowedMixed = 2
)

// checkOrder partitions a router while workers of a new software version start, and stops it
// some seconds after it is back. Clients take up the streams that it ends elsewhere.
func checkOrder(e *environment) (bool, error) {
	add := func(n int, version string) error {
		return e.addWorker(e.versionedWorker(n, version))
	}
	for n := range 6 {
		if err := add(n, "v1"); err != nil {
			return false, err
		}
	}
	e.putConfig(keyOfTwo)
	if err := e.startRouters(); err != nil {
		return false, err
	}
	router := e.fleet.Routers[cutRouter]
	e.sleepUntil(orderCutAt)
	if e.trouble {
		e.fleet.SetCut(cutRouter, true)
		e.record("%s is cut off from the store and the other routers", router.Name)
	}
	e.sleepUntil(orderReleaseAt)
	for n := range 6 {
		if err := add(n, "v2"); err != nil {
			return false, err
		}
	}
	e.record("six workers of v2 have started beside those of v1")
	e.sleepUntil(orderStreamsAt)
	e.record("splits in the store: %s", e.store.Spec("ragwort-stream-versions", modelService))
	results := make([]streamResult, orderStreams)
	var clients sync.WaitGroup
	for i := range results {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			results[i] = e.readStream(i, router)
		})
	}
	e.sleepUntil(orderHealAt)
	if e.trouble {
		e.fleet.SetCut(cutRouter, false)
		e.record("%s is back", router.Name)
	}
	e.sleepUntil(orderStopAt)
	e.stop(router)
	clients.Wait()
	mixed, resumed, complete := 0, 0, 0
	for i, r := range results {
		e.record("stream %d: versions %v, resumed %v, events %d, end %s", i, r.versions, r.resumed, r.last, r.end)
		if len(r.versions) > 1 {
			mixed++
		}
		if r.resumed {
			resumed++
		}
		if r.last == streamEvents {
			complete++
		}
	}
	e.record("streams: %d, taken up again: %d, complete: %d, with events of two versions: %d", len(results), resumed, complete, mixed)
	if resumed < orderStreams/2 {
		return false, fmt.Errorf("only %d streams were taken up again", resumed)
	}
	return mixed > allowedMixed, nil
}
