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

func TestPickFollowsOrder(t *testing.T) {
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
				t.Fatalf("chat %d, step %d: %s, want %s", chat, i, plan.Step(i).Target.ID, order[i].ID)
			}
		}
		if home := plan.Step(0).Home; home.Domain != order[0].Domain {
			t.Errorf("the home of %s is in %s", order[0].ID, home.Domain)
		}
	}
}

// TestPickRules checks every plan against the rules of placement, over random
// standings, states and requests.
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
			s := Standing(rapid.IntRange(0, 2).Draw(t, "standing"))
			phases[targets[i].ID] = Phase{s, at(rapid.IntRange(5, 15).Draw(t, "until"))}
		}
		v.Phase = func(id fleet.TargetID) Phase { return phases[id] }
		now := at(10)
		standing := func(id fleet.TargetID) Standing {
			if !now.Before(phases[id].Until) {
				return Settled
			}
			return phases[id].Standing
		}
		for id := range phases {
			if standing(id) == Settled {
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
		checkPlan(t, NewPicker(v).Pick(r), r, phases, standing, settled)
	})
}

func checkPlan(t *rapid.T, plan Plan, r Request, live map[fleet.TargetID]Phase, standing func(fleet.TargetID) Standing, settled int) {
	if plan.Len() == 0 {
		if len(live) > 0 {
			t.Fatal("no step although a target is live")
		}
		return
	}
	_, trusted := live[r.Context]
	if trusted && plan.Step(0).Target.ID != r.Context {
		t.Fatal("the token's target is not first")
	}
	seen := map[fleet.TargetID]bool{}
	flapping := false
	for i := range plan.Len() {
		s := plan.Step(i)
		if _, ok := live[s.Target.ID]; !ok {
			t.Fatalf("step %d goes to %s, which is leaving", i, s.Target.ID)
		}
		if s.ContextOnly {
			continue
		}
		if seen[s.Target.ID] {
			t.Fatalf("step %d repeats %s", i, s.Target.ID)
		}
		if s.Why == ByToken {
			seen[s.Target.ID] = true
			continue
		}
		if flapping && standing(s.Target.ID) != Flapping {
			t.Fatalf("step %d comes after a flapping target", i)
		}
		flapping = standing(s.Target.ID) == Flapping
		if r.Returning && len(seen) == 0 && settled > 0 && standing(s.Target.ID) != Settled {
			t.Fatalf("a returning chat goes to a %v target first", standing(s.Target.ID))
		}
		seen[s.Target.ID] = true
	}
}

func TestGroupUsesAsManyTargetsAsItsSpread(t *testing.T) {
	p := NewPicker(testView(60))
	for _, spread := range []int{1, 4} {
		first := map[fleet.TargetID]bool{}
		for chat := range fleet.ChatKey(500) {
			plan := p.Pick(Request{Service: "chat", Chat: fleet.ChatKey(rand.New(rand.NewPCG(1, uint64(chat))).Uint64()), Prefix: 9, Spread: spread})
			first[plan.Step(0).Target.ID] = true
		}
		if len(first) != spread {
			t.Errorf("a group over %d targets uses %d", spread, len(first))
		}
	}
}

func TestReturningChatsStayWhenATargetJoins(t *testing.T) {
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
	fresh := 0
	for chat := range fleet.ChatKey(1000) {
		r := Request{Service: "chat", Chat: chat, Returning: true, Now: at(0)}
		old, now := before.Pick(r), after.Pick(r)
		if old.Step(0).Target.ID != now.Step(0).Target.ID {
			t.Fatalf("chat %d moved", chat)
		}
		r.Returning = false
		if plan := after.Pick(r); plan.Step(0).Target.ID == "engine-12" {
			fresh++
		}
	}
	if fresh == 0 {
		t.Error("the joining target takes no new chats")
	}
}

func TestBaselines(t *testing.T) {
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
		t.Errorf("least-loaded goes to %s", got)
	}
	v.Policy = Random
	seen := map[fleet.TargetID]bool{}
	for i := range uint64(200) {
		plan := NewPicker(v).Pick(Request{Service: "chat", Chat: 1, Random: i * 0x9e3779b97f4a7c15})
		seen[plan.Step(0).Target.ID] = true
	}
	if len(seen) != 12 {
		t.Errorf("random reaches %d of 12 targets", len(seen))
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
						b.Fatal("no step")
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
		t.Errorf("%v allocations", allocs)
	}
}

// TestAnchorOfAGroupedChatDoesNotDependOnTheSpread checks that routers which
// measure different spreads ask the same home for a returning chat.
func TestAnchorOfAGroupedChatDoesNotDependOnTheSpread(t *testing.T) {
	p := NewPicker(testView(12))
	for chat := range fleet.ChatKey(200) {
		r := Request{Service: "chat", Chat: chat, Prefix: 5, Spread: 2, Returning: true}
		first := p.Pick(r)
		r.Spread = 3
		second := p.Pick(r)
		a, _ := first.Anchor()
		b, _ := second.Anchor()
		if a.Target != b.Target || second.Step(0).Target != a.Target || !second.Step(0).ContextOnly {
			t.Fatalf("chat %d: asked at %s and at %s", chat, a.Target.ID, b.Target.ID)
		}
	}
}
