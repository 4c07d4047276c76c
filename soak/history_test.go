package soak

import (
	"fmt"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/settings"
)

var (
	start  = time.Unix(1000, 0)
	order  = Kind{Name: "order", Once: true, MaxRuns: 1}
	lookup = Kind{Name: "lookup", MaxRuns: 2}
	stream = Kind{Name: "stream", Stream: true, Resumable: true, MaxRuns: 2}
)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

func arrival(service, target, id string, ms int) Arrival {
	return Arrival{Service: service, Target: target, ID: id, At: at(ms)}
}

// validHistory returns a history without violations.
func validHistory() *History {
	return &History{
		Requests: []Request{
			{ID: "a", Kind: order, Account: "x", Sent: at(0), Ended: at(50), Status: 200, Seal: "seal-t1", Body: "plain t1"},
			{ID: "b", Kind: lookup, Account: "x", Sent: at(0), Ended: at(50), Status: 200, Seal: "seal-t2", Body: "plain t2"},
			{ID: "c", Kind: stream, Account: "y", Sent: at(0), Ended: at(50), After: 1, Status: 200, Seal: "seal-t1", Body: "e2e3"},
			{ID: "d", Kind: order, Account: "x", Sent: at(9500), Ended: at(9900), Status: 503},
		},
		Runs: []Run{
			{Target: "t1", ID: "a", Account: "x", At: at(10)},
			{Target: "t1", ID: "b", Account: "x", At: at(10)}, {Target: "t2", ID: "b", Account: "x", At: at(20)},
			{Target: "t1", ID: "c", Account: "y", At: at(10)},
		},
		Arrivals: []Arrival{
			arrival("s", "t1", "a", 10), arrival("s", "t1", "b", 10), arrival("s", "t2", "b", 20), arrival("s", "t1", "c", 10),
		},
		Repeats:             settings.RetryBudget{Ratio: 0.5, Extra: 1, WindowSeconds: 1},
		CrashesToQuarantine: map[string]int{engineName: 5, plainName: 3},
		Faults:              []FaultInterval{{Kind: "kill", From: at(9000), To: at(10_000)}}, Changes: []Change{{At: at(100), Target: "t1"}, {At: at(100), Account: "y"}},
		Events:    3,
		PlainBody: func(target string) string { return "plain " + target },
		Event:     func(i int) string { return fmt.Sprintf("e%d", i) },
	}
}

func TestCheckAcceptsValidHistory(t *testing.T) {
	if found := Check(validHistory()); len(found) != 0 {
		t.Errorf("got violations %+v, want none", found)
	}
}

// TestCheckFindsEachViolation violates one guarantee at a time.
func TestCheckFindsEachViolation(t *testing.T) {
	for guarantee, violate := range map[string]func(h *History){
		"at most once":      func(h *History) { h.Runs = append(h.Runs, Run{Target: "t2", ID: "a", Account: "x"}) },
		"most targets":      func(h *History) { h.Runs = append(h.Runs, Run{Target: "t3", ID: "b", Account: "x"}) },
		"refusals are true": func(h *History) { h.Runs = append(h.Runs, Run{Target: "t1", ID: "d", Account: "x", At: at(500)}) },
		"client account":    func(h *History) { h.Runs[0].Account = "y" },
		"own answers":       func(h *History) { h.Requests[0].Seal = "seal-t9" },
		"whole answers":     func(h *History) { h.Requests[2].Body = "e2" },
		"asked for":         func(h *History) { h.Runs = append(h.Runs, Run{Target: "t1", ID: "z"}) },
		"in force":          func(h *History) { h.Runs[0].At = at(4000) },
		"one version": func(h *History) {
			h.Requests = append(h.Requests, Request{ID: "c2", Resumes: "c", Kind: stream, Account: "y", After: 2, Status: 200, Seal: "seal-t2", Body: "e3"})
			h.Runs[3].Version = "v1"
			h.Runs = append(h.Runs, Run{Target: "t2", ID: "c2", Account: "y", Version: "v2"})
			h.Arrivals = append(h.Arrivals, arrival("s", "t2", "c2", 20))
		},
		"calm": func(h *History) { h.Requests[1].Status = 502 },
		"quarantine": func(h *History) {
			h.Requests[0].Crashing = true
			h.Crashes = crashes(engineName, 0, 0, 0, 0, 0, 2500)
			for range 4 {
				h.Arrivals = append(h.Arrivals, arrival(engineName, "t1", "a", 3001))
			}
			h.Repeats.Extra = 4
		},
		"cold": func(h *History) {
			h.Colds = []ColdTime{{Target: "t1", From: at(0), To: at(8000)}}
			for i := range coldBound + 1 {
				h.Arrivals = append(h.Arrivals, arrival("other", "t1", "a", 4000+i))
			}
			h.Repeats.Extra = coldBound + 1
		},
		"quiet": func(h *History) {
			h.Requests[0].Router = "r"
			h.Arrivals[0].Quiet = time.Second
			for range 3 {
				h.Arrivals = append(h.Arrivals, arrival("other", "t1", "a", 900))
			}
			h.Repeats.Extra = 3
		},
		"leaving": func(h *History) {
			h.Requests[0].Router, h.Requests[0].Leaving, h.Requests[3].Router = "r", true, "r"
			h.Requests[3].Status = 502
			h.Arrivals = append(h.Arrivals, arrival("s", "t1", "d", 9600))
		},
		"limits": func(h *History) {
			h.Requests[0].Limited, h.Requests[0].Router = true, "r"
			h.Limits = []Limit{{Target: "t1", PerSecond: 1, From: at(0), To: at(8000)}}
			for i := range 12 {
				h.Arrivals = append(h.Arrivals, arrival("other", "t1", "a", 4000+i))
			}
			h.Repeats.Extra = 12
		},
		"planned stops": func(h *History) {
			h.Stops = []Stop{{Router: "r", At: at(-4000), Ended: at(60)}}
			h.Faults = append(h.Faults, FaultInterval{Kind: "down", From: at(49), To: at(1000)})
			h.Requests[2].Router, h.Requests[2].Err = "r", "unexpected EOF"
		},
		"repeats": func(h *History) {
			h.Arrivals = append(h.Arrivals, arrival("s", "t1", "a", 500), arrival("s", "t1", "c", 600), arrival("s", "t1", "b", 900))
		},
	} {
		h := validHistory()
		violate(h)
		found := Check(h)
		if len(found) == 0 || found[0].Guarantee != guarantee {
			t.Errorf("%s: got violations %+v, want it first", guarantee, found)
		}
	}
}

