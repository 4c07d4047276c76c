package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/fleet"
)

func testView(n int) View {
	return View{
		Targets: map[fleet.ServiceName][]fleet.Target{"chat": testTargets(n)},
		Routers: []fleet.Router{{ID: "r0", Domain: "domain-0"}, {ID: "r1", Domain: "domain-1"}, {ID: "r2", Domain: "domain-2"}},
		Region:  func(fleet.DomainName) fleet.RegionName { return "north" },
	}
}

func TestPickMatchesOrder(t *testing.T) {
	for _, weight := range []float64{1, 3} {
		v := testView(20)
		v.Targets["chat"][4].Weight = weight
		checkAgainstOrder(t, v)
	}
}

func checkAgainstOrder(t *testing.T, v View) {
	t.Helper()
	p := NewPicker(v)
	for chat := range fleet.ChatKey(500) {
		plan := p.Pick(Request{Service: "chat", Chat: chat})
		order := Order(nil, chat, v.Targets["chat"])
		for i := range plan.Len() {
			if plan.Step(i).Target.ID != order[i].ID {
				t.Fatalf("chat %d, step %d: got %s, want %s", chat, i, plan.Step(i).Target.ID, order[i].ID)
			}
		}
		if home := plan.Step(0).Home; home.Domain != order[0].Domain {
			t.Errorf("home of %s: got domain %s, want that of the target", order[0].ID, home.Domain)
		}
	}
}

// TestPickRules checks plans against the placement rules with random phases,
// target states and requests.
func TestPickRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := testView(rapid.IntRange(1, 15).Draw(t, "targets"))
		targets := v.Targets["chat"]
		phases := map[fleet.TargetID]Phase{}
		settled := 0
		for i := range targets {
			if rapid.IntRange(0, 5).Draw(t, "leaving") == 0 {
				targets[i].State = fleet.Leaving
				continue
			}
			s := Stability(rapid.IntRange(0, 2).Draw(t, "standing"))
			phases[targets[i].ID] = Phase{s, at(rapid.IntRange(5, 15).Draw(t, "until"))}
		}
		v.Phase = func(id fleet.TargetID) Phase { return phases[id] }
		now := at(10)
		stability := func(id fleet.TargetID) Stability {
			if !now.Before(phases[id].Until) {
				return Settled
			}
			return phases[id].Stability
		}
		for id := range phases {
			if stability(id) == Settled {
				settled++
			}
		}
		r := Request{
			Service: "chat", Chat: fleet.ChatKey(rapid.Uint64().Draw(t, "chat")), Now: now,
			Returning: rapid.Bool().Draw(t, "returning"),
			Prefix:    fleet.PrefixKey(rapid.Uint64Range(0, 1).Draw(t, "prefix")),
			Spread:    rapid.IntRange(0, 5).Draw(t, "spread"),
		}
		if rapid.Bool().Draw(t, "token") {
			r.Context = targets[rapid.IntRange(0, len(targets)-1).Draw(t, "context")].ID
		}
		checkPlan(t, NewPicker(v).Pick(r), r, phases, stability, settled)
	})
}

func checkPlan(t *rapid.T, plan Plan, r Request, live map[fleet.TargetID]Phase, stability func(fleet.TargetID) Stability, settled int) {
	if plan.Len() == 0 {
		if len(live) > 0 {
			t.Fatal("got no step, want one because a target is live")
		}
		return
	}
	_, contextLive := live[r.Context]
	if contextLive && plan.Step(0).Target.ID != r.Context {
		t.Fatal("the target of the token is not in the first step")
	}
	seen := map[fleet.TargetID]bool{}
	flapping := false
	for i := range plan.Len() {
		s := plan.Step(i)
		if _, ok := live[s.Target.ID]; !ok {
			t.Fatalf("step %d: got %s, want a live target", i, s.Target.ID)
		}
		if s.ContextOnly {
			continue
		}
		if seen[s.Target.ID] {
			t.Fatalf("step %d: got %s again", i, s.Target.ID)
		}
		if s.Reason == ByToken {
			seen[s.Target.ID] = true
			continue
		}
		if flapping && stability(s.Target.ID) != Flapping {
			t.Fatalf("step %d: got a target that is not flapping after a flapping one", i)
		}
		flapping = stability(s.Target.ID) == Flapping
		if r.Returning && len(seen) == 0 && settled > 0 && stability(s.Target.ID) != Settled {
			t.Fatalf("first target of a returning chat: got a %v one, want a settled one", stability(s.Target.ID))
		}
		seen[s.Target.ID] = true
	}
}

