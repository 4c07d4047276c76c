package streamversion

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
)

// targetsOf returns targets of a service with the given number of each version.
func targetsOf(counts map[fleet.SoftwareVersion]int) []*catalog.Target {
	var list []*catalog.Target
	for version, n := range counts {
		for i := range n {
			list = append(list, &catalog.Target{ID: fleet.TargetID(fmt.Sprintf("%s-%d", version, i)), Service: "s", Version: version, Slots: 8})
		}
	}
	return list
}

func TestSplitFollowsWeights(t *testing.T) {
	split := Split{{"v1", 300}, {"v2", 100}}
	counts := map[fleet.SoftwareVersion]int{}
	const streams = 10_000
	for i := range streams {
		counts[split.VersionOf(NewKey("a", fleet.RequestID(fmt.Sprint(i))))]++
	}
	if got := float64(counts["v1"]) / streams; got < 0.73 || got > 0.77 {
		t.Errorf("got %v, want three quarters for v1", counts)
	}
	if got := (Split{}).VersionOf(1); got != "" {
		t.Errorf("empty split: got %q, want no version", got)
	}
}

func TestLargerWeightMovesStreamsToItsVersionOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := Split{{"v1", rapid.Uint32Range(1, 100).Draw(t, "v1")}, {"v2", rapid.Uint32Range(1, 100).Draw(t, "v2")}, {"v3", 50}}
		after := Split{before[0], {"v2", before[1].Weight + rapid.Uint32Range(1, 100).Draw(t, "more")}, before[2]}
		key := Key(rapid.Uint64().Draw(t, "key"))
		if was, is := before.VersionOf(key), after.VersionOf(key); was != is && is != "v2" {
			t.Fatalf("a larger weight of v2 moved a stream from %s to %s", was, is)
		}
	})
}

func TestKeysOfOtherAccountsDiffer(t *testing.T) {
	if NewKey("a", "x") == NewKey("b", "x") || NewKey("a", "x") == NewKey("a", "y") {
		t.Error("streams of two accounts, or of two requests, have the same key")
	}
}

func TestVersionWithOneTargetReceivesNoNewStreams(t *testing.T) {
	for _, test := range []struct {
		counts map[fleet.SoftwareVersion]int
		want   Split
	}{
		{map[fleet.SoftwareVersion]int{"v1": 3, "v2": 1}, Split{{"v1", 24}}},
		{map[fleet.SoftwareVersion]int{"v1": 1, "v2": 1}, Split{{"v1", 8}, {"v2", 8}}},
		{map[fleet.SoftwareVersion]int{"v1": 2, "v2": 4}, Split{{"v1", 16}, {"v2", 32}}},
		{nil, Split{}},
	} {
		if got := ByTargets(targetsOf(test.counts)); fmt.Sprint(got) != fmt.Sprint(test.want) {
			t.Errorf("%v: got %v, want %v", test.counts, got, test.want)
		}
	}
}

func TestPlanChangesSplitOnlyWhereTargetsDiffer(t *testing.T) {
	for _, test := range []struct {
		name           string
		current        Split
		counts         map[fleet.SoftwareVersion]int
		change, urgent bool
	}{
		{"first split", nil, map[fleet.SoftwareVersion]int{"v1": 4}, true, true},
		{"in line", Split{{"v1", 32}}, map[fleet.SoftwareVersion]int{"v1": 12}, false, false},
		{"one target of a new version", Split{{"v1", 32}}, map[fleet.SoftwareVersion]int{"v1": 11, "v2": 1}, false, false},
		{"a quarter of a new version", Split{{"v1", 32}}, map[fleet.SoftwareVersion]int{"v1": 9, "v2": 3}, true, false},
		{"few targets left of the old version", Split{{"v1", 20}, {"v2", 80}}, map[fleet.SoftwareVersion]int{"v1": 2, "v2": 18}, true, false},
		{"old version gone", Split{{"v1", 10}, {"v2", 90}}, map[fleet.SoftwareVersion]int{"v2": 9}, true, true},
		{"no target", Split{{"v1", 32}}, nil, false, false},
	} {
		view := &catalog.View{Targets: catalog.Targets{"s": targetsOf(test.counts)}}
		plan := newPlan(test.current, newTargetVersions(view, "s"))
		if plan.Change != test.change || plan.Urgent != test.urgent {
			t.Errorf("%s: got change %t, urgent %t, want %t and %t", test.name, plan.Change, plan.Urgent, test.change, test.urgent)
		}
	}
}

