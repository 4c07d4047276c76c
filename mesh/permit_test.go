package mesh

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/targetlimit"
)

// startPermitRouters starts n routers that know each other and one target.
func startPermitRouters(t *testing.T, n int) []*testRouter {
	t.Helper()
	server := startStore(t, 1)
	server.Put(platform.KindTargets, "a", targetSpec(1))
	store := platform.NewStore(server.Addr(), nil)
	var routers []*testRouter
	for i := range n {
		routers = append(routers, startRouter(t, i, store, []string{freeAddr(t, 0)}))
	}
	for _, r := range routers {
		await.Until(t, "the routers to know each other and the target", func() bool { return r.mesh.FleetSize() == n && r.knowsTarget("a") })
	}
	return routers
}

// knowsTarget reports whether a target can be named in datagrams.
func (r *testRouter) knowsTarget(id fleet.TargetID) bool {
	r.mesh.mu.Lock()
	defer r.mesh.mu.Unlock()
	return r.mesh.targetsByHash[id.Hash()] == id
}

// holder returns the index of the router that holds the permits of target a.
func holder(routers []*testRouter) int {
	for i, r := range routers {
		r.mesh.mu.Lock()
		self := r.mesh.table.permitHolder("a", time.Now()).self
		r.mesh.mu.Unlock()
		if self {
			return i
		}
	}
	return -1
}

