// Package demo runs a small fleet that serves returning chats and orders for a few
// seconds while one engine is withdrawn and another crashes.
package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/measure/testbed"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/sleep"
	"ragwortpond.example/ragwortpond/standin"
)

const (
	defaultDuration     = 6 * time.Second
	routersPerDomain    = 2
	sampleInterval      = 10 * time.Millisecond
	minSkewMeanRequests = 1
	skewQuantile        = 0.99
	tokensPerSecond     = 60
	prefillPerSecond    = 5_000
)

// Options configures the demo.
type Options struct {
	// Objects are the settings documents of a deployment.
	Objects []objectapi.Object
	// Duration is the length of the workload; zero means six seconds.
	Duration time.Duration
	Seed     uint64
	// Progress receives a line for each step. It must not be nil.
	Progress io.Writer
	Log      zerolog.Logger
}

// Figures holds the results of the demo.
type Figures struct {
	Requests       int `json:"requests"`
	CorrectAnswers int `json:"whole_answers"`
	// Refused counts requests with the outcome not-run.
	Refused int `json:"refused"`
	// Lost counts requests that received neither a correct answer nor the outcome
	// not-run, including those that received another request's answer.
	Lost                int `json:"lost"`
	DuplicateExecutions int `json:"ran_twice"`
	// CacheReuse is the share of the tokens of earlier turns that engines found
	// in their prefix caches.
	CacheReuse float64 `json:"cache_reuse"`
	// Skew is the 99th percentile of the busiest engine's requests divided by the
	// mean, over the times at which the mean is at least one request.
	Skew                        float64 `json:"skew"`
	ControlBytesPerRouterSecond float64 `json:"control_bytes_per_router_second"`
	Routers                     int     `json:"routers"`
	Engines                     int     `json:"engines"`
	Withdrawn                   string  `json:"withdrawn"`
	Crashed                     string  `json:"crashed"`
}

// Start starts the demo's fleet. The caller must close the returned testbed.
func Start(ctx context.Context, o Options) (*testbed.Testbed, error) {
	return testbed.Start(ctx, testbed.Config{
		Objects: o.Objects, RoutersPerDomain: routersPerDomain, Seed: o.Seed, Log: o.Log, OperatorAPI: true,
		Engine: func(c *standin.EngineConfig) {
			c.TokensPerSecond = tokensPerSecond
			c.PrefillPerSecond = prefillPerSecond
		},
	})
}

// Run runs the workload against a fleet that Start returned and returns the
// figures.
func Run(ctx context.Context, b *testbed.Testbed, o Options) (Figures, error) {
	duration := o.Duration
	if duration <= 0 {
		duration = defaultDuration
	}
	w, err := newWorkload(b, o.Seed, o.Progress)
	if err != nil {
		return Figures{}, err
	}
	defer w.client.Close()
	before := b.ControlBytes()
	sampler := b.StartSkewSampler(sampleInterval)
	start := time.Now()
	workCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	w.start(workCtx, &wg)
	figures, err := injectFaults(ctx, b, w, duration, o.Progress)
	cancel()
	wg.Wait()
	elapsed := time.Since(start).Seconds()
	samples := sampler.Stop()
	if err != nil {
		return Figures{}, err
	}
	w.copyCounts(&figures)
	_, cached := b.CacheTokens()
	figures.CacheReuse = ratio(float64(cached), float64(w.reusableTokens.Load()))
	figures.Skew = testbed.SkewQuantile(samples, skewQuantile, minSkewMeanRequests)
	figures.DuplicateExecutions = b.DuplicateExecutions()
	figures.Routers = len(b.Routers())
	figures.Engines = len(b.Engines())
	figures.ControlBytesPerRouterSecond = (b.ControlBytes() - before) / elapsed / float64(figures.Routers)
	return figures, nil
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// injectFaults runs for the total duration. It withdraws one engine after a third
// of the time and crashes another after two thirds.
func injectFaults(ctx context.Context, b *testbed.Testbed, w *workload, total time.Duration, progress io.Writer) (Figures, error) {
	engines := b.Engines()
	withdrawn, crashed := engines[0], engines[len(engines)/2]
	phaseDuration := total / 3
	fmt.Fprintf(progress, "%d routers, %d engines, %d plain services; %d callers\n",
		len(b.Routers()), len(engines), len(b.Services()), chatCallers+orderCallers)
	_ = sleep.For(ctx, phaseDuration)
	fmt.Fprintf(progress, "%s: withdrawing %s\n", w.summary(), withdrawn.ID())
	if err := withdraw(ctx, b, withdrawn.ID()); err != nil {
		return Figures{}, err
	}
	_ = sleep.For(ctx, phaseDuration)
	fmt.Fprintf(progress, "%s: crashing %s\n", w.summary(), crashed.ID())
	crashed.Kill()
	_ = sleep.For(ctx, phaseDuration)
	fmt.Fprintf(progress, "%s: finishing\n", w.summary())
	return Figures{Withdrawn: string(withdrawn.ID()), Crashed: string(crashed.ID())}, ctx.Err()
}

func withdraw(ctx context.Context, b *testbed.Testbed, id fleet.TargetID) error {
	_, err := b.UpdateDocument(ctx, settings.KindTargets, string(id), func(doc map[string]any) {
		doc["state"] = string(fleet.Leaving)
	})
	if err != nil {
		return fmt.Errorf("demo: withdraw %s: %w", id, err)
	}
	return nil
}

// WriteTable writes figures as a plain text table.
func WriteTable(w io.Writer, f Figures) {
	fmt.Fprintf(w, "\n%-32s %d\n", "requests", f.Requests)
	fmt.Fprintf(w, "%-32s %d\n", "whole answers", f.CorrectAnswers)
	fmt.Fprintf(w, "%-32s %d\n", "refused (not-run)", f.Refused)
	fmt.Fprintf(w, "%-32s %d\n", "lost", f.Lost)
	fmt.Fprintf(w, "%-32s %d\n", "orders run twice", f.DuplicateExecutions)
	fmt.Fprintf(w, "%-32s %.3f\n", "cache reuse", f.CacheReuse)
	fmt.Fprintf(w, "%-32s %.2f\n", "skew (p99, busiest over mean)", f.Skew)
	fmt.Fprintf(w, "%-32s %.0f\n", "control bytes/router/second", f.ControlBytesPerRouterSecond)
}
