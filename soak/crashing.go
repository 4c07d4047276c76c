package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
)

const (
	// crashingPart is the ID of the prompt part on which engines crash.
	crashingPart = "crash"
	// crashingShare is the number of requests with a prompt of which one has
	// crashingPart.
	crashingShare = 8
	// crashingName ends the path of the request that crashes plain targets, which
	// crashingAccount repeats.
	crashingName    = "crash"
	crashingAccount = "account-0"
	// crashingTime is how long clients send requests that crash targets.
	crashingTime = 8 * time.Second
	// entryLifetime is the time from the crash of a target until its entry is
	// deleted, targetRestartTime that from then until the next target starts.
	entryLifetime     = 900 * time.Millisecond
	targetRestartTime = 600 * time.Millisecond
)

// sendCrashing lets clients send requests that crash targets for a while, and starts crashed
// targets again until ctx ends.
func (i *injector) sendCrashing(ctx context.Context, parts, requests bool) {
	env := i.environment
	if !i.awaitStart(ctx) {
		return
	}
	if parts {
		env.crashingPosition.Store(1 + i.random.Int64N(int64(len(sharedParts))))
	}
	env.crashingRequest.Store(requests)
	end := time.After(crashingTime)
	var restarts sync.WaitGroup
	defer restarts.Wait()
	defer env.stopCrashing()
	for {
		select {
		case t := <-env.crashed:
			restarts.Go(func() { i.during(crashKinds[t.Service], func() { env.restartTarget(t) }) })
		case <-end:
			env.stopCrashing()
		case <-ctx.Done():
			return
		}
	}
}

// CrashStyle is what a crashed target's address does until the next target starts there.
type CrashStyle string

// Styles of crashes.
const (
	// CrashRefuses means that connections are refused, as without a listener.
	CrashRefuses CrashStyle = "refuses"
	// CrashResets means that connections are accepted and reset at once, as by a proxy or a
	// supervisor that keeps the port.
	CrashResets CrashStyle = "resets"
	// CrashCloses is like CrashResets with an orderly close.
	CrashCloses CrashStyle = "closes"
	// CrashHangs means that connections are accepted and nothing answers, as by a listener
	// whose process hangs.
	CrashHangs CrashStyle = "hangs"
)

// crashStyles lists all styles.
var crashStyles = []CrashStyle{CrashRefuses, CrashResets, CrashCloses, CrashHangs}

// crashKinds names the crashes of targets of each service in reports.
var crashKinds = map[string]string{engineName: "part-crash", plainName: "request-crash"}

func (env *environment) stopCrashing() {
	env.crashingPosition.Store(0)
	env.crashingRequest.Store(false)
}

// crashesEngine reports whether a request crashes an engine.
func crashesEngine(r *http.Request) bool {
	return standin.HasSharedPart(r, crashingPart) || isCrashingRequest(r)
}

// isCrashingRequest reports whether a request is the one that crashes its targets.
func isCrashingRequest(r *http.Request) bool {
	return strings.HasSuffix(r.URL.Path, "/"+crashingName)
}

// recordCrash records the crash of a target and disturbs its proxy as the crash style says.
// The connections open there end with those of the target.
func (env *environment) recordCrash(t *target) {
	env.mu.Lock()
	env.crashes = append(env.crashes, Crash{Service: t.Service, At: time.Now()})
	env.mu.Unlock()
	switch env.crashStyle {
	case CrashResets:
		t.proxy.SetMode(Refuse)
	case CrashCloses:
		t.proxy.SetMode(CloseNew)
	case CrashHangs:
		t.proxy.SetMode(Hang)
	default:
		t.proxy.stopListening()
	}
	env.crashed <- t
}

// allCrashes returns the crashes so far.
func (env *environment) allCrashes() []Crash {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.crashes)
}

// restartTarget starts another target at the address of a crashed one, unless that
// has been replaced since.
func (env *environment) restartTarget(t *target) {
	time.Sleep(entryLifetime)
	env.store.Delete(platform.KindTargets, t.ID)
	time.Sleep(targetRestartTime)
	env.mu.Lock()
	index := slices.Index(env.active, t)
	if index >= 0 {
		env.active = slices.Delete(env.active, index, index+1)
		env.replaced = append(env.replaced, t)
	}
	env.mu.Unlock()
	if index >= 0 {
		t.proxy.stopListening()
		// If the target cannot start, the soak continues without it.
		_ = env.addTargetAt(t.proxy.Addr(), t.Service, t.Zone)
	}
}

// sharedParts are the parts that the prompts of clients share.
var sharedParts = []string{"base", "tools"}

// prompt returns the prompt of request n, and whether it has crashingPart.
func (env *environment) prompt(n int64) (prompt string, crashing bool) {
	parts := slices.Clone(sharedParts)
	position := env.crashingPosition.Load()
	if crashing = position > 0 && n%crashingShare == 0; crashing {
		parts[position-1] = crashingPart
	}
	return fmt.Sprintf("%s:400,%s:200,own-%d:50", parts[0], parts[1], n), crashing
}

// sendsCrashing reports whether request n is the one that crashes targets.
func (env *environment) sendsCrashing(kind Kind, n int64) bool {
	return env.crashingRequest.Load() && kind.Name == env.crashingKind && n%crashingShare == 0
}
