package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the site tsagaan-us.
const (
	StabilityWindow = 3 * time.Second
	DrainTime       = 2 * time.Second
	ConfigApply     = 2 * time.Second
	MaxStretch      = 5 * time.Second
	Grace           = 8 * time.Second
)

// zones and zoneOfRouter lay out the routers as the site does.
var (
	zones        = []string{"ub-east", "ub-west", "ub-north"}
	zoneOfRouter = []int{0, 0, 0, 1, 1, 2}
)

// Router is one router process and its links.
type Router struct {
	Name, Zone, Front, Ready string

	settings  string
	program   []string
	store     *Link
	log       *os.File
	mu        sync.Mutex
	process   *os.Process
	exited    chan struct{}
	inService atomic.Bool
}

// Fleet is a deployment of routers before a store.
type Fleet struct {
	Routers []*Router
	Hub     *Hub

	dir  string
	stop chan struct{}
	// reservation keeps the fleet's block of the loopback network.
	reservation net.Listener
}

// StartFleet starts the six routers of the site. Each reaches the store and the other routers
// through links of its own.
func StartFleet(store *Store) (*Fleet, error) {
	f := &Fleet{stop: make(chan struct{})}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return f, err
	}
	f.dir = dir
	program, template, err := deployment()
	if err != nil {
		return f, err
	}
	block, err := f.reserveBlock()
	if err != nil {
		return f, err
	}
	port, front, ready := 0, 0, 0
	for _, p := range []*int{&port, &front, &ready} {
		if *p, err = freePort(block); err != nil {
			return f, err
		}
	}
	own, hub := make([]netip.AddrPort, len(zoneOfRouter)), make([]netip.AddrPort, len(zoneOfRouter))
	for i := range own {
		own[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(block), 1, byte(i + 1)}), uint16(port))
		hub[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(block), 2, byte(i + 1)}), uint16(port))
	}
	if f.Hub, err = StartHub(own, hub); err != nil {
		return f, err
	}
	seeds := []string{hub[0].String(), hub[3].String(), hub[5].String()}
	for i := range own {
		link, err := StartLink(net.JoinHostPort(fmt.Sprintf("127.%d.3.%d", block, i+1), "0"), store.Addr())
		if err != nil {
			return f, err
		}
		ip := own[i].Addr().String()
		r := &Router{
			Name: fmt.Sprintf("edge-%d", i+1), Zone: zones[zoneOfRouter[i]], Front: fmt.Sprintf("%s:%d", ip, front), Ready: fmt.Sprintf("%s:%d", ip, ready),
			settings: filepath.Join(dir, fmt.Sprintf("edge-%d.json", i+1)), program: program, store: link,
		}
		f.Routers = append(f.Routers, r)
		if r.log, err = os.Create(filepath.Join(dir, r.Name+".log")); err != nil {
			return f, err
		}
		if err := os.WriteFile(r.settings, []byte(render(template, settingsFields(r, ip, port, seeds, link.Addr()))), 0o600); err != nil {
			return f, err
		}
	}
	for _, r := range f.Routers {
		if err := r.Start(); err != nil {
			return f, err
		}
	}
	for _, r := range f.Routers {
		go r.watchReadiness(f.stop)
	}
	return f, nil
}

// reserveBlock reserves one of the blocks 127.64.0.0/16 to 127.191.0.0/16, so that runs at the
// same time use other addresses.
func (f *Fleet) reserveBlock() (int, error) {
	var err error
	for n := range 128 {
		block := 64 + (os.Getpid()+n)%128
		if f.reservation, err = net.Listen("tcp4", fmt.Sprintf("127.%d.9.1:7340", block)); err == nil {
			return block, nil
		}
	}
	return 0, fmt.Errorf("no free block of the loopback network: %w", err)
}

// freePort returns a port that is free at all addresses of a block.
func freePort(block int) (int, error) {
	for range 50 {
		first, err := net.Listen("tcp4", fmt.Sprintf("127.%d.1.1:0", block))
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		_ = first.Close()
		if portFree(block, port) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no port is free at all addresses of a block")
}

func portFree(block, port int) bool {
	for _, part := range []int{1, 2} {
		for i := range zoneOfRouter {
			addr := fmt.Sprintf("127.%d.%d.%d:%d", block, part, i+1, port)
			tcp, err := net.Listen("tcp4", addr)
			if err != nil {
				return false
			}
			_ = tcp.Close()
			udp, err := net.ListenPacket("udp4", addr)
			if err != nil {
				return false
			}
			_ = udp.Close()
		}
	}
	return true
}

// deployment returns the command and the settings template of the deploy file.
func deployment() (program []string, template string, err error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, "", err
	}
	value := func(key string) string {
		match := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(data)
		if match == nil {
			return ""
		}
		return string(match[1])
	}
	program = strings.Fields(value("run"))
	text, err := os.ReadFile(value("template"))
	if err != nil {
		return nil, "", err
	}
	if len(program) == 0 {
		return nil, "", fmt.Errorf("deploy/system.toml names no program")
	}
	return program, string(text), nil
}

