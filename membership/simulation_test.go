package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/objectapi"
)

const heartbeatPeriod = 500 * time.Millisecond

var testTiming = Timing{Rings: 3, Suspect: 2 * time.Second, Remove: 4 * time.Second}

// simulation is a fleet of tables on a simulated clock, with a network that
// loses, duplicates, reorders and delays messages.
type simulation struct {
	now       time.Time
	rand      *rand.Rand
	tables    map[fleet.RouterID]*Table
	ids       []fleet.RouterID
	paused    map[fleet.RouterID]bool
	partition map[fleet.RouterID]int
	loss      float64
	inFlight  []delivery
	sent      int
	vms       []objectapi.VM
}

type delivery struct {
	from fleet.RouterID
	msg  Message
}

func newSimulation(n int, seed uint64) *simulation {
	s := &simulation{
		now:       time.UnixMilli(1_700_000_000_000),
		rand:      rand.New(rand.NewPCG(seed, 1)),
		tables:    map[fleet.RouterID]*Table{},
		paused:    map[fleet.RouterID]bool{},
		partition: map[fleet.RouterID]int{},
	}
	for i := range n {
		s.addVM(i)
	}
	for i := range n {
		s.start(i)
	}
	return s
}

func testRouter(i int) fleet.Router {
	name := fmt.Sprintf("router-%d", i)
	domain := fleet.DomainName(fmt.Sprintf("zone-%d", i%3))
	return fleet.Router{ID: fleet.RouterID(name), Domain: domain, Region: "north", PeerAddr: name}
}

func (s *simulation) addVM(i int) {
	r := testRouter(i)
	s.vms = append(s.vms, objectapi.VM{Name: string(r.ID), Domain: r.Domain, State: fleet.Live, PeerAddr: r.PeerAddr})
}

// start starts router i with an empty table, which replaces an earlier one.
func (s *simulation) start(i int) {
	r := testRouter(i)
	if _, exists := s.tables[r.ID]; !exists {
		s.ids = append(s.ids, r.ID)
	}
	s.tables[r.ID] = NewTable(r, testTiming, s.rand, s.now)
	s.tables[r.ID].ApplyVMList(s.vms, s.now)
	s.paused[r.ID] = false
}

func (s *simulation) reachable(from, to fleet.RouterID) bool {
	return s.tables[to] != nil && !s.paused[to] && s.partition[from] == s.partition[to]
}

func (s *simulation) send(from fleet.RouterID, messages []Message) {
	for _, m := range messages {
		if len(m.Heartbeat.Updates) > 0 || m.Heartbeat.Incarnation > 0 {
			s.sent++
		}
		if s.rand.Float64() < s.loss {
			continue
		}
		s.inFlight = append(s.inFlight, delivery{from, m})
		if s.rand.Float64() < s.loss/2 {
			s.inFlight = append(s.inFlight, delivery{from, m})
		}
	}
}

// step advances the clock by one heartbeat period.
func (s *simulation) step() {
	s.now = s.now.Add(heartbeatPeriod)
	for _, id := range s.ids {
		if s.paused[id] {
			continue
		}
		s.send(id, s.tables[id].Tick(s.now))
		s.sync(id)
	}
	for round := 0; round < 12 && len(s.inFlight) > 0; round++ {
		s.deliver()
		for _, id := range s.ids {
			if !s.paused[id] {
				s.send(id, s.tables[id].Flush(s.now))
			}
		}
	}
}

func (s *simulation) deliver() {
	batch := s.inFlight
	s.inFlight = nil
	if s.loss > 0 {
		s.rand.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
	}
	for _, d := range batch {
		if !s.reachable(d.from, d.msg.To) {
			continue
		}
		s.send(d.msg.To, s.tables[d.msg.To].Receive(d.from, d.msg.Heartbeat, s.now))
	}
}

func (s *simulation) sync(id fleet.RouterID) {
	t := s.tables[id]
	to, req, due := t.NextSync(s.now)
	if !due || !s.reachable(id, to.ID) {
		return
	}
	answer := s.tables[to.ID].HandleSync(id, req, s.now)
	s.send(id, t.ApplySync(to.ID, answer, s.now))
}

func (s *simulation) run(d time.Duration) {
	for range int(d / heartbeatPeriod) {
		s.step()
	}
}

// live returns the routers that may receive work in the view of id.
func (s *simulation) live(id fleet.RouterID) map[fleet.RouterID]bool {
	set := map[fleet.RouterID]bool{}
	for _, r := range s.tables[id].View().Routers {
		set[r.ID] = true
	}
	return set
}

func (s *simulation) checkLive(t interface{ Fatalf(string, ...any) }, want map[fleet.RouterID]bool) {
	for _, id := range s.ids {
		if s.paused[id] {
			continue
		}
		got := s.live(id)
		for _, other := range s.ids {
			if other != id && got[other] != want[other] {
				t.Fatalf("%s in the view of %s: got live %t, want %t", other, id, got[other], want[other])
			}
		}
	}
}

func (s *simulation) runningRouters() map[fleet.RouterID]bool {
	want := map[fleet.RouterID]bool{}
	for _, id := range s.ids {
		want[id] = !s.paused[id]
	}
	return want
}
