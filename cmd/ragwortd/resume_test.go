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

// post sends one streamed chat with further header fields.
func (p *processes) post(r *routerProcess, messages []standin.Message, header map[string]string) *http.Response {
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

// A caller whose router is killed goes on with its stream through another one.
func TestCallerGoesOnAfterItsRouterDied(t *testing.T) {
	p := startProcesses(t)
	p.addContextKey()
	first := p.startRouter("r1", nil)
	second := p.startRouter("r2", []string{first.peer})
	p.awaitReady(first)
	p.awaitReady(second)
	messages := []standin.Message{{Role: "user", Content: "a stream that outlives its router"}}
	resp := p.post(first, messages, nil)
	token := resp.Header.Get(entry.HeaderResume)
	if token == "" {
		t.Fatalf("no resume token: %v", resp.Header)
	}
	lines := bufio.NewReader(resp.Body)
	begin, last := "", ""
	for range 5 {
		event, id := readEvent(t, lines)
		begin, last = begin+event, id
	}
	if err := first.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	resp = p.post(second, messages, map[string]string{entry.HeaderResume: token, "Last-Event-ID": last})
	rest, err := io.ReadAll(resp.Body)
	if err != nil || !strings.Contains(string(rest), "[DONE]") {
		t.Fatalf("%v %s\n%s", err, rest, second.log)
	}
	want := strings.Join(standin.Answer(messages, 0), "")
	if got := contents(begin + string(rest)); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	forged := p.post(second, messages, map[string]string{entry.HeaderResume: token[:len(token)-4] + "AAAA", "Last-Event-ID": last})
	if got := forged.Header.Get(caller.HeaderOutcome); forged.StatusCode == 200 || got != "unknown" {
		t.Errorf("a forged token: status %d, outcome %q", forged.StatusCode, got)
	}
}

// addContextKey gives the fleet a key for tokens.
func (p *processes) addContextKey() {
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

// readEvent returns the text of the next event and its id.
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