// settingsFields returns the fields that the platform fills into the template, as on the
// machines of the site.
func settingsFields(r *Router, ip string, port int, seeds []string, store string) map[string]any {
	return map[string]any{
		"Node": r.Name, "Zone": r.Zone, "Ip": ip, "InternalPorts.0": port, "Seeds": seeds, "Platform.Address": store,
		"Listen.Front": r.Front, "Listen.Ready": r.Ready,
		"Limits.MemoryMb": 284, "Limits.CpuShare": 0.4, "Limits.LinkMbps": 1000.0,
		"Bounds.GraceS": 8, "Bounds.ConfigApplyMs": 2000, "Bounds.DrainMs": 2000,
		"Bounds.RetryBudgetRatio": 0.2, "Bounds.RetryBudgetExtra": 52, "Bounds.BudgetWindowS": 10,
	}
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#(\w+)\}\}(.*?)\{\{/\w+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills in a settings template as far as the deploy file's one needs it.
func render(template string, fields map[string]any) string {
	out := sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		var items []string
		for _, item := range fields[parts[1]].([]string) {
			quoted, _ := json.Marshal(item)
			items = append(items, strings.NewReplacer("{{.|json}}", string(quoted), "{{,}}", "").Replace(parts[2]))
		}
		return strings.Join(items, ",")
	})
	return valuePattern.ReplaceAllStringFunc(out, func(placeholder string) string {
		parts := valuePattern.FindStringSubmatch(placeholder)
		value := fields[parts[1]]
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		text, _ := json.Marshal(value)
		return string(text)
	})
}

// Start starts the router's process with the command of the deploy file.
func (r *Router) Start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	command := exec.Command(r.program[0], r.program[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "RAGWORTPOND_CONFIG=" + r.settings}
	command.Stdout, command.Stderr = r.log, r.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	r.process, r.exited = command.Process, make(chan struct{})
	go func(exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(r.exited)
	return nil
}

// Signal sends a signal to the router's process and returns a channel that is closed at its
// end.
func (r *Router) Signal(s syscall.Signal) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	// An error means that the process has ended.
	_ = r.process.Signal(s)
	return r.exited
}

// Running reports whether the router's process runs.
func (r *Router) Running() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.exited:
		return false
	default:
		return true
	}
}

// InService reports whether the platform sends new connections to the router.
func (r *Router) InService() bool {
	return r.inService.Load()
}

// watchReadiness asks once a second for the router's readiness, as the platform does. Two
// misses take the router out.
func (r *Router) watchReadiness(stop <-chan struct{}) {
	misses := 2
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		if r.askReady() {
			misses = 0
		} else {
			misses++
		}
		r.inService.Store(misses < 2)
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

func (r *Router) askReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Ready+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	discard(response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until all routers are in service, or returns false.
func (f *Fleet) AwaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, r := range f.Routers {
			if r.InService() {
				ready++
			}
		}
		if ready == len(f.Routers) {
			return true
		}
	}
	return false
}

// SetCut starts or ends a partition of one router from the store and from all other
// routers. Clients and workers still reach it.
func (f *Fleet) SetCut(router int, cut bool) {
	f.Hub.SetCut(router, cut)
	f.Routers[router].store.SetCut(cut)
}

// SetStoreCut starts or ends a partition of one router from the store only.
func (f *Fleet) SetStoreCut(router int, cut bool) {
	f.Routers[router].store.SetCut(cut)
}

// Close ends all router processes and links. keep is a folder that receives the routers'
// logs; empty means none.
func (f *Fleet) Close(keep string) {
	close(f.stop)
	for _, r := range f.Routers {
		<-r.Signal(syscall.SIGKILL)
		if r.log != nil {
			_ = r.log.Close()
		}
		r.store.Close()
	}
	if f.Hub != nil {
		f.Hub.Close()
	}
	if keep != "" {
		for _, r := range f.Routers {
			data, err := os.ReadFile(r.log.Name())
			if err == nil {
				_ = os.WriteFile(filepath.Join(keep, r.Name+".log"), data, 0o600)
			}
		}
	}
	if f.reservation != nil {
		_ = f.reservation.Close()
	}
	if f.dir != "" {
		_ = os.RemoveAll(f.dir)
	}
}
