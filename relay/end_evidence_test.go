package relay_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/conntest"
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
	unframed := func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, unframedHead+"%s", r.Header.Get("Attempt-Id"), streamText(1, 2))
	}
	for name, test := range map[string]struct {
		slots int
		// beside is set if another answer of the target is in progress.
		beside bool
		// told is the target's answer to a check.
		told  string
		serve func(c net.Conn, r *http.Request)
		want  string
	}{
		"framed": {8, false, "", func(c net.Conn, r *http.Request) {
			writeHead(c, r)
			writeEvents(c, 1, 2)
			_, _ = fmt.Fprint(c, "0\r\n\r\n")
		}, "framing"},
		"beside another answer":              {0, true, "", unframed, "connection"},
		"engine":                             {8, false, reportOf(bornAt), unframed, "process"},
		"plain service that tells its start": {0, false, reportOf(bornAt), unframed, "process"},
		"plain service that tells no start":  {0, false, "", unframed, "health"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := &explaintest.Log{}
			s := newFixtureWithLog(t, 0, onceStreamRoute, zerolog.New(log).With().Str("router", "a").Timestamp().Logger(), nil)
			s.serveByIngress()
			began, ended := make(chan struct{}), make(chan struct{})
			s.publishBorn(conntest.Serve(t, func(c net.Conn) {
				r, err := http.ReadRequest(bufio.NewReader(c))
				switch {
				case err != nil:
				case isCheck(r):
					writeText(c, "200 OK", test.told)
				case r.Method == http.MethodPut:
					close(began)
					<-ended
				default:
					test.serve(c, r)
				}
			}), test.slots)
			if test.beside {
				s.doInBackground(s.request(http.MethodPut, "x"))
				<-began
			}
			defer close(ended)
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

// reborn is a target whose process ends within its first stream, behind two events, and that is back at its address at once.
type reborn struct {
	*mortalTarget
	process atomic.Int64
}

// startReborn starts a target that answers checks as check does, which is told the start of the process that runs.
func startReborn(t *testing.T, check func(c net.Conn, startedAt time.Time)) *reborn {
	t.Helper()
	r := &reborn{}
	r.mortalTarget = startMortalTarget(t, func(_ *mortalTarget, c net.Conn, request *http.Request) bool {
		if isCheck(request) {
			check(c, bornAt.Add(time.Duration(r.process.Load())*time.Second))
			return true
		}
		_, _ = fmt.Fprintf(c, unframedHead+"%s", request.Header.Get("Attempt-Id"), streamText(1, 1))
		time.Sleep(eventGap)
		_, _ = fmt.Fprint(c, streamText(2, 2))
		r.process.Add(1)
		r.restart()
		return false
	})
	return r
}

// eventGap is the time between two events of a stream.
const eventGap = 60 * time.Millisecond

// TestEndIsNotConfirmedByTheNextProcess guards against streams that look complete because another process of their target
// answers under its ID and address when the end is confirmed.
func TestEndIsNotConfirmedByTheNextProcess(t *testing.T) {
	for name, test := range map[string]struct {
		slots int
		check func(c net.Conn, startedAt time.Time)
	}{
		"engine that tells its start": {8, func(c net.Conn, startedAt time.Time) { writeText(c, "200 OK", reportOf(startedAt)) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 0, onceStreamRoute, nil)
			s.serveByIngress()
			s.publishBorn(startReborn(t, test.check).listener.Addr().String(), test.slots)
			if response, body, err := s.do(s.request(http.MethodPost, "x")); err == nil {
				t.Errorf("got %v with %q as a complete answer, want an error", response, body)
			}
		})
	}
}

// TestEndIsNotConfirmedWithoutStart guards against streams that look complete because something answers at the address of an
// engine that tells nothing of its process.
func TestEndIsNotConfirmedWithoutStart(t *testing.T) {
	for name, body := range map[string]string{
		"200 OK": "{}", "404 Not Found": "<html>", "503 Service Unavailable": `{"born":"2000"}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 0, onceStreamRoute, nil)
			s.serveByIngress()
			s.publishBorn(serveUnframed(t, func(c net.Conn) { writeText(c, name, body) }), 8)
			if response, body, err := s.do(s.request(http.MethodPost, "x")); err == nil {
				t.Errorf("got %v with %q as a complete answer, want an error", response, body)
			}
		})
	}
}

// serveUnframed starts a target whose streams end without framing, and which answers checks as check does. It returns its address.
func serveUnframed(t *testing.T, check func(c net.Conn)) string {
	t.Helper()
	return conntest.Serve(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil && isCheck(r) {
			check(c)
		} else if err == nil {
			_, _ = fmt.Fprintf(c, unframedHead+"%s", r.Header.Get("Attempt-Id"), streamText(1, 2))
		}
	})
}

// TestEndIsNotConfirmedByAnotherHealth guards against streams of plain services that look complete because something answers at
// the address of their target.
func TestEndIsNotConfirmedByAnotherHealth(t *testing.T) {
	for name, check := range map[string]func(c net.Conn){
		"no response":          func(c net.Conn) { _, _ = fmt.Fprint(c, "starting\r\n\r\n") },
		"a part of a response": func(c net.Conn) { _, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Le") },
		"another start":        func(c net.Conn) { writeText(c, "200 OK", reportOf(bornAt.Add(time.Second))) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 0, onceStreamRoute, nil)
			s.serveByIngress()
			s.publishBorn(serveUnframed(t, check), 0)
			if response, body, err := s.do(s.request(http.MethodPost, "x")); err == nil {
				t.Errorf("got %v with %q as a complete answer, want an error", response, body)
			}
		})
	}
}

// TestAnswerToAnotherRequestIsNoHealth guards against taking what the next process answers for a sign of the one before.
func TestAnswerToAnotherRequestIsNoHealth(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 0, onceStreamRoute, nil)
	s.serveByIngress()
	ended := make(chan struct{})
	s.publishBorn(conntest.Serve(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		switch {
		case err != nil:
		case isCheck(r):
			writeText(c, "200 OK", reportOf(bornAt.Add(time.Second)))
		case r.Method == http.MethodPut:
			// It ends its answer when the end of the other one is confirmed.
			<-ended
			time.Sleep(endPause)
			answerCompletely(c, r)
		default:
			_, _ = fmt.Fprintf(c, unframedHead+"%s", r.Header.Get("Attempt-Id"), streamText(1, 2))
			_ = c.Close()
			close(ended)
		}
	}), 0)
	broken := s.doInBackground(s.request(http.MethodPost, "x"))
	<-ended
	time.Sleep(endPause / 3)
	next := s.doInBackground(s.request(http.MethodPut, "x"))
	if <-broken {
		t.Error("the answer of the process before looked complete")
	}
	<-next
}
