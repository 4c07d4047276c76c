package node

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
)

const (
	endOfAllRounds   = 7
	endOfAllInterval = 350 * time.Millisecond
)

// restartAll stops all routers, so that none knows what they knew, and starts them again.
func (f *crashFleet) restartAll(t *testing.T) {
	t.Helper()
	stopAll(t, f.routers)
	f.client.CloseIdleConnections()
	for _, s := range f.routers {
		s.startAgain(t)
	}
	for _, s := range f.routers {
		await.Until(t, "the routers to be ready", func() bool { return s.node.crashes.WasTried() && s.node.directory.View().Ready() })
	}
}

// TestCrashesOutliveAllRouters guards against verdicts, and crashes before one, that are forgotten when all routers end.
func TestCrashesOutliveAllRouters(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 4))
			f := startCrashFleet(t, 0)
			if f.served("before") == 0 {
				t.Fatal("no sound request was served before the first crash")
			}
			sent, rounds := 0, []int{}
			var traffic sync.WaitGroup
			for range endOfAllRounds {
				crashes := 1 + random.IntN(3)
				rounds = append(rounds, crashes)
				for range crashes {
					sent++
					router, id := random.IntN(crashRouters), fmt.Sprintf("%s-%d", crashPart, sent)
					parts := []string{"first", crashPart, fmt.Sprint("document-", sent)}
					traffic.Go(func() { f.send(router, id, "key-x", parts) })
					time.Sleep(endOfAllInterval)
				}
				// The crash is noticed 0.1 s after it.
				time.Sleep(endOfAllInterval)
				f.restartAll(t)
			}
			after := f.served("after")
			traffic.Wait()
			crashes, late := crashTimes(f.targets), 0
			if len(crashes) >= crashesBeforeWindow {
				late = len(f.crashingArrivals(crashes[crashesBeforeWindow-1].Add(stabilityWindow)))
			}
			t.Logf("rounds of %v requests with the culprit: %d crashes, %d late; %d of %d sound requests served after", rounds, len(crashes), late, after, soundRequests*crashRouters)
			if late > maxArrivalsAfter {
				t.Errorf("later than %v after the fifth crash: got %d requests with the culprit at targets, want at most %d", stabilityWindow, late, maxArrivalsAfter)
			}
			if 2*after < soundRequests*crashRouters {
				t.Errorf("got %d of %d sound requests served, want at least half", after, soundRequests*crashRouters)
			}
		})
	}
}
