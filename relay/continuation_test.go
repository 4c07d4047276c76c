package relay_test

import (
	"net/http"
	"strings"
	"testing"
)

// foreignText is what answers that are no continuation hold.
const foreignText = "no such model"

// withType returns an answer with a media type.
func withType(mediaType string, a answer) answer {
	a.fields += "Content-Type: " + mediaType + "\r\n"
	return a
}

// noContinuations are answers with a status of success that do not continue a stream.
func noContinuations() map[string]answer {
	text := foreignText + "\n\n"
	return map[string]answer{
		"206 with a text":            {status: "206 Partial Content", body: text},
		"206 with events":            {status: "206 Partial Content", fields: "Content-Type: text/event-stream\r\n", body: streamText(3, 4)},
		"204":                        {status: "204 No Content"},
		"202 with length":            {status: "202 Accepted", fields: "Content-Length: 15\r\n", body: text},
		"text/plain":                 withType("text/plain; charset=utf-8", withLength(text)),
		"text/html":                  withType("text/html", chunked("<p>"+text)),
		"application/json":           withType("application/json", withLength("{\"error\":\""+foreignText+"\"}\n\n")),
		"text without a type":        withLength(text),
		"event without an ID":        withType("text/event-stream", withLength("event: error\ndata: "+text)),
		"event without an ID, later": withType("text/event-stream", withLength(streamText(3, 3)+"event: error\ndata: "+text)),
		"head only, no length":       {},
		"head only, of events":       withType("text/event-stream", answer{}),
		"a refusal within":           withLength("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
	}
}

// TestStreamGoesOnByContinuationsOnly guards against texts of errors in the middle of streams, and against streams that end
// as if they were complete.
func TestStreamGoesOnByContinuationsOnly(t *testing.T) {
	begun := map[string]answer{
		"reset": {fields: "Content-Type: text/event-stream\r\n", body: streamText(1, 2), reset: true},
		"short": withType("text/event-stream", answer{fields: "Content-Length: 1000\r\n", body: streamText(1, 2)}),
		"cut":   withType("text/event-stream", chunked(streamText(1, 2)+partialEvent)),
	}
	for how, first := range begun {
		for name, next := range noContinuations() {
			t.Run(how+", "+name, func(t *testing.T) {
				t.Parallel()
				route := resumableRoute
				route.MaxTargets = 3
				s := newFixture(t, 0, route, nil)
				s.serveByIngress()
				addr := serveAnswers(t, first, next)
				s.useRawTargets(addr, addr, addr)
				_, body, err := s.do(s.request(http.MethodPost, "x"))
				if err == nil || strings.Contains(body, foreignText) || strings.Contains(body, "503") {
					t.Errorf("got body %q, error %v, want a broken stream of events", body, err)
				}
				whole := withType("text/event-stream", answer{body: streamText(1, 4)})
				s = newFixture(t, 0, route, nil)
				s.serveByIngress()
				addr = serveAnswers(t, first, next, whole)
				s.useRawTargets(addr, addr, addr)
				if _, body, err := s.do(s.request(http.MethodPost, "x")); err != nil || body != streamText(1, 4) {
					t.Errorf("with a third target: got body %q, error %v, want events 1 to 4", body, err)
				}
			})
		}
	}
}

// TestStreamThatClientResumesGoesOnByContinuationsOnly guards against the same in the first answer to a client that
// resumes.
func TestStreamThatClientResumesGoesOnByContinuationsOnly(t *testing.T) {
	for name, next := range noContinuations() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 0, resumableRoute, nil)
			s.serveByIngress()
			whole := withType("text/event-stream", answer{body: streamText(1, 4)})
			addr := serveAnswers(t, next, whole)
			s.useRawTargets(addr, addr, addr)
			response, body, err := s.do(s.request(http.MethodPost, "x", "Last-Event-Id", "2", "Resumes", "earlier"))
			if err != nil || response.StatusCode != http.StatusOK || body != streamText(3, 4) {
				t.Errorf("got response %v, body %q, error %v, want events 3 and 4", response, body, err)
			}
		})
	}
}

// TestContinuationsThatPagesAllow guards against refusing answers that continue a stream.
func TestContinuationsThatPagesAllow(t *testing.T) {
	first := answer{fields: "Content-Type: text/event-stream\r\n", body: streamText(1, 2), reset: true}
	comments := ": still here\n\n" + streamText(3, 3) + "\n: and here\n\n" + streamText(4, 4)
	for name, test := range map[string]struct {
		next answer
		want string
	}{
		"from the next event":         {withType("text/event-stream", withLength(streamText(3, 4))), streamText(1, 4)},
		"all events once more":        {withType("text/event-stream", chunked(streamText(1, 4))), streamText(1, 4)},
		"ends with its connection":    {withType("text/event-stream; charset=utf-8", answer{body: streamText(3, 4)}), streamText(1, 4)},
		"without a media type":        {withLength(streamText(3, 4)), streamText(1, 4)},
		"comments between events":     {withType("text/event-stream", withLength(comments)), streamText(1, 2) + comments},
		"the end only, with length":   {withType("text/event-stream", withLength("")), streamText(1, 2)},
		"the end only, in chunks":     {withType("text/event-stream", answer{fields: "Transfer-Encoding: chunked\r\n", body: "0\r\n\r\n"}), streamText(1, 2)},
		"the end only, all once more": {withType("text/event-stream", answer{body: streamText(1, 2)}), streamText(1, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 0, resumableRoute, nil)
			s.serveByIngress()
			addr := serveAnswers(t, first, test.next)
			s.useRawTargets(addr, addr)
			if _, body, err := s.do(s.request(http.MethodPost, "x")); err != nil || body != test.want {
				t.Errorf("got body %q, error %v, want %q", body, err, test.want)
			}
		})
	}
}

// TestStreamWithoutIDsIsNotBegunAnew guards against a second answer behind the events of the first one, whose place in the
// stream nobody knows.
func TestStreamWithoutIDsIsNotBegunAnew(t *testing.T) {
	s := newFixture(t, 0, resumableRoute, nil)
	s.serveByIngress()
	first := withType("text/event-stream", answer{body: "data: a\n\ndata: b\n\n", reset: true})
	addr := serveAnswers(t, first, withType("text/event-stream", withLength("data: a\n\ndata: b\n\ndata: c\n\n")))
	s.useRawTargets(addr, addr)
	if _, body, err := s.do(s.request(http.MethodPost, "x")); err == nil {
		t.Errorf("got body %q without an error, want a broken stream", body)
	}
}

// TestAnswerOnRouteWithoutResumptionIsPassedOn guards against taking a client's Last-Event-Id for a resumption where the
// route has none.
func TestAnswerOnRouteWithoutResumptionIsPassedOn(t *testing.T) {
	s := newFixture(t, 0, onceStreamRoute, nil)
	s.serveByIngress()
	const body = "{\"error\":\"none\"}"
	s.useRawTargets(serveAnswers(t, withType("application/json", withLength(body))))
	if response, got, err := s.do(s.request(http.MethodPost, "x", "Last-Event-Id", "2")); err != nil || response.StatusCode != http.StatusOK || got != body {
		t.Errorf("got response %v, body %q, error %v, want the target's", response, got, err)
	}
}
