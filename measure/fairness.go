package measure

import (
	"context"
	"fmt"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/measure/bed"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/sleep"
	"ragwortpond.example/ragwortpond/standin"
)

func init() {
	Register(Scenario{
		Name:     "fairness",
		Summary:  "waits of quiet accounts while another surges tenfold",
		Policies: []string{fairQueue, limitedQueue, arrivalQueue},
		Run:      runFairness,
	})
}

// The queues that are compared. In limitedQueue the surging account also has a
// limit of concurrency, of twice its users before the surge. In arrivalQueue
// all users share one client account, so the fair queue goes by arrival.
const (
	fairQueue    = "fair"
	limitedQueue = "fair-with-limit"
	arrivalQueue = "first-come-first-served"
)

const (
	fairnessWarm    = 1500 * time.Millisecond
	fairnessWindow  = 4 * time.Second
	fairnessSlots   = 4
	fairnessRouters = 2
	quietUsers      = 30
	steadyUsers     = 10
	surgeTimes      = 10
)

// fairnessFigures compare the quiet users' time to the first byte before and
// during the surge.
type fairnessFigures struct {
	QuietBefore    float64 `json:"quiet_first_byte_p50_ms_before"`
	QuietDuring    float64 `json:"quiet_first_byte_p50_ms_during"`
	QuietGrowth    float64 `json:"quiet_first_byte_p50_growth"`
	QuietP95Before float64 `json:"quiet_first_byte_p95_ms_before"`
	QuietP95During float64 `json:"quiet_first_byte_p95_ms_during"`
	SurgeDuring    float64 `json:"surging_first_byte_p50_ms_during"`
	QuietAnswers   int     `json:"quiet_answers_during"`
	SurgeAnswers   int     `json:"surging_answers_during"`
	QuietRefused   int64   `json:"quiet_refused_not_run"`
	SurgeRefused   int64   `json:"surging_refused_not_run"`
	Lost           int64   `json:"lost"`
	Wrong          int64   `json:"wrong_answers"`
	Surge          int     `json:"surge_times"`
	TargetInFlight int     `json:"target_in_flight"`
	QuietWeight    float64 `json:"quiet_weight"`
}

func runFairness(ctx context.Context, o Options) (Report, error) {
	var report Report
	report.Chart = &Chart{Title: "Median time to the first byte of quiet users, ms"}
	for _, policy := range []string{fairQueue, limitedQueue, arrivalQueue} {
		if !o.Wants(policy) {
			continue
		}
		fmt.Fprintf(o.Progress, "queue %s\n", policy)
		f, err := fairnessOf(ctx, o, policy)
		if err != nil {
			return report, err
		}
		report.Results = append(report.Results, Result{Policy: policy, Figures: f})
		report.Chart.Groups = append(report.Chart.Groups, Group{Label: policy, Bars: []Bar{
			{"before the surge", f.QuietBefore}, {"during the surge", f.QuietDuring},
		}})
	}
	return report, nil
}

func fairnessOf(ctx context.Context, o Options, policy string) (fairnessFigures, error) {
	f := fairnessFigures{Surge: surgeTimes, TargetInFlight: fairnessSlots, QuietWeight: 1}
	b, err := bed.Start(ctx, bed.Config{
		Objects:          fairnessObjects(policy),
		RoutersPerDomain: fairnessRouters, Seed: o.Seed, Log: o.Log,
		Engine: func(c *standin.EngineConfig) { c.TokensPerSecond, c.Slots = 40, fairnessSlots },
	})
	if err != nil {
		return f, err
	}
	defer b.Close()
	client := b.NewClient()
	defer client.Close()
	quiet, loud := newTally(), newTally()
	loudAccount := surgeAccount
	if policy == arrivalQueue {
		loudAccount = quietAccount
	}
	users := startCrowd(ctx, b, client, quiet, fairnessCrowd(quietAccount, quietUsers, o.Seed))
	defer users.stop()
	steady := startCrowd(ctx, b, client, loud, fairnessCrowd(loudAccount, steadyUsers, o.Seed+1))
	defer steady.stop()
	f.QuietBefore, f.QuietP95Before, _ = watchWaits(ctx, quiet)
	surge := startCrowd(ctx, b, client, loud, fairnessCrowd(loudAccount, steadyUsers*(surgeTimes-1), o.Seed+2))
	defer surge.stop()
	loud.restart()
	f.QuietDuring, f.QuietP95During, f.QuietAnswers = watchWaits(ctx, quiet)
	f.SurgeDuring, _, f.SurgeAnswers = loud.waits()
	f.QuietGrowth = ratio(f.QuietDuring, f.QuietBefore) - 1
	f.QuietRefused, f.SurgeRefused = quiet.refused.Load(), loud.refused.Load()
	f.Lost, f.Wrong = quiet.lost.Load()+loud.lost.Load(), quiet.wrong.Load()+loud.wrong.Load()
	return f, nil
}

func fairnessObjects(policy string) []objectapi.Object {
	objects := chatFleet(document{"queue": document{
		"target_in_flight": fairnessSlots, "wait_ms": 20_000, "length": 1000,
	}})
	if policy != limitedQueue {
		return objects
	}
	for i, o := range objects {
		if o.Kind == settings.KindAccounts && o.Name == string(surgeAccount) {
			limit := document{"limits": document{"concurrency": 2 * steadyUsers}}
			objects[i] = object(o.Kind, o.Name, document{"key_hashes": []string{}, "settings": limit})
		}
	}
	return objects
}

func fairnessCrowd(account fleet.AccountName, users int, seed uint64) crowdConfig {
	return crowdConfig{
		account: account, service: chatService, users: users, chats: 1, think: 500 * time.Millisecond,
		sayTokens: 20, answerTokens: 24, tokenShare: 0.5, renewAfter: 5, seed: seed,
	}
}

// watchWaits returns the median and the 95th percentile of the times to the
// first byte over a window after a warm-up, and their number.
func watchWaits(ctx context.Context, t *tally) (p50, p95 float64, n int) {
	_ = sleep.For(ctx, fairnessWarm)
	t.restart()
	_ = sleep.For(ctx, fairnessWindow)
	return t.waits()
}

func (t *tally) waits() (p50, p95 float64, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return quantile(t.firstMS, 0.5), quantile(t.firstMS, 0.95), len(t.firstMS)
}
