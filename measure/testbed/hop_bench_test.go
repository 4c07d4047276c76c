package testbed

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/examples"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/router"
	"ragwortpond.example/ragwortpond/router/entry"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/standin"
)

// BenchmarkHop compares a short chat sent directly to an engine, through a
// router that is the engine's home, and through a router that is not.
func BenchmarkHop(b *testing.B) {
	objects := benchObjects(b)
	f, err := Start(b.Context(), Config{
		Objects: objects, RoutersPerDomain: 2, Log: zerolog.Nop(),
		Engine: func(c *standin.EngineConfig) { c.TokensPerSecond = 20_000 },
	})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	b.Run("direct", func(b *testing.B) { benchmarkDirect(b, f) })
	b.Run("home", func(b *testing.B) { benchmarkRouter(b, f, true) })
	b.Run("hop", func(b *testing.B) { benchmarkRouter(b, f, false) })
}

func benchObjects(b *testing.B) []objectapi.Object {
	dir, err := examples.Deployment(examples.TochaViva)
	if err != nil {
		b.Fatal(err)
	}
	objects, findings := settings.LoadFS(dir)
	if len(findings) > 0 {
		b.Fatal(findings)
	}
	return withoutLimits(b, objects)
}

func benchmarkDirect(b *testing.B, f *Testbed) {
	client := engine.NewClient(engine.ClientConfig{})
	addr := f.Engines()[0].Addr()
	body := []byte(`{"model":"assistente","messages":[{"role":"user","content":"hello there"}],"max_tokens":1,"stream":true}`)
	for b.Loop() {
		answer, err := client.Chat(context.Background(), addr, engine.Request{Attempt: entry.NewAttemptID(), Chat: 1, Body: body, Stream: true})
		if err != nil {
			b.Fatal(err)
		}
		for {
			ev, err := answer.Next()
			if err != nil {
				b.Fatal(err)
			}
			if ev.Done {
				break
			}
		}
		answer.Close()
	}
}

// benchmarkRouter sends chats through a router that is the home of the chat's
// first target, or is not, depending on atHome.
func benchmarkRouter(b *testing.B, f *Testbed, atHome bool) {
	client := f.NewClient()
	defer client.Close()
	chat, member := findChat(b, f, client, atHome)
	for b.Loop() {
		chat.Messages = nil
		if answer, err := client.SendMessage(context.Background(), member, chat, "hello there", 1); err != nil || !answer.Complete {
			b.Fatalf("got %+v, error %v; want a complete answer", answer, err)
		}
	}
}

// findChat returns a chat and the first router, which is the home of the chat's
// target if atHome is true and is not its home otherwise.
func findChat(b *testing.B, f *Testbed, client *Client, atHome bool) (*Chat, *RunningRouter) {
	member := f.Routers()[0]
	for i := range 1000 {
		chat := &Chat{ID: fmt.Sprint(i), Account: "atacado-nordeste", Service: "assistente"}
		before := f.executionsByEngine()
		if _, err := client.SendMessage(context.Background(), member, chat, "hello there", 1); err != nil {
			b.Fatal(err)
		}
		if isHome(member, f.executedSince(before)) == atHome {
			return chat, member
		}
	}
	b.Fatalf("no chat with atHome %v among 1000", atHome)
	return nil, nil
}

func isHome(m *RunningRouter, id fleet.TargetID) bool {
	return slices.ContainsFunc(m.Router.Status().Targets, func(t router.TargetStatus) bool { return t.Target == id })
}

// executionsByEngine returns the number of attempts that each engine has accepted.
func (b *Testbed) executionsByEngine() map[fleet.TargetID]int {
	counts := map[fleet.TargetID]int{}
	for _, e := range b.Engines() {
		counts[e.ID()] = e.Stats().Executed
	}
	return counts
}

// executedSince returns an engine that accepted an attempt since the counts in
// before were taken, or "" if there is none.
func (b *Testbed) executedSince(before map[fleet.TargetID]int) fleet.TargetID {
	for id, n := range b.executionsByEngine() {
		if n > before[id] {
			return id
		}
	}
	return ""
}
