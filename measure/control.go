package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/sleep"
)

func init() {
	Register(Scenario{
		Name:     "control",
		Summary:  "control traffic per router, by number of routers and targets",
		Policies: []string{"ragwortpond"},
		Run:      runControl,
	})
}

const (
	controlWarmUp         = 6 * time.Second
	controlWindow         = 4 * time.Second
	controlChangeInterval = time.Second
	directionSent         = "sent"
)

// controlRun holds the figures of one fleet size. Byte figures count sent bytes
// per router and second.
type controlRun struct {
	controlSize
	// ControlBytes counts control messages before QUIC; ByMethod splits it by
	// method.
	ControlBytes float64            `json:"control_bytes_per_router_second"`
	ByMethod     map[string]float64 `json:"by_method"`
	// WireBytes counts all UDP payloads: messages, QUIC's own frames and the
	// overhead of encryption.
	WireBytes float64 `json:"wire_bytes_per_router_second"`
	// CoreShare is the CPU time of the whole process per router, as a share of one
	// core.
	CoreShare  float64 `json:"core_share_per_router"`
	StoreCalls float64 `json:"store_calls_per_second"`
	// HeapBytes is the heap in use of the whole process, divided by the number of
	// routers.
	HeapBytes float64 `json:"heap_bytes_per_router"`
}

// controlFigures holds the runs and the slopes between the smallest and the
// largest run.
type controlFigures struct {
	ControlBytes             map[string]float64 `json:"control_bytes_per_router_second"`
	WireBytes                map[string]float64 `json:"wire_bytes_per_router_second"`
	BytesPerAddedRouter      float64            `json:"bytes_per_added_router"`
	BytesPerAddedTarget      float64            `json:"bytes_per_added_target"`
	StoreCallsPerAddedRouter float64            `json:"store_calls_per_second_per_added_router"`
	SettingsChangesPerSecond float64            `json:"settings_changes_per_second"`
	LoadChangesPerSecond     float64            `json:"load_changes_per_home_second"`
	RunsByRouters            []controlRun       `json:"runs_by_routers"`
	RunsByTargets            []controlRun       `json:"runs_by_targets"`
	UDPHeaderBytes           int                `json:"udp_ip_header_bytes_not_counted"`
	MeasuredSeconds          float64            `json:"measured_seconds_per_run"`
}

const udpHeaderBytes = 28

var (
	sizesByRouters = []controlSize{{6, 12, 2}, {24, 12, 2}, {96, 12, 2}}
	sizesByTargets = []controlSize{{24, 300, 2}}
)

func runControl(ctx context.Context, o Options) (Report, error) {
	figures := controlFigures{
		ControlBytes: map[string]float64{}, WireBytes: map[string]float64{}, UDPHeaderBytes: udpHeaderBytes,
		SettingsChangesPerSecond: 1 / controlChangeInterval.Seconds(), LoadChangesPerSecond: 1 / loadChangeInterval.Seconds(),
		MeasuredSeconds: controlWindow.Seconds(),
	}
	for _, size := range sizesByRouters {
		run, err := measureControl(ctx, o, size)
		if err != nil {
			return Report{}, err
		}
		key := fmt.Sprint(size.Routers)
		figures.ControlBytes[key], figures.WireBytes[key] = run.ControlBytes, run.WireBytes
		figures.RunsByRouters = append(figures.RunsByRouters, run)
	}
	figures.RunsByTargets = append(figures.RunsByTargets, figures.RunsByRouters[1])
	for _, size := range sizesByTargets {
		run, err := measureControl(ctx, o, size)
		if err != nil {
			return Report{}, err
		}
		figures.RunsByTargets = append(figures.RunsByTargets, run)
	}
	figures.computeSlopes()
	return Report{
		Results: []Result{{Policy: "ragwortpond", Figures: figures}},
		Chart:   controlChart(figures),
	}, nil
}

func (f *controlFigures) computeSlopes() {
	first, last := f.RunsByRouters[0], f.RunsByRouters[len(f.RunsByRouters)-1]
	addedRouters := float64(last.Routers - first.Routers)
	f.BytesPerAddedRouter = (last.ControlBytes - first.ControlBytes) / addedRouters
	f.StoreCallsPerAddedRouter = (last.StoreCalls - first.StoreCalls) / addedRouters
	fewestTargets, mostTargets := f.RunsByTargets[0], f.RunsByTargets[len(f.RunsByTargets)-1]
	f.BytesPerAddedTarget = (mostTargets.ControlBytes - fewestTargets.ControlBytes) / float64(mostTargets.Targets-fewestTargets.Targets)
}

