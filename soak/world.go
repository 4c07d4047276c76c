package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
	"ragwortpond.example/ragwortpond/settings"
)

// Sizes of the world.
const (
	domains    = 3
	engines    = 6
	plains     = 3
	streamSize = 12
	eventGap   = 8 * time.Millisecond
	plainWork  = 5 * time.Millisecond
	host       = "soak.example"
	engineName = "chat"
	plainName  = "orders"
	// routeTimeout, objective and pauseAim are those of all routes.
	routeTimeout = 3 * time.Second
	objective    = 200 * time.Millisecond
	pauseAim     = 100 * time.Millisecond
)

// repeats are the terms of the whole fleet.
var repeats = settings.Repeats{Ratio: 0.2, Extra: 58, WindowS: 10}

// The kinds of request.
var kinds = []Kind{
	{Name: "order", Path: "/order/", Once: true, MaxRuns: 1},
	{Name: "lookup", Path: "/lookup/", MaxRuns: 2},
	{Name: "chat", Path: "/chat/", Once: true, Stream: true, MaxRuns: 1},
	{Name: "dossier", Path: "/dossier/", Stream: true, Resumable: true, MaxRuns: 2},
}

// router is one router process.
type router struct {
	name    string
	address string
	file    string
	log     *os.File
	store   *Proxy
	mu      sync.Mutex
	process *os.Process
	// gone is closed when the process has ended.
	gone chan struct{}
	// starts counts the processes so far.
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
	// bad is the act that a share of the requests meet.
	bad   standin.Act
	share float64
}

// world is all that a soak runs.
type world struct {
	dir     string
	program string
	store   *standin.Store
	routers []*router
	// serving are the targets in the store, past those that were replaced.
	mu      sync.Mutex
	serving []*target
	past    []*target
	// accounts are the client accounts with a key each, revoked those whose keys are
	// in no configuration any more.
	accounts map[string]string
	revoked  map[string]bool
	version  int
	made     int
}

// newWorld starts stand-ins and routers.
func newWorld(dir, program string, routers int) (*world, error) {
	w := &world{dir: dir, program: program, accounts: map[string]string{}, revoked: map[string]bool{}}
	for i := range 4 {
		w.accounts[fmt.Sprintf("account-%d", i)] = fmt.Sprintf("key-%d", i)
	}
	var err error
	if w.store, err = standin.StartStore(""); err != nil {
		return nil, err
	}
	for i := range engines + plains {
		if err := w.addTarget(i >= engines, i%domains); err != nil {
			return w, err
		}
	}
	w.putConfig()
	for i := range routers {
		r, err := w.newRouter(i)
		if err != nil {
			return w, err
		}
		w.routers = append(w.routers, r)
		if err := w.startRouter(r); err != nil {
			return w, err
		}
	}
	return w, nil
}

func domainName(i int) string {
	return fmt.Sprintf("domain-%d", i%domains)
}

// addTarget starts a target behind a proxy of its own and enters it in the store.
func (w *world) addTarget(plain bool, domain int) error {
	w.mu.Lock()
	w.made++
	t := &target{Target: &standin.Target{ID: fmt.Sprintf("t-%d", w.made), Service: engineName, Zone: domainName(domain)}}
	w.mu.Unlock()
	t.Events, t.Gap = streamSize, eventGap
	if plain {
		t.Service, t.Events, t.Work = plainName, 0, plainWork
	}
	t.Decide = t.decide
	if err := t.Start(""); err != nil {
		return err
	}
	var err error
	if t.proxy, err = StartProxy(t.Addr()); err != nil {
		return err
	}
	w.mu.Lock()
	w.serving = append(w.serving, t)
	w.mu.Unlock()
	w.enter(t, "ready")
	return nil
}

// enter writes a target's entry; routers reach it through its proxy.
func (w *world) enter(t *target, state string) {
	w.store.Put(platform.KindTargets, t.ID, t.EntryAt(state, t.proxy.Addr()))
}

func (t *target) decide(*http.Request) standin.Act {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rand.Float64() < t.share {
		return t.bad
	}
	return standin.Serve
}

func (t *target) misbehave(act standin.Act, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bad, t.share = act, share
}

