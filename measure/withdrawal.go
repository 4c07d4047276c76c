package measure

import (
	"context"
	"fmt"
	"math"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/measure/testbed"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/sleep"
	"ragwortpond.example/ragwortpond/standin"
	"ragwortpond.example/ragwortpond/withdrawal"
)

// The policies that the scenario compares: withdrawal with and without handoff of
// the chats' KV cache.
const (
	kvHandoffPolicy = "kv-handoff"
	noHandoffPolicy = "no-handoff"
)

func init() {
	Register(Scenario{
		Name:     "withdrawal",
		Summary:  "engines withdrawn by settings and by VM list, and routers stopped, under load: cut requests, late work, cache reuse of moved chats",
		Policies: []string{kvHandoffPolicy, noHandoffPolicy},
		Run:      runWithdrawal,
	})
}

// The load, the timing and the KV handoff rate of one run.
const (
	withdrawalChats            = 160
	withdrawalTurns            = 2
	withdrawalWarmUp           = time.Second
	withdrawalPollInterval     = 20 * time.Millisecond
	withdrawalTimeout          = 20 * time.Second
	withdrawalKVBytesPerSecond = 4 << 20
	withdrawalSettleTime       = 500 * time.Millisecond
)

// withdrawalFigures holds the figures of one policy.
type withdrawalFigures struct {
	// Cut counts requests whose answer was neither correct nor a not-run outcome.
	Cut int64 `json:"cut"`
	// LateWorkMS is the longest time between the announcement of an engine's
	// withdrawal and the last request that it accepted.
	LateWorkMS float64 `json:"late_work_ms"`
	// EmptiedMS is the duration of the slowest withdrawal.
	EmptiedMS float64 `json:"emptied_ms"`
	// ReuseBefore and ReuseAfter are the share of prompt tokens found in a cache,
	// for the chats of the withdrawn engines. The bounds are the share of prompt
	// tokens that an engine had processed or generated before.
	ReuseBefore float64 `json:"reuse_before"`
	ReuseAfter  float64 `json:"reuse_after"`
	BoundBefore float64 `json:"reuse_before_bound"`
	BoundAfter  float64 `json:"reuse_after_bound"`
	// ReuseKept is ReuseAfter divided by ReuseBefore, each taken as a share of its
	// bound, because prompts grow from one turn to the next.
	ReuseKept           float64 `json:"reuse_kept"`
	ChatsOnEngines      int     `json:"chats_of_the_engines"`
	ChatsMoved          int     `json:"chats_moved"`
	ChatMovesFailed     int     `json:"chats_move_failed"`
	KVBytes             int64   `json:"kv_bytes"`
	RoutersStopped      int     `json:"routers_stopped"`
	RouterStopMS        float64 `json:"router_stop_ms"`
	Requests            int64   `json:"requests"`
	Correct             int64   `json:"whole_answers"`
	Refused             int64   `json:"refused_not_run"`
	DuplicateExecutions int     `json:"ran_twice"`
}

func runWithdrawal(ctx context.Context, o Options) (Report, error) {
	var report Report
	for _, policy := range []string{kvHandoffPolicy, noHandoffPolicy} {
		if !o.Includes(policy) {
			continue
		}
		fmt.Fprintf(o.Progress, "%s\n", policy)
		f, err := measureWithdrawal(ctx, o, policy)
		if err != nil {
			return report, fmt.Errorf("%s: %w", policy, err)
		}
		report.Results = append(report.Results, Result{Policy: policy, Figures: f})
	}
	report.Chart = withdrawalChart(report.Results)
	return report, nil
}

func measureWithdrawal(ctx context.Context, o Options, policy string) (withdrawalFigures, error) {
	rate := withdrawalKVBytesPerSecond
	if policy == noHandoffPolicy {
		rate = 0
	}
	e, err := startExperiment(ctx, o, placement.Ragwortpond, document{
		"placement":  document{"load_multiple": reuseLoadMultiple, "reuse_weight": 1},
		"withdrawal": document{"kv_bytes_per_second": rate},
	}, func(c *standin.EngineConfig) { c.TokensPerSecond = 400 })
	if err != nil {
		return withdrawalFigures{}, err
	}
	defer e.close()
	w := &withdrawalRun{experiment: e, seed: o.Seed, announcedAt: map[fleet.TargetID]time.Time{}}
	return w.run(ctx)
}

// withdrawalRun is one run of the scenario under one policy.
type withdrawalRun struct {
	*experiment
	seed    uint64
	figures withdrawalFigures
	chats   []*quietChat
	// announcedAt holds the time at which each engine's withdrawal was announced.
	announcedAt map[fleet.TargetID]time.Time
}

