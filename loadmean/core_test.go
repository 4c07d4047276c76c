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

// testCluster connects cores in memory. Routers on different sides of a
// partition do not reach each other.
type testCluster struct {
	now       time.Time
	rand      *rand.Rand
	routers   []fleet.Router
	cores     map[fleet.RouterID]*core
	partition map[fleet.DomainName]int
	loss      float64
	bytes     float64
}

func newTestCluster(n, domains int, seed uint64) *testCluster {
	c := &testCluster{
		now: time.UnixMilli(1_700_000_000_000), rand: rand.New(rand.NewPCG(seed, 1)),
		cores: map[fleet.RouterID]*core{}, partition: map[fleet.DomainName]int{},
	}
	for i := range n {
		id := fleet.RouterID(fmt.Sprintf("router-%d", i))
		domain := fleet.DomainName(fmt.Sprintf("zone-%d", i%domains))
		c.routers = append(c.routers, fleet.Router{ID: id, Domain: domain, PeerAddr: string(id)})
	}
	for _, r := range c.routers {
		c.cores[r.ID] = newCore(r, c.now)
		c.cores[r.ID].setMembers(c.routers)
	}
	return c
}

func (c *testCluster) run(d time.Duration) {
	for range int(d / tick) {
		c.now = c.now.Add(tick)
		for _, r := range c.routers {
			for _, m := range c.cores[r.ID].step(c.now) {
				c.deliver(r, m)
			}
		}
	}
}

func (c *testCluster) deliver(from fleet.Router, m Message) {
	payload, _ := cbor.Marshal(m.Datagram)
	c.bytes += float64(len(payload) + 1)
	to := c.cores[m.To]
	if c.partition[from.Domain] != c.partition[to.self.Domain] || c.rand.Float64() < c.loss {
		return
	}
	to.receive(from.ID, m.Datagram, c.now)
}

// fleetSum returns the sum over the fleet as router i sees it.
func (c *testCluster) fleetSum(i int, own float64) (Sum, bool) {
	o, ok := c.cores[c.routers[i].ID].read(testKey, c.now)
	return Sum{o.Total.Amount + own, o.Total.Weight + 1}, ok
}

func TestChangePropagatesWithin100ms(t *testing.T) {
	c := newTestCluster(6, 3, 1)
	for i := range 6 {
		c.cores[c.routers[i].ID].setOwnReport(testKey, newFixedSum(Sum{1, 1}))
	}
	c.run(time.Second)
	c.cores["router-0"].setOwnReport(testKey, newFixedSum(Sum{11, 1}))
	c.run(100 * time.Millisecond)
	for i := 1; i < 6; i++ {
		got, ok := c.fleetSum(i, 1)
		if !ok || got != (Sum{16, 6}) {
			t.Errorf("router-%d: got %v %t, want {16 6}", i, got, ok)
		}
	}
}

func TestPartitionFallsBackToOwnDomain(t *testing.T) {
	c := newTestCluster(6, 3, 1)
	for i := range 6 {
		c.cores[c.routers[i].ID].setOwnReport(testKey, newFixedSum(Sum{float64(i), 1}))
	}
	c.run(time.Second)
	c.partition["zone-0"] = 1
	c.run(valueTTL + time.Second)
	if got, ok := c.fleetSum(0, 0); !ok || got != (Sum{3, 2}) {
		t.Errorf("during the partition: got %v %t, want {3 2}", got, ok)
	}
	clear(c.partition)
	c.run(refreshInterval + time.Second)
	if got, ok := c.fleetSum(0, 0); !ok || got != (Sum{15, 6}) {
		t.Errorf("after the partition: got %v %t, want {15 6}", got, ok)
	}
}

