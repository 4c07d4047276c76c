package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
)

// Times of the faults.
const (
	shortest, longest = 300 * time.Millisecond, 2500 * time.Millisecond
	// gap is the longest time between two faults of one lane.
	gap = 1200 * time.Millisecond
	// drainTime is how long a leaving target goes on serving.
	drainTime = 4 * time.Second
	// startTime covers a router's start until it is ready.
	startTime = time.Second
)

// injector plays one lane of faults; lanes overlap.
type injector struct {
	world  *world
	random *rand.Rand
	// fault notes a span in which something was wrong, planned work that is not
	// a fault, mark a change.
	fault   func(Span)
	planned func(kind string)
	mark    func(Mark)
}

// fault is one kind of fault or planned work.
type fault struct {
	kind string
	play func(i *injector)
}

var faults = []fault{
	{"kill", (*injector).kill},
	{"stop", (*injector).stop},
	{"pause", (*injector).pause},
	{"hup", (*injector).hup},
	{"store-refuses", func(i *injector) { i.storeFails("store-refuses", standin.Refusing) }},
	{"store-silent", func(i *injector) { i.storeFails("store-silent", standin.Silent) }},
	{"store-compacts", (*injector).compact},
	{"store-cut", (*injector).cutStore},
	{"target-cut", (*injector).cutTarget},
	{"target-reset", (*injector).resetTarget},
	{"target-crash", (*injector).crashTarget},
	{"target-act", (*injector).misbehave},
	{"release", (*injector).release},
	{"config", (*injector).config},
	{"revoke", (*injector).revoke},
}

// run plays faults until ctx ends.
func (i *injector) run(ctx context.Context) {
	for ctx.Err() == nil {
		faults[i.random.IntN(len(faults))].play(i)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(i.random.Int64N(int64(gap)))):
		}
	}
}

func (i *injector) duration() time.Duration {
	return shortest + time.Duration(i.random.Int64N(int64(longest-shortest)))
}

// spanOf plays something that is wrong until it returns.
func (i *injector) spanOf(kind string, f func()) {
	from := time.Now()
	f()
	i.fault(Span{kind, from, time.Now()})
}

func (i *injector) router() *router {
	return i.world.routers[i.random.IntN(len(i.world.routers))]
}

// take picks a target that stays, or takes it out of those that serve; nil if too
// few would be left.
func (i *injector) take(out bool) *target {
	w := i.world
	w.mu.Lock()
	defer w.mu.Unlock()
	at := i.random.IntN(len(w.serving))
	t := w.serving[at]
	if out {
		w.serving = append(w.serving[:at:at], w.serving[at+1:]...)
		w.past = append(w.past, t)
	}
	return t
}

func (i *injector) kill() {
	r := i.router()
	i.spanOf("kill", func() {
		i.again(r, r.signal(syscall.SIGKILL))
	})
}

// again starts a router once its process, which is about to end, is gone.
func (i *injector) again(r *router, gone <-chan struct{}) {
	<-gone
	time.Sleep(time.Duration(i.random.Int64N(int64(time.Second))))
	if err := i.world.restartRouter(r, gone); err == nil {
		time.Sleep(startTime)
	}
}

// stop is planned work; only the time without the process is wrong.
func (i *injector) stop() {
	r := i.router()
	i.planned("stop")
	gone := r.signal(syscall.SIGTERM)
	<-gone
	i.spanOf("down", func() { i.again(r, gone) })
}

func (i *injector) pause() {
	r := i.router()
	i.spanOf("pause", func() {
		r.signal(syscall.SIGSTOP)
		time.Sleep(i.duration())
		r.signal(syscall.SIGCONT)
	})
}

func (i *injector) hup() {
	i.planned("hup")
	i.router().signal(syscall.SIGHUP)
}

func (i *injector) storeFails(kind string, f standin.Fault) {
	i.spanOf(kind, func() {
		i.world.store.Fail(f)
		time.Sleep(i.duration())
		i.world.store.Fail(standin.Healthy)
	})
}

func (i *injector) compact() {
	i.spanOf("store-compacts", i.world.store.Compact)
}

func (i *injector) cutStore() {
	p := i.router().store
	i.through("store-cut", p, []Way{Silent, Deaf, Slow, Shut}[i.random.IntN(4)])
}

func (i *injector) cutTarget() {
	t := i.take(false)
	i.through("target-cut", t.proxy, []Way{Silent, Deaf, Slow, Shut}[i.random.IntN(4)])
}

func (i *injector) through(kind string, p *Proxy, w Way) {
	i.spanOf(kind, func() {
		p.Set(w)
		time.Sleep(i.duration())
		p.Set(Through)
		// What was held up may belong to connections that were given up.
		p.Reset()
	})
}

func (i *injector) resetTarget() {
	t := i.take(false)
	i.spanOf("target-reset", t.proxy.Reset)
}

// crashTarget loses a target for good; its entry lapses later, and another one
// comes.
func (i *injector) crashTarget() {
	t := i.take(true)
	i.spanOf("target-crash", func() {
		t.Close()
		t.proxy.Close()
		time.Sleep(i.duration())
		i.world.store.Delete(platform.KindTargets, t.ID)
		i.replace(t)
	})
}

// replace adds a target like another one.
func (i *injector) replace(t *target) {
	for d := range domains {
		if domainName(d) == t.Zone {
			// A target that cannot start is missing from then on.
			_ = i.world.addTarget(t.Service == plainName, d)
		}
	}
}

func (i *injector) misbehave() {
	acts := []standin.Act{
		standin.Reject, standin.FailRun, standin.CutBefore, standin.CutMidway, standin.Hang, standin.Unsigned,
		standin.Extra, standin.Foreign, standin.Promise, standin.Stall, standin.Encoded,
	}
	t := i.take(false)
	i.spanOf("target-act", func() {
		t.misbehave(acts[i.random.IntN(len(acts))], 0.1+0.4*i.random.Float64())
		time.Sleep(i.duration())
		t.misbehave(standin.Serve, 0)
	})
}

// release replaces a target as planned: the new one comes first, the old one
// drains and goes.
func (i *injector) release() {
	t := i.take(true)
	i.planned("release")
	i.replace(t)
	i.world.enter(t, "draining")
	i.mark(Mark{At: time.Now(), Target: t.ID})
	go func() {
		time.Sleep(drainTime)
		i.world.store.Delete(platform.KindTargets, t.ID)
	}()
}

func (i *injector) config() {
	i.planned("config")
	i.world.putConfig()
}

// revoke takes the keys of one client account away, for good.
func (i *injector) revoke() {
	const account = "account-3"
	if i.world.revoke(account) {
		i.planned("revoke")
		i.mark(Mark{At: time.Now(), Account: account})
	}
}
