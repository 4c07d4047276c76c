package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/settings"
)

const (
	// listedAfter is how long the routers run before one of them is cut off, so that it is listed
	// as one that may begin streams then.
	listedAfter = 45 * time.Second
	// leaseEnd is how long after the beginning of a cut no router has a lease.
	leaseEnd = 16 * time.Second
	// cutPort is the port of heartbeats of the routers that started during the cut.
	cutPort = ":18813"
)

// CutStreams counts the new resumable streams that clients asked a router for which had been cut off for
// longer than a lease lasts.
type CutStreams struct {
	Asked int `json:"asked"`
	Begun int `json:"begun"`
}

// cutRouterOff cuts the last router off from the store and from the others, which are killed and start again at
// other ports, without knowing of it. During the cut a third software version is released. Clients and targets
// reach the router. At the end it is killed and starts again, still cut off.
func (i *injector) cutRouterOff(ctx context.Context, length time.Duration) {
	env := i.environment
	if !sleep(ctx, listedAfter) {
		return
	}
	last := env.routers[len(env.routers)-1]
	i.duringAt(last, "cut", func() {
		last.store.SetMode(Refuse)
		last.store.Reset()
		i.during("restart", func() {
			for _, r := range env.routers[:len(env.routers)-1] {
				exited := r.signal(syscall.SIGKILL)
				<-exited
				if err := env.movePeers(r); err == nil {
					_ = env.restartRouter(r, exited)
				}
			}
			sleep(ctx, 2*routerStartTime)
		})
		for range engineCount {
			// If a target cannot start, the soak continues without it.
			_ = env.addTargetOf("v3")
		}
		sleep(ctx, length)
	})
	i.duringAt(last, "kill", func() {
		exited := last.signal(syscall.SIGKILL)
		<-exited
		// It is back, still cut off.
		_ = env.restartRouter(last, exited)
		<-ctx.Done()
	})
}

// sleep waits for a time. It returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// movePeers lets the next process of a router send and expect heartbeats at cutPort.
func (env *environment) movePeers(r *router) error {
	var node settings.NodeFile
	data, err := os.ReadFile(r.settingsFile)
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	if err := json.Unmarshal(data, &node); err != nil {
		return fmt.Errorf("soak: settings of %s: %w", r.name, err)
	}
	node.PeerAddr = r.address + cutPort
	for i, seed := range node.Seeds {
		node.Seeds[i], _, _ = strings.Cut(seed, ":")
		node.Seeds[i] += cutPort
	}
	if data, err = json.Marshal(node); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	return os.WriteFile(r.settingsFile, data, 0o600)
}

// addTargetOf starts an engine of a software version.
func (env *environment) addTargetOf(version fleet.SoftwareVersion) error {
	env.mu.Lock()
	domain := domainName(env.targetCount)
	env.mu.Unlock()
	return env.addVersionAt("", engineName, domain, version)
}

// cutStreams counts the streams that the router was asked for which was cut off.
func (h *History) cutStreams() CutStreams {
	var c CutStreams
	for _, f := range h.Faults {
		if f.Kind != "cut" {
			continue
		}
		for _, r := range h.Requests {
			if r.Router != f.Router || !r.Kind.Resumable || r.Resumes != "" || r.Sent.Before(f.From.Add(leaseEnd)) || !r.Sent.Before(f.To.Add(-clientTimeout)) {
				continue
			}
			c.Asked++
			if r.Status == 200 {
				c.Begun++
			}
		}
	}
	return c
}
