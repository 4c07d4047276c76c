package streamversion

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// skewTime is how long a play of TestStreamsBesideNewVersionAreNotJoined lasts after the new targets have joined.
const skewTime = 10 * time.Second

// skewedRouter is a router that is out of step between two moments of a play.
type skewedRouter struct {
	router      *fakeRouter
	from, until time.Duration
}

// skewedPlay is a play of a version that joins while routers are out of step.
type skewedPlay struct {
	fleet   *fakeFleet
	random  *rand.Rand
	out     []skewedRouter
	streams []stream
	// joined counts the streams that were resumed at another version, resumed and refused those that were not.
	joined, resumed, refused int
	// notBegun counts the new streams that were refused at routers in step.
	notBegun int
	// split is the revision of the newest split.
	split uint64
	// withdrawn counts the splits without a version whose targets are all there.
	withdrawn int
}

// TestStreamsBesideNewVersionAreNotJoined guards against streams that routers out of step resume at the only version that
// they know, while others begin streams at a new one.
func TestStreamsBesideNewVersionAreNotJoined(t *testing.T) {
	total := skewedPlay{}
	for seed := range uint64(300) {
		p := playSkew(seed)
		if p.joined > 0 {
			t.Errorf("seed %d: %d streams were resumed at another version than they began at", seed, p.joined)
		}
		if p.withdrawn > 0 {
			t.Errorf("seed %d: a split lacks a version of which all targets are there, %d times", seed, p.withdrawn)
		}
		total.joined, total.resumed, total.refused, total.notBegun = total.joined+p.joined, total.resumed+p.resumed, total.refused+p.refused, total.notBegun+p.notBegun
	}
	t.Logf("joined %d, resumed %d, refused %d, not begun at routers in step %d", total.joined, total.resumed, total.refused, total.notBegun)
	if total.notBegun > 0 {
		t.Errorf("%d new streams were refused at routers in step, want none", total.notBegun)
	}
	if total.resumed < 4*total.refused {
		t.Errorf("%d streams were resumed and %d refused, want four in five resumed", total.resumed, total.refused)
	}
}

// playSkew plays one seed: one or two new versions, and routers that are out of step around their entry.
func playSkew(seed uint64) *skewedPlay {
	random := rand.New(rand.NewPCG(seed, 46))
	p := &skewedPlay{fleet: newFakeFleet(3 + random.IntN(4)), random: random}
	f := p.fleet
	f.together = random.IntN(2) == 0
	f.targets = targetsOf(map[fleet.SoftwareVersion]int{"v1": 6})
	f.advance(time.Minute)
	for _, i := range random.Perm(len(f.routers))[:1+random.IntN(2)] {
		from := time.Duration(random.IntN(16)) * checkInterval
		length := time.Duration(2+random.IntN(50)) * checkInterval
		p.out = append(p.out, skewedRouter{f.routers[i], from, from + length})
		f.routers[i].listDelay = time.Duration(random.IntN(10)) * checkInterval
	}
	join := time.Duration(4+random.IntN(8)) * checkInterval
	third := join + time.Duration(5+random.IntN(25))*checkInterval
	hasThird := random.IntN(3) == 0
	for at := time.Duration(0); at < join+skewTime; at += checkInterval {
		for _, o := range p.out {
			o.router.setCut(at >= o.from && at < o.until)
		}
		switch {
		case hasThird && at >= third:
			f.targets = targetsOf(map[fleet.SoftwareVersion]int{"v1": 6, "v2": 6, "v3": 6})
		case at >= join:
			f.targets = targetsOf(map[fleet.SoftwareVersion]int{"v1": 6, "v2": 6})
		}
		f.advance(checkInterval)
		p.begin(at)
		p.takeUp()
		p.checkSplit()
	}
	return p
}

// checkSplit counts a split that lacks a version which the one before had.
func (p *skewedPlay) checkSplit() {
	history, err := ParseHistory(p.fleet.store.object.Spec)
	if err != nil || len(history.Splits) < 2 || p.fleet.store.object.Revision == p.split {
		return
	}
	p.split = p.fleet.store.object.Revision
	for _, share := range history.Splits[1].Split {
		if !history.Current().has(share.Version) {
			p.withdrawn++
		}
	}
}

