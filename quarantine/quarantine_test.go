package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/fleet"
)

var start = time.Unix(1_800_000_000, 0)

// at returns the time that many milliseconds after start.
func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// prompt returns a prompt with the given shared parts and a last part of its own.
func prompt(shared ...uint64) []call.Part {
	var parts []call.Part
	for _, id := range shared {
		parts = append(parts, call.Part{ID: id, Tokens: 100})
	}
	return append(parts, call.Part{ID: 999_999, Tokens: 10})
}

// record is a crash at a target, or a success if the target is empty.
type record struct {
	ms     int
	target fleet.TargetID
	parts  []uint64
}

func crashOf(ms int, target string, parts ...uint64) record {
	return record{ms, fleet.TargetID(target), parts}
}

func success(ms int, parts ...uint64) record {
	return record{ms, "", parts}
}

// tried returns a request with whether it is on trial.
func (t *Tracker) tried(r Request, now time.Time) Request {
	r.OnTrial = t.Admit(r, Fleet{Routers: 1}, now).Standing == OnTrial
	return r
}

// apply records all records at their times and returns all changes.
func apply(t *Tracker, records []record) Changes {
	var all Changes
	for _, r := range records {
		if r.target == "" {
			all.Add(t.RecordSuccess(Request{Prompt: prompt(r.parts...)}, at(r.ms)))
		} else {
			all.Add(t.RecordCrash(t.tried(Request{Prompt: prompt(r.parts...)}, at(r.ms)), r.target, at(r.ms), at(r.ms)))
		}
	}
	return all
}

// blockedParts returns which of the parts 1 to 9 are quarantined.
func blockedParts(t *Tracker, now time.Time) []uint64 {
	list := []uint64{}
	for part := uint64(1); part <= 9; part++ {
		if _, _, ok := t.Blocked(Request{Prompt: prompt(part)}, now); ok {
			list = append(list, part)
		}
	}
	return list
}

// verdictMembers returns the members of all verdicts, the oldest verdict and the lowest member first.
func verdictMembers(t *Tracker) [][]uint64 {
	list := t.byID()
	slices.SortStableFunc(list, func(a, b *verdict) int { return a.since.Compare(b.since) })
	members := [][]uint64{}
	for _, v := range list {
		members = append(members, v.members)
	}
	return members
}