func TestPrefixGroupUsesSpreadTargets(t *testing.T) {
	p := NewPicker(testView(60))
	for _, spread := range []int{1, 4} {
		first := map[fleet.TargetID]bool{}
		for chat := range fleet.ChatKey(500) {
			plan := p.Pick(Request{Service: "chat", Chat: fleet.ChatKey(rand.New(rand.NewPCG(1, uint64(chat))).Uint64()), Prefix: 9, Spread: spread})
			first[plan.Step(0).Target.ID] = true
		}
		if len(first) != spread {
			t.Errorf("group with spread %d: got %d targets", spread, len(first))
		}
	}
}

func TestReturningChatsStayWhenTargetJoins(t *testing.T) {
	v := testView(12)
	before := NewPicker(v)
	v.Targets = map[fleet.ServiceName][]fleet.Target{"chat": testTargets(13)}
	v.Phase = func(id fleet.TargetID) Phase {
		if id == "engine-12" {
			return Phase{Joining, at(60)}
		}
		return Phase{}
	}
	after := NewPicker(v)
	newChats := 0
	for chat := range fleet.ChatKey(1000) {
		r := Request{Service: "chat", Chat: chat, Returning: true, Now: at(0)}
		old, now := before.Pick(r), after.Pick(r)
		if old.Step(0).Target.ID != now.Step(0).Target.ID {
			t.Fatalf("chat %d: the first target changed", chat)
		}
		r.Returning = false
		if plan := after.Pick(r); plan.Step(0).Target.ID == "engine-12" {
			newChats++
		}
	}
	if newChats == 0 {
		t.Error("the joining target receives no new chats")
	}
}

func TestBaselinePolicies(t *testing.T) {
	v := testView(12)
	v.Policy = LeastLoaded
	load := func(id fleet.TargetID) float64 {
		if id == "engine-5" {
			return 1
		}
		return 2
	}
	leastLoaded := NewPicker(v).Pick(Request{Service: "chat", Random: 3, Load: load})
	if got := leastLoaded.Step(0).Target.ID; got != "engine-5" {
		t.Errorf("least-loaded: got %s, want engine-5", got)
	}
	v.Policy = Random
	seen := map[fleet.TargetID]bool{}
	for i := range uint64(200) {
		plan := NewPicker(v).Pick(Request{Service: "chat", Chat: 1, Random: i * 0x9e3779b97f4a7c15})
		seen[plan.Step(0).Target.ID] = true
	}
	if len(seen) != 12 {
		t.Errorf("random: got %d targets, want all 12", len(seen))
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 300, 10_000} {
		for _, weights := range []string{"equal", "mixed"} {
			b.Run(fmt.Sprintf("targets=%d/weights=%s", n, weights), func(b *testing.B) {
				v := testView(n)
				if weights == "mixed" {
					v.Targets["chat"][0].Weight = 2
				}
				p := NewPicker(v)
				r := Request{Service: "chat", Returning: true, Now: time.Unix(1_800_000_000, 0)}
				b.ReportAllocs()
				for b.Loop() {
					r.Chat++
					plan := p.Pick(r)
					if plan.Len() == 0 {
						b.Fatal("got an empty plan")
					}
				}
			})
		}
	}
}

func TestPickDoesNotAllocate(t *testing.T) {
	p := NewPicker(testView(300))
	r := Request{Service: "chat", Returning: true, Prefix: 3, Spread: 4, Context: "engine-7", Now: at(0)}
	if allocs := testing.AllocsPerRun(50, func() { p.Pick(r) }); allocs != 0 {
		t.Errorf("got %v allocations, want 0", allocs)
	}
}

// TestAnchorDoesNotDependOnSpread guards against routers that measure different
// spreads asking different homes for a returning chat.
func TestAnchorDoesNotDependOnSpread(t *testing.T) {
	p := NewPicker(testView(12))
	for chat := range fleet.ChatKey(200) {
		r := Request{Service: "chat", Chat: chat, Prefix: 5, Spread: 2, Returning: true}
		first := p.Pick(r)
		r.Spread = 3
		second := p.Pick(r)
		a, _ := first.Anchor()
		b, _ := second.Anchor()
		if a.Target != b.Target || second.Step(0).Target != a.Target || !second.Step(0).ContextOnly {
			t.Fatalf("chat %d: got anchors %s and %s, want the same in the first, context-only step", chat, a.Target.ID, b.Target.ID)
		}
	}
}
