package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// Terms of the case "keyless".
const (
	// applyTime is ConfigApplyMs, with a second more.
	applyTime = 3 * time.Second
	// keyRequests are sent with each kind of key.
	keyRequests = 10
	// unknownKey is a key that no configuration holds.
	unknownKey = "q7w2e9r4t1y6u3i8o5p0"
)

// playKeyless takes away the only tenant and sends requests with its key, with an unknown one and with none.
func playKeyless(e *env) (int, error) {
	e.putConfig()
	routers, err := e.startRouters(3, e.store.Addr())
	if err != nil {
		return 0, err
	}
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return 0, err
	}
	defer l.Close()
	w := &worker{id: "i-" + plainService, service: plainService, zone: zones[0]}
	if err := e.startWorker(w, l, l.Addr().String()); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	ran := func(what, key string) int {
		before := w.runs.Load()
		for i := range keyRequests {
			c := &client{router: routers[i%len(routers)].front, key: key}
			method, path := http.MethodGet, lookupPath+"1"
			if i%2 == 0 {
				method, path = http.MethodPost, orderPath+"1"
			}
			id := fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, i)
			got := c.send(method, path, id, 3*time.Second, 0)
			c.drop()
			e.logf("client %s %s %s with %s: %s", method, path, id, what, got.describe())
		}
		// The worker's last line may be on its way.
		time.Sleep(100 * time.Millisecond)
		return int(w.runs.Load() - before)
	}
	if n := ran("the tenant's key", apiKey); n != keyRequests {
		return 0, fmt.Errorf("%d of %d requests with a key ran", n, keyRequests)
	}
	if e.trouble {
		config := newConfig()
		config.Version, config.Keys = 2, nil
		e.store.Put("config", "main", config.Spec())
		e.logf("version 2: the tenant is taken away, Tenants is an empty list")
	}
	time.Sleep(applyTime)
	broken := ran("an unknown key", unknownKey) + ran("no key", "")
	if e.trouble {
		broken += ran("the key that was taken away", apiKey)
	}
	if broken > 0 {
		e.logf("BROKEN: %d requests ran that no key allows", broken)
	}
	return broken, nil
}
