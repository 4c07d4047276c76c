package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/fleet"
)

// requestRecord is a crash under a request at a target, or a success if the target is empty.
type requestRecord struct {
	ms     int
	target fleet.TargetID
	digest uint64
	parts  []uint64
}

func asked(digest uint64, parts ...uint64) Request {
	return Request{Prompt: prompt(parts...), Digest: digest}
}

func applyRequests(t *Tracker, records []requestRecord) {
	for _, r := range records {
		if r.target == "" {
			t.RecordSuccess(asked(r.digest, r.parts...), at(r.ms))
		} else {
			t.RecordCrash(t.tried(asked(r.digest, r.parts...), at(r.ms)), r.target, at(r.ms), at(r.ms))
		}
	}
}

// verdictsOf returns the members of all verdicts in order.
func verdictsOf(t *Tracker) []uint64 {
	list := []uint64{}
	for m := range t.members() {
		list = append(list, m)
	}
	slices.Sort(list)
	return list
}

func TestRequestVerdicts(t *testing.T) {
	const culprit, sound = 101, 102
	for name, test := range map[string]struct {
		records []requestRecord
		want    []uint64
	}{
		"three crashes": {[]requestRecord{{0, "a", culprit, nil}, {400, "b", culprit, nil}, {800, "c", culprit, nil}}, []uint64{culprit}},
		"two crashes of a request and its retry": {[]requestRecord{
			{0, "a", culprit, nil}, {100, "b", culprit, nil}, {3000, "c", culprit, nil},
		}, []uint64{culprit}},
		"two crashes":    {[]requestRecord{{0, "a", culprit, nil}, {3000, "b", culprit, nil}}, []uint64{}},
		"a lost domain":  {[]requestRecord{{0, "a", sound, nil}, {50, "b", sound, nil}, {100, "c", sound, nil}, {200, "d", sound, nil}}, []uint64{}},
		"same crash":     {[]requestRecord{{0, "a", sound, nil}, {300, "a", sound, nil}, {700, "a", sound, nil}}, []uint64{}},
		"success since":  {[]requestRecord{{0, "a", sound, nil}, {400, "b", sound, nil}, {600, "", sound, nil}, {800, "c", sound, nil}}, []uint64{}},
		"success before": {[]requestRecord{{-9000, "", sound, nil}, {0, "a", sound, nil}, {400, "b", sound, nil}, {800, "c", sound, nil}}, []uint64{}},
		"six crashes after a success": {[]requestRecord{
			{-9000, "", culprit, nil}, {0, "a", culprit, nil}, {400, "b", culprit, nil}, {800, "c", culprit, nil},
			{1200, "d", culprit, nil}, {1600, "e", culprit, nil}, {2000, "f", culprit, nil},
		}, []uint64{culprit}},
		"a request beside the culprit at two of its crashes": {[]requestRecord{
			{0, "a", culprit, nil}, {10, "a", sound, nil}, {400, "b", culprit, nil}, {410, "b", sound, nil}, {800, "c", culprit, nil}, {1200, "d", culprit, nil},
		}, []uint64{culprit}},
		"a request beside the culprit at each crash": {[]requestRecord{
			{0, "a", sound, nil}, {10, "a", culprit, nil}, {400, "b", sound, nil}, {410, "b", culprit, nil}, {800, "c", sound, nil}, {810, "c", culprit, nil},
		}, []uint64{culprit, sound}},
		"a request beside the culprit at each crash, which succeeds": {[]requestRecord{
			{0, "a", sound, nil}, {10, "a", culprit, nil}, {400, "b", sound, nil}, {410, "b", culprit, nil}, {800, "c", sound, nil}, {810, "c", culprit, nil},
			{1900, "", sound, nil},
		}, []uint64{culprit}},
		"the next crash tells them apart": {[]requestRecord{
			{0, "a", sound, nil}, {10, "a", culprit, nil}, {400, "b", sound, nil}, {410, "b", culprit, nil}, {800, "c", sound, nil}, {810, "c", culprit, nil},
			{2000, "d", culprit, nil},
		}, []uint64{culprit}},
		"bystanders after the verdict": {[]requestRecord{
			{0, "a", culprit, nil}, {400, "b", culprit, nil}, {800, "c", culprit, nil},
			{0, "a", sound, nil}, {400, "b", sound, nil}, {800, "c", sound, nil},
		}, []uint64{culprit}},
		"a repeated request spares its parts": {[]requestRecord{
			{0, "a", culprit, []uint64{1, 2}}, {400, "b", culprit, []uint64{1, 2}}, {800, "c", culprit, []uint64{1, 2}}, {1200, "d", culprit, []uint64{1, 2}},
		}, []uint64{culprit}},
		"different requests with a part": {[]requestRecord{
			{0, "a", 201, []uint64{1, 7}}, {400, "b", 202, []uint64{2, 7}}, {800, "c", 203, []uint64{3, 7}},
		}, []uint64{7}},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			applyRequests(tracker, test.records)
			last := test.records[len(test.records)-1].ms
			tracker.Sweep(at(last).Add(reportTime))
			if got := verdictsOf(tracker); !slices.Equal(got, test.want) {
				t.Errorf("got verdicts on %v, want %v", got, test.want)
			}
		})
	}
}

