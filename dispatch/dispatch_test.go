package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/suspicion"
)

var playStart = time.Unix(100_000, 0)

// fleetState is a fleet of targets with the signs that tests set.
type fleetState struct {
	targets  []*catalog.Target
	at       map[fleet.TargetID]int
	load     []float64
	standing []suspicion.Standing
	tried    []fleet.TargetID
	// leaving holds the places of targets that take no more work.
	leaving map[int]bool
	// total is the sum of the loads.
	total float64
}

func (f *fleetState) Load(t *catalog.Target) float64                { return f.load[f.at[t.ID]] }
func (f *fleetState) Standing(t *catalog.Target) suspicion.Standing { return f.standing[f.at[t.ID]] }

// field is the first n targets.
func (f *fleetState) field(n int) *Field {
	var serving, leaving []*catalog.Target
	for i, t := range f.targets[:n] {
		if f.leaving[i] {
			leaving = append(leaving, t)
		} else {
			serving = append(serving, t)
		}
	}
	return NewField(serving, leaving)
}

// choose asks for a target among the first n and returns its place.
func (f *fleetState) choose(a Ask, n int) (Choice, int) {
	a.Tried = f.tried
	for i := range n {
		if !f.leaving[i] {
			a.Mean += f.load[i] / float64(n-len(f.leaving))
		}
	}
	choice := Choose(a, f.field(n), f, playStart)
	return choice, f.place(choice.Target)
}

func (f *fleetState) place(t *catalog.Target) int {
	if t == nil {
		return -1
	}
	return f.at[t.ID]
}

// fleetOf returns n targets that have been up for long.
func fleetOf(n int) *fleetState {
	f := &fleetState{
		at: map[fleet.TargetID]int{}, load: make([]float64, n), standing: make([]suspicion.Standing, n), leaving: map[int]bool{},
	}
	for i := range n {
		id := fleet.TargetID(fmt.Sprintf("t-%d", i))
		f.at[id] = i
		f.targets = append(f.targets, &catalog.Target{
			ID: id, Slots: 12, Started: playStart.Add(-time.Hour), Domain: fleet.DomainName(fmt.Sprintf("d-%d", i%3)),
		})
	}
	return f
}

func TestChooseKeepsAKeyThroughJoinsAndLeaves(t *testing.T) {
	f := fleetOf(12)
	moved := 0
	for key := range uint64(500) {
		_, all := f.choose(Ask{Key: key + 1}, 12)
		_, without := f.choose(Ask{Key: key + 1}, 11)
		if all != without {
			moved++
			if all != 11 {
				t.Fatalf("key %d moved between targets that stayed", key)
			}
		}
	}
	if moved == 0 || moved > 80 {
		t.Errorf("%d of 500 keys moved to the twelfth target", moved)
	}
}

func TestChooseNamesWhoHoldsTheCache(t *testing.T) {
	f := fleetOf(6)
	first, at := f.choose(Ask{Key: 7}, 6)
	if first.Source != nil || first.Basis != BasisKey {
		t.Fatalf("the key's own target needs no source: %+v", first)
	}
	f.load[at] = 1000
	over, _ := f.choose(Ask{Key: 7}, 6)
	if over.Target == first.Target || over.Source != first.Target || over.Basis != BasisOverflow {
		t.Errorf("overflow %+v of %+v", over, first)
	}
	f.load[at] = 0
	f.leaving[at] = true
	after, _ := f.choose(Ask{Key: 7}, 6)
	if after.Target == first.Target || after.Source != first.Target {
		t.Errorf("a leaving target is chosen, or is no source: %+v", after)
	}
	f.standing[at] = suspicion.Shunned
	if dead, _ := f.choose(Ask{Key: 7}, 6); dead.Source == first.Target {
		t.Error("a target that cannot be reached is a source")
	}
}

func TestChooseNamesASourceForATargetThatJoined(t *testing.T) {
	f := fleetOf(6)
	_, first := f.choose(Ask{Key: 7}, 6)
	f.targets[first].Started = playStart.Add(-time.Second)
	choice, at := f.choose(Ask{Key: 7}, 6)
	if at != first || choice.Source == nil || choice.Source == choice.Target {
		t.Errorf("got %+v for the new target %d", choice, first)
	}
}

