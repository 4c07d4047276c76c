package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
)

// Durations of the faults.
const (
	minFaultDuration, maxFaultDuration = 300 * time.Millisecond, 2500 * time.Millisecond
	// maxFaultGap is the maximum time between two faults of one lane.
	maxFaultGap = 1200 * time.Millisecond
	// drainTime is how long a leaving target keeps its entry in the store.
	drainTime = 4 * time.Second
	// routerStartTime covers the time until a started router is ready.
	routerStartTime = time.Second
)

// injector injects one sequence of faults, called a lane. Several lanes run
// concurrently.
type injector struct {
	environment *environment
	random      *rand.Rand
	// recordFault records an interval with a fault, countPlanned planned work
	// that is not a fault, recordChange a change that routers must apply.
	recordFault  func(FaultInterval)
	countPlanned func(kind string)
	recordChange func(Change)
}

// fault is one kind of fault or planned work; inject returns when it is over.
type fault struct {
	kind   string
	inject func(i *injector)
}

var faults = []fault{
	{"kill", (*injector).kill},
	{"stop", (*injector).stop},
	{"pause", (*injector).pause},
	{"hup", (*injector).reload},
	{"store-refuses", func(i *injector) { i.injectStoreFault("store-refuses", standin.Refusing) }},
	{"store-silent", func(i *injector) { i.injectStoreFault("store-silent", standin.Silent) }},
	{"store-compacts", (*injector).compact},
	{"store-cut", (*injector).cutStore},
	{"target-cut", (*injector).cutTarget},
	{"target-reset", (*injector).resetTarget},
	{"target-crash", (*injector).crashTarget},
	{"target-act", (*injector).misbehaveTarget},
	{"release", (*injector).release},
	{"config", (*injector).changeConfig},
	{"revoke", (*injector).revoke},
}

// run injects random faults until ctx ends.
func (i *injector) run(ctx context.Context) {
	for ctx.Err() == nil {
		faults[i.random.IntN(len(faults))].inject(i)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(i.random.Int64N(int64(maxFaultGap)))):
		}
	}
}

// awaitStart waits for a random time after the warm-up. It returns false if ctx ends before.
func (i *injector) awaitStart(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(warmUp + time.Duration(i.random.Int64N(int64(maxFaultGap)))):
		return true
	}
}

