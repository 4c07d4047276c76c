package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/standin"
)

const (
	benchStreams = 1000
	benchTokens  = 200
	// benchTokensPerSecond is the token rate of one stream at the planned
	// two-year fleet size: 69 ms between tokens.
	benchTokensPerSecond = 15
	clockTicksPerSecond  = 100
	rampUp               = 4 * time.Second
)

// cpuSeconds returns the CPU time that a process has used, in seconds.
func cpuSeconds(b *testing.B, pid int) float64 {
	b.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Skip("no CPU times in /proc on this system")
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicksPerSecond
}

// BenchmarkStreams measures the CPU time of both hops, the entry and the home
// router in separate processes, for many streams at the token rate of the
// planned two-year fleet size. RAGWORT_PROFILE_DIR names a directory for the
// CPU profiles of the processes.
func BenchmarkStreams(b *testing.B) {
	p := startProcessFleet(b)
	addr := p.startStandin("--id", "fast", "engine", "--tokens-per-second", strconv.Itoa(benchTokensPerSecond),
		"--slots", "4096", "--load-slope", "0.0000001")
	p.replaceTargets("fast", addr)
	home := p.startRouterIn("recife-a", "home", nil)
	p.waitReady(home)
	entry := p.startRouterIn("recife-b", "entry", []string{home.peer})
	p.waitReady(entry)
	p.waitServing(entry)
	for b.Loop() {
		before := cpuSeconds(b, entry.cmd.Process.Pid) + cpuSeconds(b, home.cmd.Process.Pid)
		entryBefore := cpuSeconds(b, entry.cmd.Process.Pid)
		start := time.Now()
		tokens := p.runStreams(entry, benchStreams)
		elapsed := time.Since(start).Seconds()
		used := cpuSeconds(b, entry.cmd.Process.Pid) + cpuSeconds(b, home.cmd.Process.Pid) - before
		b.ReportMetric(float64(tokens)/used, "tokens/core-s")
		b.ReportMetric((cpuSeconds(b, entry.cmd.Process.Pid)-entryBefore)/used, "entry-share")
		b.ReportMetric(float64(tokens)/elapsed, "tokens/s")
	}
}

// runStreams runs n concurrent streams and returns the number of events
// received.
func (p *processFleet) runStreams(r *routerProcess, n int) int64 {
	var events atomic.Int64
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * rampUp / time.Duration(n))
			p.countStreamEvents(r, i, &events)
		})
	}
	wait.Wait()
	return events.Load()
}

func (p *processFleet) countStreamEvents(r *routerProcess, i int, events *atomic.Int64) {
	body, _ := json.Marshal(map[string]any{
		"model": "assistente", "stream": true, "max_tokens": benchTokens,
		"messages": []standin.Message{{Role: "user", Content: fmt.Sprintf("write %d tokens, stream %d", benchTokens, i)}},
	})
	req, err := http.NewRequest(http.MethodPost, "https://"+r.caller+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		p.t.Error(err)
		return
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := p.client.Do(req)
	if err != nil {
		p.t.Error(err)
		return
	}
	defer resp.Body.Close()
	complete := false
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		switch line := scanner.Text(); {
		case line == "data: [DONE]":
			complete = true
		case strings.HasPrefix(line, "data: "):
			events.Add(1)
		}
	}
	if !complete {
		p.t.Errorf("stream %d is incomplete: status %d, reason %q", i, resp.StatusCode, resp.Header.Get("Ragwort-Reason"))
	}
}

// replaceTargets replaces the engines by a single one.
func (p *processFleet) replaceTargets(id, addr string) {
	for _, old := range []string{"engine-0", "engine-1"} {
		p.remove(settings.KindTargets, old)
	}
	p.put(settings.KindTargets, id, map[string]any{"service": "assistente", "failure_domain": "recife-a", "addr": addr})
}
