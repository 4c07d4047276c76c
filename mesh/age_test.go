package mesh

import (
	"fmt"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/platform"
)

// TestWatchersThatAreCutOffConfirmNothing guards against routers of a failure domain that take their targets for those of
// the moment because its watchers, which are cut off with it and have not noticed, hold the same ones.
func TestWatchersThatAreCutOffConfirmNothing(t *testing.T) {
	const routers = 5
	store := startStore(t, 1)
	var gates []*storeGate
	var fleet []*testRouter
	for i := range routers {
		gates = append(gates, newStoreGate(t, store))
		fleet = append(fleet, startRouter(t, i, platform.NewStore(gates[i].addr(), nil), []string{freeAddr(t, 0)}))
	}
	beat := func(n int) {
		spec := targetSpec(1)
		spec["Sequence"] = n
		store.Put(platform.KindTargets, "t1", spec)
	}
	beats := 0
	for i, r := range fleet {
		await.Until(t, fmt.Sprintf("new targets at router %d", i), func() bool {
			beats++
			beat(beats)
			time.Sleep(50 * time.Millisecond)
			age := r.directory.TargetsAge()
			return age >= 0 && age < time.Second && r.mesh.FleetSize() == routers
		})
	}
	cutAt := time.Now()
	for _, g := range gates {
		g.hold()
	}
	for passed := time.Duration(0); passed < 4*time.Second; passed = time.Since(cutAt) {
		for i, r := range fleet {
			if age, since := r.directory.TargetsAge(), time.Since(cutAt); age < since-10*time.Millisecond {
				t.Fatalf("router %d: got age %v of the targets %v after the store fell silent", i, age, since)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}
