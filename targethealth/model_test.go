package targethealth

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/catalog"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		_ = flag.Set(name, value)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// TestTrackerMatchesModel records random observations for six targets in two failure domains
// and compares the tracker with a simple model: an unreachable target is avoided until
// an observation shows that it can be reached, and a target that only ever served, in a
// domain without unreachable targets, stays healthy regardless of the others.
func TestTrackerMatchesModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b, now := NewTracker(), start
		targets := make([]*catalog.Target, 6)
		for i := range targets {
			targets[i] = newTarget(fmt.Sprintf("t%d", i), fmt.Sprintf("d%d", i%2))
		}
		unreachable := map[int]bool{}
		onlyServed := map[int]bool{0: true, 1: true, 2: true, 3: true, 4: true, 5: true}
		domainFailed := map[string]bool{}
		for range rapid.IntRange(1, 80).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(r, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 5).Draw(r, "target")
			observation := rapid.SampledFrom([]Observation{Succeeded, Succeeded, Succeeded, Failed, Incomplete, Unreachable, Rejected, Connected}).Draw(r, "sign")
			b.Record(targets[i], observation, now)
			switch observation {
			case Unreachable:
				unreachable[i], domainFailed[string(targets[i].Domain)] = true, true
			case Succeeded, Failed, Connected:
				unreachable[i] = false
			}
			onlyServed[i] = onlyServed[i] && observation == Succeeded
			for j, other := range targets {
				got := b.healthAt(other, now)
				if unreachable[j] && got != Avoided {
					r.Fatalf("t%d is unreachable: got health %v, want avoided", j, got)
				}
				if onlyServed[j] && !domainFailed[string(other.Domain)] && got != Healthy {
					r.Fatalf("t%d only ever served: got health %v, want healthy", j, got)
				}
			}
		}
	})
}
