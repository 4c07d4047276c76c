package mesh

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

var t0 = time.Unix(50_000, 0)

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

func beatOf(i int, watches bool) *Beat {
	return &Beat{From: fleet.RouterID(fmt.Sprintf("r%d", i)), Domain: "d", Boot: 1, Watches: watches, Strength: 1}
}

// TestThreeRoutersWatch lets all routers of a failure domain hear each other and
// counts those that watch, with all there and with some lost.
func TestThreeRoutersWatch(t *testing.T) {
	const n = 26
	lost := map[int]bool{}
	watching := func(now time.Time) []int {
		var who []int
		for i := range n {
			if lost[i] {
				continue
			}
			table := NewTable(fleet.RouterID(fmt.Sprintf("r%d", i)), "d", 1)
			for j := range n {
				if !lost[j] {
					table.Hear(beatOf(j, true), addrOf(j), now)
				}
			}
			if table.Watches(now) {
				who = append(who, i)
			}
		}
		return who
	}
	who := watching(t0)
	if len(who) != watchersEach {
		t.Fatalf("%v watch", who)
	}
	lost[who[0]], lost[who[1]] = true, true
	if again := watching(t0); len(again) != watchersEach || again[0] == who[0] {
		t.Errorf("%v watch after the loss of %v", again, who[:2])
	}
}

func TestStrongRoutersWatchFirst(t *testing.T) {
	table := NewTable("r0", "d", 0)
	for i := 1; i <= watchersEach; i++ {
		b := beatOf(i, true)
		b.Strength = 1
		table.Hear(b, addrOf(i), t0)
	}
	if table.Watches(t0) {
		t.Error("a weak router watches beside strong ones")
	}
	strong := NewTable("r0", "d", 2)
	for i := 1; i < 20; i++ {
		b := beatOf(i, true)
		b.Strength = 1
		strong.Hear(b, addrOf(i), t0)
	}
	if !strong.Watches(t0) {
		t.Error("the strongest router does not watch")
	}
}

func TestDeflatedConfigurationsComeBack(t *testing.T) {
	text := []byte(strings.Repeat(`{"Name":"r-1","Host":"h.example","PathPrefix":"/a/"}`, 2000))
	small, err := deflate(text)
	if err != nil || len(small) > len(text)/10 {
		t.Fatalf("%d bytes of %d, %v", len(small), len(text), err)
	}
	if back, err := inflate(small); err != nil || !bytes.Equal(back, text) {
		t.Errorf("%d bytes, %v", len(back), err)
	}
	if _, err := inflate(small[:len(small)/2]); err == nil {
		t.Error("half a configuration was taken")
	}
}

func TestARouterThatHearsNoWatcherWatches(t *testing.T) {
	table := NewTable("r0", "d", 1)
	if !table.Watches(t0) {
		t.Error("a router alone does not watch")
	}
	for i := 1; i < 20; i++ {
		table.Hear(beatOf(i, true), addrOf(i), t0)
	}
	if table.Watches(t0) {
		t.Fatal("r0 is among the first of its domain; another name is needed")
	}
	if !table.Watches(t0.Add(watcherSilence)) {
		t.Error("does not take over from watchers that went silent")
	}
	for i := 1; i < 20; i++ {
		table.Hear(beatOf(i, false), addrOf(i), t0.Add(time.Second))
	}
	if !table.Watches(t0.Add(time.Second)) {
		t.Error("relies on routers that do not hear the store")
	}
}

func TestWatchersOfOtherDomainsDoNotCount(t *testing.T) {
	table := NewTable("r0", "d", 1)
	for i := 1; i < 20; i++ {
		b := beatOf(i, true)
		b.Domain = "e"
		table.Hear(b, addrOf(i), t0)
	}
	if !table.Watches(t0) {
		t.Error("relies on another failure domain")
	}
}

func TestAnOlderProcessIsNotHeard(t *testing.T) {
	table := NewTable("r0", "d", 1)
	fresh := beatOf(1, false)
	fresh.Boot = 5
	table.Hear(fresh, addrOf(1), t0)
	table.Hear(beatOf(1, true), addrOf(9), t0)
	if m := table.members["r1"]; m.watches || m.addr != addrOf(1) {
		t.Error("a beat of the process before was taken")
	}
}

