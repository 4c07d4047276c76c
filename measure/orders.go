package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"ragwortpond.example/ragwortpond/examples"
	"ragwortpond.example/ragwortpond/measure/testbed"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/router/orders"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/sleep"
	"ragwortpond.example/ragwortpond/standin"
)

// The ways of recording orders that the scenario compares: in the batched journal
// of the routers, or with one platform object per order.
const (
	OrdersBatched = "batched"
	OrdersSingle  = "one-object"
)

const (
	ordersWritesPerSecond = 300
	ordersReadsPerSecond  = 2_000
	ordersPhaseDuration   = 3 * time.Second
	ordersFaultDuration   = 4 * time.Second
	ordersFaultPhaseRate  = 50
	ordersSettleTimeout   = 4 * time.Second
)

var orderRates = []int{1, 50, 500}

func init() {
	Register(Scenario{
		Name: "orders",
		Summary: "orders with idempotency keys at 1, 50 and 500 per second and under faults, " +
			"on a platform that grants 300 writes per second",
		Policies: []string{OrdersBatched, OrdersSingle},
		Run:      runOrders,
	})
}

// OrdersFigures holds the figures of one way of recording orders.
type OrdersFigures struct {
	// The following count orders over all phases. DuplicateExecutions: executed
	// more than once. FalseNotRun: executed although every send was answered with
	// not-run. Lost: answered with completed but not executed, or never answered.
	DuplicateExecutions int `json:"ran_twice"`
	FalseNotRun         int `json:"false_not_run"`
	Lost                int `json:"lost"`
	// The following are by orders per second. WritesPerSecond is the rate of writes
	// that the platform granted. AddedP50MS and AddedP99MS are the time that the
	// journal takes to grant the execution of an order.
	WritesPerSecond map[string]float64 `json:"writes_per_second"`
	AddedP50MS      map[string]float64 `json:"added_p50_ms"`
	AddedP99MS      map[string]float64 `json:"added_p99_ms"`
	Phases          []OrdersPhase      `json:"phases"`
}

// OrdersPhase holds the figures of one phase with a constant rate of orders.
type OrdersPhase struct {
	Name            string `json:"name"`
	OrdersPerSecond int    `json:"orders_per_second"`
	Orders          int    `json:"orders"`
	Completed       int    `json:"completed"`
	NotRun          int    `json:"not_run"`
	Unknown         int    `json:"unknown"`
	// NotRunSends counts sends that were answered with not-run, after which the
	// caller sends the order again.
	NotRunSends     int     `json:"not_run_sendings"`
	WritesPerSecond float64 `json:"writes_per_second"`
	WritesPerOrder  float64 `json:"writes_per_order"`
	RefusedWrites   uint64  `json:"refused_writes"`
	AddedP50MS      float64 `json:"added_p50_ms"`
	AddedP99MS      float64 `json:"added_p99_ms"`
}

func runOrders(ctx context.Context, o Options) (Report, error) {
	var report Report
	for _, policy := range []string{OrdersBatched, OrdersSingle} {
		if !o.Includes(policy) {
			continue
		}
		fmt.Fprintf(o.Progress, "orders: %s\n", policy)
		figures, err := measureOrders(ctx, o, policy)
		if err != nil {
			return report, fmt.Errorf("orders: %s: %w", policy, err)
		}
		report.Results = append(report.Results, Result{Policy: policy, Figures: figures})
	}
	report.Chart = ordersChart(report.Results)
	return report, nil
}

func measureOrders(ctx context.Context, o Options, policy string) (*OrdersFigures, error) {
	dir, err := examples.Deployment(examples.TochaViva)
	if err != nil {
		return nil, err
	}
	objects, findings := settings.LoadFS(dir)
	if len(findings) > 0 {
		return nil, findings
	}
	if err := removeAccountLimits(objects); err != nil {
		return nil, err
	}
	durations := &beginTimes{}
	b, err := testbed.Start(ctx, testbed.Config{
		Objects: objects, RoutersPerDomain: fleetRoutersPerDomain, Seed: o.Seed, Log: o.Log,
		Platform: standin.PlatformConfig{Seed: o.Seed},
		WrapJournal: func(own orders.Journal, store objectapi.Store) orders.Journal {
			if policy == OrdersSingle {
				own = &singleJournal{store: store}
			}
			return &timedJournal{Journal: own, beginTimes: durations}
		},
	})
	if err != nil {
		return nil, err
	}
	defer b.Close()
	b.Platform.SetRates(ordersWritesPerSecond, ordersReadsPerSecond)
	generator := newOrderGenerator(b, o.Seed, durations)
	defer generator.client.Close()
	return generator.runPhases(ctx, o)
}

