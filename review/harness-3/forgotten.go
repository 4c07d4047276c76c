package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// runForgotten sends a request with a part that crashes workers now and then, while all routers are
// killed three times. BUDGET: more than three requests with it reach workers, by machines in touch, later
// than the stability window after the fifth crash.
func runForgotten(e *env) (bool, error) {
	e.writeConfig(false, 1)
	if err := e.startCrashable(8, true); err != nil {
		return false, err
	}
	if err := e.startRouters("recife-a", "recife-a", "recife-b", "recife-b", "recife-c", "recife-c"); err != nil {
		return false, err
	}
	e.sleepUntil(5)
	var wait sync.WaitGroup
	turn := 0
	// inTouch holds the requests that were sent while all machines were in touch.
	inTouch := map[string]bool{}
	crash := func() {
		turn++
		prompt := fmt.Sprintf("%s:512,%s:580,%08x:130", systemPart, crashPart, rand.Uint32())
		id := e.ask(&wait, turn, prompt, "crashing", func(answer) {})
		inTouch[id] = sinceStart(e) > stability
	}
	const pause = 3500 * time.Millisecond
	for round := range 4 {
		for range 4 {
			crash()
			time.Sleep(pause)
		}
		if round == 3 {
			break
		}
		if e.trouble {
			var killed sync.WaitGroup
			for _, r := range e.routers {
				killed.Go(r.kill)
			}
			killed.Wait()
			e.record("all routers killed")
			time.Sleep(time.Second)
			for _, r := range e.routers {
				if err := r.start(); err != nil {
					return false, err
				}
			}
			if err := e.awaitReady(); err != nil {
				return false, err
			}
		}
		time.Sleep(pause)
	}
	wait.Wait()
	e.stopKeeping()
	arrivals := e.arrivals()
	n, fifth := lastCrash(arrivals)
	late := 0
	for _, a := range arrivals {
		if a.Crash && inTouch[a.ID] && a.At.After(fifth.Add(stability)) {
			late++
		}
	}
	e.record("%d crashes; %d requests with the part reached workers later than %v after the fifth, sent by machines in touch", n, late, stability)
	return n < 5 || late <= 3, nil
}
