package measure

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"
)

// Policies of the settings scenario.
const (
	policyRagwortpond = "ragwortpond"
	policyWatchEach   = "watch-each"
)

const (
	settingsSteadyChanges = 30
	settingsChurnChanges  = 20
	settingsChangeEvery   = 80 * time.Millisecond
	settingsWaitAtMost    = 13 * time.Second
	// settingsChurnRouters is the fleet size of the run with restarts and an
	// outage.
	settingsChurnRouters = 24
)

var settingsFleetSizes = []int{6, 24, 96}

func init() {
	Register(Scenario{
		Name:     "settings",
		Summary:  "time until a change is in force on every router, reverts, and calls on the object API a change",
		Policies: []string{policyRagwortpond, policyWatchEach},
		Run:      runSettings,
	})
}

// settingsFigures is what the scenario finds; maps are by number of routers.
type settingsFigures struct {
	// InForceP99MS is the worst of the fleet sizes, from the accepted answer to
	// the last router.
	InForceP99MS float64            `json:"in_force_p99_ms"`
	InForceMS    map[string]float64 `json:"in_force_p99_ms_by_routers"`
	MedianMS     map[string]float64 `json:"in_force_median_ms_by_routers"`
	// StoreCallsPerChange counts reads of routers; the operator's own write is
	// one more.
	StoreCallsPerChange map[string]float64 `json:"store_calls_per_change"`
	// ControlBytesPerChange is sent by one router on average, digests included.
	ControlBytesPerChange map[string]float64 `json:"control_bytes_per_router_change"`
	// ChurnP99MS and LateStarts are of the run with restarts and an outage of
	// the platform: the time to the last live router, and routers that became
	// ready without a change that was in force on all the others.
	ChurnP99MS float64 `json:"churn_in_force_p99_ms"`
	LateStarts int     `json:"late_starts"`
	Restarts   int     `json:"restarts"`
	// Reverts counts snapshots of all runs that took a change back.
	Reverts int `json:"reverts"`
	Changes int `json:"changes"`
	// NotInForce counts changes that some router lacked after 13 s.
	NotInForce int `json:"not_in_force"`
}

func runSettings(ctx context.Context, o Options) (Report, error) {
	var report Report
	for _, policy := range []string{policyRagwortpond, policyWatchEach} {
		if !o.Wants(policy) {
			continue
		}
		figures, err := measureSettings(ctx, o, policy)
		if err != nil {
			return report, err
		}
		report.Results = append(report.Results, Result{Policy: policy, Figures: figures})
	}
	return report, nil
}

func measureSettings(ctx context.Context, o Options, policy string) (settingsFigures, error) {
	f := settingsFigures{
		InForceMS: map[string]float64{}, MedianMS: map[string]float64{},
		StoreCallsPerChange: map[string]float64{}, ControlBytesPerChange: map[string]float64{},
	}
	for _, size := range settingsFleetSizes {
		fmt.Fprintf(o.Progress, "%s: %d routers\n", policy, size)
		if err := f.steady(ctx, o, policy, size); err != nil {
			return f, err
		}
	}
	fmt.Fprintf(o.Progress, "%s: %d routers under churn\n", policy, settingsChurnRouters)
	return f, f.churn(ctx, o, policy)
}

// steady makes changes while nothing fails.
func (f *settingsFigures) steady(ctx context.Context, o Options, policy string, size int) error {
	s, err := startSettingsFleet(ctx, o, policy, size)
	if err != nil {
		return err
	}
	defer s.close()
	calls, bytes := s.storeReads(), s.controlBytes()
	took, err := s.changes(ctx, settingsSteadyChanges, nil)
	if err != nil {
		return err
	}
	name := strconv.Itoa(size)
	f.StoreCallsPerChange[name] = float64(s.storeReads()-calls) / settingsSteadyChanges
	f.ControlBytesPerChange[name] = math.Round((s.controlBytes() - bytes) / float64(size) / settingsSteadyChanges)
	f.InForceMS[name] = quantileMS(took, 0.99)
	f.MedianMS[name] = quantileMS(took, 0.5)
	f.InForceP99MS = max(f.InForceP99MS, f.InForceMS[name])
	f.count(s, took)
	return nil
}

// churn makes changes while routers are restarted and the platform has an
// outage for its readers.
func (f *settingsFigures) churn(ctx context.Context, o Options, policy string) error {
	s, err := startSettingsFleet(ctx, o, policy, settingsChurnRouters)
	if err != nil {
		return err
	}
	defer s.close()
	took, err := s.changes(ctx, settingsChurnChanges, s.disturb)
	if err != nil {
		return err
	}
	f.ChurnP99MS = quantileMS(took, 0.99)
	f.LateStarts, f.Restarts = s.lateStarts, s.restarts
	f.count(s, took)
	return nil
}

func (f *settingsFigures) count(s *settingsFleet, took []time.Duration) {
	f.Reverts += s.reverts()
	f.Changes += len(took)
	for _, d := range took {
		if d >= settingsWaitAtMost {
			f.NotInForce++
		}
	}
}

// quantileMS returns a quantile in milliseconds, rounded to tenths.
func quantileMS(took []time.Duration, q float64) float64 {
	if len(took) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(took))
	at := int(math.Ceil(q*float64(len(sorted)))) - 1
	ms := float64(sorted[max(at, 0)]) / float64(time.Millisecond)
	return math.Round(ms*10) / 10
}
