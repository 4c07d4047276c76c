package standin_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/plain"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/standin"
)

var chat = []standin.Message{{Role: "system", Content: "be brief"}, {Role: "user", Content: "how deep is the pond"}}

func request(id string, messages []standin.Message, maxTokens int, stream bool) engine.Request {
	body, _ := json.Marshal(map[string]any{
		"model": "m", "messages": messages, "max_tokens": maxTokens, "stream": stream,
	})
	return engine.Request{Attempt: fleet.AttemptID(id), Chat: 7, Body: body, Stream: stream}
}

func startEngine(t *testing.T, c standin.EngineConfig) *standin.Engine {
	t.Helper()
	if c.TokensPerSecond == 0 {
		c.TokensPerSecond = 2000
	}
	e, err := standin.StartEngine(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Kill)
	return e
}

// read returns the text of an answer up to its end. The error is nil if the answer
// ended with [DONE].
func read(a engine.Response) (string, error) {
	defer a.Close()
	text := ""
	for {
		ev, err := a.Next()
		if err != nil {
			return text, err
		}
		if ev.Done {
			return text, nil
		}
		var body struct {
			Choices []struct {
				Delta   struct{ Content string }
				Message struct{ Content string }
			}
		}
		if err := json.Unmarshal(ev.Data, &body); err != nil {
			return text, err
		}
		text += body.Choices[0].Delta.Content + body.Choices[0].Message.Content
	}
}

func TestChatAnswerIsCompleteAndCached(t *testing.T) {
	e := startEngine(t, standin.EngineConfig{})
	c := engine.NewClient(engine.ClientConfig{})
	want := strings.Join(standin.Answer(chat, 0), "")
	for i, stream := range []bool{true, false} {
		a, err := c.Chat(t.Context(), e.Addr(), request(fmt.Sprint("a", i), chat, 0, stream))
		if err != nil {
			t.Fatal(err)
		}
		cached := a.CachedTokens()
		got, err := read(a)
		if err != nil || got != want {
			t.Fatalf("stream %v: got %q, %v; want %q", stream, got, err, want)
		}
		if (cached > 0) != (i > 0) {
			t.Errorf("request %d: got %d cached tokens, want cached: %v", i, cached, i > 0)
		}
	}
}

func TestAnswerContinuesPartialMessage(t *testing.T) {
	all := standin.Answer(chat, 0)
	for k := range all {
		partial := append(chat[:2:2], standin.Message{Role: "assistant", Content: strings.Join(all[:k], "")})
		rest := standin.Answer(partial, len(all)-k)
		if got := strings.Join(append(all[:k:k], rest...), ""); got != strings.Join(all, "") {
			t.Fatalf("continued after %d tokens: got %q, want %q", k, got, strings.Join(all, ""))
		}
	}
}

func TestFaultsMapToErrors(t *testing.T) {
	cases := map[string]struct {
		faults standin.EngineFaults
		want   error
	}{
		"crossed":   {standin.EngineFaults{WrongAttemptRate: 1}, engine.ErrMismatch},
		"truncated": {standin.EngineFaults{TruncatedRate: 1}, engine.ErrTruncated},
		"broken":    {standin.EngineFaults{BrokenRate: 1}, engine.ErrBroken},
		"lost":      {standin.EngineFaults{LostRate: 1}, engine.ErrBroken},
		"refused":   {standin.EngineFaults{RefuseRate: 1}, engine.ErrRefused},
	}
	for name, tc := range cases {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprint(name, " stream ", stream), func(t *testing.T) {
				want := tc.want
				if name == "broken" && !stream {
					want = engine.ErrTruncated
				}
				e := startEngine(t, standin.EngineConfig{Faults: tc.faults})
				a, err := engine.NewClient(engine.ClientConfig{}).Chat(t.Context(), e.Addr(), request("a", chat, 0, stream))
				if err == nil {
					_, err = read(a)
				}
				if !errors.Is(err, want) {
					t.Fatalf("got %v, want %v", err, want)
				}
				if errors.Is(err, engine.ErrNotSent) {
					t.Error("got ErrNotSent for a request that was sent")
				}
			})
		}
	}
}

func TestDuplicateEventsAreDropped(t *testing.T) {
	e := startEngine(t, standin.EngineConfig{Faults: standin.EngineFaults{DuplicateRate: 1}})
	discards := 0
	c := engine.NewClient(engine.ClientConfig{OnDiscard: func(reason.Code) { discards++ }})
	a, err := c.Chat(t.Context(), e.Addr(), request("a", chat, 0, true))
	if err != nil {
		t.Fatal(err)
	}
	got, err := read(a)
	if err != nil || got != strings.Join(standin.Answer(chat, 0), "") {
		t.Fatalf("got %q, %v", got, err)
	}
	if discards == 0 {
		t.Error("got 0 discards, want at least 1")
	}
}

func TestResumeAfterBrokenConnection(t *testing.T) {
	e := startEngine(t, standin.EngineConfig{Faults: standin.EngineFaults{BrokenRate: 1}})
	c := engine.NewClient(engine.ClientConfig{})
	a, err := c.Chat(t.Context(), e.Addr(), request("a", chat, 0, true))
	if err != nil {
		t.Fatal(err)
	}
	first, err := read(a)
	if !errors.Is(err, engine.ErrBroken) {
		t.Fatal(err)
	}
	rest, err := c.Resume(t.Context(), e.Addr(), "a", uint64(len(strings.Fields(first))))
	if err != nil {
		t.Fatal(err)
	}
	second, err := read(rest)
	if err != nil || first+second != strings.Join(standin.Answer(chat, 0), "") {
		t.Fatalf("got %q + %q, %v", first, second, err)
	}
	if _, err := c.Resume(t.Context(), e.Addr(), "b", 0); !errors.Is(err, engine.ErrNoStream) {
		t.Errorf("unknown stream: got %v, want ErrNoStream", err)
	}
	if n := e.Executions()["a"]; n != 1 {
		t.Errorf("attempt executed %d times, want 1", n)
	}
}

func TestErrNotSentOnlyIfNothingWasSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	c := engine.NewClient(engine.ClientConfig{})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = c.Chat(ctx, addr, request("a", chat, 0, true))
	if !errors.Is(err, engine.ErrBroken) || errors.Is(err, engine.ErrNotSent) {
		t.Errorf("unresponsive engine: got %v, want ErrBroken without ErrNotSent", err)
	}
	_ = ln.Close()
	for _, call := range []context.Context{t.Context(), ctx} {
		if _, err := c.Chat(call, addr, request("a", chat, 0, true)); !errors.Is(err, engine.ErrNotSent) {
			t.Errorf("closed port: got %v, want ErrNotSent", err)
		}
	}
	_, err = plain.NewClient(plain.ClientConfig{}).Do(t.Context(), addr, plain.Call{Method: "POST", Path: "/x"})
	if !errors.Is(err, plain.ErrNotSent) {
		t.Errorf("plain service: got %v, want ErrNotSent", err)
	}
}

func TestLeavingEngineRefusesNewAndFinishesRunning(t *testing.T) {
	e := startEngine(t, standin.EngineConfig{})
	c := engine.NewClient(engine.ClientConfig{})
	a, err := c.Chat(t.Context(), e.Addr(), request("a", chat, 0, true))
	if err != nil {
		t.Fatal(err)
	}
	e.SetLeaving(true)
	if _, err := c.Chat(t.Context(), e.Addr(), request("b", chat, 0, true)); !errors.Is(err, engine.ErrLeaving) {
		t.Errorf("got %v, want ErrLeaving", err)
	}
	closed := make(chan error)
	go func() { closed <- e.Close() }()
	if got, err := read(a); err != nil || got != strings.Join(standin.Answer(chat, 0), "") {
		t.Errorf("running answer was not completed: got %q, %v", got, err)
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
}

func TestContextCancelAndCancelCallEndStream(t *testing.T) {
	e := startEngine(t, standin.EngineConfig{TokensPerSecond: 1})
	c := engine.NewClient(engine.ClientConfig{})
	ctx, cancel := context.WithCancel(t.Context())
	a, err := c.Chat(ctx, e.Addr(), request("a", chat, 0, true))
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err := read(a); !errors.Is(err, context.Canceled) {
		t.Errorf("after cancel: got %v, want context.Canceled", err)
	}
	if _, err := c.Chat(t.Context(), e.Addr(), request("b", chat, 0, true)); err != nil {
		t.Fatal(err)
	}
	if err := c.Cancel(t.Context(), e.Addr(), "b"); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Resume(t.Context(), e.Addr(), "b", 0); !errors.Is(err, engine.ErrNoStream) {
		t.Errorf("resume of a cancelled stream: got %v, want ErrNoStream", err)
	}
}

func TestKVExportAndImportMoveChat(t *testing.T) {
	from, to := startEngine(t, standin.EngineConfig{}), startEngine(t, standin.EngineConfig{})
	c := engine.NewClient(engine.ClientConfig{})
	a, err := c.Chat(t.Context(), from.Addr(), request("a", chat, 0, false))
	if err != nil {
		t.Fatal(err)
	}
	text, err := read(a)
	if err != nil {
		t.Fatal(err)
	}
	kv, err := c.Export(t.Context(), from.Addr(), 7)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Import(t.Context(), to.Addr(), 7, kv); err != nil {
		t.Fatal(err)
	}
	next := append(chat[:2:2], standin.Message{Role: "assistant", Content: text}, standin.Message{Role: "user", Content: "and wide"})
	b, err := c.Chat(t.Context(), to.Addr(), request("b", next, 0, true))
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	if want := 3 + 6 + len(strings.Fields(text)) + 1; b.CachedTokens() != want {
		t.Errorf("got %d cached tokens, want %d", b.CachedTokens(), want)
	}
	events, err := c.CacheEvents(t.Context(), to.Addr(), 0)
	if err != nil || len(events) == 0 || events[0].Chat != 7 || !events[0].Stored {
		t.Errorf("got events %v, %v; want a stored event of chat 7", events, err)
	}
}

func TestOrderWithStaleFenceIsRefused(t *testing.T) {
	e := startEngine(t, standin.EngineConfig{ChecksFencing: true})
	c := engine.NewClient(engine.ClientConfig{})
	if err := c.Order(t.Context(), e.Addr(), engine.Order{Kind: engine.LoadModel, Value: "new", Fence: 5}); err != nil {
		t.Fatal(err)
	}
	err := c.Order(t.Context(), e.Addr(), engine.Order{Kind: engine.LoadModel, Value: "old", Fence: 4})
	if !errors.Is(err, engine.ErrStaleFence) {
		t.Errorf("got %v, want ErrStaleFence", err)
	}
	s, err := c.State(t.Context(), e.Addr())
	if err != nil || s.Model != "new" || s.Fence != 5 {
		t.Errorf("got state %+v, %v; want model new with fence 5", s, err)
	}
}