// TestRequestSentAfterCrashIsAnotherIncident crashes three targets in a quarter of a second,
// by requests that were all running at the first crash, and by ones that followed each other.
func TestRequestSentAfterCrashIsAnotherIncident(t *testing.T) {
	for name, test := range map[string]struct {
		starts [3]int
		want   []uint64
	}{
		"at the same time": {[3]int{0, 10, 20}, []uint64{}},
		"one by one":       {[3]int{0, 82, 160}, []uint64{101}},
		"a retry":          {[3]int{0, 10, 120}, []uint64{101}},
	} {
		sender, receiver := NewTracker(), NewTracker()
		for i, ms := range []int{80, 100, 200} {
			r := asked(101)
			r.StartedAt = at(test.starts[i])
			receiver.Merge(sender.RecordCrash(r, fleet.TargetID(fmt.Sprint("t", i)), at(ms), at(ms)).News, at(ms+3))
		}
		for i, tracker := range []*Tracker{sender, receiver} {
			if got := verdictsOf(tracker); !slices.Equal(got, test.want) {
				t.Errorf("%s: got verdicts on %v at router %d, want %v", name, got, i, test.want)
			}
		}
	}
}

// TestRepeatsWithCulpritPartAreHeldAgainstPart repeats each request with a part that crashes
// targets once: that two crashes have the same request must not hide the part.
func TestRepeatsWithCulpritPartAreHeldAgainstPart(t *testing.T) {
	tracker, n := NewTracker(), 0
	for request := range uint64(6) {
		for range 2 {
			tracker.RecordCrash(asked(300+request, request+1, 50), fleet.TargetID(fmt.Sprint("t", n)), at(500*n), at(500*n))
			n++
		}
		if tracker.verdicts[50] != nil {
			break
		}
	}
	if tracker.verdicts[50] == nil || n > 6 {
		t.Errorf("got verdicts on %v after %d crashes, want one on part 50 after 6 at most", verdictsOf(tracker), n)
	}
}

func TestDigestTravelsBetweenRouters(t *testing.T) {
	sender, receiver := NewTracker(), NewTracker()
	applyRequests(sender, []requestRecord{{0, "a", 101, []uint64{1}}, {400, "b", 101, []uint64{1}}})
	for _, piece := range sender.Export(at(500), 1000).Split(100) {
		receiver.Merge(piece, at(500))
	}
	if got := verdictsOf(receiver); len(got) != 0 {
		t.Fatalf("got verdicts on %v, want none yet", got)
	}
	receiver.RecordCrash(asked(101, 1), "c", at(900), at(900))
	if got := verdictsOf(receiver); !slices.Equal(got, []uint64{101}) {
		t.Errorf("got verdicts on %v, want one on the request", got)
	}
}

// TestCrashesOfRoutersWithoutDigestsCountAgainstParts merges evidence as routers send it that
// know only prompts.
func TestCrashesOfRoutersWithoutDigestsCountAgainstParts(t *testing.T) {
	tracker := NewTracker()
	for i, target := range []uint32{1, 2, 3} {
		tracker.Merge(Evidence{Crashes: []Crash{{TargetHash: target, Parts: []uint64{uint64(10 + i), 7}}}}, at(500*i))
	}
	if got := verdictsOf(tracker); !slices.Equal(got, []uint64{7}) {
		t.Errorf("got verdicts on %v, want one on part 7", got)
	}
}

func TestSuccessesOfRequestsDoNotDisplaceParts(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordSuccess(asked(1000, 7), at(0))
	for i := range 4 * maxSeen {
		tracker.RecordSuccess(asked(uint64(2000+i)), at(i))
	}
	if tracker.lastSuccess(7, at(4*maxSeen)).IsZero() {
		t.Error("the success with a part is forgotten")
	}
	if n := len(tracker.seenRequests.newer) + len(tracker.seenRequests.older); n > maxSeen {
		t.Errorf("got %d requests, want at most %d", n, maxSeen)
	}
}

