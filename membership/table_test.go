package membership

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/objectapi"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	os.Exit(m.Run())
}

func TestCrashedRouterIsRemoved(t *testing.T) {
	b := newBench(6, 1)
	b.run(5 * time.Second)
	b.wantLive(t, b.allLive())
	b.paused["router-2"] = true
	b.run(10 * time.Second)
	b.wantLive(t, b.allLive())
}

func TestLeavingIsKnownWithinOneStep(t *testing.T) {
	b := newBench(24, 1)
	b.run(5 * time.Second)
	b.tables["router-7"].Leave(b.now)
	b.step()
	want := b.allLive()
	want["router-7"] = false
	b.wantLive(t, want)
}

func TestPartitionHealsWithoutOperator(t *testing.T) {
	b := newBench(9, 1)
	b.run(5 * time.Second)
	for i, id := range b.ids {
		b.side[id] = i % 3
	}
	b.run(30 * time.Second)
	for _, id := range b.ids {
		for other := range b.live(id) {
			if b.side[other] != b.side[id] {
				t.Fatalf("%s still holds %s of the other side", id, other)
			}
		}
	}
	clear(b.side)
	b.run(40 * time.Second)
	b.wantLive(t, b.allLive())
}

func TestPausedRouterBlamesNobody(t *testing.T) {
	b := newBench(6, 1)
	b.run(5 * time.Second)
	b.paused["router-0"] = true
	b.run(4 * time.Second)
	b.paused["router-0"] = false
	b.step()
	for _, m := range b.tables["router-0"].View().All {
		if m.State == Gone {
			t.Fatalf("removed %s right after its own pause", m.Router.ID)
		}
	}
	b.run(20 * time.Second)
	b.wantLive(t, b.allLive())
}

func TestRestartSupersedesEarlierLife(t *testing.T) {
	b := newBench(6, 1)
	b.run(5 * time.Second)
	b.post("router-3", b.tables["router-3"].Farewell(b.now))
	b.paused["router-3"] = true
	b.run(time.Second)
	if b.live("router-0")["router-3"] {
		t.Fatal("router-3 is held as live after its farewell")
	}
	b.start(3)
	b.run(30 * time.Second)
	b.wantLive(t, b.allLive())
}

func TestLeavingVMSpreads(t *testing.T) {
	b := newBench(6, 1)
	b.run(5 * time.Second)
	vms := append([]objectapi.VM{{Name: "engine-1", State: fleet.Leaving}}, b.vms...)
	b.tables["router-0"].ApplyVMList(vms, b.now)
	b.step()
	for _, id := range b.ids {
		if !b.tables[id].View().LeavingVMs["engine-1"] {
			t.Fatalf("%s does not know of the leaving VM", id)
		}
	}
}

func TestEmptyVMListChangesNothing(t *testing.T) {
	b := newBench(3, 1)
	b.tables["router-0"].ApplyVMList(nil, b.now)
	if got := len(b.tables["router-0"].View().Routers); got != 3 {
		t.Fatalf("routers after an empty list: got %d, want 3", got)
	}
}

func TestLastRouterKeepsItself(t *testing.T) {
	table := NewTable(record(0), testTiming, rand.New(rand.NewPCG(1, 1)), time.UnixMilli(1000))
	table.Leave(time.UnixMilli(2000))
	if got := len(table.View().Routers); got != 1 {
		t.Fatalf("routers: got %d, want 1", got)
	}
}

// TestHeartbeatKeepsLeaving: a router that announced its leaving during a
// partition is not taken for live by those that only hear its heartbeats.
func TestHeartbeatKeepsLeaving(t *testing.T) {
	b := newBench(7, 1)
	b.run(2 * time.Second)
	b.side["router-6"] = 1
	b.run(3 * time.Second)
	b.tables["router-6"].Leave(b.now)
	b.run(time.Second)
	clear(b.side)
	b.run(30 * time.Second)
	want := b.allLive()
	want["router-6"] = false
	b.wantLive(t, want)
}

// TestColdStartSuspectsNobody: views that differ while a whole fleet starts
// are no ground for suspicion.
func TestColdStartSuspectsNobody(t *testing.T) {
	b := newBench(100, 1)
	for range 40 {
		b.step()
		for _, id := range b.ids {
			for _, m := range b.tables[id].View().All {
				if m.Router.Incarnation > 0 && m.State != Alive {
					t.Fatalf("%s holds %s as %s", id, m.Router.ID, m.State)
				}
			}
		}
	}
}

// TestChangingRingsDoNotPutOffSync: a router that misses several others learns
// of them by an exchange of tables although each probe changes its rings.
func TestChangingRingsDoNotPutOffSync(t *testing.T) {
	b := newBench(60, 1)
	b.run(30 * time.Second)
	table := b.tables["router-0"]
	for i := 10; i < 40; i++ {
		e := *table.entries[record(i).ID]
		e.router.Incarnation = 0
		table.put(&e)
	}
	b.run(10 * time.Second)
	for _, m := range table.View().All {
		if m.Router.Incarnation == 0 {
			t.Fatalf("%s is still not known", m.Router.ID)
		}
	}
}

// TestViewsConvergeAfterFaults drives random faults and checks, against the
// set of running routers as the oracle, that no view is ever empty, that no
// running router is forgotten for good, and that views agree once the faults
// end.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "routers")
		b := newBench(n, rapid.Uint64().Draw(t, "seed"))
		leaving := map[fleet.RouterID]bool{}
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			id := b.ids[rapid.IntRange(0, n-1).Draw(t, "router")]
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				b.paused[id] = !b.paused[id]
			case 1:
				b.side[id] = rapid.IntRange(0, 2).Draw(t, "side")
			case 2:
				b.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
			case 3:
				if !b.paused[id] {
					b.tables[id].Leave(b.now)
					leaving[id] = true
				}
			case 4:
				for i := range n {
					if record(i).ID == id {
						b.start(i)
						delete(leaving, id)
					}
				}
			case 5:
				b.tables[id].ApplyVMList(b.vms, b.now)
			}
			b.run(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
			for _, id := range b.ids {
				if len(b.tables[id].View().Routers) == 0 {
					t.Fatalf("%s has an empty view", id)
				}
			}
		}
		clear(b.side)
		b.loss = 0
		b.run(90 * time.Second)
		want := b.allLive()
		for id := range leaving {
			want[id] = false
		}
		b.wantLive(t, want)
	})
}
