package relay_test

import (
	"net/http"
	"strings"
	"testing"
)

// TestStreamWhoseIDsBeginAtZeroIsWhole guards against streams without their first event, or with that event twice.
func TestStreamWhoseIDsBeginAtZeroIsWhole(t *testing.T) {
	whole := withLength(streamText(0, 3))
	for name, test := range map[string]struct {
		answers []answer
		header  []string
		want    string
	}{
		"new":                          {[]answer{whole}, nil, streamText(0, 3)},
		"broken off after its first":   {[]answer{{body: streamText(0, 0), reset: true}, whole}, nil, streamText(0, 3)},
		"broken off after its second":  {[]answer{{body: streamText(0, 1), reset: true}, whole}, nil, streamText(0, 3)},
		"taken up after its first":     {[]answer{whole}, []string{"Last-Event-Id", "0", "Resumes", "earlier"}, streamText(1, 3)},
		"nothing to take up, from one": {[]answer{withLength(streamText(1, 3))}, []string{"Last-Event-Id", "0"}, streamText(1, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 0, resumableRoute, nil)
			s.serveByIngress()
			addr := serveAnswers(t, test.answers...)
			s.useRawTargets(addr, addr)
			_, body, err := s.do(s.request(http.MethodPost, "x", test.header...))
			if err != nil || body != test.want {
				t.Errorf("got body %q, error %v, want %q", strings.ReplaceAll(body, "\n", "|"), err, test.want)
			}
		})
	}
}
