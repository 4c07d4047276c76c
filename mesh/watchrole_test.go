package mesh

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/directory"
	"ragwortpond.example/ragwortpond/fleet"
)

// domainModel is the routers of one failure domain, each with its table and its role.
// Heartbeats arrive in the tick in which they are sent.
type domainModel struct {
	tables  []*Table
	roles   []directory.WatchRole
	cut     map[int]bool // routers that the store does not answer
	silent  map[int]bool // routers that stopped
	started int          // watches that routers began to make
}

func newDomainModel(n int) *domainModel {
	d := &domainModel{roles: make([]directory.WatchRole, n), cut: map[int]bool{}, silent: map[int]bool{}}
	for i := range n {
		d.tables = append(d.tables, NewTable(fleet.RouterID(fmt.Sprintf("r%d", i)), "d", 1))
	}
	return d
}

// heartbeat returns what router i tells of itself. A router that began to watch in
// this tick does not know yet whether the store answers.
func (d *domainModel) heartbeat(i int) *Heartbeat {
	hb := testHeartbeat(i, d.roles[i] != directory.NoWatch && !d.cut[i])
	hb.StoreLost = d.roles[i] != directory.NoWatch && d.cut[i]
	return hb
}

// tick lets all routers that run choose their roles and send their heartbeats.
func (d *domainModel) tick(now time.Time) {
	for i, table := range d.tables {
		if d.silent[i] {
			continue
		}
		role := table.WatchRole(now, d.roles[i])
		if role != directory.NoWatch && d.roles[i] == directory.NoWatch {
			d.started++
		}
		d.roles[i] = role
	}
	for i := range d.tables {
		// Only watchers send heartbeats to the whole domain.
		if !d.silent[i] && d.roles[i] != directory.NoWatch {
			d.send(i, d.heartbeat(i), now)
		}
	}
}

// send gives a heartbeat of router i to all others.
func (d *domainModel) send(i int, hb *Heartbeat, now time.Time) {
	for j, table := range d.tables {
		if i != j {
			table.HandleHeartbeat(hb, testAddr(i), now)
		}
	}
}

// live returns the routers with a live watch.
func (d *domainModel) live() (live []int) {
	for i, role := range d.roles {
		if role != directory.NoWatch && !d.cut[i] && !d.silent[i] {
			live = append(live, i)
		}
	}
	return live
}

// inOrder returns all routers in the order in which they are to watch.
func (d *domainModel) inOrder() []int {
	order := make([]int, len(d.tables))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return d.tables[a].ownRank().compare(d.tables[b].ownRank()) })
	return order
}

// TestTakeoverOfLostWatchesIsStable cuts all watchers of a failure domain off the
// store. Others must take over at the next tick after they were told, keep the watch
// as long as the cut lasts, and leave it to the first ones after it.
func TestTakeoverOfLostWatchesIsStable(t *testing.T) {
	const n = 16
	d := newDomainModel(n)
	now := t0
	for i := range n {
		d.send(i, testHeartbeat(i, false), now)
	}
	run := func(ticks int) {
		for range ticks {
			now = now.Add(heartbeatInterval)
			for i, table := range d.tables {
				for j := range n {
					if i != j {
						// Heartbeats to random routers keep all present.
						table.members[fleet.RouterID(fmt.Sprintf("r%d", j))].lastReported = now
					}
				}
			}
			d.tick(now)
		}
	}
	run(10)
	first := d.live()
	if len(first) != watchersPerDomain {
		t.Fatalf("got watchers %v, want %d", first, watchersPerDomain)
	}
	for _, i := range first {
		d.cut[i] = true
		d.send(i, d.heartbeat(i), now)
	}
	d.started = 0
	run(1)
	if got := len(d.live()); got < watchersPerDomain {
		t.Errorf("got %d live watches one tick after the loss, want %d", got, watchersPerDomain)
	}
	for range 40 {
		run(1)
		if len(d.live()) == 0 {
			t.Fatal("no router watches during the cut")
		}
	}
	if want := 2 * n; d.started > want {
		t.Errorf("got %d watches begun during the cut, want at most %d", d.started, want)
	}
	clear(d.cut)
	run(10)
	if got := d.live(); !slices.Equal(got, first) {
		t.Errorf("got watchers %v after the cut, want %v", got, first)
	}
}

