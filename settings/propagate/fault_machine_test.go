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
	// The task library starts two goroutines that live as long as the process.
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

// faultMachine is a fleet with injected faults. rapid calls its actions in
// random order.
type faultMachine struct {
	t       *rapid.T
	tb      testing.TB
	ctx     context.Context
	net     *network
	objects *standin.Objects
	oracle  *oracle
	routers []fleet.Router
	nodes   []*testNode
	intN    func(int) int
	writes  int
	// pageBytes is the page size of all routers.
	pageBytes int
}

func newFaultMachine(t *rapid.T, tb testing.TB) *faultMachine {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	m := &faultMachine{
		t: t, tb: tb, ctx: context.Background(), net: newNetwork(),
		objects: standin.NewObjects(standin.ObjectsConfig{}),
		routers: testRouters(4, "a", "b"), intN: random.IntN,
	}
	m.oracle = newOracle(m.objects)
	m.pageBytes = rapid.SampledFrom([]int{1, 200, defaultPageBytes}).Draw(t, "page bytes")
	for range 3 {
		m.write(false)
	}
	for _, r := range m.routers {
		n := m.net.startNode(tb, r, m.objects, m.members, m.intN, m.pageBytes)
		m.nodes = append(m.nodes, n)
		m.tryLoad(n)
	}
	return m
}

func (m *faultMachine) members() []fleet.Router {
	return append([]fleet.Router(nil), m.routers...)
}

func (m *faultMachine) close() {
	for _, n := range m.nodes {
		n.stop()
	}
}

func (m *faultMachine) randomNode() *testNode {
	return m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(m.t, "router")]
}

func (m *faultMachine) tryLoad(n *testNode) {
	if n.loaded.Load() || n.loadOnce(m.ctx) != nil {
		return
	}
	if err := n.markReady(m.ctx); err != nil {
		m.t.Fatal(err)
	}
}

// write creates, changes or deletes one of a few client accounts. If stale is
// set, it passes an old version, as one of several concurrent operators might.
func (m *faultMachine) write(stale bool) {
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

func (m *faultMachine) current(name string) uint64 {
	if err := m.oracle.update(); err != nil {
		m.t.Fatal(err)
	}
	last := m.oracle.lastChangeUpTo(ObjectID{settings.KindAccounts, name}, m.oracle.revision)
	if last.Deleted {
		return 0
	}
	return last.Object.Version
}

func (m *faultMachine) check(t *rapid.T) {
	if err := m.oracle.update(); err != nil {
		t.Fatal(err)
	}
	for _, n := range m.nodes {
		if err := m.oracle.check(n); err != nil {
			t.Fatal(err)
		}
	}
}

func (m *faultMachine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":                           m.check,
		"change":                     func(t *rapid.T) { m.write(false) },
		"change from an old version": func(t *rapid.T) { m.write(true) },
		"lose the next write's answer": func(t *rapid.T) {
			m.objects.UpdateFaults(func(f *standin.Faults) { f.DropResponses = 1 })
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
			n := m.randomNode()
			n.store.unavailable = rapid.Bool().Draw(t, "cut")
		},
		"replay an old page of the platform": func(t *rapid.T) { m.randomNode().store.replay = true },
		"replay an old push":                 m.replayPush,
		"partition": func(t *rapid.T) {
			cut := rapid.Bool().Draw(t, "cut")
			m.net.partitioned[[2]fleet.DomainName{"a", "b"}] = cut
			m.net.partitioned[[2]fleet.DomainName{"b", "a"}] = cut
		},
		"lose a call": func(t *rapid.T) {
			how := rapid.SampledFrom([]loss{loseRequest, loseAnswer}).Draw(t, "how")
			m.net.nextLoss[m.randomNode().self.PeerAddr] = how
		},
		"watch":   func(t *rapid.T) { m.watch(m.randomNode()) },
		"push":    func(t *rapid.T) { m.randomNode().runQueued(m.ctx) },
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

func (m *faultMachine) watch(n *testNode) {
	m.tryLoad(n)
	if n.loaded.Load() {
		_ = n.watchOnce(m.ctx, 0)
	}
}

func (m *faultMachine) digest(t *rapid.T) {
	n := m.randomNode()
	m.tryLoad(n)
	if to, ok := n.pickPeer(); ok && n.loaded.Load() {
		_ = n.exchangeDigests(m.ctx, to)
	}
}

func (m *faultMachine) replayPush(t *rapid.T) {
	if len(m.net.recordedPushes) == 0 {
		return
	}
	payload := rapid.SampledFrom(m.net.recordedPushes).Draw(t, "push")
	_, _ = m.randomNode().handlePush(m.ctx, "replayed", payload)
}

// listWhileChanging lists all kinds on one router and makes a change before one
// of the lists.
func (m *faultMachine) listWhileChanging(t *rapid.T) {
	n := m.randomNode()
	at := rapid.IntRange(1, 6).Draw(t, "at")
	n.store.beforeList = func() {
		if at--; at == 0 {
			m.write(false)
		}
	}
	_ = n.listAll(m.ctx)
	n.store.beforeList = nil
}

// restart replaces a router by one with an empty state.
func (m *faultMachine) restart(i int) {
	m.nodes[i].stop()
	delete(m.oracle.lastShown, m.nodes[i])
	m.nodes[i] = m.net.startNode(m.tb, m.routers[i], m.objects, m.members, m.intN, m.pageBytes)
}

// clearFaults ends all faults and runs the steps of Run on every router, until
// all have exchanged digests.
func (m *faultMachine) clearFaults() {
	m.objects.SetFaults(standin.Faults{})
	clear(m.net.partitioned)
	clear(m.net.nextLoss)
	for _, n := range m.nodes {
		n.store.unavailable, n.store.replay = false, false
	}
	for range 3 {
		for _, n := range m.nodes {
			m.tryLoad(n)
			if n.isWatching() {
				m.watch(n)
			}
			n.runQueued(m.ctx)
		}
	}
	m.exchangeAll()
}

func (m *faultMachine) exchangeAll() {
	for _, n := range m.nodes {
		for _, to := range m.routers {
			if to.ID != n.self.ID {
				_ = n.exchangeDigests(m.ctx, to)
			}
		}
	}
}

// TestRevisionsConvergeAndNeverRevert runs a fleet with concurrent operators,
// lost answers, outages, restarts, partitions and replayed pages. No setting in
// force may revert, no rejected change may come into force, and after the
// faults every accepted change must be in force.
func TestRevisionsConvergeAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newFaultMachine(rt, t)
		defer m.close()
		rt.Repeat(m.actions())
		m.clearFaults()
		m.check(rt)
		for _, n := range m.nodes {
			if err := m.oracle.isCurrent(n); err != nil {
				rt.Fatal(err)
			}
		}
	})
}
