package keyjournal

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/standin"
)

var stateMachineSteps = flag.Int("journal.steps", 40, "number of steps in each run of the journal's state machine")

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
	flag.Parse()
	os.Exit(m.Run())
}

// inSynctestBubble runs f in a separate synctest bubble. It rethrows a panic of f
// outside the bubble, since rapid ends a run early by a panic.
func inSynctestBubble(t *testing.T, f func()) {
	var recovered any
	synctest.Test(t, func(*testing.T) {
		defer func() { recovered = recover() }()
		f()
	})
	if recovered != nil {
		panic(recovered)
	}
}

// TestStateMachine runs random calls and faults and checks them with the oracle.
func TestStateMachine(t *testing.T) {
	var total runCounts
	rapid.Check(t, func(r *rapid.T) {
		inSynctestBubble(t, func() {
			violations, counts := runStateMachine(r, func(s objectapi.Store) objectapi.Store { return s })
			total.add(counts)
			for _, violation := range violations {
				r.Error(violation)
			}
		})
	})
	t.Logf("%+v", total)
}

// TestStateMachineDetectsBrokenStores guards against a state machine that misses
// faults: with each of these deliberately broken stores, it must find a violation.
func TestStateMachineDetectsBrokenStores(t *testing.T) {
	for name, wrapStore := range map[string]func(objectapi.Store) objectapi.Store{
		"unconditional writes":             func(s objectapi.Store) objectapi.Store { return unconditionalStore{s} },
		"lost response treated as success": func(s objectapi.Store) objectapi.Store { return optimisticStore{s} },
	} {
		t.Run(name, func(t *testing.T) {
			machine := rapid.Custom(func(r *rapid.T) []string {
				var violations []string
				inSynctestBubble(t, func() { violations, _ = runStateMachine(r, wrapStore) })
				return violations
			})
			for seed := range 200 {
				if violations := machine.Example(seed); len(violations) > 0 {
					t.Logf("seed %d: %s", seed, violations[0])
					return
				}
			}
			t.Fatal("got no violation in 200 seeds, want one")
		})
	}
}

// runStateMachine draws and runs the steps, clears all faults, and returns the
// violations that the oracle found and the counts of what happened.
func runStateMachine(t *rapid.T, wrapStore func(objectapi.Store) objectapi.Store) ([]string, runCounts) {
	c := newCluster(wrapStore)
	defer c.close()
	m := &stateMachine{t: t, cluster: c, started: time.Now()}
	for range *stateMachineSteps {
		m.step()
	}
	m.clearFaults()
	c.oracle.wg.Wait()
	time.Sleep(10 * time.Second)
	m.checkLookups()
	m.checkNewOrders()
	return c.oracle.check(), c.oracle.count(*stateMachineSteps)
}

// stateMachine draws and runs the steps on a cluster.
type stateMachine struct {
	t       *rapid.T
	cluster *cluster
	started time.Time
	keys    int
}

func (m *stateMachine) step() {
	switch rapid.IntRange(0, 16).Draw(m.t, "action") {
	case 0, 1, 2, 3, 4, 5:
		m.startOrder()
	case 6, 7, 8:
		time.Sleep(time.Duration(rapid.IntRange(1, 50).Draw(m.t, "ms")) * time.Millisecond)
	case 9:
		time.Sleep(time.Duration(rapid.IntRange(1, 5_000).Draw(m.t, "long ms")) * time.Millisecond)
	case 10:
		m.injectStoreFault()
	case 11:
		m.injectNodeFault()
	case 12:
		m.crashNode()
	case 13:
		m.changeView()
	case 14:
		m.clearFaults()
	case 15:
		m.sleepPastRetention()
	case 16:
		m.changeRetention()
	}
}

// startOrder starts a call with one of the last keys or a new one.
func (m *stateMachine) startOrder() {
	if m.keys == 0 || rapid.IntRange(0, 2).Draw(m.t, "fresh") == 0 {
		m.keys++
	}
	number := max(1, m.keys-rapid.IntRange(0, 2).Draw(m.t, "key"))
	o := order{
		key:    m.key(number),
		body:   "order",
		router: rapid.IntRange(0, routerCount-1).Draw(m.t, "router"),
		pause:  time.Duration(rapid.SampledFrom([]int{0, 0, 0, 20, 4_000}).Draw(m.t, "pause")) * time.Millisecond,
		run:    time.Duration(rapid.SampledFrom([]int{1, 30, 3_000}).Draw(m.t, "run")) * time.Millisecond,
		end:    rapid.SampledFrom([]orderEnd{endRecorded, endRecorded, endRecorded, endUnknown, endAbandoned, endLost}).Draw(m.t, "end"),
	}
	if rapid.IntRange(0, 9).Draw(m.t, "reuse") == 0 {
		o.body = "another order"
	}
	m.cluster.startOrder(o)
}

// key returns the key for a number. Every second key has a timestamp: the start
// of the state machine, or one about MaxKeyAhead after it.
func (m *stateMachine) key(number int) string {
	switch number % 4 {
	case 1:
		return uuidV7(m.started, uint64(number))
	case 3:
		ahead := time.Duration(number%20) * time.Second
		return uuidV7(m.started.Add(MaxKeyAhead+ahead-10*time.Second), uint64(number))
	default:
		return fmt.Sprintf("key-%d", number)
	}
}

