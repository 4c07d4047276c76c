package testbed

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/standin"
)

const burstChats = 240

// BenchmarkBurstFromIdle measures the time to the first byte when 240 chats
// arrive at once at an idle fleet of six routers and twelve engines.
func BenchmarkBurstFromIdle(b *testing.B) {
	testbed, client, ctx := startTestbed(b, Config{RoutersPerDomain: 2, Engine: func(c *standin.EngineConfig) {
		c.TokensPerSecond = 100
		c.Slots = 64
	}})
	members := testbed.Routers()
	var waits []time.Duration
	notCorrect := 0
	for n := 0; b.Loop(); n++ {
		answers := make([]Answer, burstChats)
		var wg sync.WaitGroup
		for i := range answers {
			wg.Go(func() {
				chat := &Chat{ID: fmt.Sprint("burst-", n, "-", i), Account: account, Service: service}
				answers[i], _ = client.SendMessage(ctx, members[i%len(members)], chat, "write 20 tokens", 20)
			})
		}
		wg.Wait()
		for _, a := range answers {
			if !a.Correct {
				notCorrect++
				continue
			}
			waits = append(waits, a.FirstByte)
		}
	}
	slices.Sort(waits)
	b.ReportMetric(float64(waits[len(waits)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(waits[len(waits)*95/100].Milliseconds()), "p95-ms")
	b.ReportMetric(float64(notCorrect), "not-right")
}
