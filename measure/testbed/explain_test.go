package testbed

import (
	"net/http"
	"testing"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/caller"
	"ragwortpond.example/ragwortpond/explain"
	"ragwortpond.example/ragwortpond/explain/explaintest"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/standin"
)

// Guards against a request that operators cannot trace: the log lines with the
// request ID from the answer must show where the request was placed, how it ended
// and why.
func TestRequestLogExplainsOutcome(t *testing.T) {
	log := &explaintest.Log{}
	b, client, ctx := startTestbed(t, Config{Log: zerolog.New(log).With().Timestamp().Logger()})
	const chat = `{"model":"assistente","max_tokens":3,"messages":[{"role":"user","content":"x"}]}`
	for _, test := range []struct {
		name      string
		account   string
		path      string
		body      string
		engines   standin.EngineFaults
		service   standin.ServiceFaults
		lastEvent string
		reason    string
		placed    bool
	}{
		{name: "served", account: "balcao-natal", path: "/v1/chat/completions", body: chat, lastEvent: "request-served", placed: true},
		{name: "unknown key", account: "nobody", path: "/v1/chat/completions", body: chat, lastEvent: "request-not-run", reason: "unauthenticated"},
		{name: "unknown model", account: "balcao-natal", path: "/v1/chat/completions", body: `{"model":"m","messages":[{"role":"user","content":"x"}]}`,
			lastEvent: "request-not-run", reason: "unknown-model"},
		{name: "crossed everywhere", account: "balcao-natal", path: "/v1/chat/completions", body: chat, engines: standin.EngineFaults{WrongAttemptRate: 1},
			lastEvent: "request-unknown", reason: "answer-mismatch", placed: true},
		{name: "order lost", account: "balcao-natal", path: "/s/pedidos/pedidos", body: `{}`, service: standin.ServiceFaults{LostRate: 1},
			lastEvent: "request-unknown", reason: "not-repeatable", placed: true},
	} {
		for _, e := range b.Engines() {
			e.SetFaults(test.engines)
		}
		for _, s := range b.Services() {
			s.SetFaults(test.service)
		}
		response, err := client.send(ctx, b.Routers()[0], fleet.AccountName(test.account), http.MethodPost, test.path, http.Header{}, []byte(test.body))
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		id := response.Header.Get(caller.HeaderRequestID)
		var lines []explain.Line
		await.Until(t, "the last log line of the request", func() bool {
			lines = log.RequestLines(t, id)
			return len(lines) > 0 && lines[len(lines)-1].Name == test.lastEvent
		})
		if got := string(lines[len(lines)-1].Fields["reason"]); test.reason != "" && got != `"`+test.reason+`"` {
			t.Errorf("%s: got reason %s, want %q", test.name, got, test.reason)
		}
		if test.placed && (lines[0].Name != "request-placed" || len(lines[0].Fields["target"]) == 0) {
			t.Errorf("%s: got first line %+v, want request-placed with a target", test.name, lines[0])
		}
	}
}
