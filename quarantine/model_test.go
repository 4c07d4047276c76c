package quarantine

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
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
	stabilityWindow    = 3 * time.Second
	crashesBeforeBound = 5
	maxLateCrashes     = 3
	// minJudged is the number of sound requests from which their share is judged.
	minJudged           = 20
	modelMaxBytes       = 200
	modelMaxPushedBytes = 1000
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
	// cut is set while the routers with even numbers exchange nothing with the others.
	cut     bool
	targets int
	// culprit is the part that crashes targets, in prompts of four shared parts.
	culprit uint64
	crashes []time.Time
	// waited and served are the times of sound requests.
	waited, served []time.Time
}

// clock returns the time at a router, whose clock is wrong by minutes.
func (f *modelFleet) clock(router int) time.Time {
	return f.now.Add(time.Duration(router) * 7 * time.Minute)
}

func (f *modelFleet) lost() bool {
	return f.links.IntN(100) < f.lossPct
}

func (f *modelFleet) connected(a, b int) bool {
	return !f.cut || a%2 == b%2
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
	for _, piece := range e.Split(modelMaxPushedBytes) {
		for to := range f.trackers {
			if to != from && !f.lost() && f.connected(from, to) {
				f.deliver(from, to, piece)
			}
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
			if to == from || e.Empty() || sent == modelFanout || !f.connected(from, to) {
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
		for i, t := range f.trackers {
			f.spread(i, t.Sweep(f.clock(i)).News)
		}
	}
}

// request sends a prompt to a router and returns how it stands there. One that is admitted
// reaches a target. One with the culprit crashes the target, which ends the bystanders' attempts
// there too.
func (f *modelFleet) request(router int, p []call.Part, bystanders ...[]call.Part) Standing {
	now := f.clock(router)
	admission := f.trackers[router].Admit(Request{Prompt: p}, Fleet{Routers: len(f.trackers), Draw: f.links.Float64()}, now)
	if !admission.Admitted() {
		return admission.Standing
	}
	culprit := false
	for _, part := range call.SharedParts(p) {
		culprit = culprit || part.ID == f.culprit
	}
	if !culprit {
		f.spread(router, f.trackers[router].RecordSuccess(Request{Prompt: p}, now).News)
		return admission.Standing
	}
	f.targets++
	f.crashes = append(f.crashes, f.now)
	target := fleet.TargetID(fmt.Sprint("t", f.targets))
	f.spread(router, f.trackers[router].RecordCrash(Request{Prompt: p, OnTrial: admission.Standing == OnTrial}, target, now, now).News)
	for _, bystander := range bystanders {
		other := rapid.IntRange(0, len(f.trackers)-1).Draw(f.r, "bystander's router")
		f.spread(other, f.trackers[other].RecordCrash(Request{Prompt: bystander}, target, f.clock(other), f.clock(other)).News)
	}
	return admission.Standing
}

// soundRequest sends a sound prompt and counts whether it reaches a target. It must never be refused
// for a quarantine; it may wait for the trial of another one.
func (f *modelFleet) soundRequest(router int, p []call.Part) {
	switch f.request(router, p) {
	case Quarantined:
		f.r.Fatalf("sound request %v was refused", p)
	case Waiting:
		f.waited = append(f.waited, f.now)
	default:
		f.served = append(f.served, f.now)
	}
}

// checkBounds fails if too many requests with the culprit reached targets, or too many sound ones
// had to wait, in the times for which there are bounds.
func (f *modelFleet) checkBounds() {
	if len(f.crashes) == 0 {
		return
	}
	bounded := f.crashes[min(len(f.crashes), crashesBeforeBound)-1]
	if late := countAfter(f.crashes, bounded.Add(stabilityWindow)); len(f.crashes) >= crashesBeforeBound && late > maxLateCrashes {
		f.r.Fatalf("%d requests reached targets later than %v after crash %d, want at most %d", late, stabilityWindow, crashesBeforeBound, maxLateCrashes)
	}
	waited, served := countAfter(f.waited, bounded.Add(2*stabilityWindow)), countAfter(f.served, bounded.Add(2*stabilityWindow))
	if waited+served >= minJudged && served < waited {
		f.r.Fatalf("later than %v after the last crash that counts %d sound requests were served and %d not, want at least half", 2*stabilityWindow, served, waited)
	}
}

func countAfter(times []time.Time, after time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(after) {
			n++
		}
	}
	return n
}

// randomPrompt returns a prompt whose shared part i is one of pool parts of that position.
func (f *modelFleet) randomPrompt(pool int) []call.Part {
	var parts []uint64
	for position := range 4 {
		parts = append(parts, uint64(10*position+rapid.IntRange(1, pool).Draw(f.r, "part")))
	}
	return prompt(parts...)
}

// checkNoSoundVerdict fails if a router has a verdict that the culprit is no member of.
func (f *modelFleet) checkNoSoundVerdict() {
	for i, t := range f.trackers {
		for _, v := range t.verdicts {
			if !v.isMember(f.culprit) {
				f.r.Fatalf("router %d has a verdict on the sound parts %d", i, v.members)
			}
		}
	}
}

// checkCulpritFound fails unless each router has a verdict on the culprit alone.
func (f *modelFleet) checkCulpritFound() {
	f.checkNoSoundVerdict()
	for i, t := range f.trackers {
		if t.verdicts[f.culprit] == nil {
			f.r.Fatalf("router %d of %d has no verdict on the culprit after %d crashes, but on %v", i, len(f.trackers), len(f.crashes), verdictMembers(t))
		}
	}
}

// TestStormSparesProvenParts plays a storm of crashes so dense that no sound request is
// served between them. The routers know the sound parts from before. They must not refuse one, and
// quarantine the culprit alone once each sound part has been served and their messages have arrived.
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
		for part := uint64(1); part <= pool; part++ {
			f.soundRequest(f.links.IntN(len(f.trackers)), prompt(part, 10+part, 20+part, 30+part))
		}
		if len(f.waited) > 0 {
			r.Fatalf("%d sound requests with parts that are known to be sound had to wait", len(f.waited))
		}
		f.advance(4 * time.Second)
		f.checkCulpritFound()
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
				f.soundRequest(router(), sound)
				f.checkNoSoundVerdict()
			}
			if i%3 == 2 {
				f.trackers[router()] = NewTracker()
			}
			f.advance(time.Duration(rapid.IntRange(100, 900).Draw(r, "pause")) * time.Millisecond)
		}
		f.advance(4 * time.Second)
		f.checkCulpritFound()
		f.checkBounds()
	})
}