// begin begins some streams, mostly at routers in step.
func (p *skewedPlay) begin(at time.Duration) {
	for n := range 4 {
		r := p.fleet.routers[p.random.IntN(len(p.fleet.routers))]
		key := NewKey("a", fleet.RequestID(fmt.Sprint(at, n)))
		version, ok := r.begin(key)
		switch {
		case ok:
			p.streams = append(p.streams, stream{key, version, p.fleet.now})
		case !r.cut && r.cutTo.IsZero():
			p.notBegun++
		}
	}
}

// takeUp takes up streams at any router, those that are out of step most of all.
func (p *skewedPlay) takeUp() {
	for range min(8, len(p.streams)) {
		s := p.streams[len(p.streams)-1-p.random.IntN(min(24, len(p.streams)))]
		r := p.fleet.routers[p.random.IntN(len(p.fleet.routers))]
		if p.random.IntN(3) > 0 {
			r = p.out[p.random.IntN(len(p.out))].router
		}
		switch version, ok := r.resume(s.key, true); {
		case !ok:
			p.refused++
		case version != s.version:
			p.joined++
		default:
			p.resumed++
		}
	}
}

// TestRoutersThatLostTheStoreFirstJoinNoStreams guards against routers that have been without the store for long when they
// are cut off from those that have it, and go on by the split that they know.
func TestRoutersThatLostTheStoreFirstJoinNoStreams(t *testing.T) {
	f := newFakeFleet(7)
	f.together = true
	f.targets = targetsOf(map[fleet.SoftwareVersion]int{"v1": 6})
	f.advance(time.Minute)
	out := f.routers[4:]
	for _, r := range out {
		r.withoutStore = true
	}
	f.advance(10 * time.Second)
	for _, r := range out {
		r.setCut(true)
	}
	f.targets = targetsOf(map[fleet.SoftwareVersion]int{"v1": 6, "v2": 6})
	joined, begun := 0, map[Key]fleet.SoftwareVersion{}
	for i := range Key(100) {
		f.advance(checkInterval)
		begun[i], _ = f.routers[i%4].begin(i)
		for key, want := range begun {
			if version, ok := out[key%3].resume(key, true); ok && version != want {
				joined++
			}
		}
	}
	if joined > 0 {
		t.Errorf("%d streams were resumed at another version than they began at", joined)
	}
}

// TestRouterBackAtDrillDoesNotTrustTargetsOfCopy guards against a router that was cut off while a version joined, and is back
// as the store comes back from a copy that lacks the targets of that version.
func TestRouterBackAtDrillDoesNotTrustTargetsOfCopy(t *testing.T) {
	for _, cut := range []time.Duration{3 * time.Second, 6 * time.Second} {
		playDrillAfterCut(t, cut)
	}
}

// playDrillAfterCut plays a cut of a time, and a drill at its end.
func playDrillAfterCut(t *testing.T, cut time.Duration) {
	t.Helper()
	f := newFakeFleet(4)
	old := targetsOf(map[fleet.SoftwareVersion]int{"v1": 6})
	f.targets = old
	f.advance(time.Minute)
	copied, back := f.store.copy(), f.routers[1]
	back.setCut(true)
	f.targets = targetsOf(map[fleet.SoftwareVersion]int{"v1": 6, "v2": 6})
	f.advance(cut)
	begun := map[Key]fleet.SoftwareVersion{}
	for i := range Key(60) {
		if version, ok := f.routers[0].begin(i); ok {
			begun[i] = version
		}
	}
	back.setCut(false)
	f.store.restore(copied)
	// The other routers keep the targets that the copy lacks for a while.
	both := f.targets
	f.targets = old
	f.refresh(back)
	f.targets = both
	for key, want := range begun {
		if got, ok := back.resume(key, true); ok && got != want {
			t.Errorf("cut of %v: a stream of %s was resumed at %s", cut, want, got)
		}
	}
}

// TestStreamsOfOnlyVersionGoOnAfterDrill guards against refusing streams after a drill of a service that has one version.
func TestStreamsOfOnlyVersionGoOnAfterDrill(t *testing.T) {
	f := newFakeFleet(9)
	f.targets = targetsOf(map[fleet.SoftwareVersion]int{"v1": 6})
	f.advance(3 * time.Minute)
	copied := f.store.copy()
	f.advance(5 * time.Second)
	f.store.restore(copied)
	for range 10 {
		for _, r := range f.routers {
			for key := range Key(10) {
				if version, ok := r.resume(key, true); version != "v1" || !ok {
					t.Errorf("router %d resumed stream %d at %q, %v, want v1", r.index, key, version, ok)
				}
			}
		}
		f.advance(checkInterval)
	}
}
