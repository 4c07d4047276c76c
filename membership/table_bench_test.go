package membership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkChangeAt2500 measures the work of one router for a state change of
// another in a fleet of 2,500: update, rings, view and heartbeats.
func BenchmarkChangeAt2500(b *testing.B) {
	now := time.UnixMilli(1_700_000_000_000)
	table := NewTable(testRouter(0), testTiming, rand.New(rand.NewPCG(1, 1)), now)
	for i := 1; i < 2500; i++ {
		r := testRouter(i)
		r.Incarnation = 1
		table.merge(Update{ID: r.ID, Incarnation: 1, Router: &r}, now)
	}
	table.Tick(now)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		r := testRouter(1 + i%2499)
		state := Suspect
		if i/2499%2 == 1 {
			state = Alive
		}
		table.Merge(Update{ID: r.ID, Incarnation: uint64(2 + i/2499), State: state}, now)
		table.ringsStale = true
		table.Tick(now)
		table.View()
	}
}

// BenchmarkTickAt2500 measures one heartbeat period without changes in a fleet
// of 2,500 routers.
func BenchmarkTickAt2500(b *testing.B) {
	now := time.UnixMilli(1_700_000_000_000)
	table := NewTable(testRouter(0), testTiming, rand.New(rand.NewPCG(1, 1)), now)
	for i := 1; i < 2500; i++ {
		r := testRouter(i)
		r.Incarnation = 1
		table.merge(Update{ID: r.ID, Incarnation: 1, Router: &r}, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		table.Tick(now)
	}
}
