package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/review/standin"
)

func init() {
	checks["roll"] = checkRoll
}

// Timeline of the case, since its start.
const (
	rollAt        = 22 * time.Second
	rollGap       = 2 * time.Second
	rollReleaseAt = rollAt + 3*time.Second
	rollStreamsAt = rollAt + 4800*time.Millisecond
	rollStreams   = 34
	rollSpacing   = 100 * time.Millisecond
	rollNewAt     = rollAt + 18500*time.Millisecond
	rollNew       = 24
	// rollBusy is the number of streams at each of the other routers when it is stopped.
	rollBusy = 3
	// minResumed is the number of streams from which the rule counts.
	minResumed = 12
)

// checkRoll restarts the routers one after the other while workers of a new software version
// start. Clients take up the streams of the last router at the others.
func checkRoll(e *environment) (bool, error) {
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
	routers := e.fleet.Routers
	last := routers[len(routers)-1]
	starts := newStarts(routers)
	var clients sync.WaitGroup
	results := make([]streamResult, rollStreams)
	e.sleepUntil(rollAt)
	go func() {
		e.sleepUntil(rollReleaseAt)
		for n := range 10 {
			if err := add(n, "v2"); err != nil {
				e.record("worker: %v", err)
			}
		}
		e.record("ten workers of v2 have started beside the two of v1")
	}()
	go func() {
		e.sleepUntil(rollStreamsAt)
		for i := range results {
			clients.Go(func() { results[i] = e.readStream(i, last) })
			time.Sleep(rollSpacing)
		}
	}()
	var restarts sync.WaitGroup
	for n, r := range routers {
		e.sleepUntil(rollAt + time.Duration(n)*rollGap - 500*time.Millisecond)
		if r != last {
			for i := range rollBusy {
				go e.readStream(1000+100*n+i, r)
			}
		}
		e.sleepUntil(rollAt + time.Duration(n)*rollGap)
		if r == last || e.trouble {
			restarts.Go(func() { e.restart(r, starts) })
		}
	}
	e.sleepUntil(rollNewAt)
	begun := make([]bool, rollNew)
	var fresh sync.WaitGroup
	for i := range begun {
		fresh.Go(func() { begun[i] = e.beginsStream(i, last) })
	}
	fresh.Wait()
	clients.Wait()
	restarts.Wait()
	e.record("splits in the store: %s", e.store.Spec("ragwort-stream-versions", modelService))
	return e.judgeResumed(results, begun, starts)
}

// judgeResumed compares the share of the streams taken up again that go on with the share of
// the new streams that begin.
func (e *environment) judgeResumed(results []streamResult, begun []bool, starts *processStarts) (bool, error) {
	resumed, goOn, begin := 0, 0, 0
	for i, r := range results {
		e.record("stream %d: versions %v, resumed %v at %s, events %d, end %s", i, r.versions, r.resumed, r.resumedAt, r.last, r.end)
		if !r.resumed || !starts.inTouch(r.resumedAt, r.resumedWhen) {
			continue
		}
		resumed++
		if r.goesOn {
			goOn++
		}
	}
	for _, ok := range begun {
		if ok {
			begin++
		}
	}
	e.record("streams taken up again at machines in touch: %d, that go on: %d; new streams: %d, that begin: %d", resumed, goOn, len(begun), begin)
	if resumed < minResumed || begin == 0 {
		return false, fmt.Errorf("%d streams taken up again, %d new ones", resumed, begin)
	}
	return float64(goOn)/float64(resumed) < float64(begin)/float64(len(begun))/2, nil
}

// restart stops a router with SIGTERM and starts it again.
func (e *environment) restart(r *standin.Router, starts *processStarts) {
	starts.disturb(r.Name)
	e.stop(r)
	if err := r.Start(); err != nil {
		e.record("%s: %v", r.Name, err)
		return
	}
	starts.start(r.Name)
}

// beginsStream starts a new stream at a router that is in service and reports whether its
// first event comes.
func (e *environment) beginsStream(i int, not *standin.Router) bool {
	first := make(chan struct{}, 1)
	id, router := fmt.Sprintf("new-%d", i), e.otherRouter(i, not)
	answer := make(chan standin.Answer, 1)
	go func() {
		answer <- e.send(standin.Ask{
			Router: router, Method: http.MethodPost, Path: "/walk/talk", ID: id, Key: keyOfTwo, Body: "prompt", Deadline: 2 * time.Second,
			OnEvent: func(int, string) {
				select {
				case first <- struct{}{}:
				default:
				}
			},
		})
	}()
	select {
	case <-first:
		e.record("answer %s from %s: begins", id, router.Name)
		return true
	case a := <-answer:
		e.record("answer %s from %s: %d, error %v", id, router.Name, a.Status, a.Err)
		return false
	}
}

// processStarts knows which routers have run undisturbed and since when.
type processStarts struct {
	mu sync.Mutex
	at map[string]time.Time
}

func newStarts(routers []*standin.Router) *processStarts {
	s := &processStarts{at: map[string]time.Time{}}
	for _, r := range routers {
		s.start(r.Name)
	}
	return s
}

func (s *processStarts) start(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[name] = time.Now()
}

// disturb records that a router gets SIGTERM.
func (s *processStarts) disturb(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.at, name)
}

// inTouch reports whether a router had run undisturbed for StabilityWindowMs at a time.
func (s *processStarts) inTouch(name string, when time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.at[name]
	return ok && when.Sub(at) >= standin.StabilityWindow
}