// TestRoutersShareOneLimit lets all routers ask for as many permits as they can get.
func TestRoutersShareOneLimit(t *testing.T) {
	const perSecond, period = 20, 2 * time.Second
	routers := startPermitRouters(t, 4)
	for _, r := range routers {
		r.mesh.cfg.Limits.RecordNamed("a", perSecond, time.Now())
	}
	var granted, unanswered atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(period)
	for _, r := range routers {
		all.Go(func() {
			for time.Now().Before(end) {
				answer := r.mesh.RequestPermit("a", targetlimit.Home)
				switch {
				case !answer.Answered:
					unanswered.Add(1)
				case answer.Granted:
					granted.Add(1)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	all.Wait()
	want := perSecond * period.Seconds()
	if got := float64(granted.Load()); got > want || got < want/2 {
		t.Errorf("got %.0f permits in %v, want %.0f to %.0f", got, period, want/2, want)
	}
	if got := unanswered.Load(); got > 0 {
		t.Errorf("got %d requests without an answer, want none", got)
	}
}

// TestLimitReachesOtherRouters lets one router learn a limit, and later its end.
func TestLimitReachesOtherRouters(t *testing.T) {
	routers := startPermitRouters(t, 3)
	named := time.Now()
	routers[0].mesh.cfg.Limits.RecordNamed("a", 3, named)
	for _, r := range routers[1:] {
		await.Until(t, "the limit", func() bool { return r.mesh.cfg.Limits.IsLimited("a", time.Now()) })
	}
	routers[1].mesh.cfg.Limits.RecordUnnamed("a", time.Now())
	for _, r := range routers {
		await.Until(t, "the end of the limit", func() bool {
			report, ok := r.mesh.cfg.Limits.Report("a", time.Now())
			return ok && report.Lifted
		})
	}
}

// TestLeavingHolderPassesPermitsOn guards against two routers that grant the same limit
// while one of them is stopping.
func TestLeavingHolderPassesPermitsOn(t *testing.T) {
	routers := startPermitRouters(t, 3)
	first := holder(routers)
	if first < 0 {
		t.Fatal("no router holds the permits")
	}
	routers[first].mesh.cfg.Limits.RecordNamed("a", 100, time.Now())
	routers[first].mesh.AnnounceLeaving()
	var others []*testRouter
	for i, r := range routers {
		if i != first {
			others = append(others, r)
			await.Until(t, "the announcement", func() bool {
				r.mesh.mu.Lock()
				defer r.mesh.mu.Unlock()
				return r.mesh.table.permitHolder("a", time.Now()).id != fleet.RouterID(fmt.Sprintf("r%d", first))
			})
		}
	}
	if second := holder(others); second < 0 {
		t.Error("no other router holds the permits")
	}
	for _, r := range routers {
		if answer := r.mesh.RequestPermit("a", targetlimit.Home); !answer.Answered {
			t.Errorf("%s: got no answer, want one of the new holder", r.mesh.cfg.Self)
		}
	}
	routers[first].mesh.mu.Lock()
	defer routers[first].mesh.mu.Unlock()
	if routers[first].mesh.table.permitHolder("a", time.Now()).self {
		t.Error("the leaving router still holds the permits")
	}
}

// countPermitRequests counts the requests for permits that reach an address where no router runs any more.
func countPermitRequests(t *testing.T, addr string) func() int {
	t.Helper()
	c, err := net.ListenPacket("udp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	var requests atomic.Int64
	var reader sync.WaitGroup
	reader.Go(func() {
		datagram := make([]byte, 64<<10)
		for {
			n, _, err := c.ReadFrom(datagram)
			if err != nil {
				return
			}
			if hb, err := decode(datagram[:n]); err == nil && hb.Permit != nil {
				requests.Add(1)
			}
		}
	})
	return func() int {
		_ = c.Close()
		reader.Wait()
		return int(requests.Load())
	}
}

// TestSilentHolderDelaysRequestsOnce stops the holder without notice.
func TestSilentHolderDelaysRequestsOnce(t *testing.T) {
	routers := startPermitRouters(t, 3)
	stopped := holder(routers)
	asking := routers[(stopped+1)%len(routers)]
	routers[stopped].stop()
	requests := countPermitRequests(t, freeAddr(t, stopped))
	unanswered := 0
	started := time.Now()
	for range 5 {
		if !asking.mesh.RequestPermit("a", targetlimit.Home).Answered {
			unanswered++
		}
	}
	elapsed := time.Since(started)
	// Each request that is sent waits for permitTimeout; the others do not wait.
	if got, most := requests(), 1+int(elapsed/permitSilence); unanswered == 0 || got == 0 || got > most {
		t.Errorf("got %d of 5 requests unanswered and %d sent to the silent holder in %v, want some, and 1 sent in %v", unanswered, got, elapsed, permitSilence)
	}
	await.Until(t, "another holder", func() bool { return asking.mesh.RequestPermit("a", targetlimit.Home).Answered })
}

// permitTable returns the table of router r0 in a fleet of n routers, of which those for
// which absent returns true were last heard some time ago.
func permitTable(n int, now time.Time, absent func(i int) bool) *Table {
	table := NewTable("r0", "d", 1)
	for i := 1; i < n; i++ {
		at := now
		if absent(i) {
			at = now.Add(-20 * time.Second)
		}
		table.HandleHeartbeat(testHeartbeat(i, false), testAddr(i), at)
	}
	return table
}

// TestSidesOfPartitionShareLimit checks that the holders on both sides of a partition
// together grant no more than the limit.
func TestSidesOfPartitionShareLimit(t *testing.T) {
	now := time.Now()
	const n = 9
	for cut := 1; cut < n; cut++ {
		side := permitTable(n, now, func(i int) bool { return i >= n-cut }).permitHolder("a", now)
		if side.self {
			if want := float64(n-cut) / n; side.share > want+1e-9 {
				t.Errorf("%d of %d routers cut off: got share %.2f, want %.2f", cut, n, side.share, want)
			}
		}
	}
	alone := permitTable(n, now, func(int) bool { return true }).permitHolder("a", now)
	if !alone.self || alone.share > 1.0/n+1e-9 {
		t.Errorf("alone: got %+v, want this router with share %.2f", alone, 1.0/n)
	}
}

// TestPermitsSpreadOverRouters checks that no router holds the permits of most targets.
func TestPermitsSpreadOverRouters(t *testing.T) {
	now := time.Now()
	table := permitTable(9, now, func(int) bool { return false })
	held := map[fleet.RouterID]int{}
	for i := range 900 {
		held[table.permitHolder(fleet.TargetID(fmt.Sprint("t", i)), now).id]++
	}
	for id, n := range held {
		if n < 50 || n > 200 {
			t.Errorf("%s holds the permits of %d of 900 targets, want about 100", id, n)
		}
	}
}

// TestUnexpectedPermitAnswersAreIgnored handles answers that no request waits for, and
// requests for a target that this router does not know.
func TestUnexpectedPermitAnswersAreIgnored(t *testing.T) {
	routers := startPermitRouters(t, 1)
	m, now := routers[0].mesh, time.Now()
	for verdict := range PermitNotHolder + 2 {
		m.handlePermit(&Heartbeat{From: "other", Permit: &PermitMessage{Sequence: 9, Verdict: verdict, Limit: LimitReport{TargetHash: 7, PerThousandSeconds: 1}}}, testAddr(3), now)
	}
	if n := m.cfg.Limits.Limited(now); n != 0 {
		t.Errorf("got limits of %d unknown targets, want none", n)
	}
	if answer := m.RequestPermit("a", targetlimit.Home); !answer.Answered || !answer.Granted {
		t.Errorf("got %+v for a target without limit, want a permit", answer)
	}
}
