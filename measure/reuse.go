package measure

import (
	"context"
	"fmt"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/sleep"
	"ragwortpond.example/ragwortpond/standin"
)

func init() {
	Register(Scenario{
		Name:     "reuse",
		Summary:  "cache reuse of returning chats while engines join, leave and crash",
		Policies: policyNames(),
		Run:      runReuse,
	})
}

// The warm-up, the time after each churn step, and the placement settings of one
// run.
const (
	reuseWarmUp       = 4000 * time.Millisecond
	reuseStepDuration = 1400 * time.Millisecond
	reuseLoadMultiple = 1.25
	reuseJoinRamp     = 2 * time.Second
)

func policyNames() []string {
	var names []string
	for _, p := range placement.Policies() {
		names = append(names, string(p))
	}
	return names
}

// chatFigures holds the figures of one policy in the chat experiments.
type chatFigures struct {
	CacheReuse      float64 `json:"cache_reuse"`
	CacheReuseBound float64 `json:"cache_reuse_bound"`
	ReuseBoundShare float64 `json:"cache_reuse_of_bound"`
	rereadFigures
	skewFigures
	ControlBytes        float64        `json:"control_bytes_per_router_second"`
	Requests            int64          `json:"requests"`
	Correct             int64          `json:"whole_answers"`
	Incorrect           int64          `json:"wrong_answers"`
	Refused             int64          `json:"refused_not_run"`
	Lost                int64          `json:"lost"`
	DuplicateExecutions int            `json:"ran_twice"`
	FirstByteP50        float64        `json:"first_byte_p50_ms"`
	FirstByteP95        float64        `json:"first_byte_p95_ms"`
	Reasons             map[string]int `json:"reasons"`
}

func runReuse(ctx context.Context, o Options) (Report, error) {
	return runChatPolicies(ctx, o, "Cache reuse through churn", measureReuse)
}

// runChatPolicies runs an experiment once for each selected policy.
func runChatPolicies(ctx context.Context, o Options, title string, run func(context.Context, Options, placement.Policy) (chatFigures, error)) (Report, error) {
	var report Report
	for _, p := range placement.Policies() {
		if !o.Includes(string(p)) {
			continue
		}
		fmt.Fprintf(o.Progress, "policy %s\n", p)
		f, err := run(ctx, o, p)
		if err != nil {
			return report, fmt.Errorf("policy %s: %w", p, err)
		}
		report.Results = append(report.Results, Result{Policy: string(p), Figures: f})
	}
	report.Chart = chatChart(title, report.Results)
	return report, nil
}

func measureReuse(ctx context.Context, o Options, policy placement.Policy) (chatFigures, error) {
	e, err := startExperiment(ctx, o, policy, document{
		"placement": document{
			"load_multiple": reuseLoadMultiple, "reuse_weight": 1, "join_ramp_ms": reuseJoinRamp.Milliseconds(),
		},
	}, configureReuseEngine)
	if err != nil {
		return chatFigures{}, err
	}
	defer e.close()
	load := startLoadGenerator(ctx, e.testbed, e.client, e.stats, reuseLoad(o.Seed))
	defer load.stop()
	_ = sleep.For(ctx, reuseWarmUp)
	e.startWindow()
	err = e.churn(ctx)
	e.endWindow()
	load.stop()
	return e.figures(), err
}

func configureReuseEngine(c *standin.EngineConfig) {
	c.TokensPerSecond = 20
	c.Slots = 96
	c.PrefillPerSecond = 16_000
	c.CacheTokens = 60_000
}

func reuseLoad(seed uint64) loadConfig {
	return loadConfig{
		account: quietAccount, service: chatService, users: 450, chatsPerUser: 1, thinkTime: 250 * time.Millisecond,
		sharedPrompts: 4, sharedPromptTokens: 300, sharedPromptShare: 0.5, messageTokens: 40, maxAnswerTokens: 8,
		contextTokenShare: 0.5, maxTurns: 20, seed: seed,
	}
}

// churn makes engines join, leave and crash, one after another.
func (e *experiment) churn(ctx context.Context) error {
	steps := []func() error{
		func() error { return e.join(ctx, 12) },
		func() error { return e.leave(ctx, 3) },
		func() error { e.crash(7); return nil },
		func() error { return e.join(ctx, 13) },
		func() error { return nil },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
		_ = sleep.For(ctx, reuseStepDuration)
	}
	return nil
}

func (e *experiment) join(ctx context.Context, i int) error {
	return e.testbed.AddEngine(ctx, engineName(i), chatService, domainName(i))
}

func (e *experiment) leave(ctx context.Context, i int) error {
	id := engineName(i)
	_, err := e.testbed.UpdateDocument(ctx, settings.KindTargets, string(id), func(doc map[string]any) { doc["state"] = fleet.Leaving })
	e.exclude(id)
	return err
}

// exclude removes an engine that leaves or crashes from the skew figures and marks
// it as departed in the context trace.
func (e *experiment) exclude(id fleet.TargetID) {
	e.monitor.exclude(id)
	e.trace.markDeparted(e.testbed.Engine(id).Addr())
}

func (e *experiment) crash(i int) {
	id := engineName(i)
	e.exclude(id)
	e.testbed.Engine(id).Kill()
}

func chatChart(title string, results []Result) *Chart {
	group := func(label string, value func(chatFigures) float64) Group {
		g := Group{Label: label}
		for _, r := range results {
			g.Bars = append(g.Bars, Bar{Label: r.Policy, Value: value(r.Figures.(chatFigures))})
		}
		return g
	}
	return &Chart{Title: title, Groups: []Group{
		group("cache reuse as a share of the bound", func(f chatFigures) float64 { return f.ReuseBoundShare }),
		group("99th percentile of skew", func(f chatFigures) float64 { return f.SkewP99 }),
		group("share of time over the bound", func(f chatFigures) float64 { return f.ViolationShare }),
		group("first byte, 95th percentile, ms", func(f chatFigures) float64 { return f.FirstByteP95 }),
	}}
}
