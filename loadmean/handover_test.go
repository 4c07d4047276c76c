package loadmean

import (
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// TestFormerAggregatorHearsTheNewOne checks that a router which was its own
// aggregator while it knew no other does not go on answering itself.
func TestFormerAggregatorHearsTheNewOne(t *testing.T) {
	b := newBench(6, 3, 1)
	for _, r := range b.routers {
		b.cores[r.ID].setMembers([]fleet.Router{r})
		b.cores[r.ID].report(testKey, unitsOf(Sum{2, 1}))
	}
	b.run(100 * time.Millisecond)
	for _, r := range b.routers {
		b.cores[r.ID].setMembers(b.routers)
	}
	b.run(500 * time.Millisecond)
	for i, r := range b.routers {
		if sum, ok := b.total(i, 2); !ok || sum != (Sum{12, 6}) {
			t.Errorf("%s knows %+v half a second after the others came, want {12 6}", r.ID, sum)
		}
	}
}
