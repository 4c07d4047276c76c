package relay_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"ragwortpond.example/ragwortpond/conntest"
)

// TestForwardedResponseOfAnotherServerIsNotPassedOn guards against answers that no router gave, since another server has the address of
// one: without a length or chunks, so that an early end looks complete, to another request, or without a target's seal.
func TestForwardedResponseOfAnotherServerIsNotPassedOn(t *testing.T) {
	for name, test := range map[string]struct {
		head, body string
	}{
		"unframed":        {"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n\r\n", streamText(1, 1)},
		"another request": {"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Seal: s\r\nContent-Length: 5\r\n\r\n", "other"},
		"no seal":         {"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: 5\r\n\r\n", "plain"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 1, repeatableRoute, nil, withHelper(serveHead(t, test.head, test.body)))
			s.serveByIngress()
			s.targets[0].Close()
			response, body, err := s.do(s.request(http.MethodGet, ""))
			if err == nil && response.StatusCode == http.StatusOK {
				t.Errorf("got %q as a complete answer, want an error", body)
			}
		})
	}
}

// serveHead starts a server that answers the first request of each connection and closes it. The head may have the request's ID.
func serveHead(t *testing.T, head, body string) string {
	t.Helper()
	return conntest.Serve(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			_, _ = io.WriteString(c, strings.Replace(head, "%s", r.Header.Get("Attempt-Id"), 1)+body)
		}
	})
}
