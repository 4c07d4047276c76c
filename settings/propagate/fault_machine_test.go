package propagate

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/standin"
)

func TestMain(m *testing.M) {
	// The task library starts two goroutines for the process.
	before := goleak.IgnoreCurrent()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.steps", "60")
	flag.Parse()
	code := m.Run()
	if err := goleak.Find(before); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// machine is a fleet under faults; rapid calls its methods in any order.
type machine struct {
	t       *rapid.T
	tb      testing.TB
	ctx     context.Context
	net     *network
	objects *standin.Objects
	oracle  *oracle
	routers []fleet.Router
	nodes   []*node
	intN    func(int) int
	writes  int
	// page bounds the pages of all routers in bytes.
	page int
}

func newMachine(t *rapid.T, tb testing.TB) *machine {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	m := &machine{
		t: t, tb: tb, ctx: context.Background(), net: newNetwork(),
		objects: standin.NewObjects(standin.ObjectsConfig{}),
		routers: testRouters(4, "a", "b"), intN: random.IntN,
	}
	m.oracle = newOracle(m.objects)
	m.page = rapid.SampledFrom([]int{1, 200, defaultPageBytes}).Draw(t, "page bytes")
	for range 3 {
		m.write(false)
	}
	for _, r := range m.routers {
		n := m.net.boot(tb, r, m.objects, m.members, m.intN, m.page)
		m.nodes = append(m.nodes, n)
		m.tryLoad(n)
	}
	return m
}

func (m *machine) members() []fleet.Router {
	return append([]fleet.Router(nil), m.routers...)
}

func (m *machine) close() {
	for _, n := range m.nodes {
		n.stop()
	}
}

func (m *machine) node() *node {
	return m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(m.t, "router")]
}

func (m *machine) tryLoad(n *node) {
	if n.loaded.Load() || n.loadOnce(m.ctx) != nil {
		return
	}
	if err := n.markReady(m.ctx); err != nil {
		m.t.Fatal(err)
	}
}

// write changes, creates or deletes one of a few accounts, as a racing operator
// who may hold an old version.
func (m *machine) write(stale bool) {
	m.writes++
	name := fmt.Sprintf("account-%d", rapid.IntRange(0, 3).Draw(m.t, "account"))
	version := m.current(name)
	if stale && version > 0 {
		version--
	}
	if version > 0 && rapid.IntRange(0, 3).Draw(m.t, "delete") == 0 {
		_, _ = m.objects.Delete(m.ctx, settings.KindAccounts, name, version)
		return
	}
	data := fmt.Appendf(nil, `{"key_hashes":[],"settings":{"limits":{"burst":%d}}}`, m.writes)
	_, _ = m.objects.Put(m.ctx, settings.KindAccounts, name, data, version)
}

func (m *machine) current(name string) uint64 {
	if err := m.oracle.update(); err != nil {
		m.t.Fatal(err)
	}
	last := m.oracle.lastBy(ID{settings.KindAccounts, name}, m.oracle.read)
	if last.Deleted {
		return 0
	}
	return last.Object.Version
}

