package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/explain"
	"ragwortpond.example/ragwortpond/explain/explaintest"
	"ragwortpond.example/ragwortpond/platform/standin"
)

// bornAt is when the process of a publishBorn target started, reportOf what a process tells of its start.
var bornAt = time.UnixMilli(2000)

func reportOf(startedAt time.Time) string {
	return fmt.Sprintf(`{"born":%d}`, startedAt.UnixMilli())
}

// publishBorn makes a target whose entry tells its start the only one; it is a plain service's if slots is zero.
func (s *fixture) publishBorn(addr string, slots int) {
	service := s.config.Services["s"]
	service.Slots, service.HealthPath = slots, testHealthPath
	s.config.Services["s"] = service
	target := &catalog.Target{ID: "t", Service: "s", Domain: "d", Addr: addr, Slots: slots, StartedAt: bornAt}
	s.view.Store(&catalog.View{Config: s.config, TargetsLoaded: true, Targets: catalog.Targets{"s": {target}}})
}

// writeText sends a framed response without an ID.
func writeText(c net.Conn, status, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// isCheck reports whether a request asks for a target's process or its health.
func isCheck(r *http.Request) bool {
	return r.URL.Path == standin.ReportPath || r.URL.Path == testHealthPath
}

// lastLine returns the last log line of a request once it has ended.
func (s *fixture) lastLine(log *explaintest.Log, r *http.Request) explain.Line {
	s.t.Helper()
	await.Until(s.t, "the request to end", func() bool { return s.relay.InFlight() == 0 })
	lines := log.RequestLines(s.t, r.Header.Get("Attempt-Id"))
	return lines[len(lines)-1]
}

// TestLogTellsEvidenceOfEnd guards against answers of which the log does not tell why their end was taken for complete.
func TestLogTellsEvidenceOfEnd(t *testing.T) {
	unframed := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, unframedHead+"%s", r.Header.Get("Attempt-Id"), streamText(1, 2))
		return false
	}
	for name, test := range map[string]struct {
		slots int
		serve func(c net.Conn, r *http.Request) bool
		want  string
	}{
		"framed": {8, func(c net.Conn, r *http.Request) bool {
			writeHead(c, r)
			writeEvents(c, 1, 2)
			_, _ = fmt.Fprint(c, "0\r\n\r\n")
			return true
		}, "framing"},
		"engine":        {8, unframed, "process"},
		"plain service": {0, unframed, "health"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := &explaintest.Log{}
			s := newFixtureWithLog(t, 0, onceStreamRoute, zerolog.New(log).With().Str("router", "a").Timestamp().Logger(), nil)
			s.serveByIngress()
			target := startMortalTarget(t, func(_ *mortalTarget, c net.Conn, r *http.Request) bool {
				if isCheck(r) {
					writeText(c, "200 OK", reportOf(bornAt))
					return true
				}
				return test.serve(c, r)
			})
			s.publishBorn(target.listener.Addr().String(), test.slots)
			r := s.request(http.MethodPost, "x")
			if _, body, err := s.do(r); err != nil || body != streamText(1, 2) {
				t.Fatalf("got body %q, error %v, want both events", body, err)
			}
			line := s.lastLine(log, r)
			if got := string(line.Fields["end"]); line.Name != "request-served" || got != `"`+test.want+`"` {
				t.Errorf("got line %s with end %s, want request-served with %q", line.Name, got, test.want)
			}
		})
	}
}