func TestDigestIsThatOfRequest(t *testing.T) {
	base := func() (*call.Call, fleet.AccountName) {
		return &call.Call{
			ID: "one", Method: "POST", Host: "h", URI: "/p/x?q=1", Path: "/p/x", Key: "k", Body: []byte("body"), Prompt: prompt(1, 2),
		}, "account"
	}
	same, account := base()
	want := NewDigest(same, account)
	same.ID, same.ClientTimeout, same.LastEventID = "two", time.Second, 7
	if got := NewDigest(same, account); got != want || got == 0 {
		t.Errorf("got digest %x of a repeat, want %x", got, want)
	}
	for name, change := range map[string]func(c *call.Call, account *fleet.AccountName){
		"method":         func(c *call.Call, _ *fleet.AccountName) { c.Method = "PUT" },
		"host":           func(c *call.Call, _ *fleet.AccountName) { c.Host = "i" },
		"query":          func(c *call.Call, _ *fleet.AccountName) { c.URI = "/p/x?q=2" },
		"body":           func(c *call.Call, _ *fleet.AccountName) { c.Body = []byte("bodY") },
		"no body":        func(c *call.Call, _ *fleet.AccountName) { c.Body = nil },
		"prompt":         func(c *call.Call, _ *fleet.AccountName) { c.Prompt = prompt(1, 3) },
		"client account": func(_ *call.Call, a *fleet.AccountName) { *a = "other" },
		"key":            func(c *call.Call, _ *fleet.AccountName) { c.Key = "l" },
		"shifted border": func(c *call.Call, _ *fleet.AccountName) { c.Method, c.Host = "POSTh", "" },
	} {
		other, account := base()
		change(other, &account)
		if got := NewDigest(other, account); got == want {
			t.Errorf("%s: got the same digest for another request", name)
		}
	}
}

// TestFleetQuarantinesRepeatedRequest plays repeats of a request at random routers of a
// fleet with few targets, which are away for a while after a crash. A sound request, which is
// repeated word for word as well, runs beside some of them, routers restart, and a failure
// domain is lost. After the third crash and the stability window at most three more
// repeats reach a target, and no other request is quarantined while the next success
// of it can be recorded.
func TestFleetQuarantinesRepeatedRequest(t *testing.T) {
	const culprit, bystander, targets = 7, 8, 3
	rapid.Check(t, func(r *rapid.T) {
		f := &modelFleet{r: r, links: rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "links"), 1)), now: start, lossPct: rapid.SampledFrom([]int{0, 10, 20}).Draw(r, "loss percent")}
		for range rapid.IntRange(3, 8).Draw(r, "routers") {
			f.trackers = append(f.trackers, NewTracker())
		}
		router := func() int { return rapid.IntRange(0, len(f.trackers)-1).Draw(r, "router") }
		var backAt [targets]time.Time
		var boots [targets]int
		crash := func(digests ...uint64) bool {
			for target := range targets {
				if f.now.Before(backAt[target]) {
					continue
				}
				boots[target]++
				backAt[target] = f.now.Add(time.Duration(rapid.IntRange(900, 2500).Draw(r, "restart")) * time.Millisecond)
				id := fleet.TargetID(fmt.Sprintf("t%d-%d", target, boots[target]))
				for _, digest := range digests {
					at := router()
					f.spread(at, f.trackers[at].RecordCrash(asked(digest), id, f.clock(at), f.clock(at)).News)
				}
				return true
			}
			return false
		}
		var crashes []time.Time
		late := 0
		for i := range 60 {
			at := router()
			if _, _, blocked := f.trackers[at].Blocked(asked(culprit), f.clock(at)); !blocked {
				digests := []uint64{culprit}
				if rapid.IntRange(0, 3).Draw(r, "beside") == 0 {
					digests = append(digests, bystander)
				}
				if crash(digests...) {
					crashes = append(crashes, f.now)
					if len(crashes) > 3 && f.now.After(crashes[2].Add(stabilityWindow)) {
						late++
					}
				}
			}
			for target := range targets {
				if !f.now.Before(backAt[target]) {
					at := router()
					if _, _, blocked := f.trackers[at].Blocked(asked(bystander), f.clock(at)); blocked {
						r.Fatalf("step %d: the sound request was refused after %d crashes", i, len(crashes))
					}
					f.spread(at, f.trackers[at].RecordSuccess(asked(bystander), f.clock(at)).News)
					break
				}
			}
			if i == 20 {
				for crash(bystander, uint64(100+i)) {
				}
			}
			if i%9 == 8 {
				f.trackers[router()] = NewTracker()
			}
			f.advance(time.Duration(rapid.IntRange(100, 600).Draw(r, "pause")) * time.Millisecond)
		}
		if late > maxLateCrashes {
			r.Fatalf("%d repeats reached targets later than %v after the third crash, want at most %d", late, stabilityWindow, maxLateCrashes)
		}
	})
}
