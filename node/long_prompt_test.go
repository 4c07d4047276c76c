package node

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	longPromptCrashes  = 24
	longPromptInterval = 400 * time.Millisecond
	// longPromptSound is the number of sound requests for each crashing one.
	longPromptSound = 3
)

// longPrompts draws the shared parts of long prompts, no two of which have more than the first part
// in common.
type longPrompts struct {
	random *rand.Rand
	shared int
	next   int
}

// parts returns the shared parts of a prompt, with the culprit at a random place if there is one.
func (p *longPrompts) parts(culprit string) []string {
	list := []string{"first"}
	for len(list) < p.shared {
		p.next++
		list = append(list, fmt.Sprintf("turn-%d", p.next))
	}
	if culprit != "" {
		list[1+p.random.IntN(len(list)-1)] = culprit
	}
	return list
}

// TestCulpritInLongPromptsIsQuarantined guards against a culprit that is beyond a bound on the parts of a prompt.
func TestCulpritInLongPromptsIsQuarantined(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 3))
			playLongPrompts(t, &longPrompts{random: random, shared: 33 + random.IntN(270)})
		})
	}
}

func playLongPrompts(t *testing.T, prompts *longPrompts) {
	f := startCrashFleet(t, 0)
	var traffic sync.WaitGroup
	var asked, served atomic.Int64
	for i := range longPromptCrashes {
		router, parts := i%crashRouters, prompts.parts(crashPart)
		traffic.Go(func() { f.send(router, fmt.Sprintf("%s-%d", crashPart, i), "key-x", parts) })
		crashes := crashTimes(f.targets)
		judged := len(crashes) > 0 && time.Now().After(crashes[min(len(crashes), crashesBeforeWindow)-1].Add(2*stabilityWindow))
		for j := range longPromptSound {
			parts := prompts.parts("")
			traffic.Go(func() {
				ok := f.send((router+j)%crashRouters, fmt.Sprintf("sound-%d-%d", i, j), "key-x", parts)
				if judged {
					asked.Add(1)
				}
				if judged && ok {
					served.Add(1)
				}
			})
			time.Sleep(longPromptInterval / longPromptSound)
		}
	}
	traffic.Wait()
	crashes := crashTimes(f.targets)
	late := 0
	if len(crashes) >= crashesBeforeWindow {
		late = len(f.crashingArrivals(crashes[crashesBeforeWindow-1].Add(stabilityWindow)))
	}
	t.Logf("%d shared parts: %d crashing requests, %d crashes, %d late; %d of %d sound requests served from two windows after", prompts.shared, longPromptCrashes, len(crashes), late, served.Load(), asked.Load())
	if late > maxArrivalsAfter {
		t.Errorf("later than %v after the fifth crash: got %d requests with the culprit at targets, want at most %d", stabilityWindow, late, maxArrivalsAfter)
	}
	if 2*served.Load() < asked.Load() {
		t.Errorf("got %d of %d sound requests served, want at least half", served.Load(), asked.Load())
	}
}
