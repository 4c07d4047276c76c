package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"ragwortpond.example/ragwortpond/caller"
	"ragwortpond.example/ragwortpond/router/entry"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/standin"
)

// postChat sends one streamed chat with additional header fields.
func (p *processFleet) postChat(r *routerProcess, messages []standin.Message, header map[string]string) *http.Response {
	p.t.Helper()
	body, err := json.Marshal(map[string]any{"model": "assistente", "stream": true, "messages": messages})
	if err != nil {
		p.t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPost, "https://"+r.caller+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// TestStreamResumesOnAnotherRouter kills the router of a stream. The caller
// must be able to resume the stream through another router with its resume
// token; a forged token must be rejected.
func TestStreamResumesOnAnotherRouter(t *testing.T) {
	p := startProcessFleet(t)
	p.addContextKey()
	first := p.startRouter("r1", nil)
	second := p.startRouter("r2", []string{first.peer})
	p.waitReady(first)
	p.waitReady(second)
	messages := []standin.Message{{Role: "user", Content: "a stream that outlives its router"}}
	resp := p.postChat(first, messages, nil)
	token := resp.Header.Get(entry.HeaderResume)
	if token == "" {
		t.Fatalf("no resume token: %v", resp.Header)
	}
	lines := bufio.NewReader(resp.Body)
	received, last := "", ""
	for range 5 {
		event, id := readEvent(t, lines)
		received, last = received+event, id
	}
	if err := first.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	resp = p.postChat(second, messages, map[string]string{entry.HeaderResume: token, "Last-Event-ID": last})
	rest, err := io.ReadAll(resp.Body)
	if err != nil || !strings.Contains(string(rest), "[DONE]") {
		t.Fatalf("resumed stream: got error %v, body %s, want a complete stream\n%s", err, rest, second.log)
	}
	want := strings.Join(standin.Answer(messages, 0), "")
	if got := streamText(received + string(rest)); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	forged := p.postChat(second, messages, map[string]string{entry.HeaderResume: token[:len(token)-4] + "AAAA", "Last-Event-ID": last})
	if got := forged.Header.Get(caller.HeaderOutcome); forged.StatusCode == 200 || got != "unknown" {
		t.Errorf("forged token: got status %d, outcome %q, want an error with outcome unknown", forged.StatusCode, got)
	}
}

// addContextKey adds a key for context and resume tokens to the fleet document.
func (p *processFleet) addContextKey() {
	p.t.Helper()
	o, err := p.store.Get(p.t.Context(), settings.KindFleet, "fleet")
	if err != nil {
		p.t.Fatal(err)
	}
	var doc map[string]any
	if err := json.Unmarshal(o.Data, &doc); err != nil {
		p.t.Fatal(err)
	}
	doc["context_keys"] = []map[string]string{{"id": "k1", "secret": "a secret of the test, long enough"}}
	data, err := json.Marshal(doc)
	if err != nil {
		p.t.Fatal(err)
	}
	if _, err := p.store.Put(p.t.Context(), settings.KindFleet, "fleet", data, o.Version); err != nil {
		p.t.Fatal(err)
	}
}

// readEvent returns the text of the next event and its ID.
func readEvent(t *testing.T, r *bufio.Reader) (event, id string) {
	t.Helper()
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		event += line
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			id = strings.TrimSpace(value)
		}
		if line == "\n" {
			return event, id
		}
	}
}
