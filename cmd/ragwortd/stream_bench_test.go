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
	// benchSpeed is the two-year pace of one stream: 69 ms between tokens.
	benchSpeed = 15
	clockTicks = 100
	rampUp     = 4 * time.Second
)

// cpuSeconds returns the processor time that a process has used.
func cpuSeconds(b *testing.B, pid int) float64 {
	b.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Skip("no processor times on this system")
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicks
}

// BenchmarkStreams measures the processor time of both hops, entry and home in
// processes of their own, for many streams at the pace of the two-year size.
// RAGWORT_PROFILE_DIR names a directory for their processor profiles.
func BenchmarkStreams(b *testing.B) {
	p := startProcesses(b)
	addr := p.startStandin("--id", "fast", "engine", "--tokens-per-second", strconv.Itoa(benchSpeed),
		"--slots", "4096", "--load-slope", "0.0000001")
	p.replaceTargets("fast", addr)
	home := p.startRouterIn("recife-a", "home", nil)
	p.awaitReady(home)
	entry := p.startRouterIn("recife-b", "entry", []string{home.peer})
	p.awaitReady(entry)
	p.expectEventually(entry)
	for b.Loop() {
		before := cpuSeconds(b, entry.cmd.Process.Pid) + cpuSeconds(b, home.cmd.Process.Pid)
		entryBefore := cpuSeconds(b, entry.cmd.Process.Pid)
		start := time.Now()
		tokens := p.streams(entry, benchStreams)
		elapsed := time.Since(start).Seconds()
		used := cpuSeconds(b, entry.cmd.Process.Pid) + cpuSeconds(b, home.cmd.Process.Pid) - before
		b.ReportMetric(float64(tokens)/used, "tokens/core-s")
		b.ReportMetric((cpuSeconds(b, entry.cmd.Process.Pid)-entryBefore)/used, "entry-share")
		b.ReportMetric(float64(tokens)/elapsed, "tokens/s")
	}
}

// streams runs n streams at once and returns the events that callers read.
func (p *processes) streams(r *routerProcess, n int) int64 {
	var events atomic.Int64
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * rampUp / time.Duration(n))
			p.countStream(r, i, &events)
		})
	}
	wait.Wait()
	return events.Load()
}

func (p *processes) countStream(r *routerProcess, i int, events *atomic.Int64) {
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
	whole := false
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		switch line := scanner.Text(); {
		case line == "data: [DONE]":
			whole = true
		case strings.HasPrefix(line, "data: "):
			events.Add(1)
		}
	}
	if !whole {
		p.t.Errorf("stream %d is not whole: status %d %s", i, resp.StatusCode, resp.Header.Get("Ragwort-Reason"))
	}
}

// replaceTargets leaves one engine as the only target.
func (p *processes) replaceTargets(id, addr string) {
	for _, old := range []string{"engine-0", "engine-1"} {
		p.remove(settings.KindTargets, old)
	}
	p.put(settings.KindTargets, id, map[string]any{"service": "assistente", "failure_domain": "recife-a", "addr": addr})
}
