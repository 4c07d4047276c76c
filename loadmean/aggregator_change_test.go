package loadmean

import (
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// TestFormerAggregatorUsesNewAggregatorSums guards against a router that keeps
// answering itself after another router has become the aggregator. At first
// each router has only itself as a member and is its own aggregator.
func TestFormerAggregatorUsesNewAggregatorSums(t *testing.T) {
	c := newTestCluster(6, 3, 1)
	for _, r := range c.routers {
		c.cores[r.ID].setMembers([]fleet.Router{r})
		c.cores[r.ID].setOwnReport(testKey, newFixedSum(Sum{2, 1}))
	}
	c.run(100 * time.Millisecond)
	for _, r := range c.routers {
		c.cores[r.ID].setMembers(c.routers)
	}
	c.run(500 * time.Millisecond)
	for i, r := range c.routers {
		if sum, ok := c.fleetSum(i, 2); !ok || sum != (Sum{12, 6}) {
			t.Errorf("%s: got %+v half a second after the membership change, want {12 6}", r.ID, sum)
		}
	}
}
