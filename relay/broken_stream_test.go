package relay_test

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/admission"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/conntest"
	"ragwortpond.example/ragwortpond/fleet"
)

// answer is a target's response: a body after further header lines, after which the
// target closes the connection.
type answer struct {
	// status is "200 OK" if it is empty.
	status       string
	fields, body string
	// reset makes the target reset the connection instead.
	reset bool
}

// serveAnswers starts a target that sends the given answers, one a connection, the last
// one again and again. It returns its address.
func serveAnswers(t *testing.T, answers ...answer) string {
	t.Helper()
	next := make(chan answer, len(answers))
	for _, a := range answers {
		next <- a
	}
	return conntest.Serve(t, func(c net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		a := answers[len(answers)-1]
		select {
		case a = <-next:
		default:
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nConnection: close\r\n%s\r\n%s",
			cmp.Or(a.status, "200 OK"), request.Header.Get("Attempt-Id"), a.fields, a.body)
		if a.reset {
			// The router has forwarded the body before the reset drops what it has not
			// read.
			time.Sleep(50 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
}

// withLength and chunked return an answer whose body is framed.
func withLength(body string) answer {
	return answer{fields: "Content-Length: " + strconv.Itoa(len(body)) + "\r\n", body: body}
}

func chunked(body string) answer {
	return answer{fields: "Transfer-Encoding: chunked\r\n", body: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)}
}

const (
	partialEvent = "id: 3\ndata: eve"
	crlfEvents   = "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"
	crEvents     = "id: 1\rdata: a\r\rid: 2\rdata: b\r\r"
)

// TestStreamCutWithinEventIsNotComplete ends streams in every way. Those that end within
// an event must reach the client neither as a complete response nor, on a route that
// does not allow it, by another run.
func TestStreamCutWithinEventIsNotComplete(t *testing.T) {
	events := streamText(1, 2)
	for name, test := range map[string]struct {
		answer   answer
		complete bool
	}{
		"no length, within an event":      {answer{body: events + partialEvent}, false},
		"no length, within the first":     {answer{body: "id: 1\nda"}, false},
		"no length, after a line":         {answer{body: events + "id: 3\n"}, false},
		"no length, no final empty line":  {answer{body: strings.TrimSuffix(events, "\n")}, false},
		"no length, complete":             {answer{body: events}, true},
		"no length, empty":                {answer{}, false},
		"no length, further empty lines":  {answer{body: events + "\n\r\n"}, true},
		"no length, CRLF, within event":   {answer{body: crlfEvents + "id: 3\r\n"}, false},
		"no length, CRLF, last LF lost":   {answer{body: strings.TrimSuffix(crlfEvents, "\n")}, false},
		"no length, CRLF, last CRLF lost": {answer{body: strings.TrimSuffix(crlfEvents, "\r\n")}, false},
		"no length, CRLF, complete":       {answer{body: crlfEvents}, true},
		"no length, CR, within an event":  {answer{body: crEvents + "id: 3\r"}, false},
		"no length, CR, complete":         {answer{body: crEvents}, true},
		"length, within an event":         {withLength(events + partialEvent), false},
		"length, within the first":        {withLength(partialEvent), false},
		"length, complete":                {withLength(events), true},
		"length, empty":                   {withLength(""), true},
		"length, body shorter":            {answer{fields: "Content-Length: 999\r\n", body: events}, false},
		"chunks, within an event":         {chunked(events + partialEvent), false},
		"chunks, complete":                {chunked(events), true},
		"chunks, last chunk lost":         {answer{fields: "Transfer-Encoding: chunked\r\n", body: strings.TrimSuffix(chunked(events).body, "0\r\n\r\n")}, false},
		"reset before the first event":    {answer{reset: true}, false},
		"reset between events":            {answer{body: events, reset: true}, false},
		"reset within an event":           {answer{body: events + partialEvent, reset: true}, false},
		"JSON in place of a stream":       {answer{fields: "Content-Type: application/json; charset=utf-8\r\n", body: `{"a":"b"}`}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 0, onceStreamRoute, nil)
			s.serveByIngress()
			s.useRawTargets(serveAnswers(t, test.answer))
			response, body, err := s.do(s.request(http.MethodPost, "x"))
			complete := err == nil && response.StatusCode == http.StatusOK
			if complete != test.complete {
				t.Errorf("got %v, body %q, error %v, want complete %v", response, body, err, test.complete)
			}
		})
	}
}

// TestStreamCutWithinEventIsResumed cuts the first answer to a request of a resumable
// route. The client must get the complete stream from the second one.
func TestStreamCutWithinEventIsResumed(t *testing.T) {
	for name, first := range map[string]answer{
		"no length, within an event": {body: streamText(1, 2) + partialEvent},
		"reset between events":       {body: streamText(1, 2), reset: true},
		"reset before the first":     {reset: true},
		"length, within the first":   withLength(partialEvent),
		"chunks, within an event":    chunked(streamText(1, 2) + partialEvent),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 0, resumableRoute, nil)
			s.serveByIngress()
			addr := serveAnswers(t, first, answer{body: streamText(1, 4)})
			s.useRawTargets(addr, addr)
			_, body, err := s.do(s.request(http.MethodPost, "x"))
			if err != nil || body != streamText(1, 4) {
				t.Errorf("got body %q, error %v, want events 1 to 4", body, err)
			}
		})
	}
}

// useRawTargets makes targets at the given addresses the only ones of the service.
func (s *fixture) useRawTargets(addrs ...string) {
	list := []*catalog.Target{}
	for i, addr := range addrs {
		id := "raw" + strconv.Itoa(i)
		list = append(list, &catalog.Target{ID: fleet.TargetID(id), Service: "s", Domain: "d", Addr: addr, Slots: 8})
	}
	s.view.Store(&catalog.View{Config: s.config, TargetsLoaded: true, Targets: catalog.Targets{"s": list}})
}

