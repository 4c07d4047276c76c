package measure

import (
	"context"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/measure/testbed"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/standin"
)

const fleetRoutersPerDomain = 2

// experiment is one run of the chat fleet under one placement policy.
type experiment struct {
	testbed      *testbed.Testbed
	client       *testbed.Client
	stats        *loadStats
	monitor      *skewMonitor
	trace        *contextTrace
	loadMultiple float64

	windowStart                time.Time
	windowSeconds              float64
	skew                       skewFigures
	controlBytes               float64
	promptTokens, cachedTokens int
	reusableTokens, sentTokens int64
}

// startExperiment starts the chat fleet. The caller must call close. fleetSettings
// must contain placement.load_multiple.
func startExperiment(ctx context.Context, o Options, policy placement.Policy, fleetSettings document, configureEngine func(*standin.EngineConfig)) (*experiment, error) {
	trace := newContextTrace()
	b, err := testbed.Start(ctx, testbed.Config{
		EngineClient: trace.wrap,
		Objects:      chatFleetObjects(fleetSettings), RoutersPerDomain: fleetRoutersPerDomain, Policy: policy,
		Engine: configureEngine, Seed: o.Seed, Log: o.Log,
	})
	if err != nil {
		return nil, err
	}
	loadMultiple := fleetSettings["placement"].(document)["load_multiple"].(float64)
	return &experiment{testbed: b, client: b.NewClient(), stats: newLoadStats(), trace: trace, loadMultiple: loadMultiple}, nil
}

func (e *experiment) close() {
	e.client.Close()
	e.testbed.Close()
}

// startWindow starts the measurement window.
func (e *experiment) startWindow() {
	e.windowStart = time.Now()
	e.controlBytes = e.testbed.ControlBytes()
	e.promptTokens, e.cachedTokens = e.testbed.CacheTokens()
	e.reusableTokens, e.sentTokens = e.stats.reusableTokens.Load(), e.stats.promptTokens.Load()
	e.stats.resetFirstByte()
	e.monitor = startSkewMonitor(e.testbed, e.loadMultiple)
}

// endWindow ends the window in which skew and control traffic are measured.
func (e *experiment) endWindow() {
	e.skew = e.monitor.stop()
	e.windowSeconds = time.Since(e.windowStart).Seconds()
	e.controlBytes = e.testbed.ControlBytes() - e.controlBytes
}

// figures returns the figures of the run. Request counts and reasons cover the
// whole run including the warm-up; cache reuse and first byte times start with the
// measurement window.
func (e *experiment) figures() chatFigures {
	prompts, cached := e.testbed.CacheTokens()
	stats := e.stats
	f := chatFigures{
		CacheReuse:      ratio(float64(cached-e.cachedTokens), float64(prompts-e.promptTokens)),
		CacheReuseBound: ratio(float64(stats.reusableTokens.Load()-e.reusableTokens), float64(stats.promptTokens.Load()-e.sentTokens)),
		skewFigures:     e.skew,
		ControlBytes:    e.controlBytes / e.windowSeconds / float64(len(e.testbed.Routers())),
		Requests:        stats.requests.Load(), Correct: stats.correct.Load(), Incorrect: stats.incorrect.Load(),
		Refused: stats.refused.Load(), Lost: stats.lost.Load(), DuplicateExecutions: e.duplicateExecutions(),
		FirstByteP50: quantile(stats.firstByteMS, 0.5), FirstByteP95: quantile(stats.firstByteMS, 0.95),
		rereadFigures: e.trace.figures(), Reasons: map[string]int{},
	}
	f.ReuseBoundShare = ratio(f.CacheReuse, f.CacheReuseBound)
	for code, n := range stats.reasons {
		f.Reasons[string(code)] = n
	}
	return f
}

// duplicateExecutions returns the number of attempts that an engine accepted more
// than once.
func (e *experiment) duplicateExecutions() int {
	duplicates := 0
	for _, engine := range e.testbed.Engines() {
		for _, n := range engine.Executions() {
			if n > 1 {
				duplicates++
			}
		}
	}
	return duplicates
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
