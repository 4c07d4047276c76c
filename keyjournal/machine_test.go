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

var machineSteps = flag.Int("journal.steps", 40, "steps of each run of the journal's state machine")

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
	flag.Parse()
	os.Exit(m.Run())
}

// inBubble runs f in a synctest bubble of its own. A panic, by which rapid ends
// a run early, goes on outside.
func inBubble(t *testing.T, f func()) {
	var thrown any
	synctest.Test(t, func(*testing.T) {
		defer func() { thrown = recover() }()
		f()
	})
	if thrown != nil {
		panic(thrown)
	}
}

// TestMachine runs random calls and faults against the oracle.
func TestMachine(t *testing.T) {
	var sum tally
	rapid.Check(t, func(r *rapid.T) {
		inBubble(t, func() {
			faults, counts := runMachine(r, func(s objectapi.Store) objectapi.Store { return s })
			sum.add(counts)
			for _, fault := range faults {
				r.Error(fault)
			}
		})
	})
	t.Logf("%+v", sum)
}

// TestMachineCatches runs the same machine on journals that are broken on
// purpose; it has to find a fault in each.
func TestMachineCatches(t *testing.T) {
	for name, wrap := range map[string]func(objectapi.Store) objectapi.Store{
		"writes without condition":      func(s objectapi.Store) objectapi.Store { return unconditional{s} },
		"lost answer taken for success": func(s objectapi.Store) objectapi.Store { return trusting{s} },
	} {
		t.Run(name, func(t *testing.T) {
			machine := rapid.Custom(func(r *rapid.T) []string {
				var faults []string
				inBubble(t, func() { faults, _ = runMachine(r, wrap) })
				return faults
			})
			for seed := range 200 {
				if faults := machine.Example(seed); len(faults) > 0 {
					t.Logf("seed %d: %s", seed, faults[0])
					return
				}
			}
			t.Fatal("no fault found")
		})
	}
}

// runMachine draws and makes steps, heals all faults and returns the faults
// that the oracle found, and what was done.
func runMachine(t *rapid.T, wrap func(objectapi.Store) objectapi.Store) ([]string, tally) {
	w := newWorld(wrap)
	defer w.close()
	m := &machine{t: t, world: w, started: time.Now()}
	for range *machineSteps {
		m.step()
	}
	m.heal()
	w.oracle.wait.Wait()
	time.Sleep(10 * time.Second)
	m.lookups()
	m.lives()
	return w.oracle.check(), w.oracle.count(*machineSteps)
}

// machine draws the steps.
type machine struct {
	t       *rapid.T
	world   *world
	started time.Time
	keys    int
}

func (m *machine) step() {
	switch rapid.IntRange(0, 16).Draw(m.t, "action") {
	case 0, 1, 2, 3, 4, 5:
		m.order()
	case 6, 7, 8:
		time.Sleep(time.Duration(rapid.IntRange(1, 50).Draw(m.t, "ms")) * time.Millisecond)
	case 9:
		time.Sleep(time.Duration(rapid.IntRange(1, 5_000).Draw(m.t, "long ms")) * time.Millisecond)
	case 10:
		m.storeFault()
	case 11:
		m.nodeFault()
	case 12:
		m.crash()
	case 13:
		m.view()
	case 14:
		m.heal()
	case 15:
		m.jump()
	case 16:
		m.retention()
	}
}

// order starts a call with one of the last keys or a new one.
func (m *machine) order() {
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
		end:    rapid.SampledFrom([]orderEnd{endRecorded, endRecorded, endRecorded, endUnknown, endAbandoned, endSilent}).Draw(m.t, "end"),
	}
	if rapid.IntRange(0, 9).Draw(m.t, "reuse") == 0 {
		o.body = "another order"
	}
	m.world.start(o)
}

// key returns the key of a number: every second one carries a time, that at
// which the machine started or one some way ahead of it.
func (m *machine) key(number int) string {
	switch number % 4 {
	case 1:
		return uuidV7(m.started, uint64(number))
	case 3:
		ahead := time.Duration(number%20) * time.Second
		return uuidV7(m.started.Add(AheadLimit+ahead-10*time.Second), uint64(number))
	default:
		return fmt.Sprintf("key-%d", number)
	}
}

func uuidV7(at time.Time, tail uint64) string {
	ms := uint64(at.UnixMilli())
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, tail)
}

