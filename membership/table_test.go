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
	s := newSimulation(6, 1)
	s.run(5 * time.Second)
	s.checkLive(t, s.runningRouters())
	s.paused["router-2"] = true
	s.run(10 * time.Second)
	s.checkLive(t, s.runningRouters())
}

func TestLeavingSpreadsWithinOnePeriod(t *testing.T) {
	s := newSimulation(24, 1)
	s.run(5 * time.Second)
	s.tables["router-7"].Leave(s.now)
	s.step()
	want := s.runningRouters()
	want["router-7"] = false
	s.checkLive(t, want)
}

func TestViewsConvergeAfterPartition(t *testing.T) {
	s := newSimulation(9, 1)
	s.run(5 * time.Second)
	for i, id := range s.ids {
		s.partition[id] = i % 3
	}
	s.run(30 * time.Second)
	for _, id := range s.ids {
		for other := range s.live(id) {
			if s.partition[other] != s.partition[id] {
				t.Fatalf("%s is in the view of %s, which is in another partition", other, id)
			}
		}
	}
	clear(s.partition)
	s.run(40 * time.Second)
	s.checkLive(t, s.runningRouters())
}

func TestPausedRouterRemovesNoOthers(t *testing.T) {
	s := newSimulation(6, 1)
	s.run(5 * time.Second)
	s.paused["router-0"] = true
	s.run(4 * time.Second)
	s.paused["router-0"] = false
	s.step()
	for _, m := range s.tables["router-0"].View().Members {
		if m.State == Removed {
			t.Fatalf("%s in the view of the resumed router: got %s, want any other state", m.Router.ID, m.State)
		}
	}
	s.run(20 * time.Second)
	s.checkLive(t, s.runningRouters())
}

func TestRestartSupersedesOldIncarnation(t *testing.T) {
	s := newSimulation(6, 1)
	s.run(5 * time.Second)
	s.send("router-3", s.tables["router-3"].ShutdownMessages(s.now))
	s.paused["router-3"] = true
	s.run(time.Second)
	if s.live("router-0")["router-3"] {
		t.Fatal("router-3 is still live after it announced its shutdown")
	}
	s.start(3)
	s.run(30 * time.Second)
	s.checkLive(t, s.runningRouters())
}

func TestLeavingVMSpreads(t *testing.T) {
	s := newSimulation(6, 1)
	s.run(5 * time.Second)
	vms := append([]objectapi.VM{{Name: "engine-1", State: fleet.Leaving}}, s.vms...)
	s.tables["router-0"].ApplyVMList(vms, s.now)
	s.step()
	for _, id := range s.ids {
		if !s.tables[id].View().LeavingVMs["engine-1"] {
			t.Fatalf("view of %s lacks the leaving VM engine-1", id)
		}
	}
}

func TestEmptyVMListChangesNothing(t *testing.T) {
	s := newSimulation(3, 1)
	s.tables["router-0"].ApplyVMList(nil, s.now)
	if got := len(s.tables["router-0"].View().Routers); got != 3 {
		t.Fatalf("routers after an empty list: got %d, want 3", got)
	}
}

func TestViewNeverEmptyWhenLastRouterLeaves(t *testing.T) {
	table := NewTable(testRouter(0), testTiming, rand.New(rand.NewPCG(1, 1)), time.UnixMilli(1000))
	table.Leave(time.UnixMilli(2000))
	if got := len(table.View().Routers); got != 1 {
		t.Fatalf("routers: got %d, want 1", got)
	}
}

// A router that announces its leaving during a partition must not become live
// in the views of routers that missed the announcement and only get its
// heartbeats.
func TestLeavingSurvivesPartition(t *testing.T) {
	s := newSimulation(7, 1)
	s.run(2 * time.Second)
	s.partition["router-6"] = 1
	s.run(3 * time.Second)
	s.tables["router-6"].Leave(s.now)
	s.run(time.Second)
	clear(s.partition)
	s.run(30 * time.Second)
	want := s.runningRouters()
	want["router-6"] = false
	s.checkLive(t, want)
}

// While a whole fleet starts, the views and so the rings of the routers differ.
// The heartbeats missing because of that must not cause suspicions.
func TestColdStartCausesNoSuspicion(t *testing.T) {
	s := newSimulation(100, 1)
	for range 40 {
		s.step()
		for _, id := range s.ids {
			for _, m := range s.tables[id].View().Members {
				if m.Router.Incarnation > 0 && m.State != Alive {
					t.Fatalf("%s in the view of %s: got %s, want %s", m.Router.ID, id, m.State, Alive)
				}
			}
		}
	}
}

// A router that lacks several others must get them by a sync even though each
// probe changes its rings and so its predecessors.
func TestRingChangesDoNotDelaySync(t *testing.T) {
	s := newSimulation(60, 1)
	s.run(30 * time.Second)
	table := s.tables["router-0"]
	for i := 10; i < 40; i++ {
		e := *table.entries[testRouter(i).ID]
		e.router.Incarnation = 0
		table.store(&e)
	}
	s.run(10 * time.Second)
	for _, m := range table.View().Members {
		if m.Router.Incarnation == 0 {
			t.Fatalf("%s was not added by a sync", m.Router.ID)
		}
	}
}

// TestViewsConvergeAfterFaults injects random faults. It checks that no view is
// ever empty, and that once the faults end each view holds exactly the running
// routers that are not leaving.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "routers")
		s := newSimulation(n, rapid.Uint64().Draw(t, "seed"))
		leaving := map[fleet.RouterID]bool{}
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			id := s.ids[rapid.IntRange(0, n-1).Draw(t, "router")]
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				s.paused[id] = !s.paused[id]
			case 1:
				s.partition[id] = rapid.IntRange(0, 2).Draw(t, "side")
			case 2:
				s.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
			case 3:
				if !s.paused[id] {
					s.tables[id].Leave(s.now)
					leaving[id] = true
				}
			case 4:
				for i := range n {
					if testRouter(i).ID == id {
						s.start(i)
						delete(leaving, id)
					}
				}
			case 5:
				s.tables[id].ApplyVMList(s.vms, s.now)
			}
			s.run(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
			for _, id := range s.ids {
				if len(s.tables[id].View().Routers) == 0 {
					t.Fatalf("%s has an empty view", id)
				}
			}
		}
		clear(s.partition)
		s.loss = 0
		s.run(90 * time.Second)
		want := s.runningRouters()
		for id := range leaving {
			want[id] = false
		}
		s.checkLive(t, want)
	})
}
