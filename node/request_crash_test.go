package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/platform/standin"
)

// Bounds on a request that crashes targets, and sizes of the fleet.
const (
	requestCrashesBeforeWindow = 3
	maxRepeatsAfter            = 3
	requestCrashRouters        = 6
	// repeatPeriod is how long it is repeated.
	repeatPeriod = 10 * time.Second
	crashPath    = "/p/bad"
)

// requestCrashFleet is a fleet of routers before targets that crash on crashPath.
type requestCrashFleet struct {
	targets []*standin.Replica
	routers []*fixture
	client  *http.Client
	sent    atomic.Int64
}

func requestCrashConfig(routeType string) map[string]any {
	return map[string]any{
		"Version":  1,
		"Routes":   []any{map[string]any{"Name": "r", "Host": "h", "PathPrefix": "/p/", "RouteType": routeType, "MaxAttempts": 2, "Service": "s", "TimeoutMs": 2000, "TargetLatencyMs": 300}},
		"Services": []any{map[string]any{"Name": "s", "HealthPath": standin.HealthPath}},
		"Tenants":  []any{map[string]any{"Name": "x", "ApiKeys": []string{"key-x"}}, map[string]any{"Name": "y", "ApiKeys": []string{"key-y"}}},
		"Limits":   map[string]any{"MaxBodyBytes": 1000, "IdleTimeoutMs": 300},
	}
}

func startRequestCrashFleet(t *testing.T, routeType string, targets int, runTime, restartAfter time.Duration, away standin.Away) *requestCrashFleet {
	t.Helper()
	f := &requestCrashFleet{client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(f.client.CloseIdleConnections)
	f.targets, f.routers = startReplicas(t, requestCrashRouters, targets, restartAfter, away, requestCrashConfig(routeType), func(id string) *standin.Target {
		return &standin.Target{
			ID: id, Service: "s", Zone: "d", RunTime: runTime,
			CrashOn: func(r *http.Request) bool { return r.URL.Path == crashPath },
		}
	})
	return f
}

// send sends a request under a new ID and returns the status of the response, or zero.
func (f *requestCrashFleet) send(router int, kind, key, path, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.routers[router%len(f.routers)].cfg.ClientAddr+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = "h"
	standin.SetRequestHeaders(r, fmt.Sprint(kind, f.sent.Add(1)), key, requestTimeout, 0)
	response, err := f.client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// repeat sends the crashing request to all routers in turn, one each interval, until ctx ends.
func (f *requestCrashFleet) repeat(ctx context.Context, interval time.Duration) {
	var all sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		all.Go(func() { f.send(n, "bad-", "key-x", crashPath, "order") })
		pause(ctx, interval)
	}
	all.Wait()
}

// sound sends requests that differ from the crashing one in one respect each, and one that
// is repeated word for word, until ctx ends. It returns how many of them were served.
func (f *requestCrashFleet) sound(ctx context.Context) (sent, served int) {
	var count [2]atomic.Int64
	var all sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		key, path, body := "key-x", crashPath[:len(crashPath)-1]+"t", "order"
		switch n % 3 {
		case 1:
			path = fmt.Sprint("/p/item/", n)
		case 2:
			key, path = "key-y", fmt.Sprint("/p/bad/", n)
		}
		all.Go(func() {
			count[0].Add(1)
			if f.send(n, "sound-", key, path, body) == http.StatusOK {
				count[1].Add(1)
			}
		})
		pause(ctx, soundInterval)
	}
	all.Wait()
	return int(count[0].Load()), int(count[1].Load())
}

// lateRepeats returns the number of repeats of the crashing request that reached targets
// later than after.
func (f *requestCrashFleet) lateRepeats(after time.Time) int {
	repeats := map[string]bool{}
	for _, r := range f.targets {
		for _, a := range r.Arrivals() {
			if strings.HasPrefix(a.Request, "bad-") && a.At.After(after) {
				repeats[a.Request] = true
			}
		}
	}
	return len(repeats)
}

// TestRepeatedRequestThatCrashesTargetsIsQuarantined guards against a request whose repeats crash target after target.
func TestRepeatedRequestThatCrashesTargetsIsQuarantined(t *testing.T) {
	t.Parallel()
	for _, test := range []repeatedCrash{
		{"idempotent", 5, 20 * time.Millisecond, crashRestartAfter, 220 * time.Millisecond, standin.AwayRefuses},
		{"non_idempotent", 5, 20 * time.Millisecond, crashRestartAfter, 220 * time.Millisecond, standin.AwayRefuses},
		// All targets crash within a moment and are back at once, after the bound.
		{"idempotent", 3, 100 * time.Millisecond, stabilityWindow + 500*time.Millisecond, 60 * time.Millisecond, standin.AwayRefuses},
	} {
		t.Run(fmt.Sprintf("%s before %d targets", test.routeType, test.targets), test.check)
	}
}

// TestCrashIsNoticedThoughAddressAcceptsConnections guards against crashes that are taken for lost answers (incident 23).
func TestCrashIsNoticedThoughAddressAcceptsConnections(t *testing.T) {
	t.Parallel()
	for name, away := range map[string]standin.Away{"closes": standin.AwayCloses, "hangs": standin.AwayHangs} {
		t.Run(name, repeatedCrash{"idempotent", 5, 20 * time.Millisecond, crashRestartAfter, 220 * time.Millisecond, away}.check)
	}
}

// repeatedCrash is a play of a request that is repeated before targets that crash on it.
type repeatedCrash struct {
	routeType    string
	targets      int
	runTime      time.Duration
	restartAfter time.Duration
	interval     time.Duration
	away         standin.Away
}

// check plays it and checks that the request is quarantined in time and others are served.
func (test repeatedCrash) check(t *testing.T) {
	t.Parallel()
	f := startRequestCrashFleet(t, test.routeType, test.targets, test.runTime, test.restartAfter, test.away)
	ctx, cancel := context.WithTimeout(t.Context(), repeatPeriod)
	defer cancel()
	var traffic sync.WaitGroup
	traffic.Go(func() { f.repeat(ctx, test.interval) })
	await.Until(t, "the third crash", func() bool { return len(crashTimes(f.targets)) >= requestCrashesBeforeWindow })
	bounded := crashTimes(f.targets)[requestCrashesBeforeWindow-1].Add(stabilityWindow)
	disturbed, stop := context.WithDeadline(ctx, bounded.Add(stabilityWindow))
	f.sound(disturbed)
	stop()
	sent, served := f.sound(ctx)
	traffic.Wait()
	t.Logf("%d crashes, %d repeats later than %v after the third; then %d of %d sound requests served", len(crashTimes(f.targets)), f.lateRepeats(bounded), stabilityWindow, served, sent)
	if got := f.lateRepeats(bounded); got > maxRepeatsAfter {
		t.Errorf("got %d repeats at targets later than %v after the third crash, want at most %d", got, stabilityWindow, maxRepeatsAfter)
	}
	if sent == 0 || 10*served < 9*sent {
		t.Errorf("two windows after the third crash: got %d of %d sound requests served, want at least 9 of 10", served, sent)
	}
}