func TestGossipSpreadsButDoesNotRejuvenate(t *testing.T) {
	table := NewTable("r0", "d", 1)
	b := beatOf(1, false)
	b.Others = []Other{
		{ID: "r2", Domain: "d", Addr: addrOf(2), Boot: 1, AgeMS: 3900},
		{ID: "r0", Domain: "d", Addr: addrOf(3), Boot: 1},
		{ID: "r4", Domain: "d", Boot: 1},
	}
	table.Hear(b, addrOf(1), t0)
	if table.Fleet() != 3 {
		t.Errorf("a fleet of %d", table.Fleet())
	}
	random := rand.New(rand.NewPCG(1, 1))
	if got := table.Some(5, t0, random); len(got) != 2 {
		t.Errorf("%v", got)
	}
	if got := table.Some(5, t0.Add(200*time.Millisecond), random); len(got) != 1 {
		t.Errorf("a router heard 4 s ago is still written to: %v", got)
	}
	table.Forget(t0.Add(membership))
	if table.Fleet() != 2 {
		t.Errorf("a fleet of %d after a minute: those behind a cut still share the repeats for that long", table.Fleet())
	}
}

func TestALeavingRouterIsNoWatcher(t *testing.T) {
	table := NewTable("r0", "d", 1)
	for i := 1; i < 20; i++ {
		b := beatOf(i, true)
		b.Leaving = true
		table.Hear(b, addrOf(i), t0)
	}
	if !table.Watches(t0) {
		t.Error("relies on routers that leave")
	}
}

func TestBeatsFitADatagram(t *testing.T) {
	b := beatOf(1, true)
	for i := range mostLoads {
		b.Loads = append(b.Loads, Load{Target: uint32(i) * 7919 << 8, Work: 12, AgeMS: 1999})
	}
	for i := range mostOthers {
		b.Others = append(b.Others, Other{ID: fleet.RouterID(fmt.Sprintf("edge-recife-a-%d", i)), Domain: "recife-a", Addr: addrOf(i), Boot: t0.UnixNano(), AgeMS: 3999})
	}
	data, err := encode(b)
	if err != nil {
		t.Fatal(err)
	}
	back, err := decode(data)
	if err != nil || len(back.Loads) != mostLoads || len(back.Others) != mostOthers || back.Others[mostOthers-1] != b.Others[mostOthers-1] {
		t.Errorf("%+v %v", back, err)
	}
}

func TestTheNewestCountsGoFirst(t *testing.T) {
	loads := map[fleet.TargetID]sample{}
	for i := range 100 {
		loads[fleet.TargetID(fmt.Sprintf("t%d", i))] = sample{i, t0.Add(-time.Duration(i) * 30 * time.Millisecond)}
	}
	list := latest(loads, t0)
	if len(list) != mostLoads {
		t.Fatalf("%d counts", len(list))
	}
	for i, l := range list {
		if int(l.Work) != i {
			t.Errorf("place %d holds the count of age %d", i, l.AgeMS)
		}
	}
}

func FuzzDecode(f *testing.F) {
	data, err := encode(beatOf(1, true))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, in []byte) {
		b, err := decode(in)
		if err != nil {
			return
		}
		NewTable("r0", "d", 1).Hear(b, addrOf(1), t0)
	})
}

// TestTurnsReachAllBeforeTheSilenceEnds lets one watcher send in turn: whatever the
// size of the failure domain, each router is reached before it would take over.
func TestTurnsReachAllBeforeTheSilenceEnds(t *testing.T) {
	for _, n := range []int{1, 19, 20, 21, 25, 40, 99, 166} {
		table := NewTable("r0", "d", 1)
		for i := 1; i <= n; i++ {
			table.Hear(beatOf(i, false), addrOf(i), t0)
		}
		last := map[netip.AddrPort]int{}
		longest, most := 0, 0
		for tick := range 100 {
			turn := table.Turn(tick, t0)
			most = max(most, len(turn))
			for _, addr := range turn {
				if before, ok := last[addr]; ok {
					longest = max(longest, tick-before)
				}
				last[addr] = tick
			}
		}
		if len(last) != n || most > turnEach {
			t.Errorf("%d routers: %d reached, up to %d a tick", n, len(last), most)
		}
		if gap := time.Duration(longest) * tick; gap >= table.silence() {
			t.Errorf("%d routers: %v between beats, silence after %v", n, gap, table.silence())
		}
	}
}