func TestVerdicts(t *testing.T) {
	for name, test := range map[string]struct {
		records []record
		want    [][]uint64
	}{
		"two incidents":   {[]record{crashOf(0, "a", 1, 2), crashOf(1000, "b", 1, 2)}, nil},
		"three incidents": {[]record{crashOf(0, "a", 1), crashOf(1000, "b", 1), crashOf(2000, "c", 1)}, [][]uint64{{1}}},
		"crashes at the same moment are one incident": {
			[]record{crashOf(0, "a", 1), crashOf(100, "b", 1), crashOf(200, "c", 1), crashOf(250, "d", 1)}, nil,
		},
		"a window begins with its first crash": {
			[]record{crashOf(0, "a", 1), crashOf(200, "b", 1), crashOf(400, "c", 1), crashOf(800, "d", 1)}, [][]uint64{{1}},
		},
		"attempts at one target are one incident": {
			[]record{crashOf(0, "a", 1, 2), crashOf(300, "a", 1, 3), crashOf(600, "a", 1, 4), crashOf(900, "a", 1, 5)}, nil,
		},
		"a target that came back under its ID": {
			[]record{crashOf(0, "a", 1), crashOf(5000, "a", 1), crashOf(10000, "a", 1)}, [][]uint64{{1}},
		},
		"a success voids older crashes": {
			[]record{crashOf(0, "a", 1), crashOf(1000, "b", 1), success(1500, 1), crashOf(2000, "c", 1), crashOf(3000, "d", 1)}, nil,
		},
		"five incidents after a success": {
			[]record{
				success(0, 1), crashOf(1000, "b", 1), crashOf(2000, "c", 1), crashOf(3000, "d", 1), crashOf(4000, "e", 1), crashOf(5000, "f", 1),
			}, nil,
		},
		"six incidents after a success": {
			[]record{
				crashOf(0, "a", 1), success(1, 1), crashOf(1000, "b", 1), crashOf(2000, "c", 1), crashOf(3000, "d", 1), crashOf(4000, "e", 1),
				crashOf(5000, "f", 1), crashOf(6000, "g", 1),
			}, [][]uint64{{1}},
		},
		"parts without a success, and those beside them": {
			[]record{
				success(0, 1, 3), crashOf(1000, "a", 1, 2, 3), crashOf(2000, "b", 1, 3), crashOf(3000, "c", 1, 2, 3), crashOf(4000, "d", 1, 2, 3),
			}, [][]uint64{{1, 2, 3}},
		},
		"a part at all incidents and one at all but one": {
			[]record{crashOf(0, "a", 1, 2), crashOf(1000, "b", 1, 3), crashOf(2000, "c", 1, 2)}, [][]uint64{{1, 2}},
		},
		"the part with the most incidents": {
			[]record{crashOf(0, "a", 1, 2), crashOf(1000, "b", 1, 3), crashOf(2000, "c", 1, 2), crashOf(3000, "d", 1, 4)}, [][]uint64{{1}},
		},
		"equal parts": {
			[]record{crashOf(0, "a", 1, 2, 3), crashOf(1000, "b", 1, 2, 4), crashOf(2000, "c", 1, 2, 5)}, [][]uint64{{1, 2}},
		},
		"equal parts, one of which succeeds": {
			[]record{crashOf(0, "a", 1, 2, 3), crashOf(1000, "b", 1, 2, 4), crashOf(2000, "c", 1, 2, 5), success(2500, 2, 6)}, [][]uint64{{1}},
		},
		"equal parts, one of which crashes a target alone": {
			[]record{crashOf(0, "a", 1, 2, 3), crashOf(1000, "b", 1, 2, 4), crashOf(2000, "c", 1, 2, 5), crashOf(2500, "d", 2, 6)}, [][]uint64{{2}},
		},
		"a crash of another cause between those of equal parts": {
			[]record{crashOf(0, "a", 1, 2, 3), crashOf(500, "x", 1, 7), crashOf(1000, "b", 1, 2, 4), crashOf(2000, "c", 1, 2, 5)}, [][]uint64{{1, 2}},
		},
		"explained crashes do not count against others": {
			[]record{
				crashOf(0, "a", 1, 2), crashOf(1000, "b", 1, 2), crashOf(2000, "c", 1, 2), success(2500, 1), crashOf(3000, "d", 1, 2, 3), crashOf(4000, "e", 1, 2, 3),
				crashOf(5000, "f", 1, 2, 3),
			}, [][]uint64{{2}},
		},
		"a part at crashes before and after a verdict on it and another": {
			[]record{
				crashOf(0, "a", 1, 2), crashOf(1000, "b", 1, 2), crashOf(2000, "c", 1, 2), crashOf(3000, "d", 1, 3), crashOf(4000, "e", 1, 3),
			}, [][]uint64{{1}},
		},
		"two parts": {
			[]record{
				crashOf(0, "a", 1, 2), crashOf(1000, "b", 1, 2), crashOf(2000, "c", 1, 2), success(2500, 1),
				crashOf(3000, "d", 1, 3), crashOf(4000, "e", 1, 3), crashOf(5000, "f", 1, 3),
			}, [][]uint64{{2}, {1, 3}},
		},
		"the first of three parts": {
			[]record{
				crashOf(0, "a", 1, 2, 3), success(500, 4, 2, 3), crashOf(1000, "b", 1, 2, 5), success(1500, 4, 2, 5), crashOf(2000, "c", 1, 6, 3),
			}, [][]uint64{{1}},
		},
		"requests at the target of the crash": {
			[]record{
				crashOf(0, "a", 1, 2), crashOf(0, "a", 1, 3), crashOf(0, "a", 1, 4), success(500, 1, 3), success(500, 1, 4),
				crashOf(1000, "b", 1, 2), crashOf(1000, "b", 1, 3), success(1500, 1, 3),
				crashOf(2000, "c", 1, 2), crashOf(2000, "c", 1, 4),
			}, [][]uint64{{2}},
		},
		"a success with a quarantined part lifts its verdict": {
			[]record{crashOf(0, "a", 1), crashOf(1000, "b", 1), crashOf(2000, "c", 1), success(2100, 1)}, nil,
		},
		"a prompt without shared parts": {
			[]record{crashOf(0, "a"), crashOf(1000, "b"), crashOf(2000, "c")}, nil,
		},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			changes := apply(tracker, test.records)
			tracker.Sweep(at(test.records[len(test.records)-1].ms).Add(reportTime))
			if got := verdictMembers(tracker); fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("got verdicts on %v, want %v; changes %+v", got, test.want, changes)
			}
			if got, want := tracker.QuarantinedParts(), len(test.want); got != want {
				t.Errorf("got %d verdicts, want %d", got, want)
			}
		})
	}
}

