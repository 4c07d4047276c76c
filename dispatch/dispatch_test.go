package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/suspicion"
)

var playStart = time.Unix(100_000, 0)

// fleetOf returns n targets that have been up for long.
func fleetOf(n int) []Candidate {
	candidates := make([]Candidate, n)
	for i := range candidates {
		candidates[i] = Candidate{Target: &catalog.Target{
			ID: fleet.TargetID(fmt.Sprintf("t-%d", i)), Slots: 12, Started: playStart.Add(-time.Hour),
			Domain: fleet.DomainName(fmt.Sprintf("d-%d", i%3)),
		}}
	}
	return candidates
}

func TestChooseKeepsAKeyThroughJoinsAndLeaves(t *testing.T) {
	candidates := fleetOf(12)
	moved := 0
	for key := range uint64(500) {
		all := Choose(Ask{Key: key + 1}, candidates, playStart)
		without := Choose(Ask{Key: key + 1}, candidates[:11], playStart)
		if all.Target != without.Target {
			moved++
			if all.Target != 11 {
				t.Fatalf("key %d moved between targets that stayed", key)
			}
		}
	}
	if moved == 0 || moved > 80 {
		t.Errorf("%d of 500 keys moved to the twelfth target", moved)
	}
}

func TestChooseNamesWhoHoldsTheCache(t *testing.T) {
	candidates := fleetOf(6)
	first := Choose(Ask{Key: 7}, candidates, playStart)
	if first.Source != -1 || first.Basis != BasisKey {
		t.Fatalf("the key's own target needs no source: %+v", first)
	}
	candidates[first.Target].Load = 1000
	over := Choose(Ask{Key: 7}, candidates, playStart)
	if over.Target == first.Target || over.Source != first.Target || over.Basis != BasisOverflow {
		t.Errorf("overflow %+v of %+v", over, first)
	}
	candidates[first.Target].Load = 0
	candidates[first.Target].Leaving = true
	after := Choose(Ask{Key: 7}, candidates, playStart)
	if after.Target == first.Target || after.Source != first.Target {
		t.Errorf("a leaving target is chosen, or is no source: %+v", after)
	}
	candidates[first.Target].Standing = suspicion.Shunned
	if dead := Choose(Ask{Key: 7}, candidates, playStart); dead.Source == first.Target {
		t.Error("a target that cannot be reached is a source")
	}
}

func TestChooseNamesASourceForATargetThatJoined(t *testing.T) {
	candidates := fleetOf(6)
	first := Choose(Ask{Key: 7}, candidates, playStart).Target
	candidates[first].Target.Started = playStart.Add(-time.Second)
	choice := Choose(Ask{Key: 7}, candidates, playStart)
	if choice.Target != first || choice.Source < 0 || choice.Source == first {
		t.Errorf("got %+v for the new target %d", choice, first)
	}
}

func TestChooseAvoidsTriedAndShunned(t *testing.T) {
	candidates := fleetOf(3)
	candidates[0].Standing = suspicion.Shunned
	candidates[1].Tried = true
	for _, key := range []uint64{0, 5} {
		if choice := Choose(Ask{Key: key}, candidates, playStart); choice.Target != 2 {
			t.Errorf("key %d: got %d", key, choice.Target)
		}
	}
	candidates[2].Tried = true
	if choice := Choose(Ask{}, candidates, playStart); choice.Target != 0 {
		t.Errorf("a shunned target is better than none: got %d", choice.Target)
	}
	candidates[0].Tried = true
	if choice := Choose(Ask{Key: 5}, candidates, playStart); choice.Target != -1 {
		t.Errorf("no target is left: got %d", choice.Target)
	}
}

func TestChoosePrefersTheOwnDomainAmongEquals(t *testing.T) {
	candidates := fleetOf(6)
	for i := range uint64(50) {
		c := Choose(Ask{Domain: "d-1", Random: i}, candidates, playStart)
		if candidates[c.Target].Target.Domain != "d-1" {
			t.Fatalf("got %d", c.Target)
		}
	}
}

