package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Terms of the case "supervised".
const (
	supervisedTime = 40 * time.Second
	// restartEvery is the time between two crashes, restartTime that until the next process of the worker serves.
	restartEvery, restartTime = 4 * time.Second, 500 * time.Millisecond
)

// playSupervised crashes a worker whose supervisor keeps its socket and starts it again under the same ID, while some of
// its answers end with their connections.
func playSupervised(e *env) (int, error) {
	e.putConfig()
	routers, err := e.startRouters(3, e.store.Addr())
	if err != nil {
		return 0, err
	}
	var workers []*worker
	var sockets []*net.TCPListener
	for i := range len(zones) + 1 {
		l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return 0, err
		}
		defer l.Close()
		w := &worker{id: fmt.Sprintf("i-%s-%d", plainService, i), service: plainService, zone: zones[i%len(zones)]}
		if err := e.startWorker(w, l, l.Addr().String()); err != nil {
			return 0, err
		}
		workers, sockets = append(workers, w), append(sockets, l)
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(supervisedTime)
	var broken atomic.Int64
	var tasks sync.WaitGroup
	for i := range plainClients {
		tasks.Go(func() { e.askUntil(end, routers[i%len(routers)].front, i, &broken) })
	}
	if e.trouble {
		tasks.Go(func() {
			for n := 0; time.Now().Before(end.Add(-restartEvery)); n++ {
				time.Sleep(restartEvery)
				i := n % len(workers)
				workers[i].proc.kill()
				e.logf("worker %s has crashed", workers[i].id)
				time.Sleep(restartTime)
				if err := e.startWorker(workers[i], sockets[i], workers[i].addr); err != nil {
					e.logf("worker %s cannot start: %v", workers[i].id, err)
					return
				}
			}
		})
	}
	tasks.Wait()
	return int(broken.Load()), nil
}
