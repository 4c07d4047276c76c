package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/conntest"
)

// serveLate answers the first request on a connection properly, and each later one first
// with late and then properly.
func serveLate(c net.Conn, late string) {
	r := bufio.NewReader(c)
	for i := 0; ; i++ {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		// A read error shows at the next request.
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Attempt-Id")
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\nmine", id)
		if i > 0 {
			text = late + text
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// expectOwnAnswers sends requests one after the other to a target whose connections carry late before each answer but the
// first, and expects the proper answer to each.
func expectOwnAnswers(t *testing.T, route catalog.Route, late string) {
	t.Helper()
	s := newFixture(t, 0, route, nil)
	s.useRawTargets(conntest.Serve(t, func(c net.Conn) { serveLate(c, late) }))
	for range 4 {
		response, body, err := s.do(s.request(http.MethodPost, "x"))
		if err != nil || response.StatusCode != http.StatusOK || body != "mine" {
			t.Fatalf("got %v, body %q, error %v, want status 200 and the request's own body", response, body, err)
		}
	}
}

// TestLateResponseDoesNotReachNextRequest sends requests over one kept connection, on
// which further copies of earlier responses arrive late: with the ID of the earlier
// request, or without any. No caller may get one of them.
func TestLateResponseDoesNotReachNextRequest(t *testing.T) {
	for name, late := range map[string]string{
		"success of another": "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Seal: s\r\nContent-Length: 3\r\n\r\nold",
		"failure of another": "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: other\r\nResponse-Seal: s\r\nContent-Length: 3\r\n\r\nold",
		"failure without ID": "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nold",
		"refusal without ID": "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: full\r\nContent-Length: 3\r\n\r\nold",
	} {
		t.Run(name, func(t *testing.T) {
			expectOwnAnswers(t, onceRoute, late)
		})
	}
}

// TestNoticeInForeignResponseIsNotRead guards against a sound target that gets no more requests because of a response to
// another request, or one that names none.
func TestNoticeInForeignResponseIsNotRead(t *testing.T) {
	for name, head := range map[string]string{
		"leaving, of another": "200 OK\r\nAttempt-Id: other\r\nResponse-Seal: s\r\nServer-Leaving: 1",
		"leaving, without ID": "500 Internal Server Error\r\nServer-Leaving: 1",
		"quiet, of another":   "503 Service Unavailable\r\nAttempt-Id: other\r\nNot-Executed: full\r\nRetry-After: 60",
		"quiet, without ID":   "503 Service Unavailable\r\nNot-Executed: full\r\nRetry-After: 60",
		"limit, of another":   "200 OK\r\nAttempt-Id: other\r\nResponse-Seal: s\r\nServer-Limit: 0.1",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			late := "HTTP/1.1 " + head + "\r\nContent-Length: 3\r\n\r\nold"
			expectOwnAnswers(t, repeatableRoute, late)
		})
	}
}
