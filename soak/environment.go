package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
	"ragwortpond.example/ragwortpond/settings"
)

// Sizes and names of the environment.
const (
	domainCount     = 3
	engineCount     = 6
	plainCount      = 3
	eventsPerStream = 12
	eventGap        = 8 * time.Millisecond
	plainDelay      = 5 * time.Millisecond
	routeHost       = "soak.example"
	// undelimitedRate is the share of answers that have neither a length nor chunks.
	undelimitedRate = 0.2
	engineName      = "chat"
	plainName       = "orders"
	// routeTimeout, latencyObjective and pauseObjective apply to all routes.
	routeTimeout     = 3 * time.Second
	latencyObjective = 200 * time.Millisecond
	pauseObjective   = 100 * time.Millisecond
)

// repeatLimits limits repeated requests in the whole fleet.
var repeatLimits = settings.RetryBudget{Ratio: 0.2, Extra: 58, WindowSeconds: 10}

// kinds are the kinds of request that clients send.
var kinds = []Kind{
	{Name: "order", Path: "/order/", Once: true, MaxRuns: 1},
	{Name: "lookup", Path: "/lookup/", MaxRuns: 2},
	{Name: "chat", Path: "/chat/", Once: true, Stream: true, MaxRuns: 1},
	{Name: "dossier", Path: "/dossier/", Stream: true, Resumable: true, MaxRuns: 2},
}

// router is one router process.
type router struct {
	name         string
	address      string
	settingsFile string
	// program is the binary of the next process; mu guards it.
	program string
	log     *os.File
	store   *Proxy
	mu      sync.Mutex
	process *os.Process
	// exited is closed when the process has ended.
	exited chan struct{}
	// starts is the number of processes started so far.
	starts int
}

func (r *router) clientAddr() string {
	return r.address + ":18801"
}

// target is one target behind a proxy.
type target struct {
	*standin.Target
	proxy *Proxy
	mu    sync.Mutex
	// misbehavior is the act applied to a fraction misbehaviorRate of the
	// requests.
	misbehavior     standin.Behavior
	misbehaviorRate float64
	// quiet is set while rejections ask for quietTime.
	quiet bool
	// leaves is set once answers say that the target leaves.
	leaves atomic.Bool
	// coldUntil is until when the target is cold.
	coldUntil time.Time
	// limit is the rate limit that the target names, in requests per second; zero if it
	// names none.
	limit int
}

// environment holds the stand-ins and router processes of a soak.
type environment struct {
	dir string
	// program is the binary with which routers start first.
	program string
	network *network
	store   *standin.Store
	routers []*router
	// peers connects the routers; nil if they reach each other directly.
	peers *peerNetwork
	// skewed is the number of services whose targets get new software versions while routers are out of step.
	skewed int
	// active are the targets in the store, replaced those that were replaced.
	// mu guards the fields below.
	mu       sync.Mutex
	active   []*target
	replaced []*target
	// accounts maps client accounts to their keys; revoked marks the accounts
	// whose keys are no longer in the configuration.
	accounts map[string]string
	revoked  map[string]bool
	version  int
	// config is the newest configuration, leaving marks the targets that have said so in the
	// store.
	config      any
	leaving     map[*target]bool
	targetCount int
	// evacuated holds the failure domains that the operator has evacuated; evacuationBound is the routers'
	// bound, zero if there are no evacuations.
	evacuated       map[string]bool
	evacuationBound time.Duration
	// sendPrompts makes clients send prompts on streams. crashingPosition is the
	// place of crashingPart among the shared parts, from one, or zero while no
	// request has it. crashingRequest is set while clients send the request that crashes
	// targets. crashed passes the targets that crashed, by crashes.
	sendPrompts bool
	// crashStyle is what crashed targets do, crashingKind the kind of the request that
	// crashes targets.
	crashStyle   CrashStyle
	crashingKind string
	// cold makes engines bound what cold targets get; new ones are cold then. colds holds the times
	// in which they were.
	cold  bool
	colds []ColdTime
	// slowStreams is set while some streams are slow; slowCount counts the streams since.
	// streamTimeout is the timeout of routes with streams, and of clients beyond it.
	slowStreams   atomic.Bool
	slowCount     atomic.Int64
	streamTimeout time.Duration
	// versions makes engines run two software versions.
	versions         bool
	crashingPosition atomic.Int64
	crashingRequest  atomic.Bool
	crashed          chan *target
	crashes          []Crash
}

