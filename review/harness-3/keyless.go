package main

import (
	"context"
	"sync"
	"time"
)

// runKeyless takes the keys of the only tenant away, with the tenant itself. ROUTE: a request runs whose key no
// config ever held. CONFIG: a request that was sent later than ConfigApplyMs after the confirmation runs with a
// key that was dropped.
func runKeyless(e *env) (bool, error) {
	e.writeConfig(false, 1)
	spec := workerSpec{Service: service, Version: "r1", Events: 4, GapMS: 20}
	for i := range 3 {
		spec.Zone = zones[i]
		if _, err := e.startWorker(spec, ""); err != nil {
			return false, err
		}
	}
	if err := e.startRouters("recife-a", "recife-b", "recife-c"); err != nil {
		return false, err
	}
	e.sleepUntil(4)
	// ran returns how many of 30 requests with a key ran.
	ran := func(what, key string) int {
		var wait sync.WaitGroup
		var mu sync.Mutex
		statuses := map[int]int{}
		before := len(e.arrivals())
		for i := range 30 {
			wait.Go(func() {
				a := ask{id: newID(), prompt: randomPrompt(), budget: 5 * time.Second, key: key}
				e.note("request %s with %s", a.id, what)
				got := send(context.Background(), e.routers[i%len(e.routers)].clientAddr(), a)
				mu.Lock()
				defer mu.Unlock()
				statuses[got.status]++
			})
		}
		wait.Wait()
		// What the workers said last may be on its way.
		time.Sleep(200 * time.Millisecond)
		n := len(e.arrivals()) - before
		e.record("30 requests with %s: %d ran, statuses %v", what, n, statuses)
		return n
	}
	if n := ran("the key of the tenant", apiKey); n != 30 {
		e.record("the tenant is not served")
		return false, errNotServed
	}
	if n := ran("a key that no config ever held", unknownKey); n > 0 {
		return false, nil
	}
	tenants := []any{map[string]any{"Name": "hule930", "ApiKeys": []string{apiKey}}}
	if e.trouble {
		tenants = []any{}
	}
	e.writeTenants(4, tenants)
	e.record("version 4 confirmed, with %d tenants", len(tenants))
	// ConfigApplyMs is 2,000.
	time.Sleep(4 * time.Second)
	dropped := 0
	if e.trouble {
		dropped = ran("the key that was taken away", apiKey)
	}
	unknown := ran("a key that no config ever held", unknownKey)
	return dropped+unknown == 0, nil
}

// unknownKey is a key that no configuration holds.
const unknownKey = "q7w2e9r4t1y6u3i8o5p0"
