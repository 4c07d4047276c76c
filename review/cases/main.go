// Command cases runs one case of the review: it starts routers and stand-ins, disturbs them
// and checks a rule by what clients, workers and the operator have seen.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. With TROUBLE=0 in
// the environment it leaves the disruption out.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"ragwortpond.example/ragwortpond/review/standin"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// check runs a case and reports whether the rule was broken.
type check func(e *environment) (broken bool, err error)

var checks = map[string]check{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	c := checks[name]
	if c == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitFailed
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	e := &environment{out: file, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	defer e.close()
	go e.endEarly()
	if err := e.start(); err != nil {
		e.record("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	broken, err := c(e)
	switch {
	case err != nil:
		e.record("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		fmt.Println("broken")
		return exitBroken
	default:
		fmt.Println("held")
		return exitHeld
	}
}

// environment holds the stand-ins and routers of a case.
type environment struct {
	started time.Time
	trouble bool
	store   *standin.Store
	fleet   *standin.Fleet
	workers []*standin.Worker

	closing sync.Once
	mu      sync.Mutex
	out     io.Writer
	version int
}

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

// endEarly ends the case, and all processes that it started, on a signal or after
// maxDuration.
func (e *environment) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case s := <-signals:
		e.record("could not run: %v", s)
	case <-time.After(maxDuration):
		e.record("could not run: not done after %v", maxDuration)
	}
	e.close()
	os.Exit(exitFailed)
}

// start starts the store and writes the first configuration; workers and routers follow.
func (e *environment) start() error {
	var err error
	e.store, err = standin.StartStore()
	return err
}

// startRouters starts the routers and waits until they are ready and traffic may start.
func (e *environment) startRouters() error {
	var err error
	if e.fleet, err = standin.StartFleet(e.store); err != nil {
		return err
	}
	if !e.fleet.AwaitReady(10 * time.Second) {
		return fmt.Errorf("routers not ready")
	}
	e.record("routers ready")
	return nil
}

func (e *environment) close() {
	e.closing.Do(e.closeAll)
}

func (e *environment) closeAll() {
	if e.fleet != nil {
		e.fleet.Close(os.Getenv("KEEP_LOGS"))
	}
	for _, w := range e.workers {
		w.Exit()
	}
	if e.store != nil {
		e.store.Close()
	}
}

// record writes a line with the time since the start.
func (e *environment) record(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.out, "%8.3f "+format+"\n", append([]any{time.Since(e.started).Seconds()}, args...)...)
}

// sleepUntil waits until a time since the start.
func (e *environment) sleepUntil(at time.Duration) {
	time.Sleep(time.Until(e.started.Add(at)))
}

// addWorker starts a worker, which records what it runs.
func (e *environment) addWorker(w *standin.Worker) error {
	e.mu.Lock()
	e.workers = append(e.workers, w)
	e.mu.Unlock()
	return w.Start(e.store)
}

// Services and keys of the cases.
const (
	modelService = "heat-model"
	deskService  = "member-desk"
	keyOfOne     = "key-of-tenant-one"
	keyOfTwo     = "key-of-tenant-two"
	firstKey     = "first-key-of-tenant-two"
)

// putConfig writes the next version of the configuration and returns its revision, or zero
// if the store is away. keysOfTwo are the keys of the second tenant.
func (e *environment) putConfig(keysOfTwo ...string) uint64 {
	e.version += 3
	return e.store.Put("config", "main", configSpec(e.version, keysOfTwo))
}

// rewriteConfig writes the newest version again.
func (e *environment) rewriteConfig(keysOfTwo ...string) uint64 {
	return e.store.Put("config", "main", configSpec(e.version, keysOfTwo))
}

// configSpec returns a configuration with the routes, limits and times of the site.
func configSpec(version int, keysOfTwo []string) map[string]any {
	route := func(name, prefix, kind, service string, attempts, timeout, aim, priority int) map[string]any {
		return map[string]any{
			"Name": name, "Host": standin.Host, "PathPrefix": prefix, "RouteType": kind, "Service": service, "MaxAttempts": attempts,
			"TimeoutMs": timeout, "TargetLatencyMs": aim, "Priority": priority, "Public": false, "SessionAffinity": false, "StreamResume": false,
		}
	}
	walk := route("diag-walk", "/walk/", "streaming", modelService, 2, 15000, 800, 1)
	walk["StreamResume"], walk["GapAimMs"] = true, 400
	ask := route("member-ask", "/ask/", "streaming", modelService, 1, 12000, 400, 0)
	ask["GapAimMs"] = 400
	return map[string]any{
		"Version": version,
		"Routes": []any{
			walk, ask,
			route("svc-book", "/book/", "non_idempotent", deskService, 1, 1500, 300, 2),
			route("warranty-look", "/look/", "idempotent", deskService, 2, 1500, 300, 2),
		},
		"Services": []any{
			map[string]any{"Name": modelService, "HealthPath": "/health", "MaxConnections": 360, "Engine": map[string]any{"Slots": 64, "KvCapacity": 548513}},
			map[string]any{"Name": deskService, "HealthPath": "/health", "MaxConnections": 96},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{
			map[string]any{"Name": "one", "ApiKeys": []string{keyOfOne}},
			map[string]any{"Name": "two", "ApiKeys": keysOfTwo},
		},
	}
}

// serviceRouter returns a router that the platform sends connections to, chosen by n.
func (e *environment) serviceRouter(n int) *standin.Router {
	routers := e.fleet.Routers
	for i := range routers {
		if r := routers[(n+i)%len(routers)]; r.InService() {
			return r
		}
	}
	return routers[n%len(routers)]
}
