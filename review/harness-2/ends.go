package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Terms of the case "ends".
const (
	// spells is how often the links of a zone are lossy for spellTime, spellEvery after the start of the last time.
	spells                = 9
	spellTime, spellEvery = 5500 * time.Millisecond, 9 * time.Second
	// crashAfter is the time from the start of a spell to the crash of one worker in four of a service, and secondAfter that
	// to the crash of one of the other service. downTime is the time until another one has started, and silence that until
	// the entry of the first is removed: three heartbeats.
	crashAfter, secondAfter = 1500 * time.Millisecond, 3 * time.Second
	downTime                = 2 * time.Second
	silence                 = 3600 * time.Millisecond
	// plainClients and chatClients are the numbers of clients.
	plainClients, chatClients = 60, 60
	thinkTime                 = 60 * time.Millisecond
	// lossyZone is the zone whose links are lossy, and whose workers crash. Two of the four workers of a service are there.
	lossyZone = 2
)

// playEnds crashes workers of a zone with lossy links while some of their answers end with their connections.
func playEnds(e *env) (int, error) {
	var lossy, sound atomic.Bool
	e.putConfig()
	routers, err := e.startRouters(3, e.store.Addr())
	if err != nil {
		return 0, err
	}
	// The loss concerns the way from the routers of the other zones, whose clients send here.
	routers = routers[:lossyZone]
	var fleets [2][]*linkedWorker
	for k, service := range []string{plainService, engineService} {
		for i := range len(zones) + 1 {
			zone, loss := min(i, lossyZone), &sound
			if zone == lossyZone {
				loss = &lossy
			}
			w, err := e.startLinked(fmt.Sprintf("i-%s-%d", service, i), service, zones[zone], loss)
			if err != nil {
				return 0, err
			}
			if zone == lossyZone {
				fleets[k] = append(fleets[k], w)
			}
		}
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(spells*spellEvery + time.Second)
	var broken atomic.Int64
	var tasks sync.WaitGroup
	for i := range plainClients + chatClients {
		tasks.Go(func() { e.askUntil(end, routers[i%len(routers)].front, i, &broken) })
	}
	if e.trouble {
		for n := range spells {
			start := time.Now()
			lossy.Store(true)
			e.logf("the links of %s are lossy", zones[lossyZone])
			time.AfterFunc(spellTime, func() {
				lossy.Store(false)
				e.logf("the links of %s are sound", zones[lossyZone])
			})
			for k, after := range []time.Duration{crashAfter, secondAfter} {
				time.Sleep(time.Until(start.Add(after)))
				tasks.Go(func() { e.crash(fleets[k], n, &lossy) })
			}
			time.Sleep(time.Until(start.Add(spellEvery)))
		}
	}
	tasks.Wait()
	return int(broken.Load()), nil
}

// linkedWorker is a worker behind a link.
type linkedWorker struct {
	worker
	link *link
}

// startLinked starts a worker behind a link.
func (e *env) startLinked(id, service, zone string, lossy *atomic.Bool) (*linkedWorker, error) {
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	defer l.Close()
	k, err := newLink(l.Addr().String(), lossy)
	if err != nil {
		return nil, err
	}
	w := &linkedWorker{worker: worker{id: id, service: service, zone: zone}, link: k}
	return w, e.startWorker(&w.worker, l, k.addr())
}

// crash kills one of the workers. Another one starts after downTime with an ID and an address of its own.
func (e *env) crash(fleet []*linkedWorker, n int, lossy *atomic.Bool) {
	i := n % len(fleet)
	old := fleet[i]
	old.link.refuse()
	old.proc.kill()
	e.logf("worker %s has crashed", old.id)
	time.AfterFunc(silence, func() { e.store.Delete("servers", old.id) })
	time.Sleep(downTime)
	w, err := e.startLinked(fmt.Sprintf("%s.%d", old.id, n), old.service, old.zone, lossy)
	if err != nil {
		e.logf("no worker starts in place of %s: %v", old.id, err)
		return
	}
	fleet[i] = w
}

// askUntil sends one client's requests and counts those whose answer looks complete and is not.
func (e *env) askUntil(end time.Time, router string, number int, broken *atomic.Int64) {
	c := &client{router: router, key: apiKey}
	defer c.drop()
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%04x%012x", number, rand.Uint64()>>16)
		method, path, budget, tokens := http.MethodGet, lookupPath+"1", 3*time.Second, 0
		switch {
		case number >= plainClients:
			method, path, budget, tokens = http.MethodPost, fmt.Sprintf("%s%d", chatPath, chatEvents), 12*time.Second, 6*chatEvents
		case number%2 == 0:
			method, path = http.MethodPost, orderPath+"1"
		}
		got := c.send(method, path, id, budget, tokens)
		verdict := ""
		if got.looksComplete() && !got.isWhole(path, id) {
			broken.Add(1)
			verdict = " BROKEN: looks complete, is not the whole answer"
		}
		e.logf("client %d %s %s %s: %s%s", number, method, path, id, got.describe(), verdict)
		time.Sleep(time.Duration(rand.Int64N(int64(2 * thinkTime))))
	}
}
