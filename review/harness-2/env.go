package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"ragwortpond.example/ragwortpond/platform/standin"
)

// env is what a case plays in: a temporary directory, a record, a store, and the processes that were started.
type env struct {
	trouble bool
	dir     string
	start   time.Time
	store   *standin.Store

	mu        sync.Mutex
	file      *os.File
	record    *bufio.Writer
	processes []*process
	closed    bool
}

// process is a process that the case started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func newEnv(record string, trouble bool) (*env, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	store, err := standin.StartStore("")
	if err != nil {
		return nil, err
	}
	e := &env{trouble: trouble, dir: dir, start: time.Now(), store: store, file: file, record: bufio.NewWriter(file)}
	e.logf("trouble: %v", trouble)
	return e, nil
}

// logf writes a line with the time since the start, in seconds, to the record.
func (e *env) logf(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.closed {
		fmt.Fprintf(e.record, "%8.3f "+format+"\n", append([]any{time.Since(e.start).Seconds()}, args...)...)
	}
}

// startProcess starts a program; its output goes to a file of the temporary directory, unless cmd has another one.
func (e *env) startProcess(name string, cmd *exec.Cmd) (*process, error) {
	if cmd.Stdout == nil {
		log, err := os.OpenFile(filepath.Join(e.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		defer log.Close()
		cmd.Stdout, cmd.Stderr = log, log
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd, make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.processes = append(e.processes, p)
	return p, nil
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// close ends all processes and the record.
func (e *env) close() {
	e.mu.Lock()
	processes := e.processes
	e.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	e.store.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.closed = true
	_ = e.record.Flush()
	_ = e.file.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(e.dir)
	}
}

// Bounds and sizes of the deployment, those of the small Tocha Viva site.
const (
	memoryMB  = 284
	cpuShare  = 0.4
	linkMbps  = 1000
	graceTime = 8 * time.Second
	drainTime = 2 * time.Second
	// readyTimeout bounds the start of a router.
	readyTimeout = 10 * time.Second
)

var zones = []string{"recife-a", "recife-b", "recife-c"}

// router is a router process.
type router struct {
	*process
	name, front, ready, settings string
}

// startRouter starts the process of a router with its settings file, by the command of the deploy file.
func (e *env) startRouter(r *router) (err error) {
	cmd := exec.Command("target/ragwort-router", "run")
	cmd.Env = append(os.Environ(), "RAGWORTPOND_CONFIG="+r.settings)
	r.process, err = e.startProcess(r.name, cmd)
	return err
}

// startRouters starts n routers, one in each zone in turn, and waits until they are ready. Their store is at an address.
func (e *env) startRouters(n int, store string) ([]*router, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	ip := func(i int) string { return fmt.Sprintf("127.%d.%d.%d", 10+pid>>8%100, pid&255, i+1) }
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(i), ports[2]))
	}
	var routers []*router
	for i := range n {
		addr := func(k int) string { return fmt.Sprintf("%s:%d", ip(i), ports[k]) }
		r := &router{name: fmt.Sprintf("edge-%d", i+1), front: addr(0), ready: addr(1)}
		// The fields of deploy/node.json.tmpl.
		settings, err := json.Marshal(map[string]any{
			"id": r.name, "failure_domain": zones[i%len(zones)], "client_addr": addr(0), "ready_addr": addr(1), "peer_addr": addr(2), "metrics_addr": addr(3),
			"seeds": seeds, "store_addr": store, "memory_mb": memoryMB, "cores": cpuShare, "link_mbps": linkMbps, "grace_s": graceTime.Seconds(),
			"config_ms": 2000, "leaving_ms": drainTime.Milliseconds(), "cold_over": nil, "cold_slack": nil, "evacuation_ms": nil,
			"repeats": map[string]any{"ratio": 0.2, "extra": 58, "window_s": 10},
		})
		if err != nil {
			return nil, err
		}
		file := filepath.Join(e.dir, r.name+".json")
		if err := os.WriteFile(file, settings, 0o600); err != nil {
			return nil, err
		}
		r.settings = file
		if err := e.startRouter(r); err != nil {
			return nil, err
		}
		routers = append(routers, r)
	}
	for _, r := range routers {
		if err := r.awaitReady(); err != nil {
			return nil, err
		}
	}
	// The platform sends traffic some seconds after the routers start.
	time.Sleep(3 * time.Second)
	e.logf("%d routers are ready", n)
	return routers, nil
}

// awaitReady waits until the router is ready.
func (r *router) awaitReady() error {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + r.ready + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("a router does not become ready")
}

// freePorts returns n ports on which nothing listens.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// Names of the configuration.
const (
	plainService  = "pedidos"
	engineService = "assistente"
	host          = "ficu95.example"
	orderPath     = "/order/"
	lookupPath    = "/lookup/"
	chatPath      = "/chat/"
	dossierPath   = "/dossier/"
	tenant        = "hule930"
	apiKey        = "n2ctnfzs989anu6wsjnb"
)

// putConfig writes the first configuration.
func (e *env) putConfig() {
	e.store.Put("config", "main", newConfig().Spec())
}

// newConfig returns the first configuration: orders, lookups and chats as on the sheet.
func newConfig() *standin.Config {
	return &standin.Config{
		Version: 1, Engines: []string{engineService}, Plain: []string{plainService}, Keys: map[string]string{tenant: apiKey},
		Routes: []standin.Route{
			{Name: "refill-order", Host: host, Prefix: orderPath, Service: plainService, MaxTargets: 2, Timeout: 3 * time.Second, Objective: 300 * time.Millisecond},
			{Name: "stock-lookup", Host: host, Prefix: lookupPath, Service: plainService, Repeatable: true, MaxTargets: 2, Timeout: 3 * time.Second, Objective: 300 * time.Millisecond},
			{Name: "blend-dossier", Host: host, Prefix: dossierPath, Service: engineService, Stream: true, Resumable: true, MaxTargets: 2, Timeout: 15 * time.Second, Objective: 800 * time.Millisecond, Pause: 400 * time.Millisecond},
			{Name: "clerk-chat", Host: host, Prefix: chatPath, Service: engineService, Stream: true, MaxTargets: 1, Timeout: 12 * time.Second, Objective: 400 * time.Millisecond, Pause: 400 * time.Millisecond},
		},
	}
}
