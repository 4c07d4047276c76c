package targetlimit

import (
	"testing"
	"time"
)

// brittleBegin is a time by which a brittle target has said so.
var brittleBegin = time.Unix(5000, 0)

// newBrittle returns a tracker that knows one brittle target.
func newBrittle(rejections float64) *Tracker {
	t := NewTracker()
	t.RecordBrittle("t", rejections, brittleBegin)
	return t
}

func TestBrittleTargetIsSpared(t *testing.T) {
	for _, test := range []struct {
		name           string
		bears          float64
		share          float64
		rejections     int
		wantGranted    bool
		wantWaitAtMost time.Duration
	}{
		{"no rejection", 8, 1, 0, true, 0},
		{"some", 8, 1, 3, true, 0},
		{"half of what it bears", 8, 1, 4, false, time.Second},
		{"half, of which another part of the fleet may cause half", 8, 0.5, 2, false, time.Second},
		{"bears none", 0, 1, 1, false, time.Second},
		{"bears one", 1, 1, 1, false, time.Second},
	} {
		tr := newBrittle(test.bears)
		for range test.rejections {
			tr.RecordRejection("t", brittleBegin)
		}
		granted, wait := tr.Grant("t", Home, test.share, brittleBegin.Add(time.Millisecond))
		if granted != test.wantGranted || wait > test.wantWaitAtMost || (!granted && wait <= 0) {
			t.Errorf("%s: got granted %t, wait %v, want %t and at most %v", test.name, granted, wait, test.wantGranted, test.wantWaitAtMost)
		}
		if granted, _ := tr.Grant("t", Home, test.share, brittleBegin.Add(rejectionWindow+time.Millisecond)); !granted {
			t.Errorf("%s: not granted a second after the rejections", test.name)
		}
	}
}

// TestGrantsSettleBelowRoom plays a target that can take a number of requests a second.
func TestGrantsSettleBelowRoom(t *testing.T) {
	const room, bears, period = 20, 4, 30 * time.Second
	tr := newBrittle(bears)
	taken, tokens, mostRejected := 0, 0.0, 0
	var rejected []time.Time
	for now := brittleBegin; now.Before(brittleBegin.Add(period)); now = now.Add(10 * time.Millisecond) {
		tr.RecordBrittle("t", bears, now)
		tokens = min(tokens+room*0.01, 2)
		if granted, _ := tr.Grant("t", Home, 1, now); !granted {
			continue
		}
		if tokens >= 1 {
			tokens--
			taken++
			continue
		}
		tr.RecordRejection("t", now)
		rejected = append(rejected, now)
		for now.Sub(rejected[0]) >= time.Second {
			rejected = rejected[1:]
		}
		mostRejected = max(mostRejected, len(rejected))
	}
	if mostRejected > bears {
		t.Errorf("got %d rejections in a second, want at most %d", mostRejected, bears)
	}
	if want := int(0.7 * room * period.Seconds()); taken < want {
		t.Errorf("got %d requests taken, want at least %d", taken, want)
	}
}

func TestBrittleReports(t *testing.T) {
	tr := newBrittle(4)
	if !tr.NeedsPermit("t", brittleBegin) || tr.IsLimited("t", brittleBegin) {
		t.Error("sends to a brittle target need no permit, or it counts as limited")
	}
	if tr.MergeBrittle("t", BrittleReport{Rejections: 9, At: brittleBegin.Add(-time.Second)}, brittleBegin) {
		t.Error("an older report changed the target")
	}
	if r, _ := tr.Brittle("t", brittleBegin); r.Rejections != 4 {
		t.Errorf("got %v rejections, want those of the newest report", r.Rejections)
	}
	if tr.NeedsPermit("t", brittleBegin.Add(brittleLifetime)) {
		t.Error("a target that has said nothing for long is still brittle")
	}
	if !tr.RecordSound("t", brittleBegin.Add(time.Second)) || tr.NeedsPermit("t", brittleBegin.Add(time.Second)) {
		t.Error("a target that is no longer brittle still needs permits")
	}
	if tr.RecordSound("other", brittleBegin) {
		t.Error("a sound target changed")
	}
	tr.RecordBrittle("t", 4, brittleBegin.Add(2*time.Second))
	tr.Reset("t")
	if tr.NeedsPermit("t", brittleBegin.Add(2*time.Second)) {
		t.Error("a target that has started again is still brittle")
	}
	tr.RecordBrittle("u", 4, brittleBegin)
	tr.Prune(brittleBegin.Add(brittleLifetime - 1))
	if !tr.NeedsPermit("u", brittleBegin.Add(brittleLifetime-1)) {
		t.Error("a brittle target was dropped within the lifetime of what it said")
	}
	tr.Prune(brittleBegin.Add(brittleLifetime + 2*time.Second))
	if len(tr.brittle) != 0 {
		t.Error("a target was kept that has not said for long that it is brittle")
	}
}

func TestBrittleStateIsBounded(t *testing.T) {
	tr := newBrittle(1e6)
	for range 2 * maxRejectionsKept {
		tr.RecordRejection("t", brittleBegin)
	}
	if n := len(tr.brittle["t"].rejections); n != maxRejectionsKept {
		t.Errorf("got %d rejections kept, want %d", n, maxRejectionsKept)
	}
	tr.RecordRejection("unknown", brittleBegin)
	if len(tr.brittle) != 1 {
		t.Error("a rejection by a target that is not brittle was kept")
	}
}