// TestPartsBesideCulpritAreServed guards against verdicts on sound parts that stood beside the
// culprit at each crash, at any place in the prompt, and against culprits that are told apart too
// late. Sound requests have these parts without the culprit, crashing ones any of them with it.
func TestPartsBesideCulpritAreServed(t *testing.T) {
	const first, culprit = 1, 2
	rapid.Check(t, func(r *rapid.T) {
		f := &modelFleet{
			r: r, links: rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "links"), 1)), now: start, culprit: culprit,
			lossPct: rapid.SampledFrom([]int{0, 10, 20}).Draw(r, "loss percent"),
		}
		for range rapid.IntRange(3, 8).Draw(r, "routers") {
			f.trackers = append(f.trackers, NewTracker())
		}
		companions := make([]uint64, rapid.IntRange(0, 6).Draw(r, "companions"))
		for i := range companions {
			companions[i] = uint64(10 + i)
		}
		alwaysAll := rapid.Bool().Draw(r, "all crashing requests alike")
		soundPerSecond := rapid.IntRange(1, 10).Draw(r, "sound requests a second")
		router := func() int { return f.links.IntN(len(f.trackers)) }
		own := rapid.SampledFrom([]int{0, 0, 1, 40}).Draw(r, "parts of one prompt only")
		next := uint64(1 << 40)
		// withFirst returns a prompt of the first part of all, the given ones and own ones in random
		// order.
		withFirst := func(parts ...uint64) []call.Part {
			for range own {
				next++
				parts = append(parts, next)
			}
			f.links.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
			return prompt(append([]uint64{first}, parts...)...)
		}
		some := func() []uint64 {
			var list []uint64
			for _, c := range companions {
				if f.links.IntN(2) == 0 {
					list = append(list, c)
				}
			}
			return list
		}
		cutFor := rapid.SampledFrom([]int{0, 0, 5, 12}).Draw(r, "seconds of a cut")
		if rapid.Bool().Draw(r, "first part known") {
			f.request(router(), withFirst(900))
		}
		for second := range 40 {
			f.cut = second < cutFor
			with := companions
			if second >= 3 && !alwaysAll {
				with = some()
			}
			f.request(router(), withFirst(append(slices.Clone(with), culprit)...))
			for i := range soundPerSecond {
				if second >= 3 {
					f.soundRequest(router(), withFirst(append(some(), uint64(1000+100*second+i))...))
					f.checkNoSoundVerdict()
				}
				f.advance(time.Second / time.Duration(soundPerSecond))
			}
		}
		f.checkCulpritFound()
		if cutFor == 0 {
			f.checkBounds()
		} else if len(f.crashes) > 2*(crashesBeforeBound+maxLateCrashes) {
			r.Fatalf("%d crashes, more than both sides of a cut may have together", len(f.crashes))
		}
	})
}
