package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/platform/standin"
)

// memoryMB is the memory of the smallest VM of the users' deployments.
const memoryMB = 184

// routerProcess is one router, run as a process of its own.
type routerProcess struct {
	t    *testing.T
	cmd  *exec.Cmd
	ip   string
	exit chan error
	// lastFailed is the ID of the last request of serveMeanwhile that failed, whose log lines a failed test prints.
	lastFailed string
}

var (
	buildOnce   sync.Once
	binary      string
	buildErr    error
	routerCount atomic.Int32
)

// TestMain removes the router's program after the tests.
func TestMain(m *testing.M) {
	code := m.Run()
	if binary != "" {
		_ = os.RemoveAll(filepath.Dir(binary))
	}
	os.Exit(code)
}

// buildRouter builds the router's program once.
func buildRouter(t *testing.T) string {
	t.Helper()
	buildOnce.Do(func() {
		var dir string
		if dir, buildErr = os.MkdirTemp("", "ragwort-router"); buildErr != nil {
			return
		}
		binary = filepath.Join(dir, "ragwort-router")
		if text, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
			buildErr = fmt.Errorf("%w\n%s", err, text)
		}
	})
	if buildErr != nil {
		t.Fatal(buildErr)
	}
	return binary
}

// nextIP returns a loopback address that no earlier router of the tests has used, nor one of
// another run on the same machine: all routers listen on the same ports.
func nextIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 100+pid>>8%100, pid&255, routerCount.Add(1))
}

// Ports of the routers.
const (
	clientPort = ":18101"
	readyPort  = ":18102"
	peerPort   = ":18103"

	metricsPort = ":18104"
)

// startRouter starts a router at an address and waits until it is ready.
func startRouter(t *testing.T, ip, store string, seeds ...string) *routerProcess {
	t.Helper()
	return startLimitedRouter(t, ip, store, memoryMB, 0, seeds...)
}

// startLimitedRouter is startRouter with an amount of memory, and with a number of descriptors unless that is zero.
func startLimitedRouter(t *testing.T, ip, store string, memoryMB, descriptors int, seeds ...string) *routerProcess {
	t.Helper()
	p := &routerProcess{t: t, ip: ip, exit: make(chan error, 1)}
	settings, err := json.Marshal(map[string]any{
		"id": ip, "failure_domain": "d", "client_addr": ip + clientPort, "ready_addr": ip + readyPort, "peer_addr": ip + peerPort,
		"metrics_addr": ip + metricsPort, "store_addr": store, "seeds": append([]string{}, seeds...), "memory_mb": memoryMB, "cores": 0.4, "link_mbps": 1000,
		"grace_s": 1, "repeats": map[string]any{"ratio": nil, "extra": nil, "window_s": nil},
	})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "router.json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(buildRouter(t), "run", "--config", file)
	if descriptors > 0 {
		p.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, descriptors), binary, "run", "--config", file)
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exit <- p.cmd.Wait() }()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exit
		_ = log.Close()
		if t.Failed() {
			tail, _ := os.ReadFile(log.Name())
			t.Logf("log of %s: %s", ip, tail[max(0, len(tail)-4<<10):])
			for line := range strings.Lines(string(tail)) {
				if p.lastFailed != "" && strings.Contains(line, `"`+p.lastFailed+`"`) {
					t.Logf("the last request of another client that failed: %s", line)
				}
			}
		}
	})
	await.Until(t, "the router to be ready", func() bool {
		response, err := http.Get("http://" + ip + readyPort + "/ready")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	return p
}

// status returns a number of /proc/PID/status, such as VmHWM in KB.
func (p *routerProcess) status(name string) int {
	p.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatalf("the router has ended: %v", err)
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			n, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				p.t.Fatal(err)
			}
			return n
		}
	}
	p.t.Fatalf("the router has ended: no %s in its status", name)
	return 0
}

// peakMB returns the most resident memory so far, in MB.
func (p *routerProcess) peakMB() int {
	p.t.Helper()
	return p.status("VmHWM") >> 10
}

// descriptors returns the number of open descriptors.
func (p *routerProcess) descriptors() int {
	p.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatalf("the router has ended: %v", err)
	}
	return len(entries)
}

// watchStandstill returns a function that ends the watch and returns the longest time for which the process of the tests,
// which is the client, did not run.
func watchStandstill() func() time.Duration {
	stop, longest := make(chan struct{}), make(chan time.Duration, 1)
	go func() {
		var most time.Duration
		for last := time.Now(); ; last = time.Now() {
			select {
			case <-stop:
				longest <- max(most, time.Since(last))
				return
			case <-time.After(10 * time.Millisecond):
				most = max(most, time.Since(last))
			}
		}
	}()
	return func() time.Duration {
		close(stop)
		return <-longest
	}
}

// post sends a client's request to a path and returns the status and the body.
func (p *routerProcess) post(path, id string, timeout time.Duration) (int, string, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.ip+clientPort+path, strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	r.Host = "h"
	standin.SetRequestHeaders(r, id, "", timeout, 0)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// serveMeanwhile sends requests to a sound target until the function that it returns is
// called, which fails the test unless all of them were served.
func (p *routerProcess) serveMeanwhile(target *standin.Target) func() {
	var served, failed int
	var last string
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for n := 0; ; n++ {
			id := fmt.Sprintf("sound-%s-%d", p.ip, n)
			status, body, err := p.post("/sound/x", id, 5*time.Second)
			if err == nil && status == http.StatusOK && body == target.ResponseBody() {
				served++
			} else {
				failed++
				last, p.lastFailed = fmt.Sprint(status, err), id
			}
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() {
		p.t.Helper()
		close(stop)
		<-done
		p.t.Logf("requests of other clients: %d served, %d failed", served, failed)
		if failed > 0 {
			p.t.Errorf("%d requests of other clients failed, the last with %s", failed, last)
		}
	}
}
