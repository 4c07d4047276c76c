package testbed

import (
	"context"
	"fmt"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/withdrawal"
)

// waitUntilEmpty waits until a router reports the withdrawal of a target in phase
// empty, and returns its status.
func waitUntilEmpty(ctx context.Context, t *testing.T, b *Testbed, id fleet.TargetID) withdrawal.Status {
	t.Helper()
	for ctx.Err() == nil {
		for _, m := range b.Routers() {
			for _, s := range m.Router.WithdrawalStatuses() {
				if s.Target == id && s.Phase == withdrawal.Empty {
					return s.Status
				}
			}
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("withdrawal of %s did not reach phase empty", id)
	return withdrawal.Status{}
}

func setState(ctx context.Context, t *testing.T, b *Testbed, id fleet.TargetID, state fleet.Lifecycle) {
	t.Helper()
	_, err := b.UpdateDocument(ctx, settings.KindTargets, string(id), func(doc map[string]any) { doc["state"] = state })
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against a withdrawal that loses the chats' context: withdraws an engine
// that holds chats. All its chats must move, it must receive no more requests, and
// at least 93 % of the prompt tokens of the next turn must be found in caches.
func TestWithdrawalMovesChats(t *testing.T) {
	t.Parallel()
	b, client, ctx := startUnlimitedTestbed(t, fastConfig())
	chats := make([]*Chat, 36)
	sendAll := func(text string) {
		for i, c := range chats {
			a, err := client.SendMessage(ctx, b.Routers()[i%len(b.Routers())], c, text, 0)
			if err != nil || !a.Correct {
				t.Fatalf("chat %d: got %+v, error %v; want a correct answer", i, a, err)
			}
		}
	}
	for i := range chats {
		chats[i] = &Chat{ID: fmt.Sprint("moved-", i), Account: account, Service: service}
	}
	sendAll("a first question of some length")
	var id fleet.TargetID
	for _, e := range b.Engines() {
		if e.Stats().Executed > 1 {
			id = e.ID()
			break
		}
	}
	setState(ctx, t, b, id, fleet.Leaving)
	s := waitUntilEmpty(ctx, t, b, id)
	if s.Moved == 0 || s.Failed > 0 {
		t.Fatalf("got status %+v, want moved chats and no failed ones", s)
	}
	accepted := b.Engine(id).Stats().Executed
	prompts, cached := b.CacheTokens()
	sendAll("a second question")
	newPrompts, newCached := b.CacheTokens()
	if n := b.Engine(id).Stats().Executed; n != accepted {
		t.Errorf("got %d requests on the withdrawn engine, want none", n-accepted)
	}
	reuse := float64(newCached-cached) / float64(newPrompts-prompts)
	t.Logf("%d chats moved, reuse %.3f", s.Moved, reuse)
	if reuse < 0.93 {
		t.Errorf("got reuse %.3f after the withdrawal, want at least 0.93", reuse)
	}
}

// Guards against an engine that stays unused after its withdrawal was cancelled:
// when its state returns to live, it must receive requests again.
func TestCancelledWithdrawalReturnsEngineToService(t *testing.T) {
	b, client, ctx := startUnlimitedTestbed(t, fastConfig())
	id := b.Snapshot().Targets[service][0].ID
	setState(ctx, t, b, id, fleet.Leaving)
	waitUntilEmpty(ctx, t, b, id)
	setState(ctx, t, b, id, fleet.Live)
	for i := 0; b.Engine(id).Stats().Executed == 0; i++ {
		if ctx.Err() != nil {
			t.Fatal("the engine received no request after its withdrawal was cancelled")
		}
		chat := &Chat{ID: fmt.Sprint("back-", i), Account: account, Service: service}
		if _, err := client.SendMessage(ctx, b.Routers()[0], chat, "hello", 1); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a withdrawal that stops when its router crashes: kills the home
// of a leaving engine while it moves chats. Another router must take over and move
// all remaining chats.
func TestWithdrawalContinuesAfterHomeCrash(t *testing.T) {
	t.Parallel()
	cfg := fastConfig()
	cfg.RoutersPerDomain = 2
	b, client, ctx := startUnlimitedTestbed(t, cfg)
	updateFleetSettings(ctx, t, b, map[string]any{
		"withdrawal": map[string]any{"kv_bytes_per_second": 30_000},
		"membership": map[string]any{"heartbeat_ms": 100, "suspect_ms": 400, "remove_ms": 400},
	})
	for i := range 36 {
		chat := &Chat{ID: fmt.Sprint("kept-", i), Account: account, Service: service}
		if a, err := client.SendMessage(ctx, b.Routers()[i%len(b.Routers())], chat, "a question", 0); err != nil || !a.Correct {
			t.Fatalf("got %+v, error %v; want a correct answer", a, err)
		}
	}
	id := busiestEngine(b)
	total := b.Engine(id).Stats().Executed
	setState(ctx, t, b, id, fleet.Leaving)
	withdrawingRouter(ctx, t, b, id).Kill()
	waitUntilEmpty(ctx, t, b, id)
	imported := 0
	for _, e := range b.Engines() {
		imported += e.Stats().Imports
	}
	t.Logf("%d chats, %d imports", total, imported)
	if imported < total {
		t.Errorf("got %d imported chats, want at least %d", imported, total)
	}
}

// updateFleetSettings replaces groups of the fleet settings and waits until they
// are in force on every router.
func updateFleetSettings(ctx context.Context, t *testing.T, b *Testbed, change map[string]any) {
	t.Helper()
	version, err := b.UpdateDocument(ctx, settings.KindFleet, "fleet", func(doc map[string]any) {
		values, _ := doc["settings"].(map[string]any)
		for group, keys := range change {
			values[group] = keys
		}
		doc["settings"] = values
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range b.Routers() {
		for m.Router.Snapshot().Revision < version && ctx.Err() == nil {
			time.Sleep(pollInterval)
		}
	}
}

// busiestEngine returns the engine that accepted the most requests.
func busiestEngine(b *Testbed) fleet.TargetID {
	var id fleet.TargetID
	maxExecuted := -1
	for _, e := range b.Engines() {
		if n := e.Stats().Executed; n > maxExecuted {
			id, maxExecuted = e.ID(), n
		}
	}
	return id
}

// withdrawingRouter waits until a router has moved a chat off a target and has
// more to move, and returns that router.
func withdrawingRouter(ctx context.Context, t *testing.T, b *Testbed, id fleet.TargetID) *RunningRouter {
	t.Helper()
	for ctx.Err() == nil {
		for _, m := range b.Routers() {
			for _, s := range m.Router.WithdrawalStatuses() {
				if s.Target == id && s.Moved > 0 && s.Pending > 0 {
					return m
				}
			}
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("no router is moving chats off %s", id)
	return nil
}
