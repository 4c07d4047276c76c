package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// taken is a stream that its client takes up again.
type taken struct {
	startedAt time.Time
	first     ask
	before    answer
	after     answer
	took      bool
	resumeIt  ask
}

// age is the time since the stream began.
func (t *taken) age() time.Duration {
	return time.Since(t.startedAt)
}

// runVersions replaces most workers of a service, one after the other, by workers of a newer software
// version, and kills all routers right after that. The clients take their streams up once the routers are in touch.
// LOST: of 12 or more streams that clients take up, the share that goes on is under half of the
// share of new streams that begin.
func runVersions(e *env) (bool, error) {
	e.writeConfig(true, 2)
	spec := workerSpec{Service: service, Version: "r1", Events: 56, GapMS: 250}
	old := make([]*worker, 12)
	for i := range old {
		spec.Zone = zones[i%len(zones)]
		var err error
		if old[i], err = e.startWorker(spec, "", nil); err != nil {
			return false, err
		}
	}
	if err := e.startRouters("recife-a", "recife-a", "recife-b", "recife-b", "recife-c", "recife-c"); err != nil {
		return false, err
	}
	const releases, broken, takeUp = 20.0, 31.5, 36.0
	e.sleepUntil(releases)
	released := make(chan error, 1)
	go func() { released <- e.release(old[:10], "r2") }()
	e.sleepUntil(releases + 3)
	var streams sync.WaitGroup
	list := make([]*taken, 64)
	for i := range list {
		list[i] = &taken{startedAt: time.Now(), first: ask{id: newID(), prompt: randomPrompt(), budget: 15 * time.Second}}
		streams.Go(func() {
			// Without the trouble the clients lose the same connections, while the routers go on.
			ctx, cancel := context.WithDeadline(context.Background(), e.began.Add(time.Duration(broken*float64(time.Second))))
			defer cancel()
			e.note("stream %s begins at %s", list[i].first.id, e.routers[i%len(e.routers)].clientAddr())
			list[i].before = send(ctx, e.routers[i%len(e.routers)].clientAddr(), list[i].first)
		})
		time.Sleep(120 * time.Millisecond)
	}
	if err := <-released; err != nil {
		return false, err
	}
	e.sleepUntil(broken)
	if e.trouble {
		var killed sync.WaitGroup
		for _, r := range e.routers {
			killed.Go(r.kill)
		}
		killed.Wait()
		e.record("all routers killed")
	}
	streams.Wait()
	time.Sleep(time.Second)
	if e.trouble {
		for _, r := range e.routers {
			if err := r.start(); err != nil {
				return false, err
			}
		}
		if err := e.awaitReady(); err != nil {
			return false, err
		}
	}
	e.sleepUntil(takeUp)
	return judgeTakenUp(e, list), nil
}

// release replaces workers one after the other by workers of another version. The new one starts first;
// the old one drains, serves on and leaves.
func (e *env) release(old []*worker, version string) error {
	for _, w := range old {
		spec := w.spec
		spec.Version = version
		if _, err := e.startWorker(spec, "", nil); err != nil {
			return err
		}
		w.register("draining")
		e.record("worker of version %s starts, one of version %s drains", version, w.spec.Version)
		time.AfterFunc(drainTime, func() {
			e.store.Delete("servers", w.id)
			w.kill()
		})
		time.Sleep(time.Second)
	}
	return nil
}

// drainTime is how long a worker that drains serves on: DrainMs, and a little longer.
const drainTime = 2500 * time.Millisecond

var zones = []string{"recife-a", "recife-b", "recife-c"}

func randomPrompt() string {
	return fmt.Sprintf("5c1e07a2:512,%08x:580,%08x:130", rand.Uint32(), rand.Uint32())
}

// judgeTakenUp takes streams up and begins as many new ones, and judges LOST.
func judgeTakenUp(e *env, list []*taken) bool {
	e.record("clients take their streams up, %.1f s after the last router started; as many new streams begin", sinceStart(e).Seconds())
	fresh := make([]answer, len(list))
	var streams sync.WaitGroup
	for i, t := range list {
		t.took = t.before.status == 200 && !t.before.whole && t.before.last > 0
		if t.took {
			t.resumeIt = ask{id: newID(), prompt: t.first.prompt, lastEvent: t.before.last, resumes: t.first.id, budget: 15*time.Second - t.age()}
			streams.Go(func() {
				t.after = send(context.Background(), e.routers[(i+1)%len(e.routers)].clientAddr(), t.resumeIt)
			})
		}
		streams.Go(func() {
			fresh[i] = send(context.Background(), e.routers[(i+2)%len(e.routers)].clientAddr(), ask{id: newID(), prompt: randomPrompt(), budget: 6 * time.Second})
		})
		time.Sleep(10 * time.Millisecond)
	}
	streams.Wait()
	took, wentOn, began := 0, 0, 0
	for i, t := range list {
		if fresh[i].first == 1 {
			began++
		}
		if !t.took {
			e.note("stream %s was not broken off: status %d, last event %d", t.first.id, t.before.status, t.before.last)
			continue
		}
		took++
		goesOn := t.after.status == 200 && t.after.first == t.before.last+1
		if goesOn {
			wentOn++
		}
		e.note("stream %s, event %d, taken up as %s: status %d, first event %d, goes on %t %s", t.first.id, t.before.last, t.resumeIt.id, t.after.status, t.after.first, goesOn, t.after.body)
	}
	shareOn, shareNew := float64(wentOn)/float64(max(took, 1)), float64(began)/float64(len(list))
	e.record("taken up %d, went on %d (%.2f); new streams %d, begun %d (%.2f)", took, wentOn, shareOn, len(list), began, shareNew)
	return took < 12 || shareOn >= shareNew/2
}

// sinceStart returns the time since the last router process started.
func sinceStart(e *env) time.Duration {
	last := e.began
	for _, r := range e.routers {
		r.mu.Lock()
		if r.startedAt.After(last) {
			last = r.startedAt
		}
		r.mu.Unlock()
	}
	return time.Since(last)
}