func TestCheckAllowsRefusedResumptionOnlyWithSeveralVersions(t *testing.T) {
	for _, several := range []bool{false, true} {
		h := validHistory()
		h.SeveralVersions = several
		h.Requests = append(h.Requests, Request{ID: "c2", Resumes: "c", Kind: stream, Account: "x", After: 2, Sent: at(60), Ended: at(80), Status: 503})
		if found := Check(h); (len(found) == 0) != several {
			t.Errorf("several versions %t: got violations %+v, want one only if there is one version", several, found)
		}
	}
}

func TestCheckAllowsWhatStoppingRoutersMayDo(t *testing.T) {
	for name, change := range map[string]func(h *History){
		"a stream sent early in the stop is cut": func(h *History) { h.Stops[0].At, h.Requests[2].Err = at(-2900), "unexpected EOF" },
		"a client breaks its stream off":         func(h *History) { h.Requests[2].Err = errCutByClient.Error() },
		"a request is refused":                   func(h *History) { h.Requests[2].Status = 503 },
	} {
		h := validHistory()
		h.Stops = []Stop{{Router: "r", At: at(-4000), Ended: at(60)}}
		h.Requests[2].Router = "r"
		change(h)
		if found := Check(h); len(found) != 0 {
			t.Errorf("%s: got violations %+v, want none", name, found)
		}
	}
	h := validHistory()
	h.Requests[2].Status, h.Requests[2].Router = 503, "r"
	if found := Check(h); len(found) != 1 || found[0].Guarantee != "calm" {
		t.Errorf("a request refused by a router that does not stop: got violations %+v, want one of calm", found)
	}
}

func TestCheckFindsKeyThatReachesTarget(t *testing.T) {
	h := validHistory()
	h.Runs[0].Credential = "Token k"
	if found := Check(h); len(found) != 1 || found[0].Guarantee != "client account" {
		t.Errorf("got violations %+v, want one of client account", found)
	}
}

// crashes returns crashes of targets of a service.
func crashes(service string, ms ...int) []Crash {
	var list []Crash
	for _, m := range ms {
		list = append(list, Crash{service, at(m)})
	}
	return list
}

func TestCheckExpectsQuarantineOfRequestAfterThreeCrashes(t *testing.T) {
	for n, want := range map[int]int{2: 0, 3: 1} {
		h := validHistory()
		h.Requests[1].Crashing = true
		h.Repeats.Extra = 10
		h.Crashes = crashes(plainName, []int{0, 500, 1000}[:n]...)
		for i := range 4 {
			h.Arrivals = append(h.Arrivals, arrival(plainName, "t1", "b", 5000+i))
		}
		if found := Check(h); len(found) != want {
			t.Errorf("%d crashes: got violations %+v, want %d", n, found, want)
		}
	}
}