// TestLastPartIsNeverQuarantined guards against a verdict on a part that belongs to one
// request, which a client repeats.
func TestLastPartIsNeverQuarantined(t *testing.T) {
	tracker := NewTracker()
	parts := []call.Part{{ID: 1}, {ID: 2}}
	for i, target := range []fleet.TargetID{"a", "b", "c"} {
		tracker.RecordCrash(Request{Prompt: parts}, target, at(1000*i), at(1000*i))
	}
	if _, _, ok := tracker.Blocked(Request{Prompt: prompt(2)}, at(3000)); ok {
		t.Error("the last part is quarantined")
	}
	if _, _, ok := tracker.Blocked(Request{Prompt: []call.Part{{ID: 3}, {ID: 1}}}, at(3000)); ok {
		t.Error("a request is blocked by its last part")
	}
	if _, _, ok := tracker.Blocked(Request{Prompt: parts}, at(3000)); !ok {
		t.Error("the shared part is not quarantined")
	}
}

// quarantined returns a tracker with part 1 quarantined since 2,000 ms.
func quarantined() *Tracker {
	tracker := NewTracker()
	apply(tracker, []record{crashOf(0, "a", 1), crashOf(1000, "b", 1), crashOf(2000, "c", 1)})
	return tracker
}

func TestVerdictLastsAfterLastRefusal(t *testing.T) {
	tracker := quarantined()
	lifetime := int(verdictLifetime.Milliseconds())
	if _, remaining, ok := tracker.Blocked(Request{Prompt: prompt(1)}, at(2000+lifetime-1)); !ok || remaining != time.Millisecond {
		t.Errorf("got blocked %v for %v, want 1ms", ok, remaining)
	}
	tracker.RecordRefusal(1, at(lifetime))
	if _, _, ok := tracker.Blocked(Request{Prompt: prompt(1)}, at(2*lifetime-1)); !ok {
		t.Error("the verdict ended before its lifetime after the last refusal")
	}
	if _, _, ok := tracker.Blocked(Request{Prompt: prompt(1)}, at(2*lifetime)); ok {
		t.Error("the verdict lasts longer than its lifetime")
	}
	changes := tracker.Sweep(at(2 * lifetime))
	if len(changes.Lifted) != 1 || changes.Lifted[0] != (Lift{1, CauseExpired}) || tracker.QuarantinedParts() != 0 {
		t.Errorf("got %+v, want the verdict on part 1 to expire", changes.Lifted)
	}
	// The crashes before still count, but alone they bring no new verdict.
	if changes := apply(tracker, []record{crashOf(2*lifetime, "d", 2)}); len(changes.Quarantined) != 0 {
		t.Errorf("got %+v, want no verdict", changes.Quarantined)
	}
	if changes := apply(tracker, []record{crashOf(2*lifetime+1, "e", 1)}); len(changes.Quarantined) != 1 {
		t.Errorf("got %+v, want a verdict on part 1 after one more crash", changes.Quarantined)
	}
}