func (i *injector) duration() time.Duration {
	return minFaultDuration + time.Duration(i.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
}

// during runs f and records its duration as an interval with a fault.
func (i *injector) during(kind string, f func()) {
	from := time.Now()
	f()
	i.recordFault(FaultInterval{Kind: kind, From: from, To: time.Now()})
}

func (i *injector) router() *router {
	return i.environment.routers[i.random.IntN(len(i.environment.routers))]
}

// pickTarget returns a random active target. With remove, the target is moved from
// the active to the replaced ones.
func (i *injector) pickTarget(remove bool) *target {
	env := i.environment
	env.mu.Lock()
	defer env.mu.Unlock()
	index := i.random.IntN(len(env.active))
	t := env.active[index]
	if remove {
		env.active = append(env.active[:index:index], env.active[index+1:]...)
		env.replaced = append(env.replaced, t)
	}
	return t
}

// duringAt is during for a fault of one router's process.
func (i *injector) duringAt(r *router, kind string, f func()) {
	from := time.Now()
	f()
	i.recordFault(FaultInterval{Kind: kind, From: from, To: time.Now(), Router: r.name})
}

func (i *injector) kill() {
	r := i.router()
	i.duringAt(r, "kill", func() {
		i.restartAfterExit(r, r.signal(syscall.SIGKILL))
	})
}

// restartAfterExit waits until the process of a router has ended and starts a new
// one after a random delay.
func (i *injector) restartAfterExit(r *router, exited <-chan struct{}) {
	<-exited
	time.Sleep(time.Duration(i.random.Int64N(int64(time.Second))))
	if err := i.environment.restartRouter(r, exited); err == nil {
		time.Sleep(routerStartTime)
	}
}

// stop is planned work; only the time without a process counts as a fault.
func (i *injector) stop() {
	r := i.router()
	i.countPlanned("stop")
	exited := r.signal(syscall.SIGTERM)
	<-exited
	i.duringAt(r, "down", func() { i.restartAfterExit(r, exited) })
}

func (i *injector) pause() {
	r := i.router()
	i.duringAt(r, "pause", func() {
		r.signal(syscall.SIGSTOP)
		time.Sleep(i.duration())
		r.signal(syscall.SIGCONT)
	})
}

func (i *injector) reload() {
	i.countPlanned("hup")
	i.router().signal(syscall.SIGHUP)
}

func (i *injector) injectStoreFault(kind string, f standin.Fault) {
	i.during(kind, func() {
		i.environment.store.Fail(f)
		time.Sleep(i.duration())
		i.environment.store.Fail(standin.Healthy)
	})
}

func (i *injector) compact() {
	i.during("store-compacts", i.environment.store.Compact)
}

func (i *injector) cutStore() {
	p := i.router().store
	i.injectProxyFault("store-cut", p, []ProxyMode{Stall, StallReplies, Delay, Refuse}[i.random.IntN(4)])
}

func (i *injector) cutTarget() {
	t := i.pickTarget(false)
	i.injectProxyFault("target-cut", t.proxy, []ProxyMode{Stall, StallReplies, Delay, Refuse}[i.random.IntN(4)])
}

func (i *injector) injectProxyFault(kind string, p *Proxy, mode ProxyMode) {
	i.during(kind, func() {
		p.SetMode(mode)
		time.Sleep(i.duration())
		p.SetMode(Forward)
		// Data that was held back may belong to connections that the router has
		// already given up.
		p.Reset()
	})
}

func (i *injector) resetTarget() {
	t := i.pickTarget(false)
	i.during("target-reset", t.proxy.Reset)
}

// crashTarget stops a target for good. Its entry is deleted from the store only
// after a while, and another target replaces it.
func (i *injector) crashTarget() {
	t := i.pickTarget(true)
	i.during("target-crash", func() {
		t.Close()
		t.proxy.Close()
		time.Sleep(i.duration())
		i.environment.store.Delete(platform.KindTargets, t.ID)
		i.replace(t)
	})
}

// replace starts a target of the same service and failure domain as t.
func (i *injector) replace(t *target) {
	for d := range domainCount {
		if domainName(d) == t.Zone {
			// If the target cannot start, the soak continues without it.
			_ = i.environment.addTarget(t.Service == plainName, d)
		}
	}
}

// misbehaveTarget makes a target answer a part of its requests wrongly for a while.
func (i *injector) misbehaveTarget() {
	acts := []standin.Behavior{
		standin.Reject, standin.RunThenSend500, standin.CloseBeforeResponse, standin.CloseMidResponse, standin.Hang, standin.Unsigned,
		standin.ExtraResponse, standin.MismatchedFirst, standin.RunThenSend503, standin.Stall, standin.Encoded, standin.EndlessHead,
	}
	t := i.pickTarget(false)
	i.during("target-act", func() {
		t.setMisbehavior(acts[i.random.IntN(len(acts))], 0.1+0.4*i.random.Float64())
		time.Sleep(i.duration())
		t.setMisbehavior(standin.Serve, 0)
	})
}

// release replaces a target as in a planned release: it starts the new target
// first, then marks the old one as draining and deletes it after drainTime. Some old ones do not reach
// the store.
func (i *injector) release() {
	t := i.pickTarget(true)
	i.countPlanned("release")
	i.replace(t)
	t.leaves.Store(true)
	if i.random.IntN(3) == 0 {
		i.leaveUnheard(t)
		return
	}
	i.environment.markLeaving(t)
	i.environment.putTarget(t, "draining")
	i.recordChange(Change{At: time.Now(), Target: t.ID})
	go func() {
		time.Sleep(drainTime)
		i.environment.deleteLeaving(t)
	}()
}

func (i *injector) changeConfig() {
	i.countPlanned("config")
	i.environment.putConfig()
}

// revoke removes the keys of one client account permanently.
func (i *injector) revoke() {
	const account = "account-3"
	if i.environment.revoke(account) {
		i.countPlanned("revoke")
		i.recordChange(Change{At: time.Now(), Account: account})
	}
}

// upgrade replaces the routers by those of another build, one after the other. It is planned
// work; only the time without a process counts as a fault.
func (i *injector) upgrade(ctx context.Context, program string) {
	if !i.awaitStart(ctx) {
		return
	}
	for _, r := range i.environment.routers {
		r.mu.Lock()
		r.program = program
		r.mu.Unlock()
		i.countPlanned("upgrade")
		exited := r.signal(syscall.SIGTERM)
		<-exited
		i.duringAt(r, "down", func() { i.restartAfterExit(r, exited) })
		if ctx.Err() != nil {
			return
		}
	}
}

// killAll ends all routers at once, some time after the warm-up, and starts them again.
func (i *injector) killAll(ctx context.Context) {
	if !i.awaitStart(ctx) {
		return
	}
	var all sync.WaitGroup
	for _, r := range i.environment.routers {
		all.Go(func() {
			i.duringAt(r, "kill-all", func() {
				exited := r.signal(syscall.SIGKILL)
				<-exited
				if err := i.environment.restartRouter(r, exited); err == nil {
					time.Sleep(routerStartTime)
				}
			})
		})
	}
	all.Wait()
}
