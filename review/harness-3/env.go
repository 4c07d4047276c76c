package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"ragwortpond.example/ragwortpond/platform/standin"
)

// stability is StabilityWindowMs of the small deployments.
const stability = 3 * time.Second

// env holds the processes and stand-ins of one case.
type env struct {
	dir     string
	trouble bool
	began   time.Time
	store   *standin.Store
	net     string
	ports   []int
	// resume and attempts are of the route.
	resume   bool
	attempts int

	mu      sync.Mutex
	out     *os.File
	routers []*router
	workers []*worker
	// runs holds what workers said of each request that reached them.
	runs []arrival
}

// arrival is a request that reached a worker.
type arrival struct {
	At       time.Time
	Worker   string
	Version  string
	ID       string
	Crash    bool
	Shared   []string
	Rejected bool
}

// Places in the list of ports.
const (
	portClient = iota
	portReady
	portControl
	portPeer
	portCount
)

func newEnv() (*env, error) {
	out, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, fmt.Errorf("RECORD must name the record: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	e := &env{dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), out: out}
	if e.store, err = standin.StartStore(""); err != nil {
		return nil, err
	}
	e.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
	if e.ports, err = freePorts(e.net); err != nil {
		return nil, err
	}
	e.record("trouble: %t", e.trouble)
	if os.Getenv("KEEP_LOGS") != "" {
		e.record("logs of the routers in %s", dir)
	}
	return e, nil
}

// freePorts returns ports that are free on the addresses of a case.
func freePorts(network string) ([]int, error) {
	for range 50 {
		first := 20000 + rand.IntN(20000)
		if free(network, first) {
			ports := make([]int, portCount)
			for i := range ports {
				ports[i] = first + i
			}
			return ports, nil
		}
	}
	return nil, errors.New("no free ports")
}

// metricsPort is the one of the deploy file.
const metricsPort = 9464

func free(network string, first int) bool {
	for host := 1; host <= 12; host++ {
		ports := []int{metricsPort}
		for port := first; port < first+portCount; port++ {
			ports = append(ports, port)
		}
		for _, port := range ports {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", network, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// record writes a line of the record.
func (e *env) record(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	line := fmt.Sprintf("%7.3f  ", time.Since(e.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(e.out, line)
	fmt.Println(line)
}

// note writes a line of the record that is not shown on the terminal.
func (e *env) note(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.out, "%7.3f  "+format+"\n", append([]any{time.Since(e.began).Seconds()}, args...)...)
}

// sleepUntil sleeps until a time since the start of the case.
func (e *env) sleepUntil(seconds float64) {
	time.Sleep(time.Until(e.began.Add(time.Duration(seconds * float64(time.Second)))))
}

func (e *env) close() {
	for _, r := range e.routers {
		r.kill()
	}
	e.mu.Lock()
	workers := e.workers
	e.mu.Unlock()
	for _, w := range workers {
		w.kill()
	}
	e.store.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(e.dir)
	}
	_ = e.out.Close()
}

// router is one router process.
type router struct {
	env     *env
	ip      string
	file    string
	log     string
	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// startedAt is when the process started.
	startedAt time.Time
}

// addRouter writes the settings of a router, rendered as the role's template says.
func (e *env) addRouter(zone string) (*router, error) {
	r := &router{env: e, ip: fmt.Sprintf("%s.%d", e.net, len(e.routers)+1)}
	at := func(port int) string { return net.JoinHostPort(r.ip, strconv.Itoa(e.ports[port])) }
	settings := map[string]any{
		"id": "edge-" + zone + "-" + r.ip, "failure_domain": zone, "client_addr": at(portClient), "ready_addr": at(portReady),
		"peer_addr": at(portPeer), "metrics_addr": net.JoinHostPort(r.ip, strconv.Itoa(metricsPort)), "seeds": e.seeds(), "store_addr": e.store.Addr(),
		"memory_mb": 284, "cores": 0.4, "link_mbps": 1000.0, "grace_s": 8, "config_ms": 2000, "leaving_ms": 2000,
		"cold_over": nil, "cold_slack": nil, "evacuation_ms": nil,
		"repeats": map[string]any{"ratio": 0.2, "extra": 58, "window_s": 10},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	r.file = filepath.Join(e.dir, r.ip+".json")
	r.log = filepath.Join(e.dir, r.ip+".log")
	e.routers = append(e.routers, r)
	return r, os.WriteFile(r.file, data, 0o600)
}

// seeds returns the Control addresses of three machines.
func (e *env) seeds() []string {
	var list []string
	for host := 1; host <= 3; host++ {
		list = append(list, fmt.Sprintf("%s.%d:%d", e.net, host, e.ports[portControl]))
	}
	return list
}

// startRouters starts routers in the zones named and waits until all are ready.
func (e *env) startRouters(zones ...string) error {
	for _, zone := range zones {
		r, err := e.addRouter(zone)
		if err != nil {
			return err
		}
		if err := r.start(); err != nil {
			return err
		}
	}
	return e.awaitReady()
}

func (e *env) awaitReady() error {
	for _, r := range e.routers {
		deadline := time.Now().Add(15 * time.Second)
		for !r.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("router %s is not ready", r.ip)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	e.record("%d routers are ready", len(e.routers))
	return nil
}

func (r *router) start() error {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/ragwort-router", "run")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RAGWORTPOND_CONFIG=" + r.file}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.mu.Lock()
	r.command, r.exited, r.startedAt = command, exited, time.Now()
	r.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

func (r *router) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", r.ip, r.env.ports[portReady]))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// kill ends the process with SIGKILL and waits for its end.
func (r *router) kill() {
	r.mu.Lock()
	command, exited := r.command, r.exited
	r.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGKILL)
	<-exited
}

func (r *router) clientAddr() string {
	return fmt.Sprintf("%s:%d", r.ip, r.env.ports[portClient])
}

// workerSpec describes a worker.
type workerSpec struct {
	Service, Zone, Version string
	// Events is the number of events of a stream, GapMS the pause before each.
	Events, GapMS int
	// CrashPart is the part of prompts that crashes the worker; empty for none.
	CrashPart string
	// Limit is the Server-Limit that its answers name; empty for none.
	Limit string
}

// worker is one worker process.
type worker struct {
	env     *env
	spec    workerSpec
	id      string
	addr    string
	born    int64
	command *exec.Cmd
	exited  chan struct{}
	ended   bool
}

// firstWorkerHost is the last byte of the address of the first worker.
const firstWorkerHost = 100

// startWorker starts a worker at addr, or at an address of its own, and writes its entry.
func (e *env) startWorker(spec workerSpec, addr string) (*worker, error) {
	if addr == "" {
		// An address of its own, so that no other process takes the port, also while the worker is away.
		e.mu.Lock()
		addr = fmt.Sprintf("%s.%d:%d", e.net, firstWorkerHost+len(e.workers), e.ports[portClient])
		e.mu.Unlock()
	}
	w := &worker{env: e, spec: spec, id: fmt.Sprintf("i-%08x", rand.Uint32()), addr: addr, born: time.Now().UnixMilli(), exited: make(chan struct{})}
	w.command = exec.Command(os.Args[0], "worker", "-id", w.id, "-addr", addr, "-version", spec.Version, "-born", strconv.FormatInt(w.born, 10),
		"-events", strconv.Itoa(spec.Events), "-gap", strconv.Itoa(spec.GapMS), "-crash", spec.CrashPart, "-limit", spec.Limit)
	w.command.Stderr = os.Stderr
	lines, err := w.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := w.command.Start(); err != nil {
		return nil, err
	}
	e.mu.Lock()
	e.workers = append(e.workers, w)
	e.mu.Unlock()
	scanner := bufio.NewScanner(lines)
	scanner.Buffer(nil, 1<<20)
	if !scanner.Scan() {
		_ = w.command.Wait()
		close(w.exited)
		return nil, fmt.Errorf("worker %s did not start", w.id)
	}
	go w.follow(scanner)
	w.register()
	return w, nil
}

// follow reads what the worker says until it ends.
func (w *worker) follow(scanner *bufio.Scanner) {
	for scanner.Scan() {
		a := arrival{At: time.Now(), Worker: w.id, Version: w.spec.Version}
		if json.Unmarshal(scanner.Bytes(), &a) != nil {
			continue
		}
		w.env.note("worker %s gets %s, crashes %t, rejected %t", w.id, a.ID, a.Crash, a.Rejected)
		w.env.mu.Lock()
		w.env.runs = append(w.env.runs, a)
		w.env.mu.Unlock()
	}
	_ = w.command.Wait()
	close(w.exited)
}

// register writes the worker's entry.
func (w *worker) register() {
	w.env.store.Put("servers", w.id, map[string]any{
		"Service": w.spec.Service, "Address": w.addr, "Zone": w.spec.Zone, "Version": w.spec.Version, "Slots": 64,
		"State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "born": w.born,
	})
}

// kill ends the worker with SIGKILL.
func (w *worker) kill() {
	_ = w.command.Process.Signal(syscall.SIGKILL)
	<-w.exited
}

// lapse is how long the entry of a worker that crashed stays: three ping intervals of 1.2 s.
const lapse = 3600 * time.Millisecond

// keepAlive starts the worker again some seconds after each crash, as a new boot with a new Id.
func (e *env) keepAlive(w *worker, away time.Duration) {
	go func() {
		for {
			<-w.exited
			e.mu.Lock()
			stopped := w.ended
			e.mu.Unlock()
			if stopped {
				return
			}
			e.record("worker %s has crashed", w.id)
			id := w.id
			time.AfterFunc(lapse, func() { e.store.Delete("servers", id) })
			time.Sleep(away)
			next, err := e.startWorker(w.spec, w.addr)
			if err != nil {
				e.record("worker does not start again: %v", err)
				return
			}
			w = next
		}
	}()
}

// stopKeeping ends the restarts of workers.
func (e *env) stopKeeping() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, w := range e.workers {
		w.ended = true
	}
}

// arrivals returns what has reached workers so far.
func (e *env) arrivals() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.runs...)
}

// errNotServed means that a case could not begin.
var errNotServed = errors.New("requests are not served before the disruption")

// Names in the configuration.
const (
	host    = "ficu95.example"
	service = "dele69a"
	apiKey  = "n2ctnfzs989anu6wsjnb"
)

// writeConfig writes the operator's configuration with one route of streams.
func (e *env) writeConfig(resume bool, attempts int) {
	e.resume, e.attempts = resume, attempts
	e.writeTenants(3, []any{map[string]any{"Name": "hule930", "ApiKeys": []string{apiKey}}})
}

// writeTenants writes a version of the configuration with a list of tenants.
func (e *env) writeTenants(version int, tenants []any) {
	e.store.Put("config", "main", map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "clerk", "Host": host, "PathPrefix": "/lohu930/", "Service": service, "RouteType": "streaming", "TimeoutMs": 15000,
			"TargetLatencyMs": 800, "GapAimMs": 400, "Priority": 1, "MaxAttempts": e.attempts, "SessionAffinity": true, "StreamResume": e.resume,
		}},
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/health", "Engine": map[string]any{"Slots": 64, "KvCapacity": 536244}}},
		"Tenants":  tenants,
		"Limits":   map[string]any{"MaxHeaderBytes": 16 << 10, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 10000},
	})
}

// zones are those of the site.
var zones = []string{"recife-a", "recife-b", "recife-c"}

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
