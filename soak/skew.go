package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

const (
	// skewedTargets is the number of targets of each version of a skewed service, skewedEventGap the pause
	// before each event of its streams.
	skewedTargets  = 4
	skewedEventGap = 60 * time.Millisecond
	// skewStart is how long the routers run before the first skew: by then they have known the only version
	// for longer than a stream lasts.
	skewStart = 40 * time.Second
	// skewedBeat is how often targets of skewed services write their entries.
	skewedBeat = 1200 * time.Millisecond
	// skewedStreamPace is the time between the beginnings of two streams, skewedTries the number of requests
	// after which a client gives a stream up.
	skewedStreamPace = 12 * time.Millisecond
	skewedTries      = 6
	// maxStep is the longest time between the first target of a new version and the beginning of a fault.
	maxStep = 600 * time.Millisecond
)

// SkewedStreams counts the streams that clients began while targets of a new software version joined and routers
// were out of step.
type SkewedStreams struct {
	// Skews is the number of services whose versions changed.
	Skews int `json:"skews"`
	// Asked counts the streams that clients asked for, Begun those with an event, Complete those with all.
	Asked    int `json:"asked"`
	Begun    int `json:"begun"`
	Complete int `json:"complete"`
	// TakenUp counts the requests that take a stream up at a router which was out of step in the skew, Refused
	// those of them that it refused, Stranded the streams whose every later request was refused.
	TakenUp  int `json:"taken_up"`
	Refused  int `json:"refused"`
	Stranded int `json:"stranded"`
	// NotBegun counts the requests for new streams that were refused.
	NotBegun int `json:"not_begun"`
	// Plans are the moments drawn for each skew.
	Plans []string `json:"plans,omitempty"`
}

// skewedService returns the name of the service of a skew.
func skewedService(n int) string {
	return fmt.Sprintf("skewed-%d", n)
}

// skewedKind returns the kind of the requests of a skew.
func skewedKind(n int) Kind {
	return Kind{Name: skewedService(n), Path: fmt.Sprintf("/skewed-%d/", n), Stream: true, Resumable: true, MaxRuns: 2}
}

// addSkewedTargets starts the targets of a version of a skewed service.
func (env *environment) addSkewedTargets(n int, version fleet.SoftwareVersion) error {
	for i := range skewedTargets {
		if err := env.addVersionAt("", skewedService(n), domainName(i), version); err != nil {
			return err
		}
	}
	return nil
}

// skewedOf returns the targets of a skewed service.
func (env *environment) skewedOf(n int) []*target {
	return env.targetsOf(skewedService(n))
}

// targetsOf returns the targets of a service that are in the store.
func (env *environment) targetsOf(service string) []*target {
	env.mu.Lock()
	defer env.mu.Unlock()
	var list []*target
	for _, t := range env.active {
		if t.Service == service {
			list = append(list, t)
		}
	}
	return list
}

// beatSkewed keeps the entries of skewed targets moving until ctx ends.
func (env *environment) beatSkewed(ctx context.Context) {
	ticker := time.NewTicker(skewedBeat)
	defer ticker.Stop()
	for sleepUntilTick(ctx, ticker) {
		for n := range env.skewed {
			for _, t := range env.skewedOf(n) {
				if !t.leaves.Load() {
					env.putTarget(t, "ready")
				}
				if !sleep(ctx, skewedBeat/time.Duration(4*env.skewed*skewedTargets)) {
					return
				}
			}
		}
	}
}

// sleepUntilTick waits for the next tick. It returns false if ctx ends before.
func sleepUntilTick(ctx context.Context, ticker *time.Ticker) bool {
	select {
	case <-ctx.Done():
		return false
	case <-ticker.C:
		return true
	}
}

// step is a time in which routers are out of step.
type step struct {
	kind string
	// routers are the indexes of the routers, from and length the time since the beginning of the skew.
	routers      []int
	from, length time.Duration
	// delay is how long messages to them are held up.
	delay time.Duration
}

// stepKinds are the ways of being out of step: cut off from the store and the others, silently or with resets; hearing
// nobody, or heard by nobody; without the store alone, or without the others; with messages held up, also before a cut;
// stopped; and cut off, or without the store, with all of the failure domain.
var stepKinds = []string{"cut", "cut-refused", "deaf", "mute", "store-silent", "peers", "delayed", "delayed-cut", "stopped", "domain-cut", "domain-store"}

