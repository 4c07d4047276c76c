package streamversion

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// cutFor cuts a router off for a time.
func (f *fakeFleet) cutFor(r *fakeRouter, d time.Duration) {
	r.setCut(true)
	f.advance(d)
}

// TestStreamsThatBeginInCutAreNotJoined guards against streams that a listed router begins long after its split was
// replaced elsewhere, and that others take up without a record.
func TestStreamsThatBeginInCutAreNotJoined(t *testing.T) {
	const streams = 60
	one, two, other := map[fleet.SoftwareVersion]int{"v1": 6}, map[fleet.SoftwareVersion]int{"v1": 6, "v2": 6}, map[fleet.SoftwareVersion]int{"v2": 6}
	for name, test := range map[string]struct {
		routers int
		// releases are in force for so long each.
		releases []map[fleet.SoftwareVersion]int
		each     time.Duration
		then     func(f *fakeFleet, copied storeCopy)
	}{
		"a version joins":                   {4, []map[fleet.SoftwareVersion]int{two}, 75 * time.Second, nil},
		"a version joins, many routers":     {20, []map[fleet.SoftwareVersion]int{two}, 75 * time.Second, nil},
		"only another version is left":      {4, []map[fleet.SoftwareVersion]int{other}, 75 * time.Second, nil},
		"releases in series":                {4, []map[fleet.SoftwareVersion]int{two, other, two, one, other}, 200 * time.Second, nil},
		"a version leaves and is back":      {4, []map[fleet.SoftwareVersion]int{other, one}, 75 * time.Second, nil},
		"the others start again":            {4, []map[fleet.SoftwareVersion]int{other}, 75 * time.Second, func(f *fakeFleet, _ storeCopy) { f.restartOthers() }},
		"the others start again, two sides": {4, []map[fleet.SoftwareVersion]int{other}, 75 * time.Second, func(f *fakeFleet, _ storeCopy) { f.halves = true; f.restartOthers() }},
		"the store comes back from a copy": {4, []map[fleet.SoftwareVersion]int{other}, 75 * time.Second, func(f *fakeFleet, copied storeCopy) {
			f.store.restore(copied)
			f.restartOthers()
		}},
		"the store comes back without the list": {4, []map[fleet.SoftwareVersion]int{other}, 75 * time.Second, func(f *fakeFleet, copied storeCopy) {
			f.store.restore(storeCopy{object: copied.object})
			f.advance(10 * time.Second)
			f.restartOthers()
		}},
		"the router ends": {4, []map[fleet.SoftwareVersion]int{other}, 75 * time.Second, func(f *fakeFleet, _ storeCopy) { f.restart(1) }},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeFleet(test.routers)
			f.targets = targetsOf(one)
			f.advance(time.Minute)
			cut := f.routers[1]
			cut.setCut(true)
			copied := f.store.copy()
			for _, release := range test.releases {
				f.targets = targetsOf(release)
				f.advance(test.each)
			}
			var list []stream
			for i := range streams {
				key := NewKey("a", fleet.RequestID(fmt.Sprint("cut-", i)))
				if version, ok := cut.begin(key); ok {
					list = append(list, stream{key, version, f.now})
				}
			}
			if len(list) < streams {
				t.Fatalf("got %d of %d streams begun in the cut, want all", len(list), streams)
			}
			if test.then != nil {
				test.then(f, copied)
			}
			f.advance(2 * time.Second)
			newest := ByTargets(f.targets)
			for i, s := range list {
				r := f.routers[[]int{0, 2, 3}[i%3]]
				version, ok := r.resume(s.key, true)
				if ok && version != s.version {
					t.Errorf("a stream of %s was resumed at %s", s.version, version)
				}
				if agree := newest.VersionOf(s.key) == s.version; agree && !ok && len(test.releases) == 1 && test.then == nil {
					t.Error("a stream on whose version the splits agree was refused")
				}
				if version, ok := r.resume(NewKey("", ""), false); ok && version != s.version {
					t.Errorf("a stream of %s that names no request was resumed at %s", s.version, version)
				}
			}
		})
	}
}

// restartOthers replaces all routers that are not cut off.
func (f *fakeFleet) restartOthers() {
	for i, r := range f.routers {
		if !r.cut {
			f.restart(i)
		}
	}
}

// TestRouterBesideEarlierBuildsKeepsItsLease guards against streams that routers of earlier builds take up without
// reading the list.
func TestRouterBesideEarlierBuildsKeepsItsLease(t *testing.T) {
	for name, joins := range map[string]func(f *fakeFleet){
		"from the start": func(f *fakeFleet) { f.earlierBuild = true; f.advance(time.Minute) },
		"later":          func(f *fakeFleet) { f.advance(time.Minute); f.earlierBuild = true; f.advance(5 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeFleet(4)
			f.targets = targetsOf(map[fleet.SoftwareVersion]int{"v1": 6})
			joins(f)
			f.cutFor(f.routers[1], leaseTime+time.Second)
			if version, ok := f.routers[1].begin(1); ok {
				t.Errorf("a stream began at %s without a lease, want none", version)
			}
			f.routers[1].setCut(false)
			f.earlierBuild = false
			f.advance(listingDelay + 10*time.Second)
			f.cutFor(f.routers[1], leaseTime+time.Second)
			if _, ok := f.routers[1].begin(2); !ok {
				t.Error("once earlier builds are gone, no stream began in a cut, want it to")
			}
		})
	}
}