func (m *machine) check(t *rapid.T) {
	if err := m.oracle.update(); err != nil {
		t.Fatal(err)
	}
	for _, n := range m.nodes {
		if err := m.oracle.check(n); err != nil {
			t.Fatal(err)
		}
	}
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":                           m.check,
		"change":                     func(t *rapid.T) { m.write(false) },
		"change from an old version": func(t *rapid.T) { m.write(true) },
		"lose the next write's answer": func(t *rapid.T) {
			m.objects.UpdateFaults(func(f *standin.Faults) { f.LoseAfter = 1 })
		},
		"outage": func(t *rapid.T) {
			on := rapid.Bool().Draw(t, "on")
			m.objects.UpdateFaults(func(f *standin.Faults) { f.Outage = on })
		},
		"forget the platform's log": func(t *rapid.T) {
			if m.oracle.update() == nil {
				m.objects.Compact()
			}
		},
		"cut a router off from the platform": func(t *rapid.T) {
			n := m.node()
			n.store.cut = rapid.Bool().Draw(t, "cut")
		},
		"replay an old page of the platform": func(t *rapid.T) { m.node().store.replay = true },
		"replay an old push":                 m.replayPush,
		"partition": func(t *rapid.T) {
			cut := rapid.Bool().Draw(t, "cut")
			m.net.cut[[2]fleet.DomainName{"a", "b"}] = cut
			m.net.cut[[2]fleet.DomainName{"b", "a"}] = cut
		},
		"lose a call": func(t *rapid.T) {
			how := rapid.SampledFrom([]loss{loseRequest, loseAnswer}).Draw(t, "how")
			m.net.next[m.node().self.PeerAddr] = how
		},
		"watch":   func(t *rapid.T) { m.watch(m.node()) },
		"push":    func(t *rapid.T) { m.node().drain(m.ctx) },
		"digest":  m.digest,
		"list":    m.listWhileChanging,
		"restart": func(t *rapid.T) { m.restart(rapid.IntRange(0, len(m.nodes)-1).Draw(t, "router")) },
		"restart a failure domain": func(t *rapid.T) {
			for i := range 4 {
				m.restart(i)
			}
		},
	}
}

func (m *machine) watch(n *node) {
	m.tryLoad(n)
	if n.loaded.Load() {
		_ = n.watchOnce(m.ctx, 0)
	}
}

func (m *machine) digest(t *rapid.T) {
	n := m.node()
	m.tryLoad(n)
	if to, ok := n.pick(); ok && n.loaded.Load() {
		_ = n.exchange(m.ctx, to)
	}
}

func (m *machine) replayPush(t *rapid.T) {
	if len(m.net.recorded) == 0 {
		return
	}
	payload := rapid.SampledFrom(m.net.recorded).Draw(t, "push")
	_, _ = m.node().handlePush(m.ctx, "replayed", payload)
}

// listWhileChanging lists with a change between two kinds.
func (m *machine) listWhileChanging(t *rapid.T) {
	n := m.node()
	at := rapid.IntRange(1, 6).Draw(t, "at")
	n.store.beforeList = func() {
		if at--; at == 0 {
			m.write(false)
		}
	}
	_ = n.list(m.ctx)
	n.store.beforeList = nil
}

// restart replaces a router by an empty one.
func (m *machine) restart(i int) {
	m.nodes[i].stop()
	delete(m.oracle.seen, m.nodes[i])
	m.nodes[i] = m.net.boot(m.tb, m.routers[i], m.objects, m.members, m.intN, m.page)
}

// heal ends all faults and lets every router take its usual steps.
func (m *machine) heal() {
	m.objects.SetFaults(standin.Faults{})
	clear(m.net.cut)
	clear(m.net.next)
	for _, n := range m.nodes {
		n.store.cut, n.store.replay = false, false
	}
	for range 3 {
		for _, n := range m.nodes {
			m.tryLoad(n)
			if n.watching() {
				m.watch(n)
			}
			n.drain(m.ctx)
		}
	}
	m.exchangeAll()
}

func (m *machine) exchangeAll() {
	for _, n := range m.nodes {
		for _, to := range m.routers {
			if to.ID != n.self.ID {
				_ = n.exchange(m.ctx, to)
			}
		}
	}
}

// TestHistories drives a fleet through racing operators, lost answers, outages,
// restarts, partitions and old pages: nothing in force goes back, nothing
// refused is in force, and after healing everything accepted is.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(rt, t)
		defer m.close()
		rt.Repeat(m.actions())
		m.heal()
		m.check(rt)
		for _, n := range m.nodes {
			if err := m.oracle.agrees(n); err != nil {
				rt.Fatal(err)
			}
		}
	})
}