// TestVerdictEndsWhileRequestsAreRefused guards against a wrong verdict that its own refusals
// prolong without end.
func TestVerdictEndsWhileRequestsAreRefused(t *testing.T) {
	tracker := quarantined()
	end := int(maxVerdictAge.Milliseconds())
	for ms := 2000; ms < end; ms += int(verdictLifetime.Milliseconds()) / 2 {
		tracker.RecordRefusal(1, at(ms))
	}
	if _, remaining, ok := tracker.Blocked(Request{Prompt: prompt(1)}, at(end-1)); !ok || remaining != time.Millisecond {
		t.Errorf("got blocked %v for %v, want 1ms", ok, remaining)
	}
	if _, _, ok := tracker.Blocked(Request{Prompt: prompt(1)}, at(end)); ok {
		t.Error("the verdict lasts longer than its maximum age")
	}
}

// TestCulpritOfOneStormIsQuarantined guards against a culprit that crashes most targets at once and
// is sent to all of them again when they are back.
func TestCulpritOfOneStormIsQuarantined(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordSuccess(Request{Prompt: prompt(2, 3)}, at(0))
	for i := range minTargets {
		if got := blockedParts(tracker, at(1000)); len(got) != 0 {
			t.Errorf("after %d targets: got %v blocked, want none", i, got)
		}
		apply(tracker, []record{crashOf(1000+20*i, string(rune('a'+i)), 1, 2, 3)})
	}
	// Parts 2 and 3 succeeded before, and not in the storm.
	if got := verdictMembers(tracker); fmt.Sprint(got) != "[[1 2 3]]" {
		t.Fatalf("got verdicts on %v, want one on all three parts", got)
	}
	if _, _, ok := tracker.Blocked(Request{Prompt: prompt(1, 2, 3, 4)}, at(2000)); !ok {
		t.Error("a request with all three parts is not refused")
	}
	for range 10 {
		if got := tracker.Admit(Request{Prompt: prompt(2, 3)}, Fleet{Routers: 300, Draw: 1}, at(2000)); got.Standing != Unsuspected {
			t.Fatalf("got standing %v of the parts that succeeded before, want them served", got.Standing)
		}
	}
	tracker.RecordSuccess(Request{Prompt: prompt(2, 3)}, at(2100))
	if got := blockedParts(tracker, at(2100)); len(got) != 1 || got[0] != 1 {
		t.Errorf("got %v blocked after a success with the others, want part 1", got)
	}
}

func TestCrashesExpire(t *testing.T) {
	tracker := NewTracker()
	old := int(crashLifetime.Milliseconds())
	apply(tracker, []record{crashOf(0, "a", 1), crashOf(1000, "b", 1)})
	tracker.Sweep(at(old + 1000))
	apply(tracker, []record{crashOf(old+1000, "c", 1)})
	if got := blockedParts(tracker, at(old+1000)); len(got) != 0 {
		t.Errorf("got %v quarantined, want none", got)
	}
}

func TestSuccessIsNewsOnceForEachCrash(t *testing.T) {
	tracker := NewTracker()
	if got := apply(tracker, []record{success(0, 9)}).News; !got.Empty() {
		t.Errorf("got news %+v of a success without a crash", got)
	}
	got := apply(tracker, []record{crashOf(1000, "a", 1, 2), success(2000, 1), success(3000, 1), success(3000, 3)}).News
	if len(got.Crashes) != 1 || len(got.Clears) != 1 || got.Clears[0].Part != 1 {
		t.Errorf("got news %+v, want the crash and one success with part 1", got)
	}
}

