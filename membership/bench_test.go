package membership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkChangeAt2500 is what one router spends on one change of another at
// 2,500 routers: the rumour, the rings, the view and the heartbeats.
func BenchmarkChangeAt2500(b *testing.B) {
	now := time.UnixMilli(1_700_000_000_000)
	table := NewTable(record(0), testTiming, rand.New(rand.NewPCG(1, 1)), now)
	for i := 1; i < 2500; i++ {
		r := record(i)
		r.Incarnation = 1
		table.merge(Rumour{ID: r.ID, Incarnation: 1, Router: &r}, now)
	}
	table.Tick(now)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		r := record(1 + i%2499)
		state := Suspect
		if i/2499%2 == 1 {
			state = Alive
		}
		table.Merge(Rumour{ID: r.ID, Incarnation: uint64(2 + i/2499), State: state}, now)
		table.ringsStale = true
		table.Tick(now)
		table.View()
	}
}

// BenchmarkTickAt2500 is one heartbeat period without changes.
func BenchmarkTickAt2500(b *testing.B) {
	now := time.UnixMilli(1_700_000_000_000)
	table := NewTable(record(0), testTiming, rand.New(rand.NewPCG(1, 1)), now)
	for i := 1; i < 2500; i++ {
		r := record(i)
		r.Incarnation = 1
		table.merge(Rumour{ID: r.ID, Incarnation: 1, Router: &r}, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		table.Tick(now)
	}
}
