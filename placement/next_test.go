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

// world is a fleet that a test changes at random.
type world struct {
	targets map[fleet.ServiceName][]fleet.Target
	routers []fleet.Router
	regions map[fleet.DomainName]fleet.RegionName
	phases  map[fleet.TargetID]Phase
}

func anyDomain(t *rapid.T) fleet.DomainName {
	return fleet.DomainName(fmt.Sprintf("domain-%d", rapid.IntRange(0, 4).Draw(t, "domain")))
}

func anyRegion(t *rapid.T) fleet.RegionName {
	return rapid.SampledFrom([]fleet.RegionName{"", "north", "south"}).Draw(t, "region")
}

// toggleRouter lets a router come, go, restart or come back elsewhere.
func (w *world) toggleRouter(t *rapid.T) {
	id := fleet.RouterID(fmt.Sprintf("r%d", rapid.IntRange(0, 7).Draw(t, "router")))
	d := anyDomain(t)
	r := fleet.Router{ID: id, Domain: d, Region: w.regions[d], Incarnation: rapid.Uint64Range(0, 2).Draw(t, "incarnation")}
	w.routers = slices.DeleteFunc(w.routers, func(o fleet.Router) bool { return o.ID == id })
	if rapid.Bool().Draw(t, "live") {
		w.routers = slices.Insert(w.routers, rapid.IntRange(0, len(w.routers)).Draw(t, "place"), r)
	}
}

// toggleTarget lets a target come, go or change.
func (w *world) toggleTarget(t *rapid.T) {
	service := rapid.SampledFrom([]fleet.ServiceName{"chat", "draw"}).Draw(t, "service")
	id := fleet.TargetID(fmt.Sprintf("%s-%d", service, rapid.IntRange(0, 9).Draw(t, "target")))
	list := slices.DeleteFunc(w.targets[service], func(o fleet.Target) bool { return o.ID == id })
	if rapid.IntRange(0, 3).Draw(t, "present") > 0 {
		list = append(list, fleet.Target{
			ID: id, Service: service, Domain: anyDomain(t),
			Weight: float64(rapid.IntRange(0, 2).Draw(t, "weight")),
			State:  rapid.SampledFrom([]fleet.Lifecycle{fleet.Live, "", fleet.Leaving}).Draw(t, "state"),
		})
	}
	slices.SortFunc(list, func(a, b fleet.Target) int { return compareIDs(a.ID, b.ID) })
	w.targets[service] = list
	if len(list) == 0 {
		delete(w.targets, service)
	}
}

func compareIDs(a, b fleet.TargetID) int {
	if a < b {
		return -1
	}
	return 1
}

func (w *world) changePhase(t *rapid.T) {
	id := fleet.TargetID(fmt.Sprintf("chat-%d", rapid.IntRange(0, 9).Draw(t, "target")))
	w.phases[id] = Phase{Standing(rapid.IntRange(0, 2).Draw(t, "standing")), at(rapid.IntRange(5, 15).Draw(t, "until"))}
}

func (w *world) changeRegion(t *rapid.T) {
	w.regions[anyDomain(t)] = anyRegion(t)
}

// view copies the world, as nothing of a view may change.
func (w *world) view() View {
	targets := map[fleet.ServiceName][]fleet.Target{}
	for service, list := range w.targets {
		targets[service] = slices.Clone(list)
	}
	regions, phases := maps.Clone(w.regions), maps.Clone(w.phases)
	return View{
		Targets: targets, Routers: slices.Clone(w.routers),
		Region: func(d fleet.DomainName) fleet.RegionName { return regions[d] },
		Phase:  func(id fleet.TargetID) Phase { return phases[id] },
	}
}