func TestMergeSpreadsNewsOnce(t *testing.T) {
	sender, receiver := NewTracker(), NewTracker()
	news := apply(sender, []record{crashOf(0, "a", 1), crashOf(1000, "b", 1), crashOf(2000, "c", 1)}).News
	// The news of successive records have different ages.
	for i := range news.Crashes {
		news.Crashes[i].AgeMS = uint32(2000 - 1000*i)
	}
	first, second := receiver.Merge(news, at(2000)), receiver.Merge(news, at(2040))
	if len(first.News.Crashes) != 3 || len(first.Quarantined) != 1 {
		t.Errorf("got %+v, want three new crashes and a verdict", first)
	}
	if !second.News.Empty() || !second.Answer.Empty() || len(second.Quarantined) != 0 {
		t.Errorf("got %+v from the same evidence, want nothing", second)
	}
	if got := blockedParts(receiver, at(2000)); fmt.Sprint(got) != "[1]" {
		t.Errorf("got %v quarantined, want part 1", got)
	}
}

func TestCrashIsForwardedWithItsClears(t *testing.T) {
	sender, receiver, third := NewTracker(), NewTracker(), NewTracker()
	apply(sender, []record{crashOf(0, "a", 1, 2), success(1000, 1)})
	forwarded := receiver.Merge(sender.Export(at(2000), 1000), at(2000)).News
	third.Merge(forwarded, at(2100))
	apply(third, []record{crashOf(2100, "b", 1, 3), crashOf(3100, "c", 1, 4)})
	if got := blockedParts(third, at(3100)); len(got) != 0 {
		t.Errorf("got %v quarantined, want none: part 1 had a success", got)
	}
}

// TestEarlyClearVoidsLaterCrashEvidence merges a success before the crash that it voids.
func TestEarlyClearVoidsLaterCrashEvidence(t *testing.T) {
	tracker := NewTracker()
	tracker.Merge(Evidence{Clears: []Clear{{Part: 1, AgeMS: 0}}}, at(2000))
	apply(tracker, []record{crashOf(0, "a", 1), crashOf(1000, "b", 1), crashOf(1900, "c", 1), crashOf(3000, "d", 1), crashOf(4000, "e", 1)})
	if got := blockedParts(tracker, at(4000)); len(got) != 0 {
		t.Errorf("got %v quarantined, want none", got)
	}
}

// TestLateClearNarrowsVerdict merges a success that was earlier than the last crash of a
// verdict and later than the first.
func TestLateClearNarrowsVerdict(t *testing.T) {
	tracker := NewTracker()
	apply(tracker, []record{crashOf(0, "a", 1, 2), crashOf(1000, "b", 1, 2), crashOf(2000, "c", 1, 2)})
	changes := tracker.Merge(Evidence{Clears: []Clear{{Part: 2, AgeMS: 600}}}, at(2100))
	if len(changes.Narrowed) != 1 || len(changes.News.Clears) != 1 || len(changes.News.Verdicts) != 1 {
		t.Errorf("got %+v, want the verdict narrowed, and the success and the new verdict as news", changes)
	}
	if got := blockedParts(tracker, at(2100)); fmt.Sprint(got) != "[1]" {
		t.Errorf("got %v quarantined, want part 1", got)
	}
}

func TestRestartedRouterLearnsVerdict(t *testing.T) {
	restarted := NewTracker()
	evidence := quarantined().Export(at(60_000), 200)
	changes := restarted.Merge(evidence, at(60_000))
	if len(changes.Quarantined) != 1 || !changes.Quarantined[0].FromPeer || len(changes.News.Verdicts) != 1 {
		t.Errorf("got %+v, want the verdict adopted and forwarded", changes)
	}
	_, remaining, ok := restarted.Blocked(Request{Prompt: prompt(5, 1)}, at(60_000))
	if want := verdictLifetime - 58*time.Second; !ok || remaining != want {
		t.Errorf("got blocked %v for %v, want %v", ok, remaining, want)
	}
}

