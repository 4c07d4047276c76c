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

// The course of one run.
const (
	reuseWarm     = 4000 * time.Millisecond
	reuseStep     = 1400 * time.Millisecond
	reuseMultiple = 1.25
	reuseRamp     = 2 * time.Second
)

func policyNames() []string {
	var names []string
	for _, p := range placement.Policies() {
		names = append(names, string(p))
	}
	return names
}

// chatFigures are the figures of one policy in the chat experiments.
type chatFigures struct {
	CacheReuse      float64 `json:"cache_reuse"`
	CacheReuseBound float64 `json:"cache_reuse_bound"`
	ReuseOfBound    float64 `json:"cache_reuse_of_bound"`
	lostFigures
	balanceFigures
	ControlBytes float64        `json:"control_bytes_per_router_second"`
	Requests     int64          `json:"requests"`
	Whole        int64          `json:"whole_answers"`
	Wrong        int64          `json:"wrong_answers"`
	Refused      int64          `json:"refused_not_run"`
	Lost         int64          `json:"lost"`
	RanTwice     int            `json:"ran_twice"`
	FirstByteP50 float64        `json:"first_byte_p50_ms"`
	FirstByteP95 float64        `json:"first_byte_p95_ms"`
	Reasons      map[string]int `json:"reasons"`
}

func runReuse(ctx context.Context, o Options) (Report, error) {
	return runChatPolicies(ctx, o, "Cache reuse through churn", reuseOf)
}

// runChatPolicies runs an experiment once a policy.
func runChatPolicies(ctx context.Context, o Options, title string, run func(context.Context, Options, placement.Policy) (chatFigures, error)) (Report, error) {
	var report Report
	for _, p := range placement.Policies() {
		if !o.Wants(string(p)) {
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

func reuseOf(ctx context.Context, o Options, policy placement.Policy) (chatFigures, error) {
	e, err := startExperiment(ctx, o, policy, document{
		"placement": document{
			"load_multiple": reuseMultiple, "reuse_weight": 1, "join_ramp_ms": reuseRamp.Milliseconds(),
		},
	}, reuseEngine)
	if err != nil {
		return chatFigures{}, err
	}
	defer e.close()
	users := startCrowd(ctx, e.bed, e.client, e.tally, reuseCrowd(o.Seed))
	defer users.stop()
	_ = sleep.For(ctx, reuseWarm)
	e.begin()
	err = e.churn(ctx)
	e.end()
	users.stop()
	return e.figures(), err
}

func reuseEngine(c *standin.EngineConfig) {
	c.TokensPerSecond = 20
	c.Slots = 96
	c.PrefillPerSecond = 16_000
	c.CacheTokens = 60_000
}

func reuseCrowd(seed uint64) crowdConfig {
	return crowdConfig{
		account: quietAccount, service: chatService, users: 450, chats: 1, think: 250 * time.Millisecond,
		sheets: 4, sheetTokens: 300, sheetShare: 0.5, sayTokens: 40, answerTokens: 8,
		tokenShare: 0.5, renewAfter: 20, seed: seed,
	}
}

// churn lets engines join, leave and crash, one after another.
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
		_ = sleep.For(ctx, reuseStep)
	}
	return nil
}

func (e *experiment) join(ctx context.Context, i int) error {
	return e.bed.AddEngine(ctx, engineName(i), chatService, domainOf(i))
}

func (e *experiment) leave(ctx context.Context, i int) error {
	id := engineName(i)
	_, err := e.bed.Change(ctx, settings.KindTargets, string(id), func(doc map[string]any) { doc["state"] = fleet.Leaving })
	e.leaveOut(id)
	return err
}

// leaveOut takes an engine that is to get no more work out of the figures.
func (e *experiment) leaveOut(id fleet.TargetID) {
	e.balance.leaveOut(id)
	e.trace.leaveOut(e.bed.Engine(id).Addr())
}

func (e *experiment) crash(i int) {
	id := engineName(i)
	e.leaveOut(id)
	e.bed.Engine(id).Kill()
}

func chatChart(title string, results []Result) *Chart {
	figure := func(label string, value func(chatFigures) float64) Group {
		g := Group{Label: label}
		for _, r := range results {
			g.Bars = append(g.Bars, Bar{Label: r.Policy, Value: value(r.Figures.(chatFigures))})
		}
		return g
	}
	return &Chart{Title: title, Groups: []Group{
		figure("cache reuse as a share of the bound", func(f chatFigures) float64 { return f.ReuseOfBound }),
		figure("99th percentile of skew", func(f chatFigures) float64 { return f.Skew }),
		figure("share of time over the bound", func(f chatFigures) float64 { return f.OverShare }),
		figure("first byte, 95th percentile, ms", func(f chatFigures) float64 { return f.FirstByteP95 }),
	}}
}