// putConfig writes the next version of the configuration.
func (w *world) putConfig() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + w.version%3
	c := standin.Config{Version: w.version, Engines: []string{engineName}, Plain: []string{plainName}, Keys: map[string]string{}}
	for name, key := range w.accounts {
		if !w.revoked[name] {
			c.Keys[name] = key
		}
	}
	for _, k := range kinds {
		route := standin.Route{
			Name: k.Name, Host: host, Prefix: k.Path, Service: plainName, Repeatable: !k.Once, Stream: k.Stream,
			Resumable: k.Resumable, MaxTargets: k.MaxRuns, Timeout: routeTimeout, Objective: objective, Pause: pauseAim,
		}
		if k.Stream {
			route.Service = engineName
		}
		c.Routes = append(c.Routes, route)
	}
	for i := range w.version * 5 % 60 {
		c.Routes = append(c.Routes, standin.Route{
			Name: fmt.Sprintf("spare-%d", i), Host: host, Prefix: fmt.Sprintf("/spare-%d/", i), Service: plainName, Repeatable: true, MaxTargets: 1,
		})
	}
	w.store.Put(platform.KindConfig, platform.ConfigName, c.Spec())
}

// revoke takes the keys of a client account away; false if it has none any more.
func (w *world) revoke(account string) bool {
	w.mu.Lock()
	news := !w.revoked[account]
	w.revoked[account] = true
	w.mu.Unlock()
	if news {
		w.putConfig()
	}
	return news
}

// newRouter writes the settings of a router; each has an address of its own and
// a proxy on its way to the store.
func (w *world) newRouter(i int) (*router, error) {
	r := &router{name: fmt.Sprintf("router-%d", i), address: fmt.Sprintf("127.0.90.%d", i+1)}
	var err error
	if r.store, err = StartProxy(w.store.Addr()); err != nil {
		return nil, err
	}
	if r.log, err = os.Create(filepath.Join(w.dir, r.name+".log")); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	start := settings.Node{
		ID: fleet.RouterID(r.name), Domain: fleet.DomainName(domainName(i)), ClientAddr: r.clientAddr(), ReadyAddr: r.address + ":18802", PeerAddr: r.address + ":18803",
		MetricsAddr: r.address + ":18804", StoreAddr: r.store.Addr(), Seeds: []string{"127.0.90.1:18803", "127.0.90.2:18803"},
		MemoryMB: 284, Cores: 0.4, LinkMbps: 1000, GraceS: 8,
		Repeats: repeats,
	}
	data, err := json.Marshal(start)
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	r.file = filepath.Join(w.dir, r.name+".json")
	return r, os.WriteFile(r.file, data, 0o600)
}

// startRouter starts a router's first process.
func (w *world) startRouter(r *router) error {
	return w.restartRouter(r, nil)
}

// restartRouter starts the process that follows the one whose end is gone, unless
// another lane of faults has done so.
func (w *world) restartRouter(r *router, ended <-chan struct{}) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ended != nil && ended != (<-chan struct{})(r.gone) {
		return nil
	}
	command := exec.Command(w.program, "run", "--config", r.file)
	command.Stdout, command.Stderr = r.log, r.log
	if err := command.Start(); err != nil {
		return fmt.Errorf("soak: start %s: %w", r.name, err)
	}
	gone := make(chan struct{})
	r.process, r.gone = command.Process, gone
	r.starts++
	go func() {
		// How it ended shows in its log; what matters is that it has.
		_ = command.Wait()
		close(gone)
	}()
	return nil
}

// signal sends a signal to a router's process, by its id, and returns the channel
// that is closed when that process has ended.
func (r *router) signal(s syscall.Signal) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process != nil {
		// A process that has just ended needs no signal.
		_ = r.process.Signal(s)
	}
	return r.gone
}

// ended returns a channel that is closed when the router's process has ended.
func (r *router) ended() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gone
}

// close ends all that the world started.
func (w *world) close() {
	for _, r := range w.routers {
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
		<-r.ended()
		r.store.Close()
		_ = r.log.Close()
	}
	for _, t := range append(w.serving, w.past...) {
		t.proxy.Close()
		t.Close()
	}
	w.store.Close()
}