// TestVerdictIsAnsweredByEarlierSuccess sends a verdict that rests on three incidents to a
// router that had a success with the part before them, which the sender does not know.
func TestVerdictIsAnsweredByEarlierSuccess(t *testing.T) {
	wrong, right := quarantined(), NewTracker()
	apply(right, []record{success(-5000, 1)})
	changes := right.Merge(wrong.Export(at(2500), 200), at(2500))
	if len(changes.Quarantined) != 0 || len(changes.Answer.Clears) != 1 {
		t.Fatalf("got %+v, want no verdict and an answer", changes)
	}
	if lifted := wrong.Merge(changes.Answer, at(2600)); len(lifted.Lifted) != 1 || wrong.QuarantinedParts() != 0 {
		t.Errorf("got %+v, want the verdict lifted", lifted)
	}
}

// TestRecentPartsAreBounded guards against a memory of parts that grows with the traffic.
func TestRecentPartsAreBounded(t *testing.T) {
	tracker := NewTracker()
	for i := range 4 * maxSeen {
		tracker.RecordSuccess(Request{Prompt: prompt(uint64(i))}, at(i))
	}
	if n := len(tracker.seenParts.newer) + len(tracker.seenParts.older); n > maxSeen || n < maxSeen/2 {
		t.Errorf("got %d parts, want %d to %d", n, maxSeen/2, maxSeen)
	}
	if tracker.lastSuccess(4*maxSeen-1, at(4*maxSeen)).IsZero() || !tracker.lastSuccess(1, at(4*maxSeen)).IsZero() {
		t.Error("the oldest part is known, or the newest is not")
	}
}

// TestVerdictIsAnsweredBySuccess sends a verdict to a router that has a later success: it
// must not adopt it, and its answer must lift it at the sender.
func TestVerdictIsAnsweredBySuccess(t *testing.T) {
	wrong, right := quarantined(), NewTracker()
	apply(right, []record{crashOf(0, "a", 1), success(1500, 1)})
	evidence := wrong.Export(at(2500), 200)
	changes := right.Merge(evidence, at(2500))
	if len(changes.Quarantined) != 0 || len(changes.Answer.Clears) != 1 {
		t.Fatalf("got %+v, want no verdict and an answer", changes)
	}
	lifted := wrong.Merge(changes.Answer, at(2600))
	if len(lifted.Lifted) != 1 || len(lifted.News.Clears) != 1 || wrong.QuarantinedParts() != 0 {
		t.Errorf("got %+v, want the verdict lifted and the success forwarded", lifted)
	}
}

// TestVerdictsExpireDespiteExchange guards against routers that prolong each other's
// verdicts by the time that their messages take.
func TestVerdictsExpireDespiteExchange(t *testing.T) {
	a, b := quarantined(), NewTracker()
	const step, transit = 400 * time.Millisecond, 300 * time.Millisecond
	now, end := at(2000), at(2000).Add(verdictLifetime+2*expiryMargin)
	for ; now.Before(end); now = now.Add(step) {
		fromA, fromB := a.Export(now, 200), b.Export(now, 200)
		b.Merge(fromA, now.Add(transit))
		a.Merge(fromB, now.Add(transit))
		a.Sweep(now)
		b.Sweep(now)
	}
	if a.QuarantinedParts() != 0 || b.QuarantinedParts() != 0 {
		t.Errorf("got %d and %d verdicts after their lifetime, want none", a.QuarantinedParts(), b.QuarantinedParts())
	}
}

