package measure

import (
	"context"
	"fmt"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/measure/testbed"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/sleep"
	"ragwortpond.example/ragwortpond/standin"
)

func init() {
	Register(Scenario{
		Name:     "fairness",
		Summary:  "wait times of a quiet account while the load of another grows tenfold",
		Policies: []string{fairQueue, limitedQueue, arrivalQueue},
		Run:      runFairness,
	})
}

// The queues that are compared. In limitedQueue the surging account also has a
// concurrency limit of twice its users before the surge. In arrivalQueue all
// users share one client account, so the fair queue serves in order of arrival.
const (
	fairQueue    = "fair"
	limitedQueue = "fair-with-limit"
	arrivalQueue = "first-come-first-served"
)

const (
	fairnessWarmUp     = 1500 * time.Millisecond
	fairnessWindow     = 4 * time.Second
	fairnessSlots      = 4
	fairnessRouters    = 2
	fairnessQuietUsers = 30
	fairnessBaseUsers  = 10
	surgeFactor        = 10
)

// fairnessFigures compares the time to the first byte of the quiet users before
// and during the surge.
type fairnessFigures struct {
	QuietP50Before float64 `json:"quiet_first_byte_p50_ms_before"`
	QuietP50During float64 `json:"quiet_first_byte_p50_ms_during"`
	QuietP50Growth float64 `json:"quiet_first_byte_p50_growth"`
	QuietP95Before float64 `json:"quiet_first_byte_p95_ms_before"`
	QuietP95During float64 `json:"quiet_first_byte_p95_ms_during"`
	SurgeP50During float64 `json:"surging_first_byte_p50_ms_during"`
	QuietAnswers   int     `json:"quiet_answers_during"`
	SurgeAnswers   int     `json:"surging_answers_during"`
	QuietRefused   int64   `json:"quiet_refused_not_run"`
	SurgeRefused   int64   `json:"surging_refused_not_run"`
	Lost           int64   `json:"lost"`
	Incorrect      int64   `json:"wrong_answers"`
	SurgeFactor    int     `json:"surge_times"`
	TargetInFlight int     `json:"target_in_flight"`
	QuietWeight    float64 `json:"quiet_weight"`
}

func runFairness(ctx context.Context, o Options) (Report, error) {
	var report Report
	report.Chart = &Chart{Title: "Median time to the first byte of quiet users, ms"}
	for _, policy := range []string{fairQueue, limitedQueue, arrivalQueue} {
		if !o.Includes(policy) {
			continue
		}
		fmt.Fprintf(o.Progress, "queue %s\n", policy)
		f, err := measureFairness(ctx, o, policy)
		if err != nil {
			return report, err
		}
		report.Results = append(report.Results, Result{Policy: policy, Figures: f})
		report.Chart.Groups = append(report.Chart.Groups, Group{Label: policy, Bars: []Bar{
			{"before the surge", f.QuietP50Before}, {"during the surge", f.QuietP50During},
		}})
	}
	return report, nil
}

func measureFairness(ctx context.Context, o Options, policy string) (fairnessFigures, error) {
	f := fairnessFigures{SurgeFactor: surgeFactor, TargetInFlight: fairnessSlots, QuietWeight: 1}
	b, err := testbed.Start(ctx, testbed.Config{
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
	quiet, surging := newLoadStats(), newLoadStats()
	surgingAccount := surgeAccount
	if policy == arrivalQueue {
		surgingAccount = quietAccount
	}
	quietLoad := startLoadGenerator(ctx, b, client, quiet, fairnessLoad(quietAccount, fairnessQuietUsers, o.Seed))
	defer quietLoad.stop()
	baseLoad := startLoadGenerator(ctx, b, client, surging, fairnessLoad(surgingAccount, fairnessBaseUsers, o.Seed+1))
	defer baseLoad.stop()
	f.QuietP50Before, f.QuietP95Before, _ = measureFirstByte(ctx, quiet)
	surgeLoad := startLoadGenerator(ctx, b, client, surging, fairnessLoad(surgingAccount, fairnessBaseUsers*(surgeFactor-1), o.Seed+2))
	defer surgeLoad.stop()
	surging.resetFirstByte()
	f.QuietP50During, f.QuietP95During, f.QuietAnswers = measureFirstByte(ctx, quiet)
	f.SurgeP50During, _, f.SurgeAnswers = surging.firstByteQuantiles()
	f.QuietP50Growth = ratio(f.QuietP50During, f.QuietP50Before) - 1
	f.QuietRefused, f.SurgeRefused = quiet.refused.Load(), surging.refused.Load()
	f.Lost, f.Incorrect = quiet.lost.Load()+surging.lost.Load(), quiet.incorrect.Load()+surging.incorrect.Load()
	return f, nil
}

func fairnessObjects(policy string) []objectapi.Object {
	objects := chatFleetObjects(document{"queue": document{
		"target_in_flight": fairnessSlots, "wait_ms": 20_000, "length": 1000,
	}})
	if policy != limitedQueue {
		return objects
	}
	for i, o := range objects {
		if o.Kind == settings.KindAccounts && o.Name == string(surgeAccount) {
			limit := document{"limits": document{"concurrency": 2 * fairnessBaseUsers}}
			objects[i] = newObject(o.Kind, o.Name, document{"key_hashes": []string{}, "settings": limit})
		}
	}
	return objects
}

func fairnessLoad(account fleet.AccountName, users int, seed uint64) loadConfig {
	return loadConfig{
		account: account, service: chatService, users: users, chatsPerUser: 1, thinkTime: 500 * time.Millisecond,
		messageTokens: 20, maxAnswerTokens: 24, contextTokenShare: 0.5, maxTurns: 5, seed: seed,
	}
}

// measureFirstByte waits for a warm-up, then measures the time to the first byte
// over a window. It returns the median and the 95th percentile in milliseconds and
// the number of answers.
func measureFirstByte(ctx context.Context, stats *loadStats) (p50, p95 float64, n int) {
	_ = sleep.For(ctx, fairnessWarmUp)
	stats.resetFirstByte()
	_ = sleep.For(ctx, fairnessWindow)
	return stats.firstByteQuantiles()
}

func (s *loadStats) firstByteQuantiles() (p50, p95 float64, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return quantile(s.firstByteMS, 0.5), quantile(s.firstByteMS, 0.95), len(s.firstByteMS)
}
