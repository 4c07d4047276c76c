package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Parts of prompts: the first part of all, the one that crashes workers, and a document.
const (
	systemPart = "5c1e07a2"
	crashPart  = "0badc0de"
	document   = "e4402b7d"
)

// tally counts streams of one kind in one span.
type tally struct {
	mu          sync.Mutex
	sent, begun int
}

func (t *tally) add(begun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if begun {
		t.begun++
	}
}

func (t *tally) share() float64 {
	return float64(t.begun) / float64(max(t.sent, 1))
}

// startCrashable starts workers that come back when they have crashed; crash tells whether they crash on
// crashPart.
func (e *env) startCrashable(n int, crash bool) error {
	spec := workerSpec{Service: service, Version: "r1", Events: 8, GapMS: 40}
	if crash {
		spec.CrashPart = crashPart
	}
	for i := range n {
		spec.Zone = zones[i%len(zones)]
		w, err := e.startWorker(spec, "")
		if err != nil {
			return err
		}
		e.keepAlive(w, 3*time.Second)
	}
	return nil
}

// ask sends a stream in the background to a router in turn, and returns its Attempt-Id.
func (e *env) ask(wait *sync.WaitGroup, turn int, prompt, kind string, done func(answer)) string {
	a := ask{id: newID(), prompt: prompt, budget: 12 * time.Second}
	addr := e.routers[turn%len(e.routers)].clientAddr()
	e.note("%s request %s sent to %s", kind, a.id, addr)
	wait.Go(func() {
		got := send(context.Background(), addr, a)
		e.note("%s request %s, parts %s: status %d, events %d, whole %t %s", kind, a.id, prompt, got.status, got.last, got.whole, got.body)
		done(got)
	})
	return a.id
}

// lastCrash returns the number of crashes, and the time of the fifth, or of the last one if there
// are fewer.
func lastCrash(arrivals []arrival) (int, time.Time) {
	n, at := 0, time.Time{}
	for _, a := range arrivals {
		if a.Crash {
			if n++; n <= 5 {
				at = a.At
			}
		}
	}
	return n, at
}

// runDocument sends requests with a part that crashes workers and a document after it, and then
// sound requests with that document, of the same caller. LOST: from twice the stability window after
// the last crash, while such requests still come, sound requests begin less than half as often as
// before.
func runDocument(e *env) (bool, error) {
	e.writeConfig(false, 1)
	if err := e.startCrashable(8, e.trouble); err != nil {
		return false, err
	}
	if err := e.startRouters("recife-a", "recife-a", "recife-b", "recife-b", "recife-c", "recife-c"); err != nil {
		return false, err
	}
	e.sleepUntil(5)
	var wait sync.WaitGroup
	var before, after tally
	turn := 0
	sound := func(part string, t *tally) {
		turn++
		e.ask(&wait, turn, fmt.Sprintf("%s:512,%s:580,%08x:130", systemPart, part, rand.Uint32()), "sound", func(a answer) { t.add(a.first == 1) })
	}
	for range 40 {
		sound("91bd3f06", &before)
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	e.record("before: %d sound requests, %d begun", before.sent, before.begun)
	crash := func() {
		turn++
		e.ask(&wait, turn, fmt.Sprintf("%s:512,%s:90,%s:580,%08x:130", systemPart, crashPart, document, rand.Uint32()), "crashing", func(answer) {})
	}
	// The caller works with a new document: first with the part that crashes workers, then without.
	for range 4 {
		crash()
		time.Sleep(1500 * time.Millisecond)
	}
	n, at := lastCrash(e.arrivals())
	if !e.trouble {
		at = time.Now()
	}
	from := at.Add(2 * stability)
	e.record("%d crashes", n)
	for i := range 300 {
		if i%20 == 0 {
			crash()
		}
		if now := time.Now(); now.After(from) {
			sound(document, &after)
		} else {
			sound(document, &tally{})
		}
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	e.stopKeeping()
	n, at = lastCrash(e.arrivals())
	e.record("%d crashes in all, the fifth or last %.1f s before the first request that counts", n, from.Sub(at).Seconds())
	e.record("after: %d sound requests, %d begun (%.2f; before %.2f)", after.sent, after.begun, after.share(), before.share())
	if e.trouble && from.Sub(at) < 2*stability {
		return false, fmt.Errorf("a crash came later than the span that is judged")
	}
	return after.sent < 20 || before.sent < 20 || after.share() >= before.share()/2, nil
}
