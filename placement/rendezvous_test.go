package placement

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// testTargets returns n targets of one service in three failure domains.
func testTargets(n int) []fleet.Target {
	targets := make([]fleet.Target, n)
	for i := range targets {
		targets[i] = fleet.Target{
			ID:      fleet.TargetID(fmt.Sprintf("engine-%d", i)),
			Service: "chat",
			Domain:  fleet.DomainName(fmt.Sprintf("domain-%d", i%3)),
			Weight:  1,
			State:   fleet.Live,
		}
	}
	return targets
}

func TestOrderIsStableWhenTargetLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := testTargets(rapid.IntRange(2, 20).Draw(t, "n"))
		for i := range targets {
			targets[i].Weight = rapid.Float64Range(0.1, 4).Draw(t, "weight")
		}
		chat := fleet.ChatKey(rapid.Uint64().Draw(t, "chat"))
		gone := rapid.IntRange(0, len(targets)-1).Draw(t, "gone")
		all := Order(nil, chat, targets)
		rest := Order(nil, chat, append(targets[:gone:gone], targets[gone+1:]...))
		next := 0
		for _, c := range all {
			if c.ID == targets[gone].ID {
				continue
			}
			if rest[next].ID != c.ID {
				t.Fatalf("position %d: got %s, want %s", next, rest[next].ID, c.ID)
			}
			next++
		}
	})
}

func TestOrderFollowsWeights(t *testing.T) {
	const chats = 20_000
	targets := testTargets(4)
	targets[0].Weight = 3
	first := map[fleet.TargetID]int{}
	var buf []fleet.Target
	for c := range chats {
		buf = Order(buf[:0], fleet.ChatKey(c), targets)
		first[buf[0].ID]++
	}
	for _, target := range targets {
		want := chats * target.Weight / 6
		if got := float64(first[target.ID]); math.Abs(got-want) > 0.05*want {
			t.Errorf("%s: got first for %v chats, want about %v", target.ID, got, want)
		}
	}
}

func TestOrderDoesNotAllocate(t *testing.T) {
	targets := testTargets(300)
	buf := make([]fleet.Target, 0, len(targets))
	allocs := testing.AllocsPerRun(20, func() { buf = Order(buf[:0], 7, targets) })
	if allocs != 0 {
		t.Errorf("got %v allocations, want 0", allocs)
	}
}

func TestHomePrefersDomainThenRegion(t *testing.T) {
	region := func(fleet.DomainName) fleet.RegionName { return "north" }
	target := fleet.Target{ID: "engine-1", Domain: "a"}
	far := fleet.Router{ID: "r1", Domain: "z", Region: "south"}
	near := fleet.Router{ID: "r2", Domain: "b", Region: "north"}
	own := fleet.Router{ID: "r3", Domain: "a", Region: "north"}
	for _, c := range []struct {
		routers []fleet.Router
		want    fleet.RouterID
	}{
		{[]fleet.Router{far, near, own}, "r3"},
		{[]fleet.Router{near, far}, "r2"},
		{[]fleet.Router{far}, "r1"},
	} {
		got, ok := HomeRouter(target, c.routers, region)
		if !ok || got.ID != c.want {
			t.Errorf("home among %v: got %v, want %s", c.routers, got.ID, c.want)
		}
	}
	if _, ok := HomeRouter(target, nil, region); ok {
		t.Error("got a home without any routers, want none")
	}
}

func TestBound(t *testing.T) {
	for _, c := range []struct {
		multiple, total float64
		n               int
		weight, want    float64
	}{
		{1.25, 0, 12, 1, 1},
		{1.25, 95, 12, 1, 10},
		{1.25, 95, 12, 2, 20},
		{2, 10, 0, 1, 1},
		{1.25, 12, 12, 1, 2},
	} {
		if got := Bound(c.multiple, c.total, c.n, c.weight); got != c.want {
			t.Errorf("Bound(%v, %v, %d, %v): got %v, want %v", c.multiple, c.total, c.n, c.weight, got, c.want)
		}
	}
}

func TestMayExceedHasNoFalseNegatives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hash := rapid.Uint64().Draw(t, "hash")
		weight := rapid.Float64Range(0.01, 100).Draw(t, "weight")
		floor := rendezvous.Score(hash, weight) * rapid.Float64Range(0, 0.9999).Draw(t, "part")
		if !rendezvous.MayExceed(hash, weight, floor) {
			t.Fatalf("got false for a score of %v and a floor of %v, want true", rendezvous.Score(hash, weight), floor)
		}
	})
}

func TestScoreOfHighestHashIsFinite(t *testing.T) {
	if s := rendezvous.Score(^uint64(0), 1); math.IsInf(s, 0) || s < rendezvous.Score(0, 1) {
		t.Errorf("got score %v for the highest hash, want a finite one above that of the lowest", s)
	}
}