func (m *machine) storeFault() {
	m.world.objects.UpdateFaults(func(f *standin.Faults) {
		switch rapid.IntRange(0, 4).Draw(m.t, "store fault") {
		case 0:
			f.Outage = !f.Outage
		case 1:
			f.LoseAfter = rapid.IntRange(1, 4).Draw(m.t, "lose after")
		case 2:
			f.LoseBefore = rapid.IntRange(1, 4).Draw(m.t, "lose before")
		case 3:
			f.SlowMS = int64(rapid.SampledFrom([]int{0, 50, 3_000}).Draw(m.t, "slow"))
		case 4:
			f.DelayMS = int64(rapid.SampledFrom([]int{0, 50, 3_000}).Draw(m.t, "delay"))
		}
	})
}

func (m *machine) nodeFault() {
	n := m.world.nodes[rapid.IntRange(0, routerCount-1).Draw(m.t, "node")]
	n.faults.set(func(f *faultSet) {
		switch rapid.IntRange(0, 3).Draw(m.t, "node fault") {
		case 0:
			f.cut = !f.cut
		case 1:
			f.apart = !f.apart
		case 2:
			f.late = time.Duration(rapid.SampledFrom([]int{5, 500, 5_000}).Draw(m.t, "late")) * time.Millisecond
			f.lateCount = rapid.IntRange(1, 3).Draw(m.t, "late count")
		case 3:
			f.lostCalls = rapid.IntRange(1, 3).Draw(m.t, "lost calls")
		}
	})
}

func (m *machine) crash() {
	n := m.world.nodes[rapid.IntRange(0, routerCount-1).Draw(m.t, "crashed")]
	n.crash()
	n.start(time.Duration(rapid.IntRange(-20, 20).Draw(m.t, "skew")) * time.Second)
}

// view gives a router a view of its own of the members.
func (m *machine) view() {
	router := rapid.IntRange(0, routerCount-1).Draw(m.t, "viewer")
	view := rapid.SliceOfDistinct(rapid.IntRange(0, routerCount-1), rapid.ID[int]).Draw(m.t, "view")
	m.world.setView(router, view)
}

func (m *machine) heal() {
	m.world.objects.SetFaults(standin.Faults{})
	for i, n := range m.world.nodes {
		n.faults.set(func(f *faultSet) { *f = faultSet{} })
		m.world.setView(i, []int{0, 1, 2, 3})
	}
}

// retention changes the settings.
func (m *machine) retention() {
	factor := rapid.IntRange(1, 3).Draw(m.t, "retention")
	m.world.oracle.mu.Lock()
	defer m.world.oracle.mu.Unlock()
	m.world.values.RetentionMS = settings.Millis(factor * int(testRetention.Milliseconds()))
}

// jump goes past the retention, so that keys expire.
func (m *machine) jump() {
	if rapid.IntRange(0, 3).Draw(m.t, "jump") == 0 {
		time.Sleep(testRetention + 3*SkewLimit + BucketLength)
	}
}

// lives makes a new call on each router, which has to complete.
func (m *machine) lives() {
	for i := range routerCount {
		key := uuidV7(time.Now(), uint64(m.keys+1+i))
		m.world.start(order{key: key, body: "order", router: i})
		m.world.oracle.wait.Wait()
		m.world.oracle.mu.Lock()
		if told := m.world.oracle.tellings[len(m.world.oracle.tellings)-1]; told.state != StateCompleted {
			m.world.oracle.fault("key %s without any fault was told %+v", key, told)
		}
		m.world.oracle.mu.Unlock()
	}
}

// lookups reads every key that ran: it must be known, or have expired.
func (m *machine) lookups() {
	log := m.world.nodes[0].log.Load()
	for number := 1; number <= m.keys; number++ {
		key := m.key(number)
		record, err := log.Lookup(context.Background(), testAccount, key)
		m.world.oracle.mu.Lock()
		if len(m.world.oracle.ran[key]) > 0 && err != nil && !errors.Is(err, ErrExpired) {
			m.world.oracle.fault("key %s ran and its lookup says %v", key, err)
		}
		if len(m.world.oracle.ran[key]) == 0 && record.State == StateCompleted {
			m.world.oracle.fault("key %s did not run and its lookup says %v", key, record.State)
		}
		m.world.oracle.mu.Unlock()
	}
}
