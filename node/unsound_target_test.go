package node

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/platform/standin"
)

// Sizes of the fleet before targets of which half answer nothing sound.
const (
	unsoundRouters = 6
	unsoundTargets = 6
	unsoundRunTime = 30 * time.Millisecond
	unsoundSeed    = 53
)

var unsoundPeriod = flag.Duration("unsound-period", 12*time.Second, "duration of the load on targets that answer nothing sound")

// unsoundPlay is a load on targets of which half are faulty.
type unsoundPlay struct {
	name string
	// routeType is the type of the route, attempts the number of targets that a request may run at.
	routeType string
	attempts  int
	// perSecond is the number of requests per second, over all routers.
	perSecond int
	// healthServes is set if faulty targets answer questions about their health.
	healthServes bool
	// everySecond is set if faulty targets fail each second request only.
	everySecond bool
	// wantPercent is the least share of requests to be served.
	wantPercent int
}

// faultOf returns the faults of a faulty target.
func (p *unsoundPlay) faultOf(kind standin.UnsoundAnswer) func(*http.Request) standin.UnsoundAnswer {
	var n atomic.Int64
	return func(r *http.Request) standin.UnsoundAnswer {
		if r.URL.Path == standin.HealthPath && p.healthServes {
			return standin.Sound
		}
		if p.everySecond && n.Add(1)%2 == 0 {
			return standin.Sound
		}
		return kind
	}
}

func (p *unsoundPlay) config() map[string]any {
	return map[string]any{
		"Version":  1,
		"Routes":   []any{map[string]any{"Name": "r", "Host": "h", "PathPrefix": "/p/", "RouteType": p.routeType, "MaxAttempts": p.attempts, "Service": "s", "TimeoutMs": 3000, "TargetLatencyMs": 300}},
		"Services": []any{map[string]any{"Name": "s", "HealthPath": standin.HealthPath}},
		"Limits":   map[string]any{"MaxBodyBytes": 1000, "IdleTimeoutMs": 300},
	}
}

// run returns the number of requests and of those served.
func (p *unsoundPlay) run(t *testing.T, faults []standin.UnsoundAnswer) (sent, served int) {
	t.Helper()
	f := startFleetBefore(t, &http.Transport{MaxIdleConnsPerHost: 50}, p.config(), unsoundRouters, unsoundTargets, func(i int) *standin.Target {
		target := &standin.Target{RunTime: unsoundRunTime}
		if i < len(faults) {
			target.Unsound = p.faultOf(faults[i])
		}
		return target
	})
	return f.sendSteadily(p.perSecond, *unsoundPeriod)
}

// sendSteadily sends requests to all routers at a steady rate for a time, and returns their number and
// that of those served.
func (f *limitFleet) sendSteadily(perSecond int, d time.Duration) (sent, served int) {
	var all sync.WaitGroup
	var ok atomic.Int64
	interval := time.Second / time.Duration(perSecond)
	sent = int(d / interval)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := range sent {
		all.Go(func() {
			if f.sendUnique(f.routers[i%len(f.routers)], i) {
				ok.Add(1)
			}
		})
		<-ticker.C
	}
	all.Wait()
	return sent, int(ok.Load())
}

// sendUnique sends a request that is unlike all others and reports whether it was served.
func (f *limitFleet) sendUnique(router *fixture, i int) bool {
	r, err := http.NewRequest(http.MethodPost, "http://"+router.cfg.ClientAddr+"/p/x", strings.NewReader(fmt.Sprint("body ", i)))
	if err != nil {
		return false
	}
	r.Host = "h"
	id := fmt.Sprint("u", i)
	standin.SetRequestHeaders(r, id, "", requestTimeout, 0)
	response, err := f.client.do(r, id, f.targets)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK && standin.Signature(response) != ""
}

// TestUnsoundTargetsDrawNoLoad guards against routers that take targets which fail fast for idle ones.
// Its plays are parallel to each other only, since together they are a load on the machine.
func TestUnsoundTargetsDrawNoLoad(t *testing.T) {
	plays := []unsoundPlay{
		{name: "once, 40 a second", routeType: "non_idempotent", attempts: 1, perSecond: 40, wantPercent: 90},
		{name: "once, 200 a second", routeType: "non_idempotent", attempts: 1, perSecond: 200, wantPercent: 90},
		{name: "once, health serves, 40 a second", routeType: "non_idempotent", attempts: 1, perSecond: 40, healthServes: true, wantPercent: 90},
		{name: "once, health serves, 200 a second", routeType: "non_idempotent", attempts: 1, perSecond: 200, healthServes: true, wantPercent: 90},
		{name: "once, each second answer, 40 a second", routeType: "non_idempotent", attempts: 1, perSecond: 40, everySecond: true, wantPercent: 85},
		{name: "once, each second answer, 200 a second", routeType: "non_idempotent", attempts: 1, perSecond: 200, everySecond: true, wantPercent: 85},
		{name: "repeatable, 40 a second", routeType: "idempotent", attempts: 2, perSecond: 40, wantPercent: 97},
		{name: "repeatable, 200 a second", routeType: "idempotent", attempts: 2, perSecond: 200, wantPercent: 97},
	}
	kinds := slices.Clone(standin.UnsoundAnswers)
	random := rand.New(rand.NewPCG(unsoundSeed, 0))
	random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	for i := range plays {
		play := &plays[i]
		// Plays of one kind of route have all faults together.
		faults := make([]standin.UnsoundAnswer, unsoundTargets/2)
		for j := range faults {
			faults[j] = kinds[(i*len(faults)+j)%len(kinds)]
		}
		t.Run(play.name, func(t *testing.T) {
			t.Parallel()
			sent, served := play.run(t, faults)
			t.Logf("%s, faults %v: %d of %d requests served", play.name, faults, served, sent)
			if served*100 < sent*play.wantPercent {
				t.Errorf("faults %v: got %d of %d requests served, want at least %d in 100", faults, served, sent, play.wantPercent)
			}
		})
	}
}
