package placement

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
)

// randomFleet is a fleet that a test changes at random.
type randomFleet struct {
	targets map[fleet.ServiceName][]fleet.Target
	routers []fleet.Router
	regions map[fleet.DomainName]fleet.RegionName
	phases  map[fleet.TargetID]Phase
}

func drawDomain(t *rapid.T) fleet.DomainName {
	return fleet.DomainName(fmt.Sprintf("domain-%d", rapid.IntRange(0, 4).Draw(t, "domain")))
}

func drawRegion(t *rapid.T) fleet.RegionName {
	return rapid.SampledFrom([]fleet.RegionName{"", "north", "south"}).Draw(t, "region")
}

// toggleRouter makes a router join, leave, restart or move to another failure
// domain.
func (f *randomFleet) toggleRouter(t *rapid.T) {
	id := fleet.RouterID(fmt.Sprintf("r%d", rapid.IntRange(0, 7).Draw(t, "router")))
	d := drawDomain(t)
	r := fleet.Router{ID: id, Domain: d, Region: f.regions[d], Incarnation: rapid.Uint64Range(0, 2).Draw(t, "incarnation")}
	f.routers = slices.DeleteFunc(f.routers, func(o fleet.Router) bool { return o.ID == id })
	if rapid.Bool().Draw(t, "live") {
		f.routers = slices.Insert(f.routers, rapid.IntRange(0, len(f.routers)).Draw(t, "place"), r)
	}
}

// toggleTarget makes a target join, leave or change.
func (f *randomFleet) toggleTarget(t *rapid.T) {
	service := rapid.SampledFrom([]fleet.ServiceName{"chat", "draw"}).Draw(t, "service")
	id := fleet.TargetID(fmt.Sprintf("%s-%d", service, rapid.IntRange(0, 9).Draw(t, "target")))
	list := slices.DeleteFunc(f.targets[service], func(o fleet.Target) bool { return o.ID == id })
	if rapid.IntRange(0, 3).Draw(t, "present") > 0 {
		list = append(list, fleet.Target{
			ID: id, Service: service, Domain: drawDomain(t),
			Weight: float64(rapid.IntRange(0, 2).Draw(t, "weight")),
			State:  rapid.SampledFrom([]fleet.Lifecycle{fleet.Live, "", fleet.Leaving}).Draw(t, "state"),
		})
	}
	slices.SortFunc(list, func(a, b fleet.Target) int { return compareIDs(a.ID, b.ID) })
	f.targets[service] = list
	if len(list) == 0 {
		delete(f.targets, service)
	}
}

func compareIDs(a, b fleet.TargetID) int {
	if a < b {
		return -1
	}
	return 1
}

func (f *randomFleet) changePhase(t *rapid.T) {
	id := fleet.TargetID(fmt.Sprintf("chat-%d", rapid.IntRange(0, 9).Draw(t, "target")))
	f.phases[id] = Phase{Stability(rapid.IntRange(0, 2).Draw(t, "standing")), at(rapid.IntRange(5, 15).Draw(t, "until"))}
}

func (f *randomFleet) changeRegion(t *rapid.T) {
	f.regions[drawDomain(t)] = drawRegion(t)
}

// view returns a copy of the fleet, since a view must not be modified.
func (f *randomFleet) view() View {
	targets := map[fleet.ServiceName][]fleet.Target{}
	for service, list := range f.targets {
		targets[service] = slices.Clone(list)
	}
	regions, phases := maps.Clone(f.regions), maps.Clone(f.phases)
	return View{
		Targets: targets, Routers: slices.Clone(f.routers),
		Region: func(d fleet.DomainName) fleet.RegionName { return regions[d] },
		Phase:  func(id fleet.TargetID) Phase { return phases[id] },
	}
}

// TestWithViewMatchesNewPicker guards against WithView reusing a table or home that a
// change made invalid. It compares WithView with NewPicker after random changes.
func TestWithViewMatchesNewPicker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &randomFleet{targets: map[fleet.ServiceName][]fleet.Target{}, regions: map[fleet.DomainName]fleet.RegionName{}, phases: map[fleet.TargetID]Phase{}}
		for range 12 {
			f.toggleRouter(t)
			f.toggleTarget(t)
			f.changeRegion(t)
		}
		changes := []func(*rapid.T){f.toggleRouter, f.toggleRouter, f.toggleTarget, f.changePhase, f.changeRegion}
		p := NewPicker(f.view())
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				rapid.SampledFrom(changes).Draw(t, "change")(t)
			}
			v := f.view()
			p = p.WithView(v)
			compareTables(t, v, p, NewPicker(v))
			comparePlans(t, v, p, NewPicker(v))
		}
	})
}

