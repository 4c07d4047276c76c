package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/conntest"
)

// refusingTarget refuses the first request on each connection and runs the others. Before or
// behind that it writes the refusal once more.
type refusingTarget struct {
	// repeat returns the second copy of the refusal of a request.
	repeat func(id string) string
	// early makes it follow the refusal itself after pause, instead of the next request.
	early bool
	pause time.Duration
	// pieces is the number of bytes of the copy that are written at a time.
	pieces int

	mu   sync.Mutex
	runs map[string]int
}

func (r *refusingTarget) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	refused := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		// A read error shows at the next request.
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Attempt-Id")
		if refused == "" {
			refused = id
			_, _ = io.WriteString(c, refusal("Attempt-Id: "+id+"\r\nContent-Length: 0\r\n"))
			if r.early {
				time.Sleep(r.pause)
				r.writeRepeat(c, refused)
			}
			continue
		}
		r.mu.Lock()
		r.runs[id]++
		r.mu.Unlock()
		if !r.early {
			r.writeRepeat(c, refused)
		}
		time.Sleep(r.pause)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\nmine", id); err != nil {
			return
		}
	}
}

func refusal(fields string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: full\r\n" + fields + "\r\n"
}

func (r *refusingTarget) writeRepeat(c net.Conn, id string) {
	text := r.repeat(id)
	for size := max(r.pieces, 1); len(text) > 0; text = text[min(size, len(text)):] {
		_, _ = io.WriteString(c, text[:min(size, len(text))])
		if r.pieces > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// TestRepeatedRefusalIsNotTakenForThatOfNextRequest guards against requests that run and are told to be not run, or run
// again, because an earlier refusal comes once more.
func TestRepeatedRefusalIsNotTakenForThatOfNextRequest(t *testing.T) {
	whole := func(id string) string { return refusal("Attempt-Id: " + id + "\r\nContent-Length: 0\r\n") }
	for name, target := range map[string]*refusingTarget{
		"before the answer": {repeat: whole},
		"in pieces":         {repeat: whole, pieces: 7},
		"twice":             {repeat: func(id string) string { return whole(id) + whole(id) }},
		"four times":        {repeat: func(id string) string { return whole(id) + whole(id) + whole(id) + whole(id) }},
		"without ID":        {repeat: func(string) string { return refusal("Content-Length: 0\r\n") }},
		"in chunks": {repeat: func(id string) string {
			return refusal("Attempt-Id: "+id+"\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n"
		}},
		"without length": {repeat: func(id string) string { return refusal("Attempt-Id: " + id + "\r\n") }},
		"misdirected": {repeat: func(string) string {
			return "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: x\r\nContent-Length: 0\r\n\r\n"
		}},
		"behind the refusal":          {repeat: whole, early: true},
		"behind the refusal, part":    {repeat: func(id string) string { return whole(id)[:20] }, early: true},
		"late, on an idle connection": {repeat: whole, early: true, pause: 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target.runs = map[string]int{}
			s := newFixture(t, 0, onceRoute, nil)
			s.useRawTargets(conntest.Serve(t, target.serve), conntest.Serve(t, target.serve))
			reused := 0
			for range 12 {
				request := s.request(http.MethodPost, "x")
				id := request.Header.Get("Attempt-Id")
				response, _, err := s.do(request)
				if err != nil {
					t.Fatal(err)
				}
				target.mu.Lock()
				runs := target.runs[id]
				target.mu.Unlock()
				reused += runs
				if runs > 1 || (runs == 1 && call.StatusMeansNotRun(response.StatusCode)) {
					t.Errorf("request %s ran %d times and got status %d", id, runs, response.StatusCode)
				}
				time.Sleep(2 * target.pause)
			}
			if reused == 0 && !target.early {
				t.Error("no request came on a kept connection")
			}
		})
	}
}