// TestHotKeyLoad plays the load of a hot key: over a quarter of the requests ask
// about one thing, and every request stays for a while. No target may hold more
// than twice the mean and three, and keys that are not hot stay where they are.
func TestHotKeyLoad(t *testing.T) {
	const (
		targets = 140
		stay    = 600
		rounds  = 20_000
		keys    = 400
	)
	random := rand.New(rand.NewPCG(1, 2))
	candidates := fleetOf(targets)
	var ends [rounds + 2*stay + 1][]int
	over, moved, plain := 0, 0, 0
	for round := range rounds {
		for _, target := range ends[round] {
			candidates[target].Load--
		}
		key := uint64(random.IntN(keys)) + 2
		if random.Float64() < 0.28 {
			key = 1
		}
		choice := Choose(Ask{Key: key, Random: random.Uint64()}, candidates, playStart)
		if round > stay {
			mean := meanLoad(candidates)
			if candidates[choice.Target].Load > 2*mean+3 {
				over++
			}
			if key > 1 {
				plain++
				if choice.Basis == BasisOverflow {
					moved++
				}
			}
		}
		candidates[choice.Target].Load++
		end := round + 1 + random.IntN(2*stay)
		ends[end] = append(ends[end], choice.Target)
	}
	if over > 0 {
		t.Errorf("%d requests met a target over the bound", over)
	}
	if moved > plain/4 {
		t.Errorf("%d of %d requests with quiet keys left their target", moved, plain)
	}
	t.Logf("%d of %d requests with quiet keys left their target", moved, plain)
}

func TestChooseDoesNotAllocate(t *testing.T) {
	candidates := fleetOf(140)
	ask := Ask{Key: 77, Domain: "d-1", Random: 5}
	if n := testing.AllocsPerRun(100, func() { Choose(ask, candidates, playStart) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkChoose140(b *testing.B) {
	candidates := fleetOf(140)
	b.ReportAllocs()
	for b.Loop() {
		Choose(Ask{Key: 77, Random: 5}, candidates, playStart)
	}
}

func prompt(ids ...uint64) []call.Part {
	parts := make([]call.Part, len(ids))
	for i, id := range ids {
		parts[i] = call.Part{ID: id, Tokens: 100}
	}
	return parts
}

func TestHoldersBeyond(t *testing.T) {
	h := NewHolders()
	now := playStart
	usable := func(fleet.TargetID) bool { return true }
	h.Note(prompt(1, 2, 100), "a", now)
	h.Note(prompt(1, 3, 101), "b", now)
	for _, test := range []struct {
		name          string
		prompt        []call.Part
		chosen, guess fleet.TargetID
		want          fleet.TargetID
	}{
		{"the chosen target holds it", prompt(1, 2, 9), "a", "", ""},
		{"another one holds it", prompt(1, 2, 9), "c", "g", "a"},
		{"unknown, a guess", prompt(1, 4, 9), "c", "g", "g"},
		{"the beginning is held", prompt(1, 4, 9), "c", "", "b"},
		{"the chosen target holds the beginning", prompt(1, 4, 9), "a", "", ""},
		{"nothing is known", prompt(8, 9), "c", "", ""},
		{"no shared part", prompt(9), "c", "", ""},
	} {
		if got := h.Beyond(test.prompt, test.chosen, test.guess, now, usable); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
	if got := h.Beyond(prompt(1, 2, 9), "c", "", now.Add(holderLife), usable); got != "" {
		t.Errorf("an old holder %q is named", got)
	}
	h.Renewed("a")
	if got := h.Beyond(prompt(2, 9), "c", "", now, usable); got != "" {
		t.Errorf("a renewed target %q is named", got)
	}
}

func TestHoldersAreBounded(t *testing.T) {
	h := NewHolders()
	for i := range uint64(3 * mostParts) {
		h.Note(prompt(i+1, 0), "a", playStart)
	}
	if len(h.parts) > mostParts {
		t.Errorf("%d parts", len(h.parts))
	}
}
