package bed

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/standin"
)

// TestPlannedStopsCutNothing stops every router but the callers' own in turn
// while chats go on, and wants every answer right and the chats' context found
// again.
func TestPlannedStopsCutNothing(t *testing.T) {
	t.Parallel()
	cfg := slow()
	cfg.Engine = func(c *standin.EngineConfig) { c.TokensPerSecond = 200 }
	b, client, ctx := unlimited(t, cfg)
	changeFleet(ctx, t, b, map[string]any{"stop": map[string]any{"ready_delay_ms": 200}})
	entry, others := b.Members()[0], b.Members()[1:]
	load, stop := context.WithCancel(ctx)
	var wait sync.WaitGroup
	var asked, wrong atomic.Int64
	for i := range 12 {
		wait.Go(func() {
			chat := &Chat{ID: fmt.Sprint("stop-", i), Account: account, Service: service}
			for load.Err() == nil {
				a, err := client.Say(ctx, entry, chat, "and then", 0)
				asked.Add(1)
				if err != nil || !a.Right {
					wrong.Add(1)
					t.Errorf("status %d, outcome %s, reason %s, %v", a.Status, a.Outcome, a.Reason, err)
				}
			}
		})
	}
	for _, m := range others {
		time.Sleep(100 * time.Millisecond)
		if err := m.Stop(ctx); err != nil {
			t.Error(err)
		}
	}
	stop()
	wait.Wait()
	prompts, cached := b.CacheTokens()
	t.Logf("%d asked, %d wrong, reuse %.3f", asked.Load(), wrong.Load(), float64(cached)/float64(prompts))
}
