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

// TestEachFailureIsExplained lets requests fail in every way that a client can
// see: the last line with the request's id names how it ended, and those before
// it where it was.
func TestEachFailureIsExplained(t *testing.T) {
	short := once
	short.Timeout = short.Timeout / 5
	for name, test := range map[string]struct {
		route  catalog.Route
		act    standin.Act
		change func(r *http.Request)
		last   string
		reason string
		placed bool
	}{
		"refused by all targets":  {once, standin.Reject, nil, "request-not-run", "target-refused", true},
		"unknown key":             {once, standin.Serve, func(r *http.Request) { r.Header.Del("Authorization") }, "request-not-run", "unauthenticated", false},
		"unknown path":            {once, standin.Serve, func(r *http.Request) { r.URL.Path = "/q" }, "request-not-run", "unknown-path", false},
		"lost":                    {once, standin.CutBefore, nil, "request-unknown", "answer-truncated", true},
		"timed out":               {short, standin.Hang, nil, "request-unknown", "timed-out", true},
		"cut midway":              {onceStream, standin.CutMidway, nil, "answer-cut", "answer-truncated", true},
		"the target's own":        {once, standin.FailRun, nil, "request-failure-passed-on", "", true},
		"lost at both targets":    {repeatable, standin.CutBefore, nil, "request-unknown", "answer-truncated", true},
		"resumed without success": {resumable, standin.CutMidway, nil, "answer-cut", "answer-truncated", true},
	} {
		log := &explaintest.Log{}
		s := newLoggedScene(t, 2, test.route, zerolog.New(log).With().Str("router", "a").Timestamp().Logger(), streaming(eventsOf(test.route), always(test.act)))
		r := s.request(http.MethodPost, "x")
		if test.change != nil {
			test.change(r)
		}
		response, _, err := s.do(r)
		if err == nil && response.StatusCode == http.StatusOK {
			t.Errorf("%s: the client saw no failure", name)
		}
		id := r.Header.Get("Attempt-Id")
		await.Until(t, "the request to end", func() bool { return s.relay.Serving() == 0 })
		lines := log.Story(t, id)
		if len(lines) == 0 {
			t.Errorf("%s: no line", name)
			continue
		}
		last := lines[len(lines)-1]
		if last.Name != test.last || (test.reason != "" && string(last.Fields["reason"]) != `"`+test.reason+`"`) {
			t.Errorf("%s: the last line is %s with reason %s", name, last.Name, last.Fields["reason"])
		}
		if test.placed && (lines[0].Name != "request-placed" || len(lines[0].Fields["target"]) == 0) {
			t.Errorf("%s: the first line is %s", name, lines[0].Name)
		}
	}
}

func eventsOf(r catalog.Route) int {
	if r.Stream {
		return 12
	}
	return 0
}