// TestRouterThatIsNotListedKeepsItsLease guards against a fresh router, or one that was killed while cut off, that
// begins streams of which the store does not know.
func TestRouterThatIsNotListedKeepsItsLease(t *testing.T) {
	f := newFakeFleet(4)
	f.targets = targetsOf(map[fleet.SoftwareVersion]int{"v1": 6})
	f.advance(time.Minute)
	f.restart(1)
	f.advance(10 * time.Second)
	f.cutFor(f.routers[1], leaseTime+time.Second)
	if _, ok := f.routers[1].begin(1); ok {
		t.Error("a router that was listed only now began a stream without a lease")
	}
	f.routers[1].setCut(false)
	f.advance(time.Minute)
	f.cutFor(f.routers[1], leaseTime+time.Second)
	if _, ok := f.routers[1].begin(2); !ok {
		t.Error("a listed router began no stream in a cut, want it to")
	}
	f.restart(1)
	f.advance(time.Second)
	if version, _ := f.routers[1].begin(3); version != "" {
		t.Errorf("a router that was killed in a cut began a stream at %s", version)
	}
}

// TestListTakesNoCallsInCalm guards against store calls for the list while no router starts or ends.
func TestListTakesNoCallsInCalm(t *testing.T) {
	f := newFakeFleet(14)
	f.targets = targetsOf(map[fleet.SoftwareVersion]int{"v1": 6, "v2": 6})
	f.advance(time.Minute)
	first := f.store.memberCalls
	f.advance(5 * time.Minute)
	for i := range 100 {
		f.routers[i%14].resume(Key(i), true)
	}
	if got := f.store.memberCalls; got != first || first > 6 {
		t.Errorf("got %d calls in the first minute and %d in the next five, want at most 6 and none", first, got-first)
	}
	f.targets = targetsOf(map[fleet.SoftwareVersion]int{"v2": 6})
	f.advance(time.Minute)
	if got := f.store.memberCalls - first; got > 6 {
		t.Errorf("a change of the split took %d calls, want at most 6", got)
	}
	t.Logf("calls for the list: %d at the start, %d for a change of the split", first, f.store.memberCalls-first)
}

// TestListOfLargeFleetIsSmall bounds the size of the list by that of other objects of the store.
func TestListOfLargeFleetIsSmall(t *testing.T) {
	for _, routers := range []int{300, 2500} {
		var known []Member
		for i := range routers {
			known = append(known, Member{Router: fleet.RouterID(fmt.Sprintf("edge-recife-%d", i)), Process: time.Now().UnixNano(), Revision: 1 << 40})
		}
		list, _ := (&members{}).update(known, 1<<40, time.Minute, time.Now())
		document, err := json.Marshal(list)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d routers: %d bytes", routers, len(document))
		if len(document) > 64*routers {
			t.Errorf("%d routers: got %d bytes, want at most 64 a router", routers, len(document))
		}
	}
}

// TestLateRouterIsListedUntilItTells guards against a split that counts as out of use while a listed router uses it.
func TestLateRouterIsListedUntilItTells(t *testing.T) {
	now := time.Unix(1000, 0)
	list, _ := (&members{}).update([]Member{{Router: "a", Process: 1, Revision: 5}, {Router: "b", Process: 1, Revision: 5}}, 5, time.Minute, now)
	for step, test := range []struct {
		known []Member
		after time.Duration
		told  uint64
	}{
		{[]Member{{Router: "a", Process: 1, Revision: 9}}, time.Minute, 5},
		{[]Member{{Router: "a", Process: 2, Revision: 9}, {Router: "b", Process: 1, Revision: 5}}, time.Hour, 5},
		// A message of an earlier process, and the next split.
		{[]Member{{Router: "a", Process: 2, Revision: 9}, {Router: "b", Process: 0, Revision: 9}}, time.Hour, 5},
		{[]Member{{Router: "a", Process: 2, Revision: 9}, {Router: "b", Process: 2, Revision: 9}}, time.Hour, 9},
	} {
		now = now.Add(test.after)
		list, _ = list.update(test.known, 9, time.Minute, now)
		if list.Told.Revision != test.told {
			t.Fatalf("step %d: got %d told, want %d: %+v", step, list.Told.Revision, test.told, list)
		}
	}
	list, _ = list.update([]Member{{Router: "a", Process: 2, Revision: 12}}, 12, time.Minute, now)
	list, _ = list.update([]Member{{Router: "a", Process: 2, Revision: 12}}, 12, time.Minute, now.Add(listedTime+time.Minute))
	if _, listed := list.Processes["b"]; listed || list.Told.Revision != 12 {
		t.Errorf("a router that was late for %v is still listed: %+v", listedTime, list)
	}
}
