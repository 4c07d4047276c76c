package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// limitPerS is the Server-Limit that all workers name.
	limitPerS = 1
	// limitSpan is the span of the rule, and allowed how many requests may reach a worker in it.
	limitSpan = 4 * time.Second
	allowed   = 1.5*limitPerS*4 + 5
)

// runLull lets the traffic to workers that name a limit pause and come back. LIMIT: a worker gets in
// some 4 s more than one and a half times what its limit allows, and 5 requests.
func runLull(e *env) (bool, error) {
	e.writeConfig(false, 1)
	spec := workerSpec{Service: service, Version: "r1", Events: 4, GapMS: 400, Limit: "1"}
	for i := range 3 {
		spec.Zone = zones[i]
		if _, err := e.startWorker(spec, ""); err != nil {
			return false, err
		}
	}
	if err := e.startRouters("recife-a", "recife-a", "recife-b", "recife-b", "recife-c", "recife-c"); err != nil {
		return false, err
	}
	e.sleepUntil(3)
	var wait sync.WaitGroup
	turn := 0
	passed := make([]bool, len(e.routers))
	var mu sync.Mutex
	traffic := func(until, perSecond float64) tally {
		var t tally
		end := e.began.Add(time.Duration(until * float64(time.Second)))
		for time.Now().Before(end) {
			// Requests come at random times, at random machines.
			router := rand.IntN(len(e.routers))
			turn++
			e.ask(&wait, router, randomPrompt(), "chat", func(a answer) {
				t.add(a.first == 1)
				mu.Lock()
				defer mu.Unlock()
				passed[router] = passed[router] || a.first == 1
			})
			time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		}
		return tally{sent: t.sent, begun: t.begun}
	}
	traffic(23, usualRate)
	wait.Wait()
	mu.Lock()
	known := 0
	for _, p := range passed {
		if p {
			known++
		}
	}
	mu.Unlock()
	e.record("%d of %d machines have passed on answers that name the limit of %d a second", known, len(e.routers), limitPerS)
	if e.trouble {
		e.record("the chats go quiet")
		e.sleepUntil(60)
	} else {
		traffic(60, usualRate)
	}
	e.record("the chats come back")
	traffic(63, burstFactor*usualRate)
	traffic(68, usualRate)
	wait.Wait()
	most, at := busiest(e.arrivals(), e.began.Add(3*time.Second+stability))
	e.record("most requests that reached one worker in %v: %d, from second %.1f on; allowed %.0f", limitSpan, most, at.Sub(e.began).Seconds(), float64(allowed))
	return known < len(e.routers) || float64(most) <= allowed, nil
}

// usualRate is the number of chats a second, burstFactor the burst with which they come back.
const (
	usualRate   = 57.4
	burstFactor = 1.7
)

// busiest returns the most requests that reached one worker in limitSpan from a time on, and when that
// span began.
func busiest(arrivals []arrival, from time.Time) (int, time.Time) {
	most, at := 0, time.Time{}
	for i, first := range arrivals {
		if first.At.Before(from) {
			continue
		}
		n := 0
		for _, a := range arrivals[i:] {
			if a.Worker == first.Worker && a.At.Sub(first.At) <= limitSpan {
				n++
			}
		}
		if n > most {
			most, at = n, first.At
		}
	}
	return most, at
}
