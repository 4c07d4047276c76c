package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/review/standin"
)

func init() {
	checks["stop"] = checkStop
}

// Timeline of the case, since its start.
const (
	stopAt = 15 * time.Second
	// stopSendAt is when the clients send again: later than 3 s after SIGTERM.
	stopSendAt = stopAt + 3200*time.Millisecond
	stopEnd    = stopAt + 14*time.Second
	// A stream has 100 events of six tokens, as the site allows, at 8 ms a token.
	stopEvents = 100
	stopGap    = 48 * time.Millisecond
	stopUsage  = "829,600"
	stopConns  = 24
	stopRouter = 1
)

// checkStop stops a router. Clients that keep connections open send it requests for streams
// that must not be repeated.
func checkStop(e *environment) (bool, error) {
	var mu sync.Mutex
	runs := map[string]bool{}
	onRun := func(w *standin.Worker, r *http.Request) {
		mu.Lock()
		runs[r.Header.Get("Attempt-Id")] = true
		mu.Unlock()
		e.record("run %s at %s", r.Header.Get("Attempt-Id"), w.ID)
	}
	if err := e.addSiteWorkers(onRun); err != nil {
		return false, err
	}
	for _, w := range e.workers {
		w.Events, w.Gap = stopEvents, stopGap
	}
	e.putConfig(keyOfTwo)
	if err := e.startRouters(); err != nil {
		return false, err
	}
	router := e.fleet.Routers[stopRouter]
	ask := func(id string, conn *standin.Conn) (answer standin.Answer, events int) {
		answer = e.send(standin.Ask{
			Router: router, Method: http.MethodPost, Path: "/ask/talk", ID: id, Key: keyOfTwo, Body: "question", Usage: stopUsage,
			Deadline: 12 * time.Second, Conn: conn, OnEvent: func(int, string) { events++ },
		})
		e.record("answer %s: %d whole=%v, %d events, error %v", id, answer.Status, answer.Whole, events, answer.Err)
		return answer, events
	}
	e.sleepUntil(stopAt - 4*time.Second)
	conns := make([]*standin.Conn, stopConns)
	for i := range conns {
		conns[i] = standin.NewConn()
		defer conns[i].Close()
		answer := e.send(standin.Ask{Router: router, Method: http.MethodGet, Path: "/look/item", ID: fmt.Sprintf("look-%d", i), Key: keyOfTwo, Deadline: 3 * time.Second, Conn: conns[i]})
		if !answer.Whole {
			return false, fmt.Errorf("connection %d: %w", i, answer.Err)
		}
	}
	var clients sync.WaitGroup
	e.sleepUntil(stopAt - 500*time.Millisecond)
	for i := range 4 {
		// Streams that were asked for before the router stops.
		clients.Go(func() { ask(fmt.Sprintf("early-%d", i), nil) })
	}
	e.sleepUntil(stopAt)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if e.trouble {
			e.stop(router)
		}
	}()
	e.sleepUntil(stopSendAt)
	accepted, refused, cut := 0, 0, 0
	for i, conn := range conns {
		clients.Go(func() {
			id := fmt.Sprintf("ask-%d", i)
			answer, _ := ask(id, conn)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case conn.Dials() != 1:
				e.record("%s did not use its kept connection", id)
			case runs[id]:
				accepted++
				if !answer.Whole {
					cut++
				}
			default:
				refused++
			}
		})
	}
	clients.Wait()
	e.sleepUntil(stopEnd)
	<-stopped
	e.record("requests on kept connections, sent %v after SIGTERM: passed on to a worker %d, of these broken off %d; not passed on %d", stopSendAt-stopAt, accepted, cut, refused)
	if accepted+refused == 0 {
		return false, fmt.Errorf("no request was sent on a kept connection")
	}
	return cut > 0, nil
}