func TestRefusalAtOtherRouterProlongsVerdict(t *testing.T) {
	a := quarantined()
	b := NewTracker()
	b.Merge(a.Export(at(2000), 200), at(2000))
	a.RecordRefusal(1, at(200_000))
	b.Merge(a.Export(at(200_000), 200), at(200_000))
	if _, remaining, ok := b.Blocked(Request{Prompt: prompt(1)}, at(200_000)); !ok || remaining != verdictLifetime {
		t.Errorf("got blocked %v for %v, want %v", ok, remaining, verdictLifetime)
	}
}

// TestLostClearIsMadeUpFor loses the message with a success. Later messages must bring it
// even if the crash that it voids counts against no part any more.
func TestLostClearIsMadeUpFor(t *testing.T) {
	sender, receiver := NewTracker(), NewTracker()
	receiver.Merge(apply(sender, []record{crashOf(0, "a", 1)}).News, at(0))
	apply(sender, []record{success(1000, 1)})
	receiver.Merge(sender.Export(at(1400), 200), at(1400))
	apply(receiver, []record{crashOf(2000, "b", 1), crashOf(3000, "c", 1)})
	if got := blockedParts(receiver, at(3000)); len(got) != 0 {
		t.Errorf("got %v quarantined, want none", got)
	}
}

func TestExportIsEmptyWithoutEvidence(t *testing.T) {
	tracker := NewTracker()
	apply(tracker, []record{success(0, 1, 2)})
	if e := tracker.Export(at(100), 200); !e.Empty() {
		t.Errorf("got %+v, want nothing", e)
	}
}

// TestExportCarriesEachCrashInTurn exports more crashes than fit. Another tracker must
// have all of them after some exports, none of which may be too long.
func TestExportCarriesEachCrashInTurn(t *testing.T) {
	const crashes, maxBytes = 30, 200
	sender, receiver := NewTracker(), NewTracker()
	for i := range crashes {
		sender.RecordCrash(Request{Prompt: prompt(uint64(1000+2*i), uint64(1001+2*i))}, fleet.TargetID(fmt.Sprint("t", i)), at(i), at(i))
	}
	for i := range 2 * crashes {
		e := sender.Export(at(1000+i), maxBytes)
		data, err := cbor.Marshal(e)
		if err != nil || len(data) > e.Size() || e.Size() > maxBytes {
			t.Fatalf("got %d bytes by an estimate of %d, error %v, want at most %d", len(data), e.Size(), err, maxBytes)
		}
		receiver.Merge(e, at(1000+i))
	}
	if got := len(receiver.crashes); got != crashes {
		t.Errorf("got %d crashes at the other tracker, want %d", got, crashes)
	}
}

func TestSplitKeepsAll(t *testing.T) {
	e := Evidence{Verdicts: []Verdict{{Part: 1}}, Clears: []Clear{{Part: 2}, {Part: 3}}}
	for i := range 40 {
		e.Crashes = append(e.Crashes, Crash{TargetHash: uint32(i), Parts: []uint64{1 << 60, 1 << 61, 1 << 62}})
	}
	var all Evidence
	for _, piece := range e.Split(300) {
		if piece.Size() > 300 {
			t.Errorf("got a piece of %d bytes, want at most 300", piece.Size())
		}
		all.add(piece)
	}
	if len(all.Crashes) != 40 || len(all.Clears) != 2 || len(all.Verdicts) != 1 {
		t.Errorf("got %d crashes, %d clears and %d verdicts, want 40, 2 and 1", len(all.Crashes), len(all.Clears), len(all.Verdicts))
	}
}

