package directory

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/platform"
)

// slowStore answers lists, and watches without a change, after a time on a test's clock.
type slowStore struct {
	clock   *time.Time
	answer  time.Duration
	objects []platform.Object
	changes []platform.Change
}

func (s *slowStore) List(context.Context, string, bool) ([]platform.Object, uint64, error) {
	*s.clock = s.clock.Add(s.answer)
	return s.objects, 10, nil
}

func (s *slowStore) Watch(context.Context, string, uint64, time.Duration) ([]platform.Change, uint64, error) {
	*s.clock = s.clock.Add(s.answer)
	return s.changes, 11, nil
}

// TestAgeOfTargetsCountsTheWayOfTheAnswer guards against an answer of the store that was held up, and a router that
// knows old targets, taken for news of the moment.
func TestAgeOfTargetsCountsTheWayOfTheAnswer(t *testing.T) {
	clock := time.Unix(1000, 0)
	objects := readyTargets(t, 2)
	store := &slowStore{clock: &clock, answer: 2 * time.Second, objects: objects[:1]}
	d := New(func() Store { return store }, PrimaryWatch, Pace{}, zerolog.Nop(), nil)
	d.now = func() time.Time { return clock }
	followed := followed{platform.KindTargets, watchTimeout, d.watchState, d.handleTargetList, d.handleTargetChanges}
	want := func(what string, age time.Duration) {
		t.Helper()
		if got := d.TargetsAge(); got != age {
			t.Errorf("%s: got age %v, want %v", what, got, age)
		}
	}
	if d.TargetsAge() >= 0 {
		t.Errorf("got age %v before the first answer, want none", d.TargetsAge())
	}
	if _, err := d.listOnce(t.Context(), platform.KindTargets, d.handleTargetList); err != nil {
		t.Fatal(err)
	}
	want("a list", 2*time.Second)
	for _, test := range []struct {
		what    string
		answer  time.Duration
		changes []platform.Change
		age     time.Duration
	}{
		{"a change that arrives late", 3 * time.Second, []platform.Change{{Object: objects[1]}}, 3 * time.Second},
		{"no change, answered early", time.Second, nil, time.Second},
		{"no change, answered at the end", watchTimeout, nil, 0},
		{"no change, answered late", watchTimeout + time.Second, nil, time.Second},
	} {
		store.answer, store.changes = test.answer, test.changes
		if _, err := d.watchOnce(t.Context(), make(chan struct{}), followed, 10); err != nil {
			t.Fatal(err)
		}
		want(test.what, test.age)
	}
	clock = clock.Add(5 * time.Second)
	d.ConfirmCurrent(4 * time.Second)
	want("a router whose targets are old", 4*time.Second)
	d.ConfirmCurrent(-1)
	want("a router of an earlier build", 4*time.Second)
}
