package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
)

func TestStopTakesRequestsThatCanFinish(t *testing.T) {
	start := time.Unix(100, 0)
	stop := StopSchedule{LeaveAt: start.Add(2500 * time.Millisecond), EndAt: start.Add(7400 * time.Millisecond)}
	plain := &catalog.Route{RunPolicy: catalog.RunOnce, Timeout: 1500 * time.Millisecond}
	stream := &catalog.Route{Stream: true, Timeout: 15 * time.Second}
	for _, test := range []struct {
		name   string
		route  *catalog.Route
		tokens int
		at     time.Duration
		want   bool
	}{
		{"anything before the router has left the rotation", stream, 5000, 2 * time.Second, true},
		{"a short stream", stream, 100, 4 * time.Second, true},
		{"a long stream", stream, 1000, 4 * time.Second, false},
		{"a stream of unknown length", stream, 0, 4 * time.Second, false},
		{"a plain call", plain, 0, 5800 * time.Millisecond, true},
		{"a plain call at the end", plain, 0, 6 * time.Second, false},
		{"after the end", plain, 0, 9 * time.Second, false},
	} {
		if got := stop.Accepts(test.route, test.tokens, &Pace{}, start.Add(test.at)); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// TestRollingStopLosesFewerRequests simulates a failure domain whose three routers
// stop one after another, each before the previous one is back, with callers that
// try twice. Refusing every request after LeaveAt must lose at least twice as many
// callers as accepting those that can finish in time.
func TestRollingStopLosesFewerRequests(t *testing.T) {
	const routers, down, gap = 3, time.Second, 1300 * time.Millisecond
	start := time.Unix(100, 0)
	route := &catalog.Route{Stream: true, Timeout: 15 * time.Second}
	lost := func(takes func(s StopSchedule, tokens int, now time.Time) bool) int {
		random := rand.New(rand.NewPCG(3, 4))
		count := 0
		for i := range 4000 {
			now := start.Add(time.Duration(i) * 3 * time.Millisecond)
			tokens := 20 + random.IntN(500)
			first := random.IntN(routers)
			served := false
			for _, r := range []int{first, (first + 1 + random.IntN(routers-1)) % routers} {
				at := start.Add(time.Duration(r) * gap)
				s := StopSchedule{LeaveAt: at.Add(2500 * time.Millisecond), EndAt: at.Add(7400 * time.Millisecond)}
				switch {
				case now.Before(at) || now.After(s.EndAt.Add(down)):
					served = true
				case now.After(s.EndAt):
				default:
					served = takes(s, tokens, now)
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
	refusing := lost(func(s StopSchedule, _ int, now time.Time) bool { return now.Before(s.LeaveAt) })
	taking := lost(func(s StopSchedule, tokens int, now time.Time) bool {
		return s.Accepts(route, tokens, &Pace{}, now)
	})
	if taking*2 > refusing {
		t.Errorf("got %d callers lost when accepting requests that can finish, want at most half of the %d lost when refusing all", taking, refusing)
	}
}

// TestStopRefusesStreamThatEnginesAreTooSlowFor guards against streams that are accepted and cut (review case 3).
func TestStopRefusesStreamThatEnginesAreTooSlowFor(t *testing.T) {
	const tokens = 600
	start := time.Unix(100, 0)
	stop := StopSchedule{LeaveAt: start.Add(2500 * time.Millisecond), EndAt: start.Add(7400 * time.Millisecond)}
	stream := &catalog.Route{Stream: true, Timeout: 12 * time.Second}
	for _, test := range []struct {
		name string
		// answers is the number of answers that showed took for as many tokens.
		answers int
		took    time.Duration
		want    bool
	}{
		{"of unknown pace", 0, 0, false},
		{"of a pace that few answers showed", minPaceSamples - 1, time.Second, false},
		{"of fast engines", paceSamples, time.Second, true},
		{"of slow engines", paceSamples, 4800 * time.Millisecond, false},
	} {
		pace := &Pace{}
		for range test.answers {
			pace.RecordStream(tokens, test.took)
		}
		pace.RecordStream(0, time.Hour)
		if got := stop.Accepts(stream, tokens, pace, start.Add(3200*time.Millisecond)); got != test.want {
			t.Errorf("a stream %s: got accepted %t, want %t", test.name, got, test.want)
		}
	}
}

// TestStopRefusesCallThatServiceIsTooSlowFor guards against plain calls that are accepted and cut.
func TestStopRefusesCallThatServiceIsTooSlowFor(t *testing.T) {
	start := time.Unix(100, 0)
	stop := StopSchedule{LeaveAt: start.Add(2500 * time.Millisecond), EndAt: start.Add(7400 * time.Millisecond)}
	plain := &catalog.Route{RunPolicy: catalog.RunOnce, Timeout: 3 * time.Second}
	unbounded := &catalog.Route{Stream: true, Timeout: 15 * time.Second}
	for _, test := range []struct {
		name  string
		route *catalog.Route
		// took is how long earlier answers took, at when the request arrives.
		took, at time.Duration
		want     bool
	}{
		{"fast calls", plain, 50 * time.Millisecond, 5800 * time.Millisecond, true},
		{"slow calls, in time", plain, 1500 * time.Millisecond, 5 * time.Second, true},
		{"slow calls", plain, 1500 * time.Millisecond, 5800 * time.Millisecond, false},
		{"calls that take up to the timeout, in time", plain, 2800 * time.Millisecond, 4400 * time.Millisecond, true},
		{"calls that take up to the timeout", plain, 2800 * time.Millisecond, 4500 * time.Millisecond, false},
		{"short streams without a bound", unbounded, 600 * time.Millisecond, 6 * time.Second, true},
		{"long streams without a bound", unbounded, 4 * time.Second, 3 * time.Second, false},
	} {
		pace := &Pace{}
		for range minPaceSamples {
			pace.RecordCall(test.took)
			pace.RecordStream(0, test.took)
		}
		if got := stop.Accepts(test.route, 0, pace, start.Add(test.at)); got != test.want {
			t.Errorf("%s: got accepted %t, want %t", test.name, got, test.want)
		}
	}
}
