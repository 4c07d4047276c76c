package testbed

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/examples"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/standin"
)

const testTimeout = 30 * time.Second

func startTestbed(t testing.TB, cfg Config) (*Testbed, *Client, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	dir, err := examples.Deployment(examples.TochaViva)
	if err != nil {
		t.Fatal(err)
	}
	objects, findings := settings.LoadFS(dir)
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	cfg.Objects = withoutLimits(t, objects)
	if cfg.RoutersPerDomain == 0 {
		cfg.RoutersPerDomain = 1
	}
	b, err := Start(ctx, cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	client := b.NewClient()
	t.Cleanup(client.Close)
	return b, client, ctx
}

// withoutLimits removes the settings of client accounts, so that account limits do
// not reject the requests of tests that are not about limits.
func withoutLimits(t testing.TB, objects []objectapi.Object) []objectapi.Object {
	t.Helper()
	for i, o := range objects {
		if o.Kind != settings.KindAccounts {
			continue
		}
		var doc map[string]any
		if err := json.Unmarshal(o.Data, &doc); err != nil {
			t.Fatal(err)
		}
		delete(doc, "settings")
		data, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		objects[i].Data = data
	}
	return objects
}

func TestChatThroughEveryRouter(t *testing.T) {
	b, client, ctx := startTestbed(t, Config{})
	for _, m := range b.Routers() {
		chat := &Chat{ID: string(m.Router.Self().ID), Account: "balcao-natal", Service: "assistente"}
		for range 3 {
			answer, err := client.SendMessage(ctx, m, chat, "how much citronella", 20)
			if err != nil {
				t.Fatal(err)
			}
			if !answer.Correct {
				t.Fatalf("got %+v, want a correct answer", answer)
			}
		}
	}
}

func TestPlainCall(t *testing.T) {
	b, client, ctx := startTestbed(t, Config{})
	answer, err := client.Call(ctx, b.Routers()[0], "balcao-natal", "pedidos", "GET", "/estoque/7?q=1", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	if answer.Status != 200 || answer.Outcome != outcome.Completed {
		t.Fatalf("got %+v, want status 200 and outcome %q", answer, outcome.Completed)
	}
}

func TestNonStreamedChatReturnsJSON(t *testing.T) {
	b, client, ctx := startTestbed(t, Config{})
	resp, err := client.send(ctx, b.Routers()[0], "balcao-natal", http.MethodPost, "/v1/chat/completions", http.Header{},
		[]byte(`{"model":"assistente","max_tokens":3,"messages":[{"role":"user","content":"x"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var body struct {
		Choices []struct {
			Message standin.Message `json:"message"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		t.Fatal(err)
	}
	if got := resp.Header.Get("Content-Type"); got != "application/json" {
		t.Errorf("got content type %q, want %q", got, "application/json")
	}
	want := strings.Join(standin.Answer([]standin.Message{{Role: "user", Content: "x"}}, 3), "")
	if len(body.Choices) != 1 || body.Choices[0].Message.Content != want {
		t.Errorf("got %+v, want %q", body, want)
	}
}

func TestRejectedRequestsReportNotRun(t *testing.T) {
	b, client, ctx := startTestbed(t, Config{})
	m := b.Routers()[0]
	check := func(name string, answer Answer, err error, status int, code reason.Code) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		if answer.Status != status || answer.Reason != code || answer.Outcome != outcome.NotRun {
			t.Errorf("%s: got %d %s %s, want %d %s %s", name, answer.Status, answer.Reason, answer.Outcome, status, code, outcome.NotRun)
		}
	}
	answer, err := client.SendMessage(ctx, m, &Chat{ID: "x", Account: "balcao-natal", Service: "nobody"}, "hi", 5)
	check("unknown model", answer, err, 404, reason.UnknownModel)
	answer, err = client.SendMessage(ctx, m, &Chat{ID: "x", Account: "no-such-account", Service: "assistente"}, "hi", 5)
	check("wrong key", answer, err, 401, reason.Unauthenticated)
	answer, err = client.Call(ctx, m, "balcao-natal", "nobody", "GET", "/", "", nil)
	check("unknown service", answer, err, 404, reason.UnknownService)
	answer, err = client.Call(ctx, m, "balcao-natal", "pedidos", "POST", "/pedidos", "", make([]byte, 3<<20))
	check("large body", answer, err, 413, reason.BodyTooLarge)
	answer, err = client.postChat(ctx, m, "balcao-natal", `{"model": "assistente", "messages": [`)
	check("malformed", answer, err, 400, reason.MalformedBody)
}