func controlChart(f controlFigures) *Chart {
	chart := &Chart{Title: "Control bytes sent per router and second"}
	for _, runs := range [][]controlRun{f.RunsByRouters, f.RunsByTargets} {
		group := Group{Label: "control messages, and with QUIC"}
		for _, r := range runs {
			label := fmt.Sprintf("%d routers, %d targets", r.Routers, r.Targets)
			group.Bars = append(group.Bars, Bar{label, r.ControlBytes}, Bar{label + ", QUIC", r.WireBytes})
		}
		chart.Groups = append(chart.Groups, group)
	}
	return chart
}

// controlTotals holds the fleet's counters at one time.
type controlTotals struct {
	at         time.Time
	byMethod   map[string]float64
	wireBytes  uint64
	cpuTime    time.Duration
	storeCalls uint64
}

func measureControl(ctx context.Context, o Options, size controlSize) (controlRun, error) {
	fmt.Fprintf(o.Progress, "%d routers, %d targets\n", size.Routers, size.Targets)
	f, err := startControlFleet(ctx, size, o.Seed, o.Log)
	if err != nil {
		return controlRun{}, err
	}
	defer f.close()
	return f.measure(ctx, size)
}

// measure runs a fleet through its warm-up and then its measurement window. A
// settings change is written every second in both.
func (f *controlFleet) measure(ctx context.Context, size controlSize) (controlRun, error) {
	if err := f.changeSettings(ctx, controlWarmUp); err != nil {
		return controlRun{}, err
	}
	before := f.totals()
	if err := f.changeSettings(ctx, controlWindow); err != nil {
		return controlRun{}, err
	}
	run := controlRates(size, before, f.totals())
	run.HeapBytes = heapInUseBytes() / float64(size.Routers)
	return run, nil
}

func controlRates(size controlSize, before, after controlTotals) controlRun {
	seconds := after.at.Sub(before.at).Seconds()
	routerSeconds := seconds * float64(size.Routers)
	run := controlRun{
		controlSize: size, ByMethod: map[string]float64{},
		WireBytes:  float64(after.wireBytes-before.wireBytes) / routerSeconds,
		CoreShare:  (after.cpuTime - before.cpuTime).Seconds() / routerSeconds,
		StoreCalls: float64(after.storeCalls-before.storeCalls) / seconds,
	}
	for method, bytes := range after.byMethod {
		run.ByMethod[method] = (bytes - before.byMethod[method]) / routerSeconds
		run.ControlBytes += run.ByMethod[method]
	}
	return run
}

func (f *controlFleet) totals() controlTotals {
	t := controlTotals{at: time.Now(), byMethod: map[string]float64{}, cpuTime: processCPUTime()}
	for _, n := range f.nodes {
		t.wireBytes += n.node.SentWireBytes()
		n.addSentBytes(t.byMethod)
	}
	for _, calls := range f.store.Counts() {
		t.storeCalls += calls
	}
	return t
}

// addSentBytes adds the control bytes that the router has sent to byMethod.
func (n *controlNode) addSentBytes(byMethod map[string]float64) {
	families, err := n.metrics.Registry.Gather()
	if err != nil {
		return
	}
	for _, family := range families {
		if family.GetName() != "ragwort_control_bytes_total" {
			continue
		}
		for _, m := range family.GetMetric() {
			labels := map[string]string{}
			for _, l := range m.GetLabel() {
				labels[l.GetName()] = l.GetValue()
			}
			if labels["direction"] == directionSent {
				byMethod[labels["method"]] += m.GetCounter().GetValue()
			}
		}
	}
}

// changeSettings changes a client account every controlChangeInterval for the
// duration d.
func (f *controlFleet) changeSettings(ctx context.Context, d time.Duration) error {
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		o, err := f.store.Get(ctx, settings.KindAccounts, controlAccount)
		if err != nil {
			return err
		}
		data, err := json.Marshal(document{"key_hashes": []string{}, "settings": document{"limits": document{"burst": 50 + i}}})
		if err != nil {
			return err
		}
		if _, err := f.store.Put(ctx, o.Kind, o.Name, data, o.Version); err != nil {
			return err
		}
		_ = sleep.For(ctx, min(controlChangeInterval, time.Until(end)))
	}
	return ctx.Err()
}

// processCPUTime returns the user and system CPU time that the process has used,
// or 0 if it cannot be read.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapInUseBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse)
}
