package quarantine

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/fleet"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300"} {
		_ = flag.Set(name, value)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// Times of the model.
const (
	modelTick = 400 * time.Millisecond
	// modelFanout is the number of routers to which one sends its evidence at each tick.
	modelFanout = 3
	// stabilityWindow is the time after the fifth crash under a part from which at
	// most maxLateCrashes more may follow.
	stabilityWindow = 3 * time.Second
	maxLateCrashes  = 3
	modelMaxBytes   = 200
)

// modelFleet is a fleet of routers that exchange evidence over links that lose some of it.
// Clocks of routers differ, and each message takes some milliseconds.
type modelFleet struct {
	r *rapid.T
	// links is the randomness of the links: losses are independent of each other.
	links    *rand.Rand
	trackers []*Tracker
	now      time.Time
	lossPct  int
	targets  int
	// culprit is the part that crashes targets, in prompts of four shared parts.
	culprit uint64
	crashes []time.Time
}

// clock returns the time at a router, whose clock is wrong by minutes.
func (f *modelFleet) clock(router int) time.Time {
	return f.now.Add(time.Duration(router) * 7 * time.Minute)
}

func (f *modelFleet) lost() bool {
	return f.links.IntN(100) < f.lossPct
}

// transit returns the time that a message takes.
func (f *modelFleet) transit() time.Duration {
	return time.Duration(f.links.IntN(20)) * time.Millisecond
}

// spread sends evidence to all other routers, which forward once what is new to them.
func (f *modelFleet) spread(from int, e Evidence) {
	if e.Empty() {
		return
	}
	for to := range f.trackers {
		if to != from && !f.lost() {
			f.deliver(from, to, e)
		}
	}
}

// deliver merges evidence at a router and spreads what follows.
func (f *modelFleet) deliver(from, to int, e Evidence) {
	changes := f.trackers[to].Merge(e, f.clock(to).Add(f.transit()))
	f.spread(to, changes.News)
	if !changes.Answer.Empty() && !f.lost() {
		f.deliver(to, from, changes.Answer)
	}
}

// gossip lets each router send its evidence to modelFanout others.
func (f *modelFleet) gossip() {
	for from := range f.trackers {
		e := f.trackers[from].Export(f.clock(from), modelMaxBytes)
		sent := 0
		for _, to := range f.links.Perm(len(f.trackers)) {
			if to == from || e.Empty() || sent == modelFanout {
				continue
			}
			sent++
			if !f.lost() {
				f.deliver(from, to, e)
			}
		}
	}
}

// advance lets time pass, with an exchange at each tick.
func (f *modelFleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(modelTick)
		f.gossip()
	}
}

// request sends a prompt to a router and reports whether it reached a target. One with the
// culprit crashes the target, which ends the bystanders' attempts there too.
func (f *modelFleet) request(router int, p []call.Part, bystanders ...[]call.Part) bool {
	now := f.clock(router)
	if _, _, blocked := f.trackers[router].Blocked(Request{Prompt: p}, now); blocked {
		return false
	}
	culprit := false
	for _, part := range call.SharedParts(p) {
		culprit = culprit || part.ID == f.culprit
	}
	if !culprit {
		f.spread(router, f.trackers[router].RecordSuccess(Request{Prompt: p}, now).News)
		return true
	}
	f.targets++
	f.crashes = append(f.crashes, f.now)
	target := fleet.TargetID(fmt.Sprint("t", f.targets))
	f.spread(router, f.trackers[router].RecordCrash(Request{Prompt: p}, target, now, now).News)
	for _, bystander := range bystanders {
		other := rapid.IntRange(0, len(f.trackers)-1).Draw(f.r, "bystander's router")
		f.spread(other, f.trackers[other].RecordCrash(Request{Prompt: bystander}, target, f.clock(other), f.clock(other)).News)
	}
	return true
}

// randomPrompt returns a prompt whose shared part i is one of pool parts of that position.
func (f *modelFleet) randomPrompt(pool int) []call.Part {
	var parts []uint64
	for position := range 4 {
		parts = append(parts, uint64(10*position+rapid.IntRange(1, pool).Draw(f.r, "part")))
	}
	return prompt(parts...)
}

// checkNoSoundVerdict fails if a router has a verdict on a sound part.
func (f *modelFleet) checkNoSoundVerdict() {
	for i, t := range f.trackers {
		for part := range t.verdicts {
			if part != f.culprit {
				f.r.Fatalf("router %d has a verdict on the sound part %d", i, part)
			}
		}
	}
}

