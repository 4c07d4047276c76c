package relay_test

import (
	"net/http"
	"testing"

	"ragwortpond.example/ragwortpond/platform/standin"
)

// TestBrokenStreamGoesOnAtItsVersionOnly guards against two software versions in one answer.
func TestBrokenStreamGoesOnAtItsVersionOnly(t *testing.T) {
	const streams, events = 24, 12
	breakFirstRuns := func(r *http.Request) standin.Behavior {
		if r.Header.Get("Last-Event-Id") == "" {
			return standin.CloseMidResponse
		}
		return standin.Serve
	}
	for _, test := range []struct {
		name     string
		versions []string
		complete bool
	}{
		{"other targets of the version", []string{"v1", "v2", "v1", "v2"}, true},
		{"no other target of the version", []string{"v1", "v2"}, false},
	} {
		s := newFixture(t, len(test.versions), resumableRoute, withEvents(events, func(i int, target *standin.Target) {
			target.Version, target.Behave = test.versions[i], breakFirstRuns
		}))
		for range streams {
			_, body, err := s.do(s.request(http.MethodPost, "x"))
			if complete := err == nil && body == streamText(1, events); complete != test.complete {
				t.Errorf("%s: got complete %t, body %q, error %v, want complete %t", test.name, complete, body, err, test.complete)
			}
		}
		versions := map[string]string{}
		for _, target := range s.targets {
			for _, run := range target.Runs() {
				if before, ok := versions[run.Request]; ok && before != target.Version {
					t.Errorf("%s: request %s ran at versions %s and %s, want one", test.name, run.Request, before, target.Version)
				}
				versions[run.Request] = target.Version
			}
		}
	}
}