// newEnvironment starts stand-ins and routers. After an error the environment may
// be non-nil; the caller closes it then.
func newEnvironment(dir string, o *Options) (*environment, error) {
	env := &environment{dir: dir, program: cmp.Or(o.OldProgram, o.Program), versions: o.Versions, cold: o.Cold, skewed: o.Skews, streamTimeout: routeTimeout, accounts: map[string]string{}, revoked: map[string]bool{}, leaving: map[*target]bool{}, evacuated: map[string]bool{}, crashed: make(chan *target, 1000)}
	for i := range 4 {
		env.accounts[fmt.Sprintf("account-%d", i)] = fmt.Sprintf("key-%d", i)
	}
	if o.Evacuations {
		env.evacuationBound = evacuationBound
	}
	if o.Stops {
		env.streamTimeout = slowStreamTimeout
	}
	var err error
	if env.store, err = standin.StartStore(""); err != nil {
		return nil, err
	}
	if env.network, err = claimNetwork(); err != nil {
		env.store.Close()
		return nil, err
	}
	if env.skewed > 0 {
		if env.peers, err = startPeerNetwork(env.network, o.Routers); err != nil {
			return env, err
		}
	}
	for n := range env.skewed {
		if err := env.addSkewedTargets(n, "v1"); err != nil {
			return env, err
		}
	}
	for i := range engineCount + plainCount {
		if err := env.addTarget(i >= engineCount, i%domainCount); err != nil {
			return env, err
		}
	}
	env.putConfig()
	for i := range o.Routers {
		r, err := env.newRouter(i)
		if err != nil {
			return env, err
		}
		env.routers = append(env.routers, r)
		if err := env.startRouter(r); err != nil {
			return env, err
		}
	}
	return env, nil
}

func domainName(i int) string {
	return fmt.Sprintf("domain-%d", i%domainCount)
}

// addTarget starts a target behind its own proxy and writes its entry to the store.
func (env *environment) addTarget(plain bool, domain int) error {
	service := engineName
	if plain {
		service = plainName
	}
	return env.addTargetAt("", service, domainName(domain))
}

// addTargetAt is like addTarget with the address of the proxy, or "" for a free one.
func (env *environment) addTargetAt(addr, service, zone string) error {
	version := fleet.SoftwareVersion("v1")
	env.mu.Lock()
	if env.versions && env.targetCount%2 == 1 {
		version = "v2"
	}
	env.mu.Unlock()
	return env.addVersionAt(addr, service, zone, version)
}

// addVersionAt is addTargetAt for a software version.
func (env *environment) addVersionAt(addr, service, zone string, version fleet.SoftwareVersion) error {
	env.mu.Lock()
	env.targetCount++
	t := &target{Target: &standin.Target{ID: fmt.Sprintf("t-%d", env.targetCount), Service: service, Zone: zone, Version: string(version)}}
	env.mu.Unlock()
	if service == plainName {
		t.RunTime, t.CrashOn = plainDelay, isCrashingRequest
	} else {
		t.Events, t.EventInterval, t.CrashOn = eventsPerStream, eventGap, crashesEngine
		if service != engineName {
			t.EventInterval = skewedEventGap
		}
		t.SlowInterval, t.Slow = slowEventGap, env.isSlow
		if env.cold {
			t.Cold, t.ColdFall = t.coldFor, coldFall
		}
	}
	t.OnCrash, t.Limit = func() { env.recordCrash(t) }, t.limitText
	t.RetryAfter, t.Leaving = t.retryAfterText, t.leaves.Load
	t.Behave, t.Load = t.chooseAct, t.loadText
	if err := t.Start(""); err != nil {
		return err
	}
	var err error
	if t.proxy, err = StartProxy(addr, t.Addr()); err != nil {
		return err
	}
	env.mu.Lock()
	env.active = append(env.active, t)
	started := len(env.routers) > 0
	env.mu.Unlock()
	if t.Cold != nil && started {
		env.coolDown(t)
		return nil
	}
	env.putTarget(t, "ready")
	return nil
}

// putTarget writes a target's entry to the store, with the address of its proxy.
func (env *environment) putTarget(t *target, state string) {
	env.store.Put(platform.KindTargets, t.ID, t.EntryAt(state, t.proxy.Addr()))
}

func (t *target) chooseAct(*http.Request) standin.Behavior {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case rand.Float64() < t.misbehaviorRate:
		return t.misbehavior
	case rand.Float64() < undelimitedRate:
		return standin.Undelimited
	default:
		return standin.Serve
	}
}

func (t *target) setMisbehavior(act standin.Behavior, misbehaviorRate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.misbehavior, t.misbehaviorRate = act, misbehaviorRate
}