// TestTakeoverWithoutNoticeIsStable stops the first routers of a failure domain without
// a word. The others must take over within the watcher timeout, and must not all stop
// again for each other. If those that are next in the order have stopped too, all others
// start to watch at the same moment, takeoverDelay later.
func TestTakeoverWithoutNoticeIsStable(t *testing.T) {
	const n = 16
	for _, test := range []struct {
		stopped    int
		withinTick int
	}{
		{watchersPerDomain, int(minWatcherTimeout/heartbeatInterval) + 1},
		{2 * watchersPerDomain, int((minWatcherTimeout+takeoverDelay)/heartbeatInterval) + 1},
	} {
		d := newDomainModel(n)
		now := t0
		for i := range n {
			d.send(i, testHeartbeat(i, false), now)
		}
		for range 4 {
			now = now.Add(heartbeatInterval)
			d.tick(now)
		}
		for _, i := range d.inOrder()[:test.stopped] {
			d.silent[i] = true
		}
		takenOver := false
		for tick := 1; tick <= 40; tick++ {
			now = now.Add(heartbeatInterval)
			d.tick(now)
			live := len(d.live())
			takenOver = takenOver || live > 0
			if takenOver && live == 0 {
				t.Fatalf("%d stopped, tick %d: all routers stopped watching again", test.stopped, tick)
			}
			if tick == test.withinTick && !takenOver {
				t.Fatalf("%d stopped: no router took over within %d ticks", test.stopped, tick)
			}
		}
	}
}

// TestJoiningRouterLearnsItsDomain starts 295 routers in five failure domains at once,
// with a seed that answers those that join. After minJoinTicks each router must know the
// first routers of its domain, and these must know it, so that no more than
// watchersPerDomain routers of a domain watch the store.
func TestJoiningRouterLearnsItsDomain(t *testing.T) {
	const n, domains = 295, 5
	domain := func(i int) fleet.DomainName { return fleet.DomainName(fmt.Sprintf("d%d", i%domains)) }
	addr := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
	}
	number := map[netip.AddrPort]int{}
	var tables []*Table
	for i := range n {
		number[addr(i)] = i
		tables = append(tables, NewTable(fleet.RouterID(fmt.Sprintf("r%d", i)), domain(i), 1))
	}
	heartbeat := func(i int, watches bool) *Heartbeat {
		hb := testHeartbeat(i, watches)
		hb.Domain = domain(i)
		return hb
	}
	const seed = 0
	now := t0
	for range minJoinTicks {
		now = now.Add(heartbeatInterval)
		for i := 1; i < n; i++ {
			tables[seed].HandleHeartbeat(heartbeat(i, false), addr(i), now)
			reply := heartbeat(seed, false)
			reply.Peers = tables[seed].FirstPeers(domain(i), maxJoinPeers, now)
			tables[i].HandleHeartbeat(reply, addr(seed), now)
		}
	}
	for i, table := range tables {
		for _, to := range table.FirstAddrs(watchersPerDomain, now) {
			tables[number[to]].HandleHeartbeat(heartbeat(i, false), addr(i), now)
		}
	}
	watchers := map[fleet.DomainName][]int{}
	for i, table := range tables {
		if table.WatchRole(now, directory.NoWatch) != directory.NoWatch {
			watchers[domain(i)] = append(watchers[domain(i)], i)
		}
	}
	for name, list := range watchers {
		if len(list) != watchersPerDomain {
			t.Errorf("%s: got watchers %v, want %d", name, list, watchersPerDomain)
		}
		for _, w := range list {
			if known, want := len(tables[w].DomainAddrs(now)), n/domains-1; known != want {
				t.Errorf("%s: watcher %d knows %d routers of its domain, want %d", name, w, known, want)
			}
		}
	}
}