func uuidV7(at time.Time, tail uint64) string {
	ms := uint64(at.UnixMilli())
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, tail)
}

func (m *stateMachine) injectStoreFault() {
	m.cluster.objects.UpdateFaults(func(f *standin.Faults) {
		switch rapid.IntRange(0, 4).Draw(m.t, "store fault") {
		case 0:
			f.Outage = !f.Outage
		case 1:
			f.DropResponses = rapid.IntRange(1, 4).Draw(m.t, "lose after")
		case 2:
			f.DropWrites = rapid.IntRange(1, 4).Draw(m.t, "lose before")
		case 3:
			f.ResponseDelayMS = int64(rapid.SampledFrom([]int{0, 50, 3_000}).Draw(m.t, "slow"))
		case 4:
			f.RequestDelayMS = int64(rapid.SampledFrom([]int{0, 50, 3_000}).Draw(m.t, "delay"))
		}
	})
}

func (m *stateMachine) injectNodeFault() {
	n := m.cluster.nodes[rapid.IntRange(0, routerCount-1).Draw(m.t, "node")]
	n.faults.set(func(f *faultSet) {
		switch rapid.IntRange(0, 3).Draw(m.t, "node fault") {
		case 0:
			f.isolated = !f.isolated
		case 1:
			f.peersUnreachable = !f.peersUnreachable
		case 2:
			f.writeDelay = time.Duration(rapid.SampledFrom([]int{5, 500, 5_000}).Draw(m.t, "late")) * time.Millisecond
			f.delayedWrites = rapid.IntRange(1, 3).Draw(m.t, "late count")
		case 3:
			f.lostReplies = rapid.IntRange(1, 3).Draw(m.t, "lost calls")
		}
	})
}

func (m *stateMachine) crashNode() {
	n := m.cluster.nodes[rapid.IntRange(0, routerCount-1).Draw(m.t, "crashed")]
	n.crash()
	n.start(time.Duration(rapid.IntRange(-20, 20).Draw(m.t, "skew")) * time.Second)
}

// changeView gives a router a view of the members that may differ from the
// others'.
func (m *stateMachine) changeView() {
	router := rapid.IntRange(0, routerCount-1).Draw(m.t, "viewer")
	view := rapid.SliceOfDistinct(rapid.IntRange(0, routerCount-1), rapid.ID[int]).Draw(m.t, "view")
	m.cluster.setView(router, view)
}

func (m *stateMachine) clearFaults() {
	m.cluster.objects.SetFaults(standin.Faults{})
	for i, n := range m.cluster.nodes {
		n.faults.set(func(f *faultSet) { *f = faultSet{} })
		m.cluster.setView(i, []int{0, 1, 2, 3})
	}
}

// changeRetention changes the retention in the settings.
func (m *stateMachine) changeRetention() {
	factor := rapid.IntRange(1, 3).Draw(m.t, "retention")
	m.cluster.oracle.mu.Lock()
	defer m.cluster.oracle.mu.Unlock()
	m.cluster.values.RetentionMS = settings.Millis(factor * int(testRetention.Milliseconds()))
}

// sleepPastRetention sometimes sleeps for longer than the retention, so that keys
// expire.
func (m *stateMachine) sleepPastRetention() {
	if rapid.IntRange(0, 3).Draw(m.t, "jump") == 0 {
		time.Sleep(testRetention + 3*MaxClockSkew + BucketDuration)
	}
}

// checkNewOrders makes a call with a new key on each router; it must complete.
func (m *stateMachine) checkNewOrders() {
	for i := range routerCount {
		key := uuidV7(time.Now(), uint64(m.keys+1+i))
		m.cluster.startOrder(order{key: key, body: "order", router: i})
		m.cluster.oracle.wg.Wait()
		m.cluster.oracle.mu.Lock()
		if got := m.cluster.oracle.responses[len(m.cluster.oracle.responses)-1]; got.state != StateCompleted {
			m.cluster.oracle.addViolation("key %s without any fault: got %+v, want state completed", key, got)
		}
		m.cluster.oracle.mu.Unlock()
	}
}

// checkLookups looks up every key. A key that ran must have a record or have
// expired, and a key that did not run must not be completed.
func (m *stateMachine) checkLookups() {
	journal := m.cluster.nodes[0].journal.Load()
	for number := 1; number <= m.keys; number++ {
		key := m.key(number)
		record, err := journal.Lookup(context.Background(), testAccount, key)
		m.cluster.oracle.mu.Lock()
		if len(m.cluster.oracle.ran[key]) > 0 && err != nil && !errors.Is(err, ErrExpired) {
			m.cluster.oracle.addViolation("lookup of key %s, which ran: got %v, want a record or ErrExpired", key, err)
		}
		if len(m.cluster.oracle.ran[key]) == 0 && record.State == StateCompleted {
			m.cluster.oracle.addViolation("lookup of key %s, which did not run: got state %v, want no result", key, record.State)
		}
		m.cluster.oracle.mu.Unlock()
	}
}
