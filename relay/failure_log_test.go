package relay_test

import (
	"net/http"
	"testing"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/explain/explaintest"
	"ragwortpond.example/ragwortpond/platform/standin"
)

// TestLogExplainsEachFailure makes requests fail in every way visible to a client.
// The last log line with the request's ID must name the result, and the first one
// the target, if one was chosen.
func TestLogExplainsEachFailure(t *testing.T) {
	short := onceRoute
	short.Timeout = short.Timeout / 5
	for name, test := range map[string]struct {
		route  catalog.Route
		act    standin.Behavior
		change func(r *http.Request)
		last   string
		reason string
		placed bool
	}{
		"rejected by all targets": {onceRoute, standin.Reject, nil, "request-not-run", "target-refused", true},
		"unknown key":             {onceRoute, standin.Serve, func(r *http.Request) { r.Header.Del("Authorization") }, "request-not-run", "unauthenticated", false},
		"unknown path":            {onceRoute, standin.Serve, func(r *http.Request) { r.URL.Path = "/q" }, "request-not-run", "unknown-path", false},
		"response lost":           {onceRoute, standin.CloseBeforeResponse, nil, "request-unknown", "answer-truncated", true},
		"timed out":               {short, standin.Hang, nil, "request-unknown", "timed-out", true},
		"stream cut midway":       {onceStreamRoute, standin.CloseMidResponse, nil, "answer-cut", "answer-truncated", true},
		"target failure":          {onceRoute, standin.RunThenSend500, nil, "request-failure-passed-on", "", true},
		"lost at both targets":    {repeatableRoute, standin.CloseBeforeResponse, nil, "request-unknown", "answer-truncated", true},
		"resumed without success": {resumableRoute, standin.CloseMidResponse, nil, "answer-cut", "answer-truncated", true},
	} {
		log := &explaintest.Log{}
		s := newFixtureWithLog(t, 2, test.route, zerolog.New(log).With().Str("router", "a").Timestamp().Logger(), withEvents(eventCount(test.route), onEveryRequest(test.act)))
		r := s.request(http.MethodPost, "x")
		if test.change != nil {
			test.change(r)
		}
		response, _, err := s.do(r)
		if err == nil && response.StatusCode == http.StatusOK {
			t.Errorf("%s: got a successful response, want a failure", name)
		}
		id := r.Header.Get("Attempt-Id")
		await.Until(t, "the request to end", func() bool { return s.relay.InFlight() == 0 })
		lines := log.RequestLines(t, id)
		if len(lines) == 0 {
			t.Errorf("%s: got no log line for the request", name)
			continue
		}
		last := lines[len(lines)-1]
		if last.Name != test.last || (test.reason != "" && string(last.Fields["reason"]) != `"`+test.reason+`"`) {
			t.Errorf("%s: got last line %s with reason %s, want %s with reason %q", name, last.Name, last.Fields["reason"], test.last, test.reason)
		}
		if test.placed && (lines[0].Name != "request-placed" || len(lines[0].Fields["target"]) == 0) {
			t.Errorf("%s: got first line %s, want request-placed with a target", name, lines[0].Name)
		}
	}
}

func eventCount(r catalog.Route) int {
	if r.Stream {
		return 12
	}
	return 0
}