// TestLongCrashTravelsInPieces sends a crash under a prompt of maxParts parts in datagrams, some of
// which come twice or in another order.
func TestLongCrashTravelsInPieces(t *testing.T) {
	parts := make([]uint64, maxParts)
	for i := range parts {
		parts[i] = uint64(1000 + i)
	}
	sender, receiver := NewTracker(), NewTracker()
	news := sender.RecordCrash(asked(77, parts...), "t", at(0), at(0)).News
	pieces := news.Split(1000)
	slices.Reverse(pieces)
	forwarded := 0
	for _, piece := range append(pieces, pieces[0]) {
		if data, err := cbor.Marshal(piece); err != nil || len(data) > piece.Size() || piece.Size() > 1000 {
			t.Fatalf("got %d bytes by an estimate of %d, error %v, want at most 1000", len(data), piece.Size(), err)
		}
		for _, c := range receiver.Merge(piece, at(10)).News.Crashes {
			forwarded += len(c.Parts)
		}
	}
	if len(receiver.crashes) != 1 || len(receiver.crashes[0].sharedParts()) != maxParts || receiver.crashes[0].incomplete() {
		t.Errorf("got %d crashes, want one with all parts", len(receiver.crashes))
	}
	if forwarded != maxParts {
		t.Errorf("got %d parts forwarded, want each once", forwarded)
	}
}

// TestStateIsBounded floods a tracker with evidence of its own and of others.
func TestStateIsBounded(t *testing.T) {
	tracker := NewTracker()
	next := uint64(1)
	for i := range maxCrashes + maxForeignSuccesses {
		parts := make([]uint64, 1+(37*i)%(2*maxParts))
		for j := range parts {
			next++
			parts[j] = next
		}
		tracker.RecordCrash(Request{Prompt: prompt(parts...)}, fleet.TargetID(fmt.Sprint("t", i)), at(10*i), at(10*i))
		next++
		tracker.Merge(Evidence{
			Clears: []Clear{{Part: next}}, Verdicts: []Verdict{{Part: next + 1<<40}}, Crashes: []Crash{{TargetHash: uint32(i)}, {Parts: make([]uint64, maxParts+1)}},
		}, at(10*i))
	}
	parts := 0
	for _, c := range tracker.crashes {
		parts += len(c.parts)
		if len(c.parts) == 0 || len(c.parts) > maxParts {
			t.Errorf("got a crash with %d parts", len(c.parts))
		}
	}
	if len(tracker.crashes) > maxCrashes || parts > maxCrashParts || len(tracker.verdicts) > maxVerdicts ||
		len(tracker.successes) > maxForeignSuccesses+maxCrashParts || len(tracker.suspects) > maxCrashParts {
		t.Errorf("got %d crashes with %d parts, %d verdicts, %d successes, %d suspects", len(tracker.crashes), parts,
			len(tracker.verdicts), len(tracker.successes), len(tracker.suspects))
	}
}

// TestDroppedCrashIsNoNews guards against crashes beyond the limit that routers send each
// other again and again.
func TestDroppedCrashIsNoNews(t *testing.T) {
	tracker := NewTracker()
	for i := range maxCrashes + 1 {
		tracker.RecordCrash(Request{Prompt: prompt(uint64(i))}, fleet.TargetID(fmt.Sprint("t", i)), at(1000+i), at(1000+i))
	}
	old := Evidence{Crashes: []Crash{{TargetHash: 7, AgeMS: 2000, Parts: []uint64{5}}}}
	if got := tracker.Merge(old, at(2500)).News; !got.Empty() {
		t.Errorf("got news %+v of a crash older than all known ones, want none", got)
	}
}

func BenchmarkBlockedWithoutVerdict(b *testing.B) {
	tracker, p := NewTracker(), prompt(1, 2, 3)
	for b.Loop() {
		tracker.Blocked(Request{Prompt: p}, start)
	}
}

func BenchmarkSuccessWithKnownCrashes(b *testing.B) {
	tracker, p := NewTracker(), prompt(1, 2, 3)
	for i := range maxCrashes {
		tracker.RecordCrash(Request{Prompt: prompt(1, uint64(i))}, fleet.TargetID(fmt.Sprint("t", i)), at(i), at(i))
	}
	for b.Loop() {
		tracker.RecordSuccess(Request{Prompt: p}, at(maxCrashes))
	}
}
