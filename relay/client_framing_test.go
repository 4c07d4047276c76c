package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/conntest"
)

// TestClientIsToldWhereAnswersEnd guards against answers that a client takes for complete because something on the way to the router, such
// as a proxy, ends its connection in order.
func TestClientIsToldWhereAnswersEnd(t *testing.T) {
	unframed := answer{body: streamText(1, 2)}
	for name, test := range map[string]struct {
		route  catalog.Route
		answer answer
		// proto is the version of HTTP and fields further lines of the request's head.
		proto, fields string
		// length is the Content-Length that is wanted, or -1 for chunks.
		length int64
	}{
		"stream":                         {onceStreamRoute, unframed, "HTTP/1.1", "", -1},
		"stream, close":                  {onceStreamRoute, unframed, "HTTP/1.1", "Connection: close\r\n", -1},
		"resumable stream, close":        {resumableRoute, unframed, "HTTP/1.1", "Connection: close\r\n", -1},
		"chunked stream, close":          {onceStreamRoute, chunked(streamText(1, 2)), "HTTP/1.1", "Connection: close\r\n", -1},
		"body":                           {onceRoute, answer{body: "whole"}, "HTTP/1.1", "", 5},
		"body, close":                    {onceRoute, answer{body: "whole"}, "HTTP/1.1", "Connection: close\r\n", 5},
		"long body, close":               {onceRoute, answer{body: strings.Repeat("x", 200<<10)}, "HTTP/1.1", "Connection: close\r\n", -1},
		"failure":                        {onceRoute, answer{status: "500 Failed", body: "whole"}, "HTTP/1.1", "", 5},
		"body, HTTP/1.0":                 {onceRoute, answer{body: "whole"}, "HTTP/1.0", "", 5},
		"chunked body, HTTP/1.0":         {onceRoute, chunked("whole"), "HTTP/1.0", "", 5},
		"failure of a stream, HTTP/1.0":  {onceStreamRoute, answer{status: "500 Failed", body: "whole"}, "HTTP/1.0", "", 5},
		"body, HTTP/1.0 with keep-alive": {onceRoute, answer{body: "whole"}, "HTTP/1.0", "Connection: keep-alive\r\n", 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 0, test.route, nil)
			s.serveByIngress()
			s.useRawTargets(serveAnswers(t, test.answer))
			r := s.request(http.MethodPost, "")
			c, err := net.Dial("tcp4", strings.TrimPrefix(s.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_, _ = fmt.Fprintf(c, "POST /p/x %s\r\nHost: %s\r\n%s", test.proto, testHost, test.fields)
			_ = r.Header.Write(c)
			_, _ = fmt.Fprint(c, "Content-Length: 0\r\n\r\n")
			response, err := http.ReadResponse(bufio.NewReader(c), r)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			chunked := len(response.TransferEncoding) > 0
			if response.ContentLength != test.length || chunked != (test.length < 0) {
				t.Errorf("got status %d, length %d, chunked %t, want length %d", response.StatusCode, response.ContentLength, chunked, test.length)
			}
		})
	}
}

// proxy starts a proxy before the router that ends connections in order, also those that are reset. It returns its URL.
func (s *fixture) proxy() string {
	addr := strings.TrimPrefix(s.url, "http://")
	return "http://" + conntest.Serve(s.t, func(client net.Conn) {
		router, err := net.Dial("tcp4", addr)
		if err != nil {
			return
		}
		defer router.Close()
		go func() { _, _ = io.Copy(router, client) }()
		_, _ = io.Copy(client, router)
	})
}

// TestAnswerThatBreaksOffBehindProxyIsNotComplete guards against parts of answers that look complete because a reset does not reach the
// client.
func TestAnswerThatBreaksOffBehindProxyIsNotComplete(t *testing.T) {
	for name, test := range map[string]struct {
		route catalog.Route
		body  string
	}{
		"stream":           {onceStreamRoute, streamText(1, 3)},
		"resumable stream": {resumableRoute, streamText(1, 3)},
		"long body":        {onceRoute, strings.Repeat("x", 200<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 0, test.route, nil)
			s.serveByIngress()
			s.url = s.proxy()
			s.useRawTargets(serveAnswers(t, answer{body: test.body, reset: true}))
			if response, body, err := s.do(s.request(http.MethodPost, "x")); err == nil {
				t.Errorf("got status %d and a complete body of %d bytes, want an error", response.StatusCode, len(body))
			}
		})
	}
}
