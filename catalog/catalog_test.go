package catalog

import (
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

func TestRouteMatchesLongestPrefix(t *testing.T) {
	short := &Route{Name: "short", Host: "A.example", Prefix: "/x/"}
	long := &Route{Name: "long", Host: "a.example", Prefix: "/x/y/"}
	other := &Route{Name: "other", Host: "b.example", Prefix: "/x/y/z/"}
	c := NewConfig(1, 1, Limits{}, []*Route{short, long, other}, nil, nil)
	for _, test := range []struct {
		host, path, want string
	}{
		{"a.example", "/x/1", "short"},
		{"a.example:8080", "/x/y/1", "long"},
		{"A.EXAMPLE", "/x/y/z/1", "long"},
		{"a.example", "/x", ""},
		{"c.example", "/x/1", ""},
		{"a.example", "/", ""},
	} {
		r, ok := c.Route(test.host, test.path)
		if ok != (test.want != "") || (ok && r.Name != test.want) {
			t.Errorf("%s%s: got %v, want %q", test.host, test.path, r, test.want)
		}
	}
}

func TestServiceAtFollowsWeights(t *testing.T) {
	r := &Route{WeightedServices: []WeightedService{{"a", 90}, {"b", 10}}}
	counts := map[fleet.ServiceName]int{}
	for i := range 1000 {
		counts[r.ServiceAt(float64(i)/1000)]++
	}
	if counts["a"] != 900 || counts["b"] != 100 {
		t.Errorf("got %v, want 900 for a and 100 for b", counts)
	}
	if got := (&Route{}).ServiceAt(0.5); got != "" {
		t.Errorf("route without shares: got %q, want an empty name", got)
	}
}

func TestConfigWithoutAccountsNeedsNoKey(t *testing.T) {
	if NewConfig(1, 1, Limits{}, nil, nil, nil).RequiresKey() {
		t.Error("Keyed: got true without accounts, want false")
	}
	c := NewConfig(1, 1, Limits{}, nil, nil, map[string]*Account{"k": {Name: "n"}})
	if a, ok := c.Account("k"); !ok || a.Name != "n" || !c.RequiresKey() {
		t.Error("a configured key was not found, or RequiresKey is false")
	}
	if _, ok := c.Account(""); ok {
		t.Error("found an account for the empty key")
	}
}

var start = time.Unix(1000, 0)

func newTarget(id string, revision uint64) *Target {
	return &Target{ID: fleet.TargetID(id), Service: "s", Revision: revision, StartedAt: start}
}

func TestMembersKeepLapsedEntriesDuringGrace(t *testing.T) {
	m := NewTargetSet()
	m.Put(newTarget("a", 1))
	m.Put(newTarget("b", 2))
	m.Put(&Target{ID: "c", Service: "s", Leaving: true, Revision: 3})
	m.MarkComplete(3)
	m.StartGracePeriod(start)
	if m.Remove("a", start.Add(time.Second)) || m.Remove("b", start.Add(time.Second)) {
		t.Error("an entry that lapsed during the outage was removed immediately")
	}
	if !m.Remove("c", start.Add(time.Second)) {
		t.Error("a leaving target was kept")
	}
	m.Put(newTarget("b", 9))
	if expired := m.Expire(start.Add(1900*time.Millisecond), nil); len(expired) > 0 {
		t.Errorf("within the grace period: got %v expired, want none", expired)
	}
	expired := m.Expire(start.Add(2*time.Second), nil)
	if len(expired) != 1 || expired[0].ID != "a" {
		t.Errorf("got %v expired, want a only, since b was listed again", expired)
	}
	serving, leaving, _ := m.Partition(noEvacuation)
	if len(serving["s"]) != 1 || serving["s"][0].ID != "b" || len(leaving["s"]) != 0 {
		t.Errorf("got serving %v, leaving %v, want b serving and none leaving", serving, leaving)
	}
}

func TestMembersRemoveImmediatelyWithoutOutage(t *testing.T) {
	m := NewTargetSet()
	m.Put(newTarget("a", 1))
	if !m.Remove("a", start) || m.Len() != 0 {
		t.Error("a deleted target was kept")
	}
}

func TestMembersIgnoreOlderEntries(t *testing.T) {
	m := NewTargetSet()
	leaving := newTarget("a", 5)
	leaving.Leaving = true
	m.Put(leaving)
	m.Put(newTarget("a", 4))
	if serving, _, _ := m.Partition(noEvacuation); len(serving["s"]) != 0 {
		t.Error("an older entry replaced a newer one and made a leaving target serve again")
	}
}

func TestMembersRenewsDetectsNewProcess(t *testing.T) {
	m := NewTargetSet()
	m.Put(newTarget("a", 1))
	if m.IsRestart(newTarget("a", 2)) || m.IsRestart(newTarget("b", 2)) {
		t.Error("the same process, or an unknown target, counts as a new process")
	}
	restarted := newTarget("a", 3)
	restarted.StartedAt = start.Add(time.Second)
	if !m.IsRestart(restarted) {
		t.Error("a new process was not detected")
	}
}

// noEvacuation means that no target is evacuated.
func noEvacuation(*Target) bool { return false }
