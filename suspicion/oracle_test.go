package suspicion

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

// TestBookAgainstAnOracle plays random signs of six targets in two failure
// domains. The oracle is plain: a target that could not be reached is shunned
// until something shows that it can be; one that only ever served, in a domain
// that always could be reached, stays sound however the others do.
func TestBookAgainstAnOracle(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b, now := NewBook(), at0
		targets := make([]*catalog.Target, 6)
		for i := range targets {
			targets[i] = target(fmt.Sprintf("t%d", i), fmt.Sprintf("d%d", i%2))
		}
		unreachable := map[int]bool{}
		onlyServed := map[int]bool{0: true, 1: true, 2: true, 3: true, 4: true, 5: true}
		domainFailed := map[string]bool{}
		for range rapid.IntRange(1, 80).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(r, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 5).Draw(r, "target")
			sign := rapid.SampledFrom([]Sign{Served, Served, Served, Failure, Broken, Unreachable, Full, Reached}).Draw(r, "sign")
			b.Note(targets[i], sign, now)
			switch sign {
			case Unreachable:
				unreachable[i], domainFailed[string(targets[i].Domain)] = true, true
			case Served, Failure, Reached:
				unreachable[i] = false
			}
			onlyServed[i] = onlyServed[i] && sign == Served
			for j, other := range targets {
				got := b.of(other, now)
				if unreachable[j] && got != Shunned {
					r.Fatalf("t%d cannot be reached and is %v", j, got)
				}
				if onlyServed[j] && !domainFailed[string(other.Domain)] && got != Sound {
					r.Fatalf("t%d only ever served and is %v", j, got)
				}
			}
		}
	})
}