func TestHistoryKnowsVersionWhereSplitsAgree(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const lifetime = 16 * time.Second
	var h *History
	h = h.Replace(Split{{"v1", 1}}, now)
	h = h.Replace(Split{{"v1", 1}, {"v2", 1}}, now)
	counts := map[string]int{}
	for i := range 1000 {
		key := NewKey("a", fleet.RequestID(fmt.Sprint(i)))
		version, ok := h.VersionOf(key, Window{Lifetime: lifetime}, now.Add(time.Second))
		counts[fmt.Sprint(version, ok)]++
		if ok != (h.Current().VersionOf(key) == "v1") {
			t.Fatalf("got version %q known %t, want it known where v1 is it under both splits", version, ok)
		}
		settled, unsettled := Window{Lifetime: lifetime, Settled: true}, Window{Lifetime: lifetime}
		if later, ok := h.VersionOf(key, settled, now.Add(lifetime+clockError)); !ok || later != h.Current().VersionOf(key) {
			t.Fatal("a split that was replaced long ago, as all routers know, still makes a version ambiguous")
		}
		if _, ok := h.VersionOf(key, unsettled, now.Add(lifetime+clockError)); ok != (h.Current().VersionOf(key) == "v1") {
			t.Fatal("a split that some router may still use makes no version ambiguous")
		}
		if later, ok := h.VersionOf(key, unsettled, now.Add(lifetime+clockError+leaseTime)); !ok || later != h.Current().VersionOf(key) {
			t.Fatal("a split that no router may use any more still makes a version ambiguous")
		}
		if _, ok := h.VersionOf(key, Window{Lifetime: lifetime, Unchanged: lifetime, Settled: true}, now); !ok {
			t.Fatal("a split that this router has known long enough is still ambiguous")
		}
		if _, ok := h.VersionOf(key, Window{Lifetime: lifetime, Unchanged: lifetime + clockError + leaseTime}, now); !ok {
			t.Fatal("a split that this router has known long enough for all others is still ambiguous")
		}
	}
	h = h.Replace(Split{{"v2", 1}}, now.Add(time.Hour))
	if len(h.Splits) != 2 {
		t.Errorf("got %d splits, want the one in force and the one before, since older ones ended long ago", len(h.Splits))
	}
}

func TestMalformedHistoriesAreErrors(t *testing.T) {
	for _, document := range []string{``, `null`, `[]`, `{}`, `{"splits":[]}`, `{"splits":[{"split":[]}]}`, `{"splits":5}`, `{"splits":[{"split":[{"version":"v1","weight":-1}]}]}`} {
		if h, err := ParseHistory([]byte(document)); err == nil {
			t.Errorf("%q: got %+v, want an error", document, h)
		}
	}
}

func TestRegistryForgetsAndIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRegistry()
	for i := range 2 * maxRecords {
		r.Record(Key(i), Origin(i), now)
	}
	if len(r.recent) != maxRecords {
		t.Errorf("got %d records, want at most %d", len(r.recent), maxRecords)
	}
	r.Record(1, 99, now.Add(time.Second))
	if origin, ok := r.Find(1, now.Add(recordLifetime)); !ok || origin != 1 {
		t.Errorf("got origin %d, %t, want that of the first record", origin, ok)
	}
	if _, ok := r.Find(1, now.Add(3*recordLifetime)); ok {
		t.Error("a record outlived its lifetime")
	}
}
