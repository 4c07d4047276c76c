package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/objectapi"
)

const beatPeriod = 500 * time.Millisecond

var testTiming = Timing{Rings: 3, Suspect: 2 * time.Second, Remove: 4 * time.Second}

// bench is a fleet of tables with a network that loses, doubles, reorders and
// delays messages. It is the tests' only simulation of time.
type bench struct {
	now    time.Time
	rand   *rand.Rand
	tables map[fleet.RouterID]*Table
	ids    []fleet.RouterID
	paused map[fleet.RouterID]bool
	side   map[fleet.RouterID]int
	loss   float64
	wire   []delivery
	sent   int
	vms    []objectapi.VM
}

type delivery struct {
	from fleet.RouterID
	msg  Message
}

func newBench(n int, seed uint64) *bench {
	b := &bench{
		now:    time.UnixMilli(1_700_000_000_000),
		rand:   rand.New(rand.NewPCG(seed, 1)),
		tables: map[fleet.RouterID]*Table{},
		paused: map[fleet.RouterID]bool{},
		side:   map[fleet.RouterID]int{},
	}
	for i := range n {
		b.list(i)
	}
	for i := range n {
		b.start(i)
	}
	return b
}

func record(i int) fleet.Router {
	name := fmt.Sprintf("router-%d", i)
	domain := fleet.DomainName(fmt.Sprintf("zone-%d", i%3))
	return fleet.Router{ID: fleet.RouterID(name), Domain: domain, Region: "north", PeerAddr: name}
}

func (b *bench) list(i int) {
	r := record(i)
	b.vms = append(b.vms, objectapi.VM{Name: string(r.ID), Domain: r.Domain, State: fleet.Live, PeerAddr: r.PeerAddr})
}

// start begins a life of router i; an earlier life of it is forgotten.
func (b *bench) start(i int) {
	r := record(i)
	if _, again := b.tables[r.ID]; !again {
		b.ids = append(b.ids, r.ID)
	}
	b.tables[r.ID] = NewTable(r, testTiming, b.rand, b.now)
	b.tables[r.ID].ApplyVMList(b.vms, b.now)
	b.paused[r.ID] = false
}

func (b *bench) reaches(from, to fleet.RouterID) bool {
	return b.tables[to] != nil && !b.paused[to] && b.side[from] == b.side[to]
}

func (b *bench) post(from fleet.RouterID, messages []Message) {
	for _, m := range messages {
		if len(m.Heartbeat.Rumours) > 0 || m.Heartbeat.Incarnation > 0 {
			b.sent++
		}
		if b.rand.Float64() < b.loss {
			continue
		}
		b.wire = append(b.wire, delivery{from, m})
		if b.rand.Float64() < b.loss/2 {
			b.wire = append(b.wire, delivery{from, m})
		}
	}
}

// step advances the time by one heartbeat period.
func (b *bench) step() {
	b.now = b.now.Add(beatPeriod)
	for _, id := range b.ids {
		if b.paused[id] {
			continue
		}
		b.post(id, b.tables[id].Tick(b.now))
		b.sync(id)
	}
	for round := 0; round < 12 && len(b.wire) > 0; round++ {
		b.deliver()
		for _, id := range b.ids {
			if !b.paused[id] {
				b.post(id, b.tables[id].Flush(b.now))
			}
		}
	}
}

func (b *bench) deliver() {
	batch := b.wire
	b.wire = nil
	if b.loss > 0 {
		b.rand.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
	}
	for _, d := range batch {
		if !b.reaches(d.from, d.msg.To) {
			continue
		}
		b.post(d.msg.To, b.tables[d.msg.To].Receive(d.from, d.msg.Heartbeat, b.now))
	}
}

func (b *bench) sync(id fleet.RouterID) {
	t := b.tables[id]
	to, req, due := t.SyncWith(b.now)
	if !due || !b.reaches(id, to.ID) {
		return
	}
	answer := b.tables[to.ID].AnswerSync(id, req, b.now)
	b.post(id, t.ApplySync(to.ID, answer, b.now))
}

func (b *bench) run(d time.Duration) {
	for range int(d / beatPeriod) {
		b.step()
	}
}

// live returns the routers that id would give work to.
func (b *bench) live(id fleet.RouterID) map[fleet.RouterID]bool {
	set := map[fleet.RouterID]bool{}
	for _, r := range b.tables[id].View().Routers {
		set[r.ID] = true
	}
	return set
}

func (b *bench) wantLive(t interface{ Fatalf(string, ...any) }, want map[fleet.RouterID]bool) {
	for _, id := range b.ids {
		if b.paused[id] {
			continue
		}
		got := b.live(id)
		for _, other := range b.ids {
			if other != id && got[other] != want[other] {
				t.Fatalf("%s holds %s as live %t, want %t", id, other, got[other], want[other])
			}
		}
	}
}

func (b *bench) allLive() map[fleet.RouterID]bool {
	want := map[fleet.RouterID]bool{}
	for _, id := range b.ids {
		want[id] = !b.paused[id]
	}
	return want
}