// TestCutLongBodyIsNotContinuedByAnotherRun cuts a body too long to be buffered on a
// repeatable route. No other run can continue it, and no other body may follow it.
func TestCutLongBodyIsNotContinuedByAnotherRun(t *testing.T) {
	long, second := strings.Repeat("x", 200<<10), strings.Repeat("y", 100<<10)
	for name, first := range map[string]answer{
		"no length": {body: long, reset: true},
		"length":    {fields: "Content-Length: " + strconv.Itoa(len(long)+len(second)) + "\r\n", body: long},
		"chunks":    {fields: "Transfer-Encoding: chunked\r\n", body: fmt.Sprintf("%x\r\n%s\r\n", len(long), long)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 0, repeatableRoute, nil)
			s.serveByIngress()
			addr := serveAnswers(t, first, withLength(second))
			s.useRawTargets(addr, addr)
			response, body, err := s.do(s.request(http.MethodGet, ""))
			if err == nil || strings.Contains(body, "y") {
				t.Errorf("got %v, body of %d bytes with %d of the second run, error %v, want an aborted response of the first", response, len(body), strings.Count(body, "y"), err)
			}
		})
	}
}

// do10 sends an HTTP/1.0 request and returns the response and its body. The error is
// that of reading the response.
func (s *fixture) do10(method string) (*http.Response, string, error) {
	s.t.Helper()
	c, err := net.Dial("tcp4", strings.TrimPrefix(s.url, "http://"))
	if err != nil {
		s.t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintf(c, "%s /p/x HTTP/1.0\r\nHost: %s\r\nAttempt-Id: h10\r\nAuthorization: Token key\r\n\r\n", method, testHost); err != nil {
		s.t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// TestCutResponseToHTTP10ClientIsReset cuts chunked answers to clients for which the end of
// the connection is the end of the response.
func TestCutResponseToHTTP10ClientIsReset(t *testing.T) {
	long := strings.Repeat("x", 200<<10)
	lastChunk := "0\r\n\r\n"
	for name, test := range map[string]struct {
		route    catalog.Route
		answer   answer
		complete bool
	}{
		"stream, cut":         {onceStreamRoute, answer{fields: "Transfer-Encoding: chunked\r\n", body: strings.TrimSuffix(chunked(streamText(1, 3)).body, lastChunk)}, false},
		"long body, cut":      {onceRoute, answer{fields: "Transfer-Encoding: chunked\r\n", body: strings.TrimSuffix(chunked(long).body, lastChunk)}, false},
		"stream, complete":    {onceStreamRoute, chunked(streamText(1, 3)), true},
		"long body, complete": {onceRoute, chunked(long), true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 0, test.route, nil)
			s.serveByIngress()
			s.useRawTargets(serveAnswers(t, test.answer))
			response, body, err := s.do10(http.MethodGet)
			if (err == nil) != test.complete {
				t.Errorf("got %v, body of %d bytes, error %v, want complete %v", response, len(body), err, test.complete)
			}
		})
	}
}

// TestDrainingRouterEndsResponseOnlyIfComplete stops a router gracefully. Its answers, whose end it does not know before, come in
// chunks, the last one only if they are complete.
func TestDrainingRouterEndsResponseOnlyIfComplete(t *testing.T) {
	for name, test := range map[string]struct {
		answer   answer
		complete bool
	}{
		"complete": {answer{body: streamText(1, 3)}, true},
		"cut":      {answer{body: streamText(1, 3), reset: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 0, onceStreamRoute, nil)
			s.serveByIngress()
			s.relay.StartDraining(admission.StopSchedule{LeaveAt: time.Now().Add(time.Hour), EndAt: time.Now().Add(time.Hour)})
			s.useRawTargets(serveAnswers(t, test.answer))
			response, body, err := s.do(s.request(http.MethodPost, "x"))
			if (err == nil) != test.complete {
				t.Fatalf("got %v, body %q, error %v, want complete %v", response, body, err, test.complete)
			}
			if !slices.Equal(response.TransferEncoding, []string{"chunked"}) || response.ContentLength >= 0 || !response.Close {
				t.Errorf("got transfer encoding %q, length %d, close %v, want chunks and a closed connection", response.TransferEncoding, response.ContentLength, response.Close)
			}
		})
	}
}

// failingListener accepts connections whose writes fail once limit bytes were written.
type failingListener struct {
	net.Listener
	limit int
}

func (l failingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &failingConn{TCPConn: c.(*net.TCPConn), left: l.limit}, nil
}

type failingConn struct {
	*net.TCPConn
	left int
}

func (c *failingConn) Write(p []byte) (int, error) {
	if len(p) > c.left {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.TCPConn.Write(p)
	c.left -= n
	return n, err
}

// TestUnwrittenEndOfBodyResetsConnection fails the write of the last bytes of a body
// without a length, which the server has buffered when the relay is done.
func TestUnwrittenEndOfBodyResetsConnection(t *testing.T) {
	for name, test := range map[string]struct {
		status string
		size   int
	}{
		"buffered body": {"200 OK", 6 << 10}, "long body": {"200 OK", 66 << 10}, "failure": {"500 Internal Server Error", 6 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 0, onceRoute, nil)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s.serveByIngressOn(failingListener{l, test.size - 1<<10})
			s.useRawTargets(serveAnswers(t, answer{status: test.status, body: strings.Repeat("x", test.size)}))
			response, body, err := s.do(s.request(http.MethodPost, "x"))
			if err == nil {
				t.Errorf("got status %d and a body of %d bytes without an error, want a reset before byte %d", response.StatusCode, len(body), test.size)
			}
		})
	}
}