// removeAccountLimits removes the settings from the documents of client accounts,
// so that account limits do not reject an order before it reaches the journal.
func removeAccountLimits(objects []objectapi.Object) error {
	for i, o := range objects {
		if o.Kind != settings.KindAccounts {
			continue
		}
		var doc map[string]any
		if err := json.Unmarshal(o.Data, &doc); err != nil {
			return err
		}
		delete(doc, "settings")
		data, err := json.Marshal(doc)
		if err != nil {
			return err
		}
		objects[i].Data = data
	}
	return nil
}

// runPhases runs all phases and counts the orders whose answers contradict what
// the services executed.
func (g *orderGenerator) runPhases(ctx context.Context, o Options) (*OrdersFigures, error) {
	figures := &OrdersFigures{
		WritesPerSecond: map[string]float64{}, AddedP50MS: map[string]float64{}, AddedP99MS: map[string]float64{},
	}
	for _, rate := range orderRates {
		phase := g.runPhase(ctx, "steady", rate, ordersPhaseDuration)
		fmt.Fprintf(o.Progress, "  %d orders/s: %.1f writes/s\n", rate, phase.WritesPerSecond)
		key := fmt.Sprint(rate)
		figures.WritesPerSecond[key] = phase.WritesPerSecond
		figures.AddedP50MS[key] = phase.AddedP50MS
		figures.AddedP99MS[key] = phase.AddedP99MS
		figures.Phases = append(figures.Phases, phase)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.injectFaults(ctx)
	}()
	figures.Phases = append(figures.Phases, g.runPhase(ctx, "faults", ordersFaultPhaseRate, ordersFaultDuration))
	<-done
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	figures.DuplicateExecutions, figures.FalseNotRun, figures.Lost = g.countViolations()
	return figures, nil
}

// injectFaults injects a sequence of platform faults and kills a router during a
// fault phase, then clears the platform faults.
func (g *orderGenerator) injectFaults(ctx context.Context) {
	stepInterval := ordersFaultDuration / 8
	steps := []func(){
		func() { g.testbed.Platform.SetFaults(standin.Faults{DropResponses: 20}) },
		func() { g.testbed.Platform.SetFaults(standin.Faults{Outage: true}) },
		func() {
			g.testbed.Platform.SetFaults(standin.Faults{DropResponses: 5, DropWrites: 5, ResponseDelayMS: 30})
		},
		func() { g.killRouter(1) },
		func() { g.testbed.Platform.SetFaults(standin.Faults{RequestDelayMS: 60, ResponseDelayMS: 60}) },
		func() { g.testbed.Platform.SetFaults(standin.Faults{}) },
	}
	for _, applyStep := range steps {
		if sleep.For(ctx, stepInterval) != nil {
			break
		}
		applyStep()
	}
	g.testbed.Platform.SetFaults(standin.Faults{})
}

func ordersChart(results []Result) *Chart {
	chart := &Chart{Title: "Orders: writes per second, and added latency"}
	for _, rate := range orderRates {
		key := fmt.Sprint(rate)
		writes := Group{Label: key + " orders per second: writes per second"}
		added := Group{Label: key + " orders per second: added latency, p99 in ms"}
		for _, r := range results {
			f := r.Figures.(*OrdersFigures)
			writes.Bars = append(writes.Bars, Bar{Label: r.Policy, Value: f.WritesPerSecond[key]})
			added.Bars = append(added.Bars, Bar{Label: r.Policy, Value: f.AddedP99MS[key]})
		}
		chart.Groups = append(chart.Groups, writes, added)
	}
	return chart
}
