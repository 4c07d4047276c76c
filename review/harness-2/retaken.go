package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Terms of the case "retaken".
const (
	// oldWorkers serve throughout; newWorkers of another version join them.
	oldWorkers, newWorkers = 2, 10
	retakenRouters         = 6
	// joinTime is the time from the release to the first streams, and runTime that from these to the end of all routers.
	joinTime, runTime = 4 * time.Second, 2500 * time.Millisecond
	// restartDelay is the time until the platform starts a process again, and touchTime how long a machine has to run to be in
	// touch, with half a second more.
	restartDelay, touchTime = 500 * time.Millisecond, 3500 * time.Millisecond
	// streams are taken up, newStreams begin beside them. Each has dossierEvents.
	streams, newStreams = 48, 48
	dossierEvents       = 64
	dossierTime         = 15 * time.Second
	// fewStreams is the number from which on the rule counts.
	fewStreams = 12
)

// playRetaken kills all routers while a second software version has just joined, and lets clients take their streams up
// once the routers are in touch again.
func playRetaken(e *env) (int, error) {
	e.putConfig()
	routers, err := e.startRouters(retakenRouters, e.store.Addr())
	if err != nil {
		return 0, err
	}
	start := func(i int, version string) error {
		l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return err
		}
		defer l.Close()
		return e.startWorker(&worker{id: fmt.Sprintf("i-%s-%d", version, i), service: engineService, zone: zones[i%len(zones)], version: version}, l, l.Addr().String())
	}
	for i := range oldWorkers {
		if err := start(i, "v1"); err != nil {
			return 0, err
		}
	}
	// The first version has served for longer than any stream lasts.
	time.Sleep(25 * time.Second)
	for i := range newWorkers {
		if err := start(i, "v2"); err != nil {
			return 0, err
		}
	}
	time.Sleep(joinTime)
	begun := time.Now()
	replies := make([]reply, streams)
	var tasks sync.WaitGroup
	for i := range streams {
		tasks.Go(func() {
			replies[i] = e.dossier(&client{router: routers[i%len(routers)].front, key: apiKey}, fmt.Sprintf("aaaa%012x", i), begun.Add(runTime))
		})
	}
	time.Sleep(runTime)
	if e.trouble {
		e.logf("all routers are killed")
		var restarts sync.WaitGroup
		for _, r := range routers {
			restarts.Go(func() { r.kill() })
		}
		restarts.Wait()
		time.Sleep(restartDelay)
		for _, r := range routers {
			if err := e.startRouter(r); err != nil {
				return 0, err
			}
		}
		for _, r := range routers {
			if err := r.awaitReady(); err != nil {
				return 0, err
			}
		}
		e.logf("all routers are ready")
	}
	tasks.Wait()
	time.Sleep(touchTime)
	var mu sync.Mutex
	taken, went, began := 0, 0, 0
	for i := range streams {
		got := replies[i]
		if n := strings.Count(got.body, "\n\n"); got.status == http.StatusOK && n > 0 {
			taken++
			tasks.Go(func() {
				c := &client{router: routers[(i+1)%len(routers)].front, key: apiKey, resumes: fmt.Sprintf("aaaa%012x", i), lastEvent: n}
				if again := e.dossier(c, fmt.Sprintf("bbbb%012x", i), begun.Add(dossierTime)); again.status == http.StatusOK {
					mu.Lock()
					defer mu.Unlock()
					went++
				}
			})
		}
	}
	for i := range newStreams {
		tasks.Go(func() {
			if got := e.dossier(&client{router: routers[i%len(routers)].front, key: apiKey}, fmt.Sprintf("cccc%012x", i), begun.Add(dossierTime)); got.status == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				began++
			}
		})
	}
	tasks.Wait()
	e.logf("%d of %d streams that clients took up go on, %d of %d new ones begin", went, taken, began, newStreams)
	if taken < fewStreams {
		return 0, fmt.Errorf("only %d streams were taken up", taken)
	}
	if 2*went*newStreams < began*taken {
		return taken - went, nil
	}
	return 0, nil
}

// dossier sends one dossier, gives it up at a time, and records how it ended.
func (e *env) dossier(c *client, id string, until time.Time) reply {
	path := fmt.Sprintf("%s%d", dossierPath, dossierEvents)
	e.logf("client sends %s %s to %s, resumes %q after %d", path, id, c.router, c.resumes, c.lastEvent)
	got := c.sendUntil(http.MethodPost, path, id, dossierTime, 6*dossierEvents, until)
	c.drop()
	e.logf("client %s %s: %s", path, id, got.describe())
	return got
}
