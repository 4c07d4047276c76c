package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/catalog"
)

// testStop is a stop that began at start, with a grace period of 8 s.
func testStop(start time.Time) StopSchedule {
	return StopSchedule{LeaveAt: start.Add(2500 * time.Millisecond), EndAt: start.Add(7400 * time.Millisecond)}
}

func TestStopAcceptsRequestsThatEndInTime(t *testing.T) {
	start := time.Unix(100, 0)
	stop := testStop(start)
	for _, test := range []struct {
		name string
		time RequestTime
		at   time.Duration
		want bool
	}{
		{"of unknown length, before the router has left the rotation", RequestTime{Limit: 15 * time.Second}, 2 * time.Second, true},
		{"that fits, before", RequestTime{15 * time.Second, 4 * time.Second}, 2 * time.Second, true},
		{"that does not fit, before", RequestTime{15 * time.Second, 6 * time.Second}, 2 * time.Second, false},
		{"whose limit fits, before", RequestTime{5 * time.Second, 6 * time.Second}, 2 * time.Second, true},
		{"of unknown length, after", RequestTime{Limit: 15 * time.Second}, 4 * time.Second, false},
		{"that is expected to be short, after", RequestTime{15 * time.Second, time.Second}, 4 * time.Second, false},
		{"whose limit fits, after", RequestTime{3 * time.Second, time.Hour}, 4 * time.Second, true},
		{"whose limit just fits", RequestTime{1500 * time.Millisecond, 0}, 5900 * time.Millisecond, true},
		{"whose limit does not fit", RequestTime{1500 * time.Millisecond, 0}, 6 * time.Second, false},
		{"after the end", RequestTime{1500 * time.Millisecond, 0}, 9 * time.Second, false},
	} {
		if got := stop.Accepts(test.time, start.Add(test.at)); got != test.want {
			t.Errorf("a request %s: got accepted %t, want %t", test.name, got, test.want)
		}
	}
}

// TestStopAcceptsNothingLateThatOutlastsIt guards against requests that are accepted after LeaveAt and cut (review case 8),
// whatever earlier answers showed.
func TestStopAcceptsNothingLateThatOutlastsIt(t *testing.T) {
	start := time.Unix(100, 0)
	stop := testStop(start)
	stream, call := &catalog.Route{Stream: true}, &catalog.Route{RunPolicy: catalog.RunOnce}
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(1, 20_000).Draw(t, name)) * time.Millisecond
		}
		pace := &Pace{}
		tokens := rapid.SampledFrom([]int{0, 1, 24, 384, 5000})
		for range rapid.IntRange(0, 2*paceSamples).Draw(t, "earlier answers") {
			pace.RecordStream(tokens.Draw(t, "named before"), duration("took"))
			pace.RecordCall(duration("call took"))
		}
		route := rapid.SampledFrom([]*catalog.Route{stream, call}).Draw(t, "route")
		limit, takes := duration("limit"), duration("takes")
		now := start.Add(rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(2500, 8000).Draw(t, "ms")) * time.Millisecond
		}).Draw(t, "at"))
		accepted := stop.Accepts(RequestTime{limit, pace.AnswerTime(route, tokens.Draw(t, "named"))}, now)
		if accepted && now.Add(min(limit, takes)).After(stop.EndAt) {
			t.Errorf("a request that takes %s, limited to %s, was accepted %s before the end", takes, limit, stop.EndAt.Sub(now))
		}
		if !accepted && !now.Add(limit).After(stop.EndAt) {
			t.Errorf("a request limited to %s was refused %s before the end", limit, stop.EndAt.Sub(now))
		}
	})
}