func (w *withdrawalRun) run(ctx context.Context) (withdrawalFigures, error) {
	w.warmUp(ctx)
	ids := []fleet.TargetID{engineName(0), engineName(4)}
	w.figures.ReuseBefore, w.figures.BoundBefore = w.continueChats(ctx, ids)
	load := w.startLoad(ctx)
	_ = sleep.For(ctx, withdrawalWarmUp)
	err := w.withdraw(ctx, ids)
	load.stop()
	if err != nil {
		return w.figures, err
	}
	_ = sleep.For(ctx, withdrawalSettleTime)
	w.figures.ReuseAfter, w.figures.BoundAfter = w.continueChats(ctx, ids)
	w.figures.ReuseKept = ratio(ratio(w.figures.ReuseAfter, w.figures.BoundAfter),
		ratio(w.figures.ReuseBefore, w.figures.BoundBefore))
	load = w.startLoad(ctx)
	err = w.stopRouters(ctx)
	load.stop()
	w.addTotals()
	return w.figures, err
}

func (w *withdrawalRun) startLoad(ctx context.Context) *loadGenerator {
	return startLoadGenerator(ctx, w.testbed, w.client, w.stats, loadConfig{
		account: surgeAccount, service: chatService, users: 40, chatsPerUser: 2, thinkTime: 150 * time.Millisecond,
		messageTokens: 20, maxAnswerTokens: 40, contextTokenShare: 0.5, maxTurns: 20, seed: w.seed,
	})
}

// withdraw announces the withdrawal of the engines, one in the settings and one in
// the platform's VM list, waits until they are empty and stops them.
func (w *withdrawalRun) withdraw(ctx context.Context, ids []fleet.TargetID) error {
	start := time.Now()
	if _, err := w.testbed.UpdateDocument(ctx, settings.KindTargets, string(ids[0]), func(doc map[string]any) {
		doc["state"] = fleet.Leaving
	}); err != nil {
		return err
	}
	w.announcedAt[ids[0]] = time.Now()
	w.testbed.SetVM(objectapi.VM{Name: string(ids[1]), Domain: domainName(4), State: fleet.Leaving})
	w.announcedAt[ids[1]] = time.Now()
	for _, id := range ids {
		s, err := w.waitUntilEmpty(ctx, id)
		if err != nil {
			return err
		}
		w.figures.ChatsMoved += s.Moved
		w.figures.ChatMovesFailed += s.Failed
		w.figures.KVBytes += s.Bytes
		w.figures.EmptiedMS = max(w.figures.EmptiedMS, milliseconds(time.Since(start)))
		w.recordLateWork(id)
		if err := w.testbed.Engine(id).Close(); err != nil {
			return err
		}
	}
	return nil
}

// waitUntilEmpty waits until a router reports the target's withdrawal in phase
// empty. It returns an error after withdrawalTimeout.
func (w *withdrawalRun) waitUntilEmpty(ctx context.Context, id fleet.TargetID) (withdrawal.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, withdrawalTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, m := range runningRouters(w.testbed) {
			for _, s := range m.Router.WithdrawalStatuses() {
				if s.Target == id && s.Phase == withdrawal.Empty {
					return s.Status, nil
				}
			}
		}
		_ = sleep.For(ctx, withdrawalPollInterval)
	}
	return withdrawal.Status{}, fmt.Errorf("withdrawal of %s did not reach phase empty: %w", id, ctx.Err())
}

// recordLateWork records how long after its announcement an engine last accepted a
// request.
func (w *withdrawalRun) recordLateWork(id fleet.TargetID) {
	last := w.testbed.Engine(id).Stats().LastAccepted
	w.figures.LateWorkMS = max(w.figures.LateWorkMS, milliseconds(last.Sub(w.announcedAt[id])))
}

// stopRouters stops one router of each failure domain, one after another.
func (w *withdrawalRun) stopRouters(ctx context.Context) error {
	for i, m := range w.testbed.Routers() {
		if i%fleetRoutersPerDomain != 0 {
			continue
		}
		_ = sleep.For(ctx, withdrawalSettleTime)
		start := time.Now()
		if err := m.Stop(ctx); err != nil {
			return err
		}
		w.figures.RoutersStopped++
		w.figures.RouterStopMS = math.Max(w.figures.RouterStopMS, milliseconds(time.Since(start)))
	}
	return nil
}

func (w *withdrawalRun) addTotals() {
	stats := w.stats
	w.figures.Cut += stats.incorrect.Load() + stats.lost.Load()
	w.figures.Requests += stats.requests.Load()
	w.figures.Correct += stats.correct.Load()
	w.figures.Refused += stats.refused.Load()
	w.figures.DuplicateExecutions = w.duplicateExecutions()
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func withdrawalChart(results []Result) *Chart {
	before, after := Group{Label: "reuse of the engines' chats before"}, Group{Label: "reuse of the engines' chats after"}
	for _, r := range results {
		f := r.Figures.(withdrawalFigures)
		before.Bars = append(before.Bars, Bar{Label: r.Policy, Value: f.ReuseBefore})
		after.Bars = append(after.Bars, Bar{Label: r.Policy, Value: f.ReuseAfter})
	}
	return &Chart{Title: "Withdrawal of two engines", Groups: []Group{before, after}}
}

// quietChat is a chat that continues only between the phases of a run, with the
// engine that answered it last.
type quietChat struct {
	chat   *testbed.Chat
	engine fleet.TargetID
}