func compareTables(t *rapid.T, v View, got, want *Picker) {
	for service, targets := range v.Targets {
		if got.TargetCount(service) != want.TargetCount(service) || got.TotalWeight(service) != want.TotalWeight(service) {
			t.Fatalf("%s: got size %d and weight %v, want %d and %v", service, got.TargetCount(service), got.TotalWeight(service), want.TargetCount(service), want.TotalWeight(service))
		}
		for _, r := range v.Routers {
			if got.HomedWeight(service, r.ID) != want.HomedWeight(service, r.ID) {
				t.Fatalf("%s: the homed weight at %s differs from that of a new picker", service, r.ID)
			}
		}
		for _, target := range targets {
			compareTarget(t, v, target, got, want)
		}
	}
	if len(got.tables) != len(want.tables) {
		t.Fatalf("got %d tables, want %d", len(got.tables), len(want.tables))
	}
}

// compareTarget also checks the home against expectedHome.
func compareTarget(t *rapid.T, v View, target fleet.Target, got, want *Picker) {
	a, home, okA := got.Target(target.Service, target.ID)
	_, _, okB := want.Target(target.Service, target.ID)
	if okA != okB {
		t.Fatalf("%s: got present %v, want %v", target.ID, okA, okB)
	}
	if !okA {
		return
	}
	if *a != target {
		t.Fatalf("%s: got %+v, want %+v", target.ID, *a, target)
	}
	expected := expectedHome(target, v)
	if (home == nil) != (expected == nil) || home != nil && *home != *expected {
		t.Fatalf("home of %s: got %v, want %v", target.ID, home, expected)
	}
}

// expectedHome computes the home router directly from its definition, without
// any table.
func expectedHome(target fleet.Target, v View) *fleet.Router {
	region := v.Region(target.Domain)
	rules := []func(fleet.Router) bool{
		func(r fleet.Router) bool { return r.Domain == target.Domain },
		func(r fleet.Router) bool { return region != "" && r.Region == region },
		func(fleet.Router) bool { return true },
	}
	for _, candidate := range rules {
		var best *fleet.Router
		for _, r := range v.Routers {
			if candidate(r) && (best == nil || homeHash(target, r) > homeHash(target, *best)) {
				best = &r
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

func homeHash(target fleet.Target, r fleet.Router) uint64 {
	return rendezvous.Mix(rendezvous.Seed(string(r.ID)), rendezvous.Seed(string(target.ID)))
}

func comparePlans(t *rapid.T, v View, got, want *Picker) {
	for service := range v.Targets {
		for chat := range fleet.ChatKey(10) {
			r := Request{Service: service, Chat: chat, Now: at(10), Returning: chat%2 == 0, Prefix: fleet.PrefixKey(chat % 3), Spread: 2}
			a, b := got.Pick(r), want.Pick(r)
			if a.Len() != b.Len() {
				t.Fatalf("got a plan of %d steps, want %d", a.Len(), b.Len())
			}
			for i := range a.Len() {
				compareSteps(t, a.Step(i), b.Step(i))
			}
		}
	}
}

func compareSteps(t *rapid.T, a, b Step) {
	if *a.Target != *b.Target || (a.Home == nil) != (b.Home == nil) || a.Home != nil && *a.Home != *b.Home {
		t.Fatalf("got a step to %v at %v, want %v at %v", a.Target, a.Home, b.Target, b.Home)
	}
	a.Target, a.Home, b.Target, b.Home = nil, nil, nil, nil
	if a != b {
		t.Fatalf("got step %+v, want %+v", a, b)
	}
}

func TestNextReusesUnchangedTables(t *testing.T) {
	v := testView(6)
	v.Targets["draw"] = []fleet.Target{{ID: "draw-0", Service: "draw", Domain: "domain-1"}}
	before := NewPicker(v)
	v.Targets = maps.Clone(v.Targets)
	v.Targets["chat"] = testTargets(7)
	v.Targets["draw"] = slices.Clone(v.Targets["draw"])
	after := before.WithView(v)
	if after.tables["draw"] != before.tables["draw"] {
		t.Error("the table of an unchanged service was rebuilt")
	}
	if after.TargetCount("chat") != 7 || before.TargetCount("chat") != 6 {
		t.Error("the table of a changed service was not rebuilt, or the previous picker changed")
	}
}