// TestCheckLimitCountsRoutersThatKnowIt leaves out arrivals that the limit does not bind.
func TestCheckLimitCountsRoutersThatKnowIt(t *testing.T) {
	for name, change := range map[string]func(h *History){
		"before the delay":        func(h *History) { h.Limits[0].From = at(3000) },
		"after the limit":         func(h *History) { h.Limits[0].To = at(3900) },
		"router was not told":     func(h *History) { h.Requests[0].Limited = false },
		"router was told of late": func(h *History) { h.Requests[0].Ended = at(3900) },
		"another target":          func(h *History) { h.Limits[0].Target = "t2" },
		"router was paused": func(h *History) {
			h.Faults = append(h.Faults, FaultInterval{Kind: "pause", From: at(100), To: at(200), Router: "r"})
		},
		"a higher limit": func(h *History) { h.Limits[0].PerSecond = 2 },
		"fewer arrivals": func(h *History) { h.Arrivals = h.Arrivals[:len(h.Arrivals)-1] },
	} {
		h := validHistory()
		h.Requests[0].Limited, h.Requests[0].Router = true, "r"
		h.Limits = []Limit{{Target: "t1", PerSecond: 1, From: at(0), To: at(8000)}}
		for i := range 12 {
			h.Arrivals = append(h.Arrivals, arrival("other", "t1", "a", 4000+i))
		}
		h.Repeats.Extra = 12
		change(h)
		if found := Check(h); len(found) != 0 {
			t.Errorf("%s: got violations %+v, want none", name, found)
		}
	}
}

func TestCheckAllowsArrivalsUntilQuarantine(t *testing.T) {
	h := validHistory()
	h.Requests[0].Crashing = true
	h.Repeats.Extra = 10
	h.Crashes = crashes(engineName, 0, 0, 0, 0, 0)
	for _, ms := range []int{2000, 2900, 3000, 3001, 3500, 9000} {
		h.Arrivals = append(h.Arrivals, arrival(engineName, "t1", "a", ms))
	}
	if found := Check(h); len(found) != 0 {
		t.Errorf("got violations %+v, want none", found)
	}
}

// TestCheckFindsRequestsToEvacuatedDomain leaves out arrivals that an evacuation does not bind.
func TestCheckFindsRequestsToEvacuatedDomain(t *testing.T) {
	for name, test := range map[string]struct {
		change func(h *History)
		want   int
	}{
		"late":             {func(*History) {}, 1},
		"within the bound": {func(h *History) { h.Evacuations[0].From = at(2000) }, 0},
		"after the end":    {func(h *History) { h.Evacuations[0].To = at(4500) }, 0},
		"another domain":   {func(h *History) { h.Evacuations[0].Domain = "z2" }, 0},
		"router was paused": {func(h *History) {
			h.Faults = append(h.Faults, FaultInterval{Kind: "pause", From: at(100), To: at(200), Router: "r"})
		}, 0},
		"store was away": {func(h *History) {
			h.Faults = append(h.Faults, FaultInterval{Kind: "store-silent", From: at(1500), To: at(1600)})
		}, 0},
		"never used again": {func(h *History) {
			h.Arrivals[len(h.Arrivals)-1].At = at(900)
			h.Evacuations[0].From, h.Evacuations[0].To = at(500), at(1000)
			h.Requests, h.Faults = h.Requests[:3], nil
			h.Arrivals = append(h.Arrivals, arrival("other", "t2", "b", 8000))
		}, 1},
	} {
		h := validHistory()
		h.Requests[0].Router = "r"
		h.Repeats.Extra = 10
		h.Evacuations = []Evacuation{{Domain: "z", From: at(0), To: at(8000)}}
		h.Arrivals = append(h.Arrivals, Arrival{Service: "other", Target: "t1", Domain: "z", ID: "a", At: at(5000)})
		test.change(h)
		if found := Check(h); len(found) != test.want || (test.want > 0 && found[0].Guarantee != "evacuation") {
			t.Errorf("%s: got violations %+v, want %d", name, found, test.want)
		}
	}
}

func TestTimeBoundsApplyOnlyWithoutFaults(t *testing.T) {
	h := validHistory()
	h.Runs[0].At = at(4000)
	h.Faults = append(h.Faults, FaultInterval{Kind: "store-silent", From: at(500), To: at(1000)})
	if found := Check(h); len(found) != 0 {
		t.Errorf("got violations %+v, want none", found)
	}
}

func TestOptionsWithUnknownValuesAreErrors(t *testing.T) {
	for _, o := range []Options{{CrashStyle: "refuse"}, {CrashingKind: "order"}, {CrashingKind: "x"}} {
		if err := o.Validate(); err == nil {
			t.Errorf("%+v: got no error", o)
		}
	}
	for _, o := range []Options{{}, {CrashStyle: CrashHangs, CrashingKind: "dossier"}} {
		if err := o.Validate(); err != nil {
			t.Errorf("%+v: got error %v", o, err)
		}
	}
}