// skew is one change of the versions of a service, by drawn moments since its beginning.
type skew struct {
	// n is the number of the service, routers that of the routers.
	n, routers int
	steps      []step
	// join is when the targets of the second version join, within spread. third is when those of a third one do, oldest
	// when those of the first one begin to leave; zero if they do not.
	join, spread, third, oldest time.Duration
	// length is the time for which clients begin streams.
	length time.Duration
}

// drawSkew draws the moments of a skew.
func drawSkew(random *rand.Rand, n, routers int) skew {
	within := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	s := skew{n: n, join: maxStep + 100*time.Millisecond, routers: routers, spread: 30 * time.Millisecond}
	if random.IntN(3) == 0 {
		s.spread = 400 * time.Millisecond
	}
	for range 1 + random.IntN(2) {
		st := step{kind: stepKinds[random.IntN(len(stepKinds))], routers: []int{random.IntN(routers)}}
		if strings.HasPrefix(st.kind, "delayed") {
			st.delay = 200*time.Millisecond + within(3*time.Second)
		}
		st.from = s.join - maxStep + within(2*maxStep)
		st.length = 200*time.Millisecond + within(1300*time.Millisecond)
		if random.IntN(2) == 0 {
			st.length = 1500*time.Millisecond + within(6*time.Second)
		}
		if strings.HasPrefix(st.kind, "domain") {
			st.routers = sameDomain(st.routers[0], routers)
		}
		s.steps = append(s.steps, st)
		if random.IntN(4) == 0 {
			// Back for a moment only.
			again := st
			again.kind, again.routers = "stopped", st.routers[:1]
			again.from, again.length = st.from+st.length+within(300*time.Millisecond), 200*time.Millisecond+within(2*time.Second)
			s.steps = append(s.steps, again)
		}
	}
	if random.IntN(3) == 0 {
		s.third = s.join + 300*time.Millisecond + within(3*time.Second)
	}
	if random.IntN(3) == 0 {
		s.oldest = s.join + 500*time.Millisecond + within(3*time.Second)
	}
	for _, st := range s.steps {
		s.length = max(s.length, st.from+st.length+1200*time.Millisecond)
	}
	return s
}

// String returns the moments of the skew.
func (s *skew) String() string {
	text := fmt.Sprintf("%s: v2 at %v within %v", skewedService(s.n), s.join.Round(time.Millisecond), s.spread)
	if s.third > 0 {
		text += fmt.Sprintf(", v3 at %v", s.third.Round(time.Millisecond))
	}
	if s.oldest > 0 {
		text += fmt.Sprintf(", v1 leaves at %v", s.oldest.Round(time.Millisecond))
	}
	for _, st := range s.steps {
		text += fmt.Sprintf("; %s of %v at %v for %v, delay %v", st.kind, st.routers, st.from.Round(time.Millisecond), st.length.Round(time.Millisecond), st.delay.Round(time.Millisecond))
	}
	return text
}

// sameDomain returns the routers of the failure domain of one.
func sameDomain(router, routers int) []int {
	var list []int
	for i := range routers {
		if domainName(i) == domainName(router) {
			list = append(list, i)
		}
	}
	return list
}

// outOfStep returns the routers that are out of step at some time of the skew.
func (s *skew) outOfStep() []int {
	var list []int
	for _, st := range s.steps {
		list = append(list, st.routers...)
	}
	return list
}

// skewVersions changes the versions of one service after the other while routers are out of step.
func (i *injector) skewVersions(ctx context.Context, record func(Request)) SkewedStreams {
	env := i.environment
	counts := &skewCounts{}
	go env.beatSkewed(ctx)
	if !sleep(ctx, skewStart) {
		return counts.result
	}
	for n := range env.skewed {
		if ctx.Err() != nil {
			break
		}
		s := drawSkew(i.random, n, len(env.routers))
		i.play(ctx, &s, counts, record)
		counts.add(func(result *SkewedStreams) {
			result.Skews++
			result.Plans = append(result.Plans, s.String())
		})
		sleep(ctx, time.Second)
	}
	return counts.result
}

