package measure

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"
)

// Policies of the settings scenario: the default number of watchers per failure
// domain, or a watch by every router.
const (
	policyRagwortpond    = "ragwortpond"
	policyWatchPerRouter = "watch-each"
)

const (
	settingsSteadyChanges  = 30
	settingsChurnChanges   = 20
	settingsChangeInterval = 80 * time.Millisecond
	maxInForceWait         = 13 * time.Second
	// settingsChurnRouters is the fleet size of the run with router restarts and
	// a platform outage.
	settingsChurnRouters = 24
)

var settingsFleetSizes = []int{6, 24, 96}

func init() {
	Register(Scenario{
		Name:     "settings",
		Summary:  "time until a change is in force on every router, reverts, and object API calls per change",
		Policies: []string{policyRagwortpond, policyWatchPerRouter},
		Run:      runSettings,
	})
}

// settingsFigures holds the figures of one policy. Maps are by number of routers.
type settingsFigures struct {
	// InForceP99MS is the maximum over the fleet sizes of the 99th percentile of
	// the time from the platform's acceptance of a change until it is in force on
	// the last router.
	InForceP99MS           float64            `json:"in_force_p99_ms"`
	InForceP99ByRouters    map[string]float64 `json:"in_force_p99_ms_by_routers"`
	InForceMedianByRouters map[string]float64 `json:"in_force_median_ms_by_routers"`
	// StoreCallsPerChange counts the routers' reads of the object API. The
	// operator's write is not included.
	StoreCallsPerChange map[string]float64 `json:"store_calls_per_change"`
	// ControlBytesPerChange is the average number of control bytes that one router
	// sends per change, including digests.
	ControlBytesPerChange map[string]float64 `json:"control_bytes_per_router_change"`
	// ChurnP99MS and StaleStarts belong to the run with router restarts and a
	// platform outage. ChurnP99MS is the time to the last live router; StaleStarts
	// counts routers that became ready without a change that was in force on all
	// others.
	ChurnP99MS  float64 `json:"churn_in_force_p99_ms"`
	StaleStarts int     `json:"late_starts"`
	Restarts    int     `json:"restarts"`
	// Reverts counts, over all runs, snapshots that undid a change that was in
	// force.
	Reverts int `json:"reverts"`
	Changes int `json:"changes"`
	// NotInForce counts changes that were not in force on every live router after
	// 13 s.
	NotInForce int `json:"not_in_force"`
}

func runSettings(ctx context.Context, o Options) (Report, error) {
	var report Report
	for _, policy := range []string{policyRagwortpond, policyWatchPerRouter} {
		if !o.Includes(policy) {
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
		InForceP99ByRouters: map[string]float64{}, InForceMedianByRouters: map[string]float64{},
		StoreCallsPerChange: map[string]float64{}, ControlBytesPerChange: map[string]float64{},
	}
	for _, size := range settingsFleetSizes {
		fmt.Fprintf(o.Progress, "%s: %d routers\n", policy, size)
		if err := f.measureSteady(ctx, o, policy, size); err != nil {
			return f, err
		}
	}
	fmt.Fprintf(o.Progress, "%s: %d routers under churn\n", policy, settingsChurnRouters)
	return f, f.measureChurn(ctx, o, policy)
}

// measureSteady measures changes in a fleet without failures.
func (f *settingsFigures) measureSteady(ctx context.Context, o Options, policy string, size int) error {
	s, err := startSettingsFleet(ctx, o, policy, size)
	if err != nil {
		return err
	}
	defer s.close()
	readsBefore, bytesBefore := s.storeReads(), s.controlBytes()
	durations, err := s.applyChanges(ctx, settingsSteadyChanges, nil)
	if err != nil {
		return err
	}
	key := strconv.Itoa(size)
	f.StoreCallsPerChange[key] = float64(s.storeReads()-readsBefore) / settingsSteadyChanges
	f.ControlBytesPerChange[key] = math.Round((s.controlBytes() - bytesBefore) / float64(size) / settingsSteadyChanges)
	f.InForceP99ByRouters[key] = quantileMS(durations, 0.99)
	f.InForceMedianByRouters[key] = quantileMS(durations, 0.5)
	f.InForceP99MS = max(f.InForceP99MS, f.InForceP99ByRouters[key])
	f.addRun(s, durations)
	return nil
}

// measureChurn measures changes while routers restart and after a platform outage
// during which a whole failure domain restarts.
func (f *settingsFigures) measureChurn(ctx context.Context, o Options, policy string) error {
	s, err := startSettingsFleet(ctx, o, policy, settingsChurnRouters)
	if err != nil {
		return err
	}
	defer s.close()
	durations, err := s.applyChanges(ctx, settingsChurnChanges, s.injectFaults)
	if err != nil {
		return err
	}
	f.ChurnP99MS = quantileMS(durations, 0.99)
	f.StaleStarts, f.Restarts = s.staleStarts, s.restarts
	f.addRun(s, durations)
	return nil
}

func (f *settingsFigures) addRun(s *settingsFleet, durations []time.Duration) {
	f.Reverts += s.countReverts()
	f.Changes += len(durations)
	for _, d := range durations {
		if d >= maxInForceWait {
			f.NotInForce++
		}
	}
}

// quantileMS returns a quantile in milliseconds, rounded to tenths, and 0 for no
// durations.
func quantileMS(durations []time.Duration, q float64) float64 {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	index := int(math.Ceil(q*float64(len(sorted)))) - 1
	ms := float64(sorted[max(index, 0)]) / float64(time.Millisecond)
	return math.Round(ms*10) / 10
}