func TestStoppedReporterExpires(t *testing.T) {
	c := newTestCluster(6, 3, 1)
	for i := range 6 {
		c.cores[c.routers[i].ID].setOwnReport(testKey, newFixedSum(Sum{2, 1}))
	}
	c.run(time.Second)
	c.routers = c.routers[:5]
	for _, r := range c.routers {
		c.cores[r.ID].setMembers(c.routers)
	}
	c.run(valueTTL + refreshInterval + time.Second)
	if got, ok := c.fleetSum(0, 2); !ok || got != (Sum{10, 5}) {
		t.Errorf("got %v %t, want {10 5}", got, ok)
	}
}

func TestUnknownSenderIsIgnored(t *testing.T) {
	c := newTestCluster(2, 1, 1)
	d := Datagram{Kind: KindReport, Seq: math.MaxUint64, Items: []Item{{Key: testKey, Amount: 100, Weight: 100}}}
	c.cores["router-0"].receive("stranger", d, c.now)
	if len(c.cores["router-0"].aggregates) != 0 {
		t.Error("a report from an unknown router was accepted")
	}
}

func TestDatagramsStayWithinSizeLimit(t *testing.T) {
	c := newTestCluster(2, 1, 1)
	for k := range 200 {
		key := Key(fmt.Sprintf("l/%063d", k))
		for _, r := range c.routers {
			c.cores[r.ID].setOwnReport(key, newFixedSum(Sum{10_000_000, 1_000_000}))
		}
	}
	for range 10 {
		c.now = c.now.Add(tick)
		for _, r := range c.routers {
			for _, m := range c.cores[r.ID].step(c.now) {
				payload, err := cbor.Marshal(m.Datagram)
				if err != nil {
					t.Fatal(err)
				}
				if len(payload) >= peer.MaxDatagramBytes || len(m.Datagram.Items) > maxItems {
					t.Fatalf("got a datagram of %d items and %d bytes, want it within the limits", len(m.Datagram.Items), len(payload))
				}
				c.deliver(r, m)
			}
		}
	}
}

func TestByteBudgetLimitsSending(t *testing.T) {
	c := newTestCluster(6, 3, 1)
	const seconds = 60
	for range seconds * 20 {
		for _, r := range c.routers {
			for k := range 40 {
				c.cores[r.ID].setOwnReport(Key(fmt.Sprintf("a/account-%d", k)), newFixedSum(Sum{c.rand.Float64() * 100, 1}))
			}
		}
		c.run(time.Second / 20)
	}
	perRouter := c.bytes / 6
	if limit := float64(burstBytes + 1.3*bytesPerSecond*seconds); perRouter > limit {
		t.Errorf("got %.0f bytes per router, want at most %.0f", perRouter, limit)
	}
}

// TestSumsConverge guards against sums that stay wrong after faults. It applies
// random reports, loss and partitions; once they end, every reporting router
// must have the exact sum of all reports.
func TestSumsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "routers")
		domains := rapid.IntRange(1, 3).Draw(t, "domains")
		c := newTestCluster(n, domains, rapid.Uint64().Draw(t, "seed"))
		values := make([]Sum, n)
		for range rapid.IntRange(1, 15).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "router")
			values[i] = Sum{float64(rapid.IntRange(0, 50).Draw(t, "load")), float64(rapid.IntRange(0, 4).Draw(t, "targets"))}
			c.cores[c.routers[i].ID].setOwnReport(testKey, newFixedSum(values[i]))
			c.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
			c.partition[c.routers[i].Domain] = rapid.IntRange(0, 1).Draw(t, "side")
			c.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		c.loss = 0
		clear(c.partition)
		c.run(valueTTL + 2*refreshInterval)
		var want Sum
		for _, v := range values {
			want.Amount += v.Amount
			want.Weight += v.Weight
		}
		for i, r := range c.routers {
			if values[i] == (Sum{}) {
				continue
			}
			o, ok := c.cores[r.ID].read(testKey, c.now)
			got := Sum{o.Total.Amount + values[i].Amount, o.Total.Weight + values[i].Weight}
			if !ok || math.Abs(got.Amount-want.Amount) > 0.01 || got.Weight != want.Weight {
				t.Fatalf("%s: got %v %t, want %v", r.ID, got, ok, want)
			}
		}
	})
}
