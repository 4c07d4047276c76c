package bed

import (
	"context"
	"fmt"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/withdrawal"
)

// withdrawn waits until the home of a target says that it is empty.
func withdrawn(ctx context.Context, t *testing.T, b *Bed, id fleet.TargetID) withdrawal.Status {
	t.Helper()
	for ctx.Err() == nil {
		for _, m := range b.Members() {
			for _, s := range m.Router.Withdrawals() {
				if s.Target == id && s.Phase == withdrawal.Empty {
					return s.Status
				}
			}
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("%s was not emptied", id)
	return withdrawal.Status{}
}

func setState(ctx context.Context, t *testing.T, b *Bed, id fleet.TargetID, state fleet.Lifecycle) {
	t.Helper()
	_, err := b.Change(ctx, settings.KindTargets, string(id), func(doc map[string]any) { doc["state"] = state })
	if err != nil {
		t.Fatal(err)
	}
}

// TestWithdrawalMovesChats fills an engine with chats, withdraws it and wants
// every chat to find its context elsewhere.
func TestWithdrawalMovesChats(t *testing.T) {
	t.Parallel()
	b, client, ctx := unlimited(t, quick())
	chats := make([]*Chat, 36)
	say := func(text string) {
		for i, c := range chats {
			a, err := client.Say(ctx, b.Members()[i%len(b.Members())], c, text, 0)
			if err != nil || !a.Right {
				t.Fatalf("chat %d: %+v, %v", i, a, err)
			}
		}
	}
	for i := range chats {
		chats[i] = &Chat{ID: fmt.Sprint("moved-", i), Account: account, Service: service}
	}
	say("a first question of some length")
	var id fleet.TargetID
	for _, e := range b.Engines() {
		if e.Stats().Executed > 1 {
			id = e.ID()
			break
		}
	}
	setState(ctx, t, b, id, fleet.Leaving)
	s := withdrawn(ctx, t, b, id)
	if s.Moved == 0 || s.Failed > 0 {
		t.Fatalf("status %+v", s)
	}
	accepted := b.Engine(id).Stats().Executed
	prompts, cached := b.CacheTokens()
	say("a second question")
	newPrompts, newCached := b.CacheTokens()
	if n := b.Engine(id).Stats().Executed; n != accepted {
		t.Errorf("%d requests reached the withdrawn engine", n-accepted)
	}
	reuse := float64(newCached-cached) / float64(newPrompts-prompts)
	t.Logf("%d chats moved, reuse %.3f", s.Moved, reuse)
	if reuse < 0.93 {
		t.Errorf("reuse %.3f after the withdrawal", reuse)
	}
}

// TestWithdrawalCalledOff wants an engine to take work again.
func TestWithdrawalCalledOff(t *testing.T) {
	b, client, ctx := unlimited(t, quick())
	id := b.Snapshot().Targets[service][0].ID
	setState(ctx, t, b, id, fleet.Leaving)
	withdrawn(ctx, t, b, id)
	setState(ctx, t, b, id, fleet.Live)
	for i := 0; b.Engine(id).Stats().Executed == 0; i++ {
		if ctx.Err() != nil {
			t.Fatal("the engine gets no work")
		}
		chat := &Chat{ID: fmt.Sprint("back-", i), Account: account, Service: service}
		if _, err := client.Say(ctx, b.Members()[0], chat, "hello", 1); err != nil {
			t.Fatal(err)
		}
	}
}

// TestWithdrawalSurvivesItsHome kills the router that empties an engine in the
// middle of it and wants another one to go on.
func TestWithdrawalSurvivesItsHome(t *testing.T) {
	t.Parallel()
	cfg := quick()
	cfg.RoutersPerDomain = 2
	b, client, ctx := unlimited(t, cfg)
	changeFleet(ctx, t, b, map[string]any{
		"withdrawal": map[string]any{"kv_bytes_per_second": 30_000},
		"membership": map[string]any{"heartbeat_ms": 100, "suspect_ms": 400, "remove_ms": 400},
	})
	for i := range 36 {
		chat := &Chat{ID: fmt.Sprint("kept-", i), Account: account, Service: service}
		if a, err := client.Say(ctx, b.Members()[i%len(b.Members())], chat, "a question", 0); err != nil || !a.Right {
			t.Fatalf("%+v, %v", a, err)
		}
	}
	id := busiest(b)
	total := b.Engine(id).Stats().Executed
	setState(ctx, t, b, id, fleet.Leaving)
	driver(ctx, t, b, id).Kill()
	withdrawn(ctx, t, b, id)
	imported := 0
	for _, e := range b.Engines() {
		imported += e.Stats().Imports
	}
	t.Logf("%d chats, %d imports", total, imported)
	if imported < total {
		t.Errorf("%d chats on the engine, %d moved", total, imported)
	}
}

// changeFleet changes settings of the fleet and waits until they are in force.
func changeFleet(ctx context.Context, t *testing.T, b *Bed, change map[string]any) {
	t.Helper()
	version, err := b.Change(ctx, settings.KindFleet, "fleet", func(doc map[string]any) {
		values, _ := doc["settings"].(map[string]any)
		for group, keys := range change {
			values[group] = keys
		}
		doc["settings"] = values
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range b.Members() {
		for m.Router.Snapshot().Revision < version && ctx.Err() == nil {
			time.Sleep(pollInterval)
		}
	}
}

// busiest returns the engine that took most requests.
func busiest(b *Bed) fleet.TargetID {
	var id fleet.TargetID
	most := -1
	for _, e := range b.Engines() {
		if n := e.Stats().Executed; n > most {
			id, most = e.ID(), n
		}
	}
	return id
}

// driver returns the router that empties a target, once it has moved a chat.
func driver(ctx context.Context, t *testing.T, b *Bed, id fleet.TargetID) *Member {
	t.Helper()
	for ctx.Err() == nil {
		for _, m := range b.Members() {
			for _, s := range m.Router.Withdrawals() {
				if s.Target == id && s.Moved > 0 && s.Pending > 0 {
					return m
				}
			}
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("nobody empties %s", id)
	return nil
}