// putConfig writes the next version of the configuration, with a varying number of
// spare routes.
func (env *environment) putConfig() {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.version += 1 + env.version%3
	c := standin.Config{Version: env.version, Engines: []string{engineName}, Plain: []string{plainName}, Keys: map[string]string{}}
	if env.cold {
		c.ColdPerSecond, c.ColdStart = coldPerSecond, coldTime
	}
	for name, key := range env.accounts {
		if !env.revoked[name] {
			c.Keys[name] = key
		}
	}
	for _, k := range kinds {
		route := standin.Route{
			Name: k.Name, Host: routeHost, Prefix: k.Path, Service: plainName, Repeatable: !k.Once, Stream: k.Stream,
			Resumable: k.Resumable, MaxTargets: k.MaxRuns, Timeout: routeTimeout, Objective: latencyObjective, Pause: pauseObjective,
		}
		if k.Stream {
			route.Service, route.Timeout = engineName, env.streamTimeout
		}
		c.Routes = append(c.Routes, route)
	}
	for i := range env.version * 5 % 60 {
		c.Routes = append(c.Routes, standin.Route{
			Name: fmt.Sprintf("spare-%d", i), Host: routeHost, Prefix: fmt.Sprintf("/spare-%d/", i), Service: plainName, Repeatable: true, MaxTargets: 1,
		})
	}
	for n := range env.skewed {
		c.Engines = append(c.Engines, skewedService(n))
		c.Routes = append(c.Routes, standin.Route{
			Name: skewedService(n), Host: routeHost, Prefix: skewedKind(n).Path, Service: skewedService(n), Stream: true, Resumable: true,
			MaxTargets: skewedKind(n).MaxRuns, Timeout: routeTimeout, Objective: latencyObjective, Pause: pauseObjective,
		})
	}
	env.config = c.Spec()
	env.store.Put(platform.KindConfig, platform.ConfigName, env.config)
}

// revoke removes the keys of a client account from the configuration. It returns
// false if they were removed before.
func (env *environment) revoke(account string) bool {
	env.mu.Lock()
	changed := !env.revoked[account]
	env.revoked[account] = true
	env.mu.Unlock()
	if changed {
		env.putConfig()
	}
	return changed
}

// newRouter writes the settings file of a router. Each router has its own address
// and reaches the store through its own proxy.
func (env *environment) newRouter(i int) (*router, error) {
	r := &router{name: fmt.Sprintf("router-%d", i), address: env.network.address(i), program: env.program}
	var err error
	if r.store, err = StartProxy("", env.store.Addr()); err != nil {
		return nil, err
	}
	if r.log, err = os.Create(filepath.Join(env.dir, r.name+".log")); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	node := settings.NodeFile{
		ID: fleet.RouterID(r.name), Domain: fleet.DomainName(domainName(i)), ClientAddr: r.clientAddr(), ReadyAddr: r.address + ":18802", PeerAddr: fmt.Sprintf("%s:%d", r.address, peerPort),
		MetricsAddr: r.address + ":18804", StoreAddr: r.store.Addr(), Seeds: []string{env.seedAddress(0), env.seedAddress(1)},
		MemoryMB: 284, Cores: 0.4, LinkMbps: 1000, GraceSeconds: 8,
		RetryBudget: repeatLimits, EvacuationMillis: float64(env.evacuationBound.Milliseconds()),
	}
	if env.cold {
		node.ColdOver, node.ColdSlack = coldOver, coldSlack
	}
	data, err := json.Marshal(node)
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	r.settingsFile = filepath.Join(env.dir, r.name+".json")
	return r, os.WriteFile(r.settingsFile, data, 0o600)
}

// seedAddress returns the address of a router at which the others look for the fleet.
func (env *environment) seedAddress(router int) string {
	if env.peers != nil {
		return env.network.peerAddress(router)
	}
	return fmt.Sprintf("%s:%d", env.network.address(router), peerPort)
}

// startRouter starts the first process of a router.
func (env *environment) startRouter(r *router) error {
	return env.restartRouter(r, nil)
}

// restartRouter starts a new process for a router whose previous process closed
// ended, unless another lane of faults has already done so.
func (env *environment) restartRouter(r *router, ended <-chan struct{}) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ended != nil && ended != (<-chan struct{})(r.exited) {
		return nil
	}
	command := exec.Command(r.program, "run", "--config", r.settingsFile)
	command.Stdout, command.Stderr = r.log, r.log
	if err := command.Start(); err != nil {
		return fmt.Errorf("soak: start %s: %w", r.name, err)
	}
	exited := make(chan struct{})
	r.process, r.exited = command.Process, exited
	r.starts++
	go func() {
		// The router's log shows how it ended; only the end itself matters here.
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process of a router and returns the channel that is
// closed when that process has ended.
func (r *router) signal(s syscall.Signal) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process != nil {
		// An error means that the process has already ended.
		_ = r.process.Signal(s)
	}
	return r.exited
}

// exitChannel returns a channel that is closed when the current process of the
// router has ended.
func (r *router) exitChannel() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exited
}

// close stops the routers and stand-ins of the environment.
func (env *environment) close() {
	for _, r := range env.routers {
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
		<-r.exitChannel()
		r.store.Close()
		_ = r.log.Close()
	}
	for _, t := range append(env.active, env.replaced...) {
		t.proxy.Close()
		t.Close()
	}
	if env.peers != nil {
		env.peers.close()
	}
	env.store.Close()
	env.network.release()
}