// TestRollingStopLosesFewerRequests simulates a failure domain whose three routers
// stop one after another, each before the previous one is back, with callers that
// try twice. Refusing every request after LeaveAt must lose at least twice as many
// callers as accepting those whose limit ends in time.
func TestRollingStopLosesFewerRequests(t *testing.T) {
	const routers, down, gap = 3, time.Second, 1300 * time.Millisecond
	start := time.Unix(100, 0)
	lost := func(takes func(s StopSchedule, limit time.Duration, now time.Time) bool) int {
		random := rand.New(rand.NewPCG(3, 4))
		count := 0
		for i := range 4000 {
			now := start.Add(time.Duration(i) * 3 * time.Millisecond)
			limit := time.Second + time.Duration(20+random.IntN(500))*6*time.Millisecond
			first := random.IntN(routers)
			served := false
			for _, r := range []int{first, (first + 1 + random.IntN(routers-1)) % routers} {
				at := start.Add(time.Duration(r) * gap)
				s := testStop(at)
				switch {
				case now.Before(at) || now.After(s.EndAt.Add(down)):
					served = true
				case now.After(s.EndAt):
				default:
					served = takes(s, limit, now)
				}
				if served {
					break
				}
			}
			if !served {
				count++
			}
		}
		return count
	}
	refusing := lost(func(s StopSchedule, _ time.Duration, now time.Time) bool { return now.Before(s.LeaveAt) })
	taking := lost(func(s StopSchedule, limit time.Duration, now time.Time) bool {
		return s.Accepts(RequestTime{Limit: limit}, now)
	})
	if taking*2 > refusing {
		t.Errorf("got %d callers lost when accepting requests that end in time, want at most half of the %d lost when refusing all", taking, refusing)
	}
}

// TestStopRefusesStreamThatEnginesAreTooSlowFor guards against streams that are accepted and cut although earlier ones
// show that they outlast the stop.
func TestStopRefusesStreamThatEnginesAreTooSlowFor(t *testing.T) {
	const tokens = 600
	start := time.Unix(100, 0)
	stop := testStop(start)
	stream := &catalog.Route{Stream: true}
	for _, test := range []struct {
		name string
		// answers is the number of answers that showed took for as many tokens.
		answers int
		took    time.Duration
		// before and after are whether one is accepted 1.2 s and 3.2 s after the stop began.
		before, after bool
	}{
		{"of unknown pace", 0, 0, true, false},
		{"of a pace that few answers showed", minPaceSamples - 1, time.Hour, true, false},
		{"of fast engines", paceSamples, time.Second, true, false},
		{"of slow engines, in time", paceSamples, 6100 * time.Millisecond, true, false},
		{"of slow engines", paceSamples, 6300 * time.Millisecond, false, false},
	} {
		named, unnamed := &Pace{}, &Pace{}
		for range test.answers {
			named.RecordStream(tokens, test.took)
			unnamed.RecordStream(0, test.took)
		}
		named.RecordStream(0, time.Hour)
		for name, expected := range map[string]time.Duration{"names its tokens": named.AnswerTime(stream, tokens), "names none": unnamed.AnswerTime(stream, 0)} {
			request := RequestTime{Limit: 12 * time.Second, Expected: expected}
			before, after := stop.Accepts(request, start.Add(1200*time.Millisecond)), stop.Accepts(request, start.Add(3200*time.Millisecond))
			if before != test.before || after != test.after {
				t.Errorf("a stream %s that %s: got accepted %t and %t, want %t and %t", test.name, name, before, after, test.before, test.after)
			}
		}
	}
}

// TestStopRefusesCallThatServiceIsTooSlowFor guards against plain calls that are accepted and cut.
func TestStopRefusesCallThatServiceIsTooSlowFor(t *testing.T) {
	start := time.Unix(100, 0)
	stop := testStop(start)
	plain := &catalog.Route{RunPolicy: catalog.RunOnce}
	for _, test := range []struct {
		name  string
		limit time.Duration
		// took is how long the slowest of earlier answers took, at when the request arrives.
		took, at time.Duration
		want     bool
	}{
		{"fast calls, early", 10 * time.Second, 50 * time.Millisecond, 2 * time.Second, true},
		{"slow calls, early and in time", 10 * time.Second, 3500 * time.Millisecond, 2 * time.Second, true},
		{"slow calls, early", 10 * time.Second, 3700 * time.Millisecond, 2 * time.Second, false},
		{"fast calls with a long limit", 10 * time.Second, 50 * time.Millisecond, 3 * time.Second, false},
		{"fast calls with a limit in time", 3 * time.Second, 50 * time.Millisecond, 4400 * time.Millisecond, true},
		{"calls that take up to the limit", 3 * time.Second, 2800 * time.Millisecond, 4500 * time.Millisecond, false},
	} {
		pace := &Pace{}
		for range minPaceSamples {
			pace.RecordCall(50 * time.Millisecond)
		}
		pace.RecordCall(test.took)
		if got := stop.Accepts(RequestTime{test.limit, pace.AnswerTime(plain, 0)}, start.Add(test.at)); got != test.want {
			t.Errorf("%s: got accepted %t, want %t", test.name, got, test.want)
		}
	}
}
