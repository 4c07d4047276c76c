package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
)

const (
	// outOfStepIndex is the index of the router that is taken out of step, inStepIndex that of one to compare it with.
	outOfStepIndex, inStepIndex = 4, 3
	// knownTime is how long the routers run before, until they know each other and all targets.
	knownTime = 5 * time.Second
	// rejoinTime is how long after its return a router must have applied all that it missed.
	rejoinTime = evacuationBound + slack
	// probePace is the time between two probes of one kind.
	probePace = 40 * time.Millisecond
	// brokenOffAfter is the number of events after which clients break streams of the skewed service off.
	brokenOffAfter = 3
	// namedLimitWindow is the time in which a target that names a limit may get one and a half times what that allows, and
	// namedLimitSlack requests more, from namedLimitNoticed after it first named it.
	namedLimitWindow, namedLimitSlack, namedLimitNoticed = 4 * time.Second, 5, 3 * time.Second
)

// longOutOfStep is the environment variable that adds plays of 30 s.
const longOutOfStep = "RAGWORT_LONG_OUT_OF_STEP"

// outOfStepPlay is a fleet of which one router misses a change of all that routers learn from the store, the others and the
// targets.
type outOfStepPlay struct {
	t       *testing.T
	env     *environment
	out, in *router
	http    *http.Client

	mu sync.Mutex
	// answers are those to probes, by kind and router.
	answers map[string][]probeAnswer
	// takenUp maps streams that began at the router out of step to the requests that took them up at the other one.
	takenUp map[string]string
	probes  int
	// restarts makes targets start again in place; changed is set once the changes have been made.
	restarts bool
	changed  atomic.Bool
}

// probeAnswer is the answer to a probe.
type probeAnswer struct {
	sent   time.Time
	status int
	target string
	id     string
	err    error
}

// startOutOfStep starts six routers and lets them run for a time before one is out of step for length.
func startOutOfStep(t *testing.T, length time.Duration) *outOfStepPlay {
	t.Helper()
	env, err := newEnvironment(t.TempDir(), &Options{Program: buildRouter(t, ""), Routers: 6, Skews: 1, Evacuations: true})
	if env != nil {
		t.Cleanup(env.close)
	}
	if err != nil {
		t.Fatal(err)
	}
	p := &outOfStepPlay{t: t, env: env, out: env.routers[outOfStepIndex], in: env.routers[inStepIndex], answers: map[string][]probeAnswer{}, takenUp: map[string]string{}}
	p.http = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}, Timeout: clientTimeout}
	t.Cleanup(p.http.CloseIdleConnections)
	known := knownTime
	if length > leaseEnd {
		// Only a router that is listed goes on to begin streams without a lease.
		known = listedAfter
	}
	time.Sleep(known)
	return p
}

// nextID returns the ID of the next probe.
func (p *outOfStepPlay) nextID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probes++
	return fmt.Sprintf("probe-%d", p.probes)
}

// request sends a request to a router.
func (p *outOfStepPlay) request(r *router, id, path, account string, after int, resumes string) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+r.clientAddr()+path, strings.NewReader("body"))
	if err != nil {
		return nil, err
	}
	request.Host = routeHost
	if resumes != "" {
		standin.SetResumes(request, resumes)
	}
	standin.SetRequestHeaders(request, id, p.env.accounts[account], routeTimeout, after)
	return p.http.Do(request)
}

