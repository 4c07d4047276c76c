package loadmean

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/peer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
	os.Exit(m.Run())
}

const testKey = Key("l/chat")

// bench connects cores in memory; cut domains do not reach each other.
type bench struct {
	now     time.Time
	rand    *rand.Rand
	routers []fleet.Router
	cores   map[fleet.RouterID]*core
	side    map[fleet.DomainName]int
	loss    float64
	bytes   float64
}

func newBench(n, domains int, seed uint64) *bench {
	b := &bench{
		now: time.UnixMilli(1_700_000_000_000), rand: rand.New(rand.NewPCG(seed, 1)),
		cores: map[fleet.RouterID]*core{}, side: map[fleet.DomainName]int{},
	}
	for i := range n {
		id := fleet.RouterID(fmt.Sprintf("router-%d", i))
		domain := fleet.DomainName(fmt.Sprintf("zone-%d", i%domains))
		b.routers = append(b.routers, fleet.Router{ID: id, Domain: domain, PeerAddr: string(id)})
	}
	for _, r := range b.routers {
		b.cores[r.ID] = newCore(r, b.now)
		b.cores[r.ID].setMembers(b.routers)
	}
	return b
}

func (b *bench) run(d time.Duration) {
	for range int(d / tick) {
		b.now = b.now.Add(tick)
		for _, r := range b.routers {
			for _, m := range b.cores[r.ID].step(b.now) {
				b.deliver(r, m)
			}
		}
	}
}

func (b *bench) deliver(from fleet.Router, m Message) {
	payload, _ := cbor.Marshal(m.Datagram)
	b.bytes += float64(len(payload) + 1)
	to := b.cores[m.To]
	if b.side[from.Domain] != b.side[to.self.Domain] || b.rand.Float64() < b.loss {
		return
	}
	to.receive(from.ID, m.Datagram, b.now)
}

// total is what router i believes the fleet has together.
func (b *bench) total(i int, own float64) (Sum, bool) {
	o, ok := b.cores[b.routers[i].ID].read(testKey, b.now)
	return Sum{o.Total.Amount + own, o.Total.Weight + 1}, ok
}

func TestChangeIsSeenWithinATenthOfASecond(t *testing.T) {
	b := newBench(6, 3, 1)
	for i := range 6 {
		b.cores[b.routers[i].ID].report(testKey, unitsOf(Sum{1, 1}))
	}
	b.run(time.Second)
	b.cores["router-0"].report(testKey, unitsOf(Sum{11, 1}))
	b.run(100 * time.Millisecond)
	for i := 1; i < 6; i++ {
		got, ok := b.total(i, 1)
		if !ok || got != (Sum{16, 6}) {
			t.Errorf("router-%d: got %v %t, want {16 6}", i, got, ok)
		}
	}
}

func TestPartitionFallsBackToOwnDomain(t *testing.T) {
	b := newBench(6, 3, 1)
	for i := range 6 {
		b.cores[b.routers[i].ID].report(testKey, unitsOf(Sum{float64(i), 1}))
	}
	b.run(time.Second)
	b.side["zone-0"] = 1
	b.run(expiry + time.Second)
	if got, ok := b.total(0, 0); !ok || got != (Sum{3, 2}) {
		t.Errorf("cut off: got %v %t, want {3 2}", got, ok)
	}
	clear(b.side)
	b.run(refresh + time.Second)
	if got, ok := b.total(0, 0); !ok || got != (Sum{15, 6}) {
		t.Errorf("healed: got %v %t, want {15 6}", got, ok)
	}
}

func TestEndedReporterExpires(t *testing.T) {
	b := newBench(6, 3, 1)
	for i := range 6 {
		b.cores[b.routers[i].ID].report(testKey, unitsOf(Sum{2, 1}))
	}
	b.run(time.Second)
	b.routers = b.routers[:5]
	for _, r := range b.routers {
		b.cores[r.ID].setMembers(b.routers)
	}
	b.run(expiry + refresh + time.Second)
	if got, ok := b.total(0, 2); !ok || got != (Sum{10, 5}) {
		t.Errorf("got %v %t, want {10 5}", got, ok)
	}
}

func TestStrangersAreIgnored(t *testing.T) {
	b := newBench(2, 1, 1)
	d := Datagram{Kind: KindReport, Seq: math.MaxUint64, Items: []Item{{Key: testKey, Amount: 100, Weight: 100}}}
	b.cores["router-0"].receive("stranger", d, b.now)
	if len(b.cores["router-0"].sums) != 0 {
		t.Error("a report of an unknown router was taken")
	}
}

func TestDatagramsFit(t *testing.T) {
	b := newBench(2, 1, 1)
	for k := range 200 {
		key := Key(fmt.Sprintf("l/%063d", k))
		for _, r := range b.routers {
			b.cores[r.ID].report(key, unitsOf(Sum{10_000_000, 1_000_000}))
		}
	}
	for range 10 {
		b.now = b.now.Add(tick)
		for _, r := range b.routers {
			for _, m := range b.cores[r.ID].step(b.now) {
				payload, err := cbor.Marshal(m.Datagram)
				if err != nil {
					t.Fatal(err)
				}
				if len(payload) >= peer.MaxDatagramBytes || len(m.Datagram.Items) > maxItems {
					t.Fatalf("datagram of %d items: %d bytes", len(m.Datagram.Items), len(payload))
				}
				b.deliver(r, m)
			}
		}
	}
}

func TestBudgetBoundsBytes(t *testing.T) {
	b := newBench(6, 3, 1)
	const seconds = 60
	for range seconds * 20 {
		for _, r := range b.routers {
			for k := range 40 {
				b.cores[r.ID].report(Key(fmt.Sprintf("a/account-%d", k)), unitsOf(Sum{b.rand.Float64() * 100, 1}))
			}
		}
		b.run(time.Second / 20)
	}
	perRouter := b.bytes / 6
	if limit := float64(bytesBurst + 1.3*bytesPerSecond*seconds); perRouter > limit {
		t.Errorf("sent %.0f bytes a router, want at most %.0f", perRouter, limit)
	}
}

// TestSumsSettle drives random reports, loss and partitions; once they end,
// every router must hold the plain sum of what the others reported.
func TestSumsSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "routers")
		domains := rapid.IntRange(1, 3).Draw(t, "domains")
		b := newBench(n, domains, rapid.Uint64().Draw(t, "seed"))
		values := make([]Sum, n)
		for range rapid.IntRange(1, 15).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "router")
			values[i] = Sum{float64(rapid.IntRange(0, 50).Draw(t, "load")), float64(rapid.IntRange(0, 4).Draw(t, "targets"))}
			b.cores[b.routers[i].ID].report(testKey, unitsOf(values[i]))
			b.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
			b.side[b.routers[i].Domain] = rapid.IntRange(0, 1).Draw(t, "side")
			b.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		b.loss = 0
		clear(b.side)
		b.run(expiry + 2*refresh)
		var want Sum
		for _, v := range values {
			want.Amount += v.Amount
			want.Weight += v.Weight
		}
		for i, r := range b.routers {
			if values[i] == (Sum{}) {
				continue
			}
			o, ok := b.cores[r.ID].read(testKey, b.now)
			got := Sum{o.Total.Amount + values[i].Amount, o.Total.Weight + values[i].Weight}
			if !ok || math.Abs(got.Amount-want.Amount) > 0.01 || got.Weight != want.Weight {
				t.Fatalf("%s holds %v %t, want %v", r.ID, got, ok, want)
			}
		}
	})
}
