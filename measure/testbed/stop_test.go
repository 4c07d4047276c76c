package testbed

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/standin"
)

// Guards against planned stops that cut requests: stops every router but the one
// that receives the requests, one after another, under a continuous chat load.
// Every answer must be correct. The reuse of chat context is logged only.
func TestPlannedRouterStopsKeepAnswersCorrect(t *testing.T) {
	t.Parallel()
	cfg := slowConfig()
	cfg.Engine = func(c *standin.EngineConfig) { c.TokensPerSecond = 200 }
	b, client, ctx := startUnlimitedTestbed(t, cfg)
	updateFleetSettings(ctx, t, b, map[string]any{"stop": map[string]any{"ready_delay_ms": 200}})
	entry, others := b.Routers()[0], b.Routers()[1:]
	loadCtx, stopLoad := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var sent, failed atomic.Int64
	for i := range 12 {
		wg.Go(func() {
			chat := &Chat{ID: fmt.Sprint("stop-", i), Account: account, Service: service}
			for loadCtx.Err() == nil {
				a, err := client.SendMessage(ctx, entry, chat, "and then", 0)
				sent.Add(1)
				if err != nil || !a.Correct {
					failed.Add(1)
					t.Errorf("got status %d, outcome %s, reason %s, error %v; want a correct answer", a.Status, a.Outcome, a.Reason, err)
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
	stopLoad()
	wg.Wait()
	prompts, cached := b.CacheTokens()
	t.Logf("%d requests, %d failed, reuse %.3f", sent.Load(), failed.Load(), float64(cached)/float64(prompts))
}
