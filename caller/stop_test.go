package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/router/entry"
	"ragwortpond.example/ragwortpond/router/wire"
	"ragwortpond.example/ragwortpond/settings"
)

// largeBytes is more than the socket buffers of a connection hold.
const largeBytes = 32 << 20

// largeAnswerHandler answers every request with largeBytes zero bytes.
type largeAnswerHandler struct{}

func (largeAnswerHandler) Do(_ context.Context, _ *entry.Request, out wire.Sink) entry.Result {
	_ = out.Head(wire.Head{Status: http.StatusOK})
	_ = out.Event(0, make([]byte, largeBytes))
	return entry.Result{Outcome: outcome.Answered, HeadSent: true}
}

const testKey = "rwk_test"

// listenWithService starts a server that accepts calls of the plain service s and
// chats with the engine service e, both with testKey.
func listenWithService(t *testing.T, h RequestHandler) *HTTPServer {
	t.Helper()
	return listenWithAccounts(t, h, map[string]string{"a": `{"key_hashes":["` + keys.Hash(testKey) + `"]}`})
}

// listenWithAccounts is listenWithService with client accounts by their names.
func listenWithAccounts(t *testing.T, h RequestHandler, accounts map[string]string) *HTTPServer {
	t.Helper()
	objects := []objectapi.Object{
		{Kind: settings.KindFleet, Name: settings.FleetName, Version: 1, Data: []byte(`{}`)},
		{Kind: settings.KindServices, Name: "s", Version: 1, Data: []byte(`{"kind":"plain"}`)},
		{Kind: settings.KindServices, Name: "e", Version: 1, Data: []byte(`{"kind":"engine"}`)},
	}
	for name, data := range accounts {
		objects = append(objects, objectapi.Object{Kind: settings.KindAccounts, Name: name, Version: 1, Data: []byte(data)})
	}
	snapshot, findings := settings.Build(objects)
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	server, err := Listen(Config{
		Addr: "127.0.0.1:0", Server: h, Snapshot: func() *settings.Snapshot { return snapshot }, Ready: func() bool { return true },
		Self: fleet.Router{ID: "r"}, Metrics: metrics.NewSet(), Log: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Run() }()
	t.Cleanup(func() { _ = server.Close(context.Background()) })
	return server
}

// Guards against a graceful stop that cuts off an answer while its caller still reads
// it.
func TestAnswerIsInFlightUntilCallerHasReadIt(t *testing.T) {
	server := listenWithService(t, largeAnswerHandler{})
	c, err := net.Dial("tcp4", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, "GET /s/s/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+testKey+"\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	response, err := http.ReadResponse(r, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("got response %+v and error %v, want status 200", response, err)
	}
	if n := server.InFlight(); n != 1 {
		t.Errorf("got %d requests in flight while the caller reads an answer, want 1", n)
	}
	if n, err := io.Copy(io.Discard, response.Body); n != largeBytes || err != nil {
		t.Errorf("got %d bytes and error %v, want %d bytes", n, err, largeBytes)
	}
	for server.InFlight() != 0 {
		time.Sleep(time.Millisecond)
	}
}

// stoppingHandler fails the readiness of its server before it answers.
type stoppingHandler struct {
	server *HTTPServer
}

func (h *stoppingHandler) Do(_ context.Context, _ *entry.Request, out wire.Sink) entry.Result {
	h.server.FailReadiness()
	_ = out.Head(wire.Head{Status: http.StatusOK})
	_ = out.Event(0, []byte(`{}`))
	return entry.Result{Outcome: outcome.Answered, HeadSent: true}
}

// Guards against callers that keep a connection to a router which is about to exit,
// and lose the request that they send on it at that moment.
func TestAnswersCloseConnectionsOnceReadinessFails(t *testing.T) {
	requests := map[string]string{
		"plain":  "GET /s/s/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + testKey + "\r\n\r\n",
		"stream": chatRequest(`{"model":"e","stream":true,"messages":[{"role":"user","content":"x"}]}`),
		"chat":   chatRequest(`{"model":"e","messages":[{"role":"user","content":"x"}]}`),
	}
	for name, text := range requests {
		t.Run(name, func(t *testing.T) {
			handler := &stoppingHandler{}
			handler.server = listenWithService(t, handler)
			checkClose(t, handler.server, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK, false)
			checkClose(t, handler.server, text, http.StatusOK, true)
			checkClose(t, handler.server, text, http.StatusOK, true)
			handler.server.RejectNewRequests()
			checkClose(t, handler.server, text, http.StatusServiceUnavailable, true)
			checkClose(t, handler.server, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK, true)
		})
	}
}

func chatRequest(body string) string {
	return "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + testKey +
		"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// checkClose sends a request on a new connection, and checks the status of its answer
// and whether that announces the end of the connection and the connection then ends.
func checkClose(t *testing.T, server *HTTPServer, request string, status int, closes bool) {
	t.Helper()
	c, err := net.Dial("tcp4", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Errorf("got error %v while reading the answer", err)
	}
	if response.StatusCode != status || response.Close != closes {
		t.Errorf("got status %d and close %v, want %d and %v", response.StatusCode, response.Close, status, closes)
	}
	if !response.Close {
		return
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("got error %v after the answer, want the end of the connection", err)
	}
}
