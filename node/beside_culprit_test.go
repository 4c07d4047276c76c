package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/targetconn"
)

// Rates and times of the requests that have parts of prompts beside one that crashes targets.
const (
	besideRouters  = 3
	besideInterval = 100 * time.Millisecond
	// besideCrashEvery is the number of sound requests for each crashing one.
	besideCrashEvery = 12
	besideDuration   = 11 * time.Second
	// besideJudged is the least number of sound requests whose share is judged.
	besideJudged = 20
)

// besideMix is a mix of prompts, drawn by a seed: which sound parts stand beside the culprit and where.
type besideMix struct {
	random *rand.Rand
	// companions are at each of the first crashes, beside the culprit.
	companions []string
	// firstKnown is set if a success with the first part of all is known before.
	firstKnown bool
	// runsOnce is set if the route allows one attempt.
	runsOnce bool
	// helped is set if the last router reaches no target, so that others serve its requests.
	helped bool
}

func newBesideMix(seed uint64) *besideMix {
	m := &besideMix{random: rand.New(rand.NewPCG(seed, 2))}
	for i := range 1 + m.random.IntN(4) {
		m.companions = append(m.companions, fmt.Sprintf("document-%d-%d", seed, i))
	}
	m.firstKnown = m.random.IntN(2) == 0
	m.runsOnce, m.helped = seed%2 == 1, seed%3 == 2
	return m
}

// shuffled returns the first part of all and the given ones in random order.
func (m *besideMix) shuffled(parts ...string) []string {
	m.random.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
	return append([]string{"first"}, parts...)
}

// some returns one or more of the companions.
func (m *besideMix) some() []string {
	list := slices.Clone(m.companions)
	m.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:1+m.random.IntN(len(list))]
}

// TestSoundRequestsWithPartsBesideCulpritAreServed guards against a verdict on a sound part that was at the same crashes as the culprit.
func TestSoundRequestsWithPartsBesideCulpritAreServed(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			playBesideCulprit(t, newBesideMix(seed))
		})
	}
}

func playBesideCulprit(t *testing.T, mix *besideMix) {
	f := startCrashFleetWith(t, 0, crashConfig(!mix.runsOnce), func(i int) targetconn.ConnectFunc {
		if !mix.helped || i < besideRouters-1 {
			return nil
		}
		return func(context.Context, string) (net.Conn, error) { return nil, syscall.EHOSTUNREACH }
	})
	if mix.firstKnown && !f.send(0, "known", "key-x", []string{"first", "another"}) {
		t.Fatal("a sound request before the first crash was not served")
	}
	var traffic sync.WaitGroup
	sent := 0
	crash := func(companions []string) {
		sent++
		id, parts := fmt.Sprintf("%s-%d", crashPart, sent), mix.shuffled(append(slices.Clone(companions), crashPart)...)
		traffic.Go(func() { f.send(sent%besideRouters, id, "key-x", parts) })
	}
	for range 3 {
		crash(mix.companions)
		time.Sleep(700 * time.Millisecond)
	}
	var asked, served atomic.Int64
	var bound time.Time
	// A late crash of a trial, which is allowed, moves the span that is judged.
	count, toJudge := int(besideDuration/besideInterval), besideJudged
	for i := 0; i < count || (toJudge > 0 && i < 3*count); i++ {
		if i%besideCrashEvery == 0 {
			crash(mix.some())
		}
		crashes := crashTimes(f.targets)
		bound = crashes[min(len(crashes), crashesBeforeWindow)-1].Add(stabilityWindow)
		judged := time.Now().After(bound.Add(stabilityWindow))
		if judged {
			toJudge--
		}
		id, router, parts := fmt.Sprint("sound-", i), mix.random.IntN(besideRouters), mix.shuffled(mix.some()...)
		traffic.Go(func() {
			ok := f.send(router, id, "key-x", parts)
			if !judged {
				return
			}
			asked.Add(1)
			if ok {
				served.Add(1)
			}
		})
		time.Sleep(besideInterval)
	}
	traffic.Wait()
	crashes, late := crashTimes(f.targets), f.crashingArrivals(bound)
	t.Logf("companions %s, first part known %v, runs once %v, a router without targets %v: %d crashing requests, %d crashes, %d late; %d of %d sound requests served from two windows after",
		strings.Join(mix.companions, " "), mix.firstKnown, mix.runsOnce, mix.helped, sent, len(crashes), len(late), served.Load(), asked.Load())
	if len(crashes) >= crashesBeforeWindow && len(late) > maxArrivalsAfter {
		t.Errorf("later than %v after crash %d: got %d requests with the culprit at targets, want at most %d", stabilityWindow, crashesBeforeWindow, len(late), maxArrivalsAfter)
	}
	if asked.Load() < besideJudged {
		t.Errorf("got %d sound requests that are judged, want at least %d", asked.Load(), besideJudged)
	}
	if 2*served.Load() < asked.Load() {
		t.Errorf("from two windows after the last crash that counts: got %d of %d sound requests served, want at least half", served.Load(), asked.Load())
	}
}