// TestStormSparesProvenParts plays a storm of crashes so dense that no sound request is
// served between them. The routers know the sound parts from before. They must quarantine
// the culprit and, once their messages have arrived, no other part.
func TestStormSparesProvenParts(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const pool = 2
		position := rapid.IntRange(0, 3).Draw(r, "position")
		f := &modelFleet{
			r: r, links: rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "links"), 1)), now: start,
			lossPct: rapid.SampledFrom([]int{0, 10, 20}).Draw(r, "loss percent"), culprit: uint64(10*position + 7),
		}
		for range rapid.IntRange(3, 8).Draw(r, "routers") {
			f.trackers = append(f.trackers, NewTracker())
		}
		for part := uint64(1); part <= pool; part++ {
			f.request(f.links.IntN(len(f.trackers)), prompt(part, 10+part, 20+part, 30+part))
		}
		f.advance(time.Duration(rapid.IntRange(0, 60).Draw(r, "calm")) * time.Second)
		for range 30 {
			bad := f.randomPrompt(pool)
			bad[position].ID = f.culprit
			f.request(f.links.IntN(len(f.trackers)), bad, f.randomPrompt(pool))
			f.now = f.now.Add(time.Duration(rapid.IntRange(20, 200).Draw(r, "pause")) * time.Millisecond)
		}
		f.advance(2 * time.Second)
		f.checkNoSoundVerdict()
		for i, tracker := range f.trackers {
			if tracker.verdicts[f.culprit] == nil {
				r.Fatalf("router %d of %d has no verdict on the culprit after %d crashes", i, len(f.trackers), len(f.crashes))
			}
		}
	})
}

// TestFleetQuarantinesCulprit plays requests at random routers, some of which carry a
// culprit part at a random position, while sound requests share their other parts and
// routers restart. After the fifth crash and the stability window at most three more
// requests with the culprit reach a target, all routers know it in the end, and no sound
// part is ever quarantined.
func TestFleetQuarantinesCulprit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		position := rapid.IntRange(0, 3).Draw(r, "position")
		f := &modelFleet{
			r: r, links: rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "links"), 1)), now: start, lossPct: rapid.SampledFrom([]int{0, 10, 20}).Draw(r, "loss percent"), culprit: uint64(10*position + 7),
		}
		for range rapid.IntRange(3, 8).Draw(r, "routers") {
			f.trackers = append(f.trackers, NewTracker())
		}
		pool := rapid.IntRange(1, 3).Draw(r, "parts per position")
		router := func() int { return rapid.IntRange(0, len(f.trackers)-1).Draw(r, "router") }
		for i := range 14 {
			bad := f.randomPrompt(pool)
			bad[position].ID = f.culprit
			bystander := f.randomPrompt(pool)
			f.request(router(), bad, bystander)
			f.advance(time.Duration(rapid.IntRange(100, 900).Draw(r, "pause")) * time.Millisecond)
			// Sound requests share each other part of the request, and the bystander's.
			sharing := append([]call.Part(nil), bad...)
			sharing[position] = f.randomPrompt(pool)[position]
			for _, sound := range [][]call.Part{sharing, bystander} {
				if !f.request(router(), sound) {
					r.Fatalf("sound request %v was refused", sound)
				}
				f.checkNoSoundVerdict()
			}
			if i%3 == 2 {
				f.trackers[router()] = NewTracker()
			}
			f.advance(time.Duration(rapid.IntRange(100, 900).Draw(r, "pause")) * time.Millisecond)
		}
		f.advance(4 * time.Second)
		f.checkNoSoundVerdict()
		late := 0
		for _, at := range f.crashes[min(5, len(f.crashes)):] {
			if at.After(f.crashes[4].Add(stabilityWindow)) {
				late++
			}
		}
		if late > maxLateCrashes {
			r.Fatalf("%d requests reached targets later than %v after the fifth crash, want at most %d", late, stabilityWindow, maxLateCrashes)
		}
		for i, tracker := range f.trackers {
			if tracker.verdicts[f.culprit] == nil {
				r.Fatalf("router %d of %d has no verdict on the culprit after %d crashes", i, len(f.trackers), len(f.crashes))
			}
		}
	})
}