func TestChooseAvoidsTriedAndShunned(t *testing.T) {
	f := fleetOf(3)
	f.standing[0] = suspicion.Shunned
	f.tried = []fleet.TargetID{"t-1"}
	for _, key := range []uint64{0, 5} {
		if _, at := f.choose(Ask{Key: key}, 3); at != 2 {
			t.Errorf("key %d: got %d", key, at)
		}
	}
	f.tried = append(f.tried, "t-2")
	for _, key := range []uint64{0, 5} {
		if _, at := f.choose(Ask{Key: key}, 3); at != 0 {
			t.Errorf("key %d: a shunned target is better than none: got %d", key, at)
		}
	}
	f.tried = append(f.tried, "t-0")
	if _, at := f.choose(Ask{Key: 5}, 3); at != -1 {
		t.Errorf("no target is left: got %d", at)
	}
}

// TestChooseFindsTheFewSoundTargets has most of a large fleet shunned: a sound
// target is found wherever it stands in the key's order.
func TestChooseFindsTheFewSoundTargets(t *testing.T) {
	f := fleetOf(400)
	for i := range f.standing {
		f.standing[i] = suspicion.Shunned
	}
	for _, sound := range []int{3, 177, 399} {
		f.standing[sound] = suspicion.Doubtful
		for key := range uint64(50) {
			if _, at := f.choose(Ask{Key: key + 1}, 400); at != sound {
				t.Fatalf("key %d: got %d", key, at)
			}
		}
		f.standing[sound] = suspicion.Shunned
	}
}

func TestChoosePrefersTheOwnDomainAmongEquals(t *testing.T) {
	f := fleetOf(6)
	for i := range uint64(50) {
		choice, _ := f.choose(Ask{Domain: "d-1", Random: i}, 6)
		if choice.Target.Domain != "d-1" {
			t.Fatalf("got %+v", choice)
		}
	}
}

// TestRanksGoThroughAllTargets compares the order with one that is sorted.
func TestRanksGoThroughAllTargets(t *testing.T) {
	field := fleetOf(50).field(50)
	for key := range uint64(20) {
		want := make([]int, 50)
		for i := range want {
			want[i] = i
		}
		slices.SortFunc(want, func(a, b int) int { return cmp.Compare(field.rank(b, key), field.rank(a, key)) })
		order := ranks{field: field, key: key, among: 50, last: -1}
		for _, w := range want {
			if got := order.next(); got != w {
				t.Fatalf("got %d, want %d", got, w)
			}
		}
		if got := order.next(); got != -1 {
			t.Fatalf("%d after the last", got)
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
	f := fleetOf(targets)
	field := f.field(targets)
	var ends [rounds + 2*stay + 1][]int
	over, moved, plain := 0, 0, 0
	for round := range rounds {
		for _, target := range ends[round] {
			f.load[target]--
			f.total--
		}
		key := uint64(random.IntN(keys)) + 2
		if random.Float64() < 0.28 {
			key = 1
		}
		mean := f.total / targets
		choice := Choose(Ask{Key: key, Random: random.Uint64(), Mean: mean}, field, f, playStart)
		if round > stay {
			if choice.Load > 2*mean+3 {
				over++
			}
			if key > 1 {
				plain++
				if choice.Basis == BasisOverflow {
					moved++
				}
			}
		}
		at := f.place(choice.Target)
		f.load[at]++
		f.total++
		end := round + 1 + random.IntN(2*stay)
		ends[end] = append(ends[end], at)
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
	f := fleetOf(140)
	field := f.field(140)
	ask := Ask{Key: 77, Domain: "d-1", Random: 5}
	if n := testing.AllocsPerRun(100, func() { Choose(ask, field, f, playStart) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{140, 10_000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			f := fleetOf(n)
			field := f.field(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				Choose(Ask{Key: uint64(i) + 1, Random: 5}, field, f, playStart)
			}
		})
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