// probe sends a request to a router, and reads its answer whole.
func (p *outOfStepPlay) probe(kind string, r *router, path, account string) {
	a := probeAnswer{id: p.nextID(), sent: time.Now()}
	response, err := p.request(r, a.id, path, account, 0, "")
	if a.err = err; err == nil {
		_, a.err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.target = response.StatusCode, standin.SignatureTarget(standin.Signature(response))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := kind + " " + r.name
	p.answers[key] = append(p.answers[key], a)
}

// breakOff begins a stream at the router out of step, breaks it off and takes it up at the other one.
func (p *outOfStepPlay) breakOff() {
	path := skewedKind(0).Path + "x"
	a := probeAnswer{id: p.nextID(), sent: time.Now()}
	response, err := p.request(p.out, a.id, path, "account-0", 0, "")
	if a.err = err; err == nil {
		a.status = response.StatusCode
		if a.status == http.StatusOK {
			if _, err := readEvents(response.Body, brokenOffAfter); !errors.Is(err, errCutByClient) {
				a.err = err
			}
		}
		_ = response.Body.Close()
	}
	p.mu.Lock()
	p.answers["stream "+p.out.name] = append(p.answers["stream "+p.out.name], a)
	p.mu.Unlock()
	if a.err != nil || a.status != http.StatusOK {
		return
	}
	again := p.nextID()
	if response, err := p.request(p.in, again, path, "account-0", brokenOffAfter, a.id); err == nil {
		_, _ = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.takenUp[a.id] = again
}

// send sends probes of each kind to the router out of step and to one in step until ctx ends.
func (p *outOfStepPlay) send(ctx context.Context) {
	var all sync.WaitGroup
	repeat := func(f func()) {
		all.Go(func() {
			for sleep(ctx, probePace) {
				all.Go(f)
			}
		})
	}
	for kind, account := range map[string]string{"plain": "account-0", "withdrawn key": "account-3"} {
		repeat(func() { p.probe(kind, p.out, "/lookup/x", account) })
		repeat(func() { p.probe(kind, p.in, "/lookup/x", account) })
	}
	repeat(func() { p.probe("engine", p.out, "/dossier/x", "account-1") })
	repeat(func() { p.probe("engine", p.in, "/dossier/x", "account-1") })
	// The router has no connection to targets of the skewed service before the change.
	repeat(func() {
		if p.changed.Load() {
			p.breakOff()
		}
	})
	all.Wait()
}

// restartInPlace lets a target start again at its address with another version. Its entry is new in the store.
func (p *outOfStepPlay) restartInPlace(old *target) *target {
	addr := old.Addr()
	old.Close()
	next := &target{Target: &standin.Target{ID: old.ID, Service: old.Service, Zone: old.Zone, Version: "v2", Events: old.Events, EventInterval: old.EventInterval}, proxy: old.proxy}
	if err := next.Start(addr); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(next.Close)
	p.env.putTarget(next, "ready")
	return next
}

// changes makes all changes that the router out of step misses, and returns the targets that started again.
func (p *outOfStepPlay) changes(limited *target) (restarted []*target, evacuated string) {
	env := p.env
	env.revoke("account-3")
	evacuated = domainName(2)
	env.setEvacuated(evacuated, true)
	limited.setLimit(limitPerSecond)
	engines := env.targetsOf(engineName)
	engines[0].leaves.Store(true)
	env.markLeaving(engines[0])
	env.putTarget(engines[0], "draining")
	gone := engines[1]
	gone.Close()
	gone.proxy.stopListening()
	env.store.Delete(platform.KindTargets, gone.ID)
	if p.restarts {
		for _, t := range p.env.skewedOf(0)[:skewedTargets/2] {
			restarted = append(restarted, p.restartInPlace(t))
		}
	}
	p.changed.Store(true)
	return restarted, evacuated
}

// outOfStepEvents are the moments of a play.
type outOfStepEvents struct {
	changed, back time.Time
	evacuated     string
	restarted     []*target
	limited       *target
}

// play takes the router out of step for a time, makes the changes shortly after that began, and sends probes until after
// rejoinTime.
func (p *outOfStepPlay) play(stopped bool, length time.Duration) outOfStepEvents {
	ctx, cancel := context.WithCancel(p.t.Context())
	defer cancel()
	var sending sync.WaitGroup
	sending.Go(func() { p.send(ctx) })
	time.Sleep(time.Second)
	var e outOfStepEvents
	if stopped {
		p.out.signal(syscall.SIGSTOP)
	} else {
		p.env.peers.setLink(outOfStepIndex, peerLink{side: 1})
		p.out.store.SetMode(Stall)
	}
	time.Sleep(20 * time.Millisecond)
	e.changed = time.Now()
	e.limited = p.env.targetsOf(plainName)[0]
	e.restarted, e.evacuated = p.changes(e.limited)
	time.Sleep(length - time.Since(e.changed))
	if stopped {
		p.out.signal(syscall.SIGCONT)
	} else {
		p.env.peers.setLink(outOfStepIndex, peerLink{})
		p.out.store.SetMode(Forward)
		p.out.store.Reset()
	}
	e.back = time.Now()
	time.Sleep(rejoinTime + time.Second)
	cancel()
	sending.Wait()
	return e
}

// versions returns the version of the process at which each request ran.
func (p *outOfStepPlay) versions(restarted []*target) map[string]string {
	versions := map[string]string{}
	for _, t := range append(p.env.skewedOf(0), restarted...) {
		for _, run := range t.Runs() {
			versions[run.Request] = t.Version
		}
	}
	return versions
}

// phase tells when in the play a time is.
func (e *outOfStepEvents) phase(at time.Time) string {
	switch {
	case at.Before(e.changed):
		return "1 before"
	case at.Before(e.back):
		return "2 out of step"
	case at.Before(e.back.Add(rejoinTime)):
		return "3 back"
	default:
		return "4 later"
	}
}

// count counts the answers to the probes of a kind at a router by phase: served, and all.
func (p *outOfStepPlay) count(e *outOfStepEvents, kind string, r *router) (served, all map[string]int) {
	served, all = map[string]int{}, map[string]int{}
	for _, a := range p.answers[kind+" "+r.name] {
		all[e.phase(a.sent)]++
		if a.err == nil && a.status == http.StatusOK {
			served[e.phase(a.sent)]++
		}
	}
	p.t.Logf("%s at %s: served %v of %v", kind, r.name, served, all)
	return served, all
}

// checkServed checks that the router served callers while it was out of step and afterwards.
func (p *outOfStepPlay) checkServed(e *outOfStepEvents, stopped bool) {
	for _, kind := range []string{"plain", "engine"} {
		p.count(e, kind, p.in)
		served, all := p.count(e, kind, p.out)
		for phase, n := range all {
			if !(stopped && phase != "4 later") && served[phase]*10 < n*9 {
				p.t.Errorf("%s, %s: served %d of %d, want nine in ten", kind, phase, served[phase], n)
			}
		}
	}
}

// checkKeys checks that the withdrawn key admits nobody once the router must know of it.
func (p *outOfStepPlay) checkKeys(e *outOfStepEvents) {
	p.count(e, "withdrawn key", p.in)
	p.count(e, "withdrawn key", p.out)
	for _, a := range p.answers["withdrawn key "+p.out.name] {
		if a.status == http.StatusOK && a.sent.Sub(e.back) > maxApplyDelay {
			p.t.Errorf("a withdrawn key was admitted %v after the router was back, want at most %v", a.sent.Sub(e.back), maxApplyDelay)
		}
	}
}

// checkEvacuation checks that the evacuated domain gets no requests once the router must know of it.
func (p *outOfStepPlay) checkEvacuation(e *outOfStepEvents) {
	evacuated, got := map[string]bool{}, map[string]int{}
	for _, t := range p.env.targetsOf(plainName) {
		evacuated[t.ID] = t.Zone == e.evacuated
	}
	for _, a := range p.answers["plain "+p.out.name] {
		if evacuated[a.target] {
			got[e.phase(a.sent)]++
		}
	}
	p.t.Logf("answers of the evacuated domain by way of %s: %v", p.out.name, got)
	if n := got["4 later"]; n > 0 {
		p.t.Errorf("%d requests reached the evacuated domain later than %v after the return of the router", n, rejoinTime)
	}
}

// checkLimit checks that the target which names a limit did not get more than it allows.
func (p *outOfStepPlay) checkLimit(e *outOfStepEvents) {
	arrivals, most := e.limited.Arrivals(), 0
	for i, first := range arrivals {
		if first.At.Sub(e.changed) < namedLimitNoticed {
			continue
		}
		n := 0
		for _, a := range arrivals[i:] {
			if a.At.Sub(first.At) < namedLimitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	allowed := limitPerSecond*int(namedLimitWindow/time.Second)*3/2 + namedLimitSlack
	p.t.Logf("the target that names a limit got up to %d requests in %v, %d are allowed", most, namedLimitWindow, allowed)
	if most > allowed {
		p.t.Errorf("the target that names a limit got %d requests in %v, want at most %d", most, namedLimitWindow, allowed)
	}
}

// outOfStepLengths returns the times for which routers are out of step.
func outOfStepLengths() []time.Duration {
	lengths := []time.Duration{500 * time.Millisecond, 3 * time.Second}
	if os.Getenv(longOutOfStep) != "" {
		lengths = append(lengths, 30*time.Second)
	}
	return lengths
}

// TestRouterAppliesWhatItMissedOutOfStep takes a router out of step while keys are withdrawn, a failure domain is evacuated, and
// targets name limits, leave and go away.
func TestRouterAppliesWhatItMissedOutOfStep(t *testing.T) {
	for name, stopped := range map[string]bool{"cut off": false, "stopped": true} {
		for _, length := range outOfStepLengths() {
			t.Run(fmt.Sprint(name, " ", length), func(t *testing.T) {
				p := startOutOfStep(t, length)
				e := p.play(stopped, length)
				p.checkServed(&e, stopped)
				p.checkKeys(&e)
				p.checkEvacuation(&e)
				p.checkLimit(&e)
			})
		}
	}
}

// TestStreamsBegunOutOfStepAtRestartedTargetAreNotJoined guards against streams that a router which is cut off begins at a target
// that has started again in place with another version, and that go on at the version of before.
func TestStreamsBegunOutOfStepAtRestartedTargetAreNotJoined(t *testing.T) {
	for _, length := range outOfStepLengths() {
		t.Run(length.String(), func(t *testing.T) {
			p := startOutOfStep(t, length)
			p.restarts = true
			e := p.play(false, length)
			p.count(&e, "stream", p.out)
			versions, joined := p.versions(e.restarted), 0
			for first, again := range p.takenUp {
				if versions[again] != "" && versions[first] != versions[again] {
					joined++
				}
			}
			t.Logf("of %d streams that were taken up, %d went on at another version", len(p.takenUp), joined)
			if joined > 0 {
				t.Errorf("%d streams went on at another version than they began at", joined)
			}
		})
	}
}