// play plays one skew.
func (i *injector) play(ctx context.Context, s *skew, counts *skewCounts, record func(Request)) {
	env := i.environment
	began := time.Now()
	at := func(d time.Duration, f func()) func() {
		return func() {
			if sleep(ctx, d-time.Since(began)) {
				f()
			}
		}
	}
	var all sync.WaitGroup
	all.Go(at(s.join, func() { i.join(ctx, s, "v2") }))
	if s.third > 0 {
		all.Go(at(s.third, func() { i.join(ctx, s, "v3") }))
	}
	if s.oldest > 0 {
		all.Go(at(s.oldest, func() { i.leaveOldest(s) }))
	}
	for _, st := range s.steps {
		all.Go(at(st.from, func() { i.takeOutOfStep(ctx, st) }))
	}
	random := rand.New(rand.NewPCG(i.random.Uint64(), uint64(s.n)))
	for stream := 0; time.Since(began) < s.length && ctx.Err() == nil; stream++ {
		c := &skewedClient{environment: env, random: rand.New(rand.NewPCG(random.Uint64(), uint64(stream))), skew: s, counts: counts, record: record, id: fmt.Sprintf("s%d-%d", s.n, stream)}
		all.Go(func() { c.run(ctx) })
		sleep(ctx, skewedStreamPace)
	}
	all.Wait()
}

// join starts the targets of a version.
func (i *injector) join(ctx context.Context, s *skew, version fleet.SoftwareVersion) {
	i.countPlanned("version")
	for n := range skewedTargets {
		// If a target cannot start, the soak continues without it.
		_ = i.environment.addVersionAt("", skewedService(s.n), domainName(n), version)
		sleep(ctx, s.spread/skewedTargets)
	}
}

// leaveOldest lets the targets of the first version leave.
func (i *injector) leaveOldest(s *skew) {
	i.countPlanned("version-leaves")
	for _, t := range i.environment.skewedOf(s.n) {
		if t.Version == "v1" {
			t.leaves.Store(true)
			i.environment.putTarget(t, "draining")
		}
	}
}

// takeOutOfStep takes routers out of step, and back after a time.
func (i *injector) takeOutOfStep(ctx context.Context, st step) {
	env := i.environment
	set := func(link peerLink, store ProxyMode) {
		for _, r := range st.routers {
			env.peers.setLink(r, link)
			env.routers[r].store.SetMode(store)
		}
	}
	from := time.Now()
	switch st.kind {
	case "cut":
		set(peerLink{side: st.routers[0] + 1}, Stall)
	case "cut-refused":
		set(peerLink{side: st.routers[0] + 1}, Refuse)
	case "deaf":
		set(peerLink{deaf: true}, StallReplies)
	case "mute":
		set(peerLink{mute: true}, StallRequests)
	case "store-silent", "domain-store":
		set(peerLink{}, Stall)
	case "peers":
		set(peerLink{side: st.routers[0] + 1}, Forward)
	case "delayed":
		set(peerLink{delay: st.delay}, Delay)
	case "delayed-cut":
		set(peerLink{delay: st.delay}, Delay)
		sleep(ctx, st.length/2)
		set(peerLink{side: st.routers[0] + 1}, Stall)
		sleep(ctx, st.length/2)
	case "domain-cut":
		set(peerLink{side: st.routers[0] + 1}, Stall)
	case "stopped":
		env.routers[st.routers[0]].signal(syscall.SIGSTOP)
	}
	if st.kind != "delayed-cut" {
		sleep(ctx, st.length)
	}
	if st.kind == "stopped" {
		env.routers[st.routers[0]].signal(syscall.SIGCONT)
	} else {
		set(peerLink{}, Forward)
	}
	for _, r := range st.routers {
		i.recordFault(FaultInterval{Kind: st.kind, From: from, To: time.Now(), Router: env.routers[r].name})
	}
}

// skewCounts counts the streams of skews.
type skewCounts struct {
	mu     sync.Mutex
	result SkewedStreams
}

func (c *skewCounts) add(f func(*SkewedStreams)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.result)
}