// TestNextEqualsAPickerBuiltFromNothing compares both after every few changes
// of a random sequence.
func TestNextEqualsAPickerBuiltFromNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{targets: map[fleet.ServiceName][]fleet.Target{}, regions: map[fleet.DomainName]fleet.RegionName{}, phases: map[fleet.TargetID]Phase{}}
		for range 12 {
			w.toggleRouter(t)
			w.toggleTarget(t)
			w.changeRegion(t)
		}
		changes := []func(*rapid.T){w.toggleRouter, w.toggleRouter, w.toggleTarget, w.changePhase, w.changeRegion}
		p := NewPicker(w.view())
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				rapid.SampledFrom(changes).Draw(t, "change")(t)
			}
			v := w.view()
			p = p.Next(v)
			compareTables(t, v, p, NewPicker(v))
			comparePlans(t, v, p, NewPicker(v))
		}
	})
}

func compareTables(t *rapid.T, v View, got, want *Picker) {
	for service, targets := range v.Targets {
		if got.Size(service) != want.Size(service) || got.Weight(service) != want.Weight(service) {
			t.Fatalf("%s: size %d and weight %v, want %d and %v", service, got.Size(service), got.Weight(service), want.Size(service), want.Weight(service))
		}
		for _, r := range v.Routers {
			if got.HomedWeight(service, r.ID) != want.HomedWeight(service, r.ID) {
				t.Fatalf("%s: another weight is homed at %s", service, r.ID)
			}
		}
		for _, target := range targets {
			compareTarget(t, v, target, got, want)
		}
	}
	if len(got.tables) != len(want.tables) {
		t.Fatalf("%d tables, want %d", len(got.tables), len(want.tables))
	}
}

// compareTarget also asks a plain reading of the rule for the home.
func compareTarget(t *rapid.T, v View, target fleet.Target, got, want *Picker) {
	a, home, okA := got.Target(target.Service, target.ID)
	_, _, okB := want.Target(target.Service, target.ID)
	if okA != okB {
		t.Fatalf("%s: present %v, want %v", target.ID, okA, okB)
	}
	if !okA {
		return
	}
	if *a != target {
		t.Fatalf("%s is %+v, want %+v", target.ID, *a, target)
	}
	rule := plainHome(target, v)
	if (home == nil) != (rule == nil) || home != nil && *home != *rule {
		t.Fatalf("the home of %s is %v, want %v", target.ID, home, rule)
	}
}

// plainHome applies the rule of homes without any table.
func plainHome(target fleet.Target, v View) *fleet.Router {
	region := v.Region(target.Domain)
	rules := []func(fleet.Router) bool{
		func(r fleet.Router) bool { return r.Domain == target.Domain },
		func(r fleet.Router) bool { return region != "" && r.Region == region },
		func(fleet.Router) bool { return true },
	}
	for _, among := range rules {
		var best *fleet.Router
		for _, r := range v.Routers {
			if among(r) && (best == nil || homeHash(target, r) > homeHash(target, *best)) {
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
				t.Fatalf("a plan of %d steps, want %d", a.Len(), b.Len())
			}
			for i := range a.Len() {
				compareSteps(t, a.Step(i), b.Step(i))
			}
		}
	}
}

func compareSteps(t *rapid.T, a, b Step) {
	if *a.Target != *b.Target || (a.Home == nil) != (b.Home == nil) || a.Home != nil && *a.Home != *b.Home {
		t.Fatalf("a step to %v at %v, want %v at %v", a.Target, a.Home, b.Target, b.Home)
	}
	a.Target, a.Home, b.Target, b.Home = nil, nil, nil, nil
	if a != b {
		t.Fatalf("step %+v, want %+v", a, b)
	}
}

func TestNextKeepsTheTablesThatDidNotChange(t *testing.T) {
	v := testView(6)
	v.Targets["draw"] = []fleet.Target{{ID: "draw-0", Service: "draw", Domain: "domain-1"}}
	before := NewPicker(v)
	v.Targets = maps.Clone(v.Targets)
	v.Targets["chat"] = testTargets(7)
	v.Targets["draw"] = slices.Clone(v.Targets["draw"])
	after := before.Next(v)
	if after.tables["draw"] != before.tables["draw"] {
		t.Error("a table without a change was built anew")
	}
	if after.Size("chat") != 7 || before.Size("chat") != 6 {
		t.Error("a changed service keeps its table, or the picker before changed")
	}
}
