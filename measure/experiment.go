package measure

import (
	"context"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/measure/bed"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/standin"
)

const fleetRoutersPerDomain = 2

// experiment is one run of the chat fleet under a policy.
type experiment struct {
	bed      *bed.Bed
	client   *bed.Client
	tally    *tally
	balance  *balance
	trace    *contextTrace
	multiple float64

	started         time.Time
	seconds         float64
	watched         balanceFigures
	control         float64
	prompts, cached int
	reusable, asked int64
}

// startExperiment starts the chat fleet; close ends it.
func startExperiment(ctx context.Context, o Options, policy placement.Policy, values document, engine func(*standin.EngineConfig)) (*experiment, error) {
	trace := newContextTrace()
	b, err := bed.Start(ctx, bed.Config{
		EngineClient: trace.wrap,
		Objects:      chatFleet(values), RoutersPerDomain: fleetRoutersPerDomain, Policy: policy,
		Engine: engine, Seed: o.Seed, Log: o.Log,
	})
	if err != nil {
		return nil, err
	}
	multiple := values["placement"].(document)["load_multiple"].(float64)
	return &experiment{bed: b, client: b.NewClient(), tally: newTally(), trace: trace, multiple: multiple}, nil
}

func (e *experiment) close() {
	e.client.Close()
	e.bed.Close()
}

// begin starts the part of the run that is measured.
func (e *experiment) begin() {
	e.started = time.Now()
	e.control = e.bed.ControlBytes()
	e.prompts, e.cached = e.bed.CacheTokens()
	e.reusable, e.asked = e.tally.reusable.Load(), e.tally.promptTokens.Load()
	e.tally.restart()
	e.balance = watchBalance(e.bed, e.multiple)
}

// end ends the part of the run in which balance and control traffic are
// measured.
func (e *experiment) end() {
	e.watched = e.balance.stop()
	e.seconds = time.Since(e.started).Seconds()
	e.control = e.bed.ControlBytes() - e.control
}

// figures returns what was measured. Counts of requests are those of the whole
// run.
func (e *experiment) figures() chatFigures {
	prompts, cached := e.bed.CacheTokens()
	t := e.tally
	f := chatFigures{
		CacheReuse:      ratio(float64(cached-e.cached), float64(prompts-e.prompts)),
		CacheReuseBound: ratio(float64(t.reusable.Load()-e.reusable), float64(t.promptTokens.Load()-e.asked)),
		balanceFigures:  e.watched,
		ControlBytes:    e.control / e.seconds / float64(len(e.bed.Members())),
		Requests:        t.requests.Load(), Whole: t.whole.Load(), Wrong: t.wrong.Load(),
		Refused: t.refused.Load(), Lost: t.lost.Load(), RanTwice: e.ranTwice(),
		FirstByteP50: quantile(t.firstMS, 0.5), FirstByteP95: quantile(t.firstMS, 0.95),
		lostFigures: e.trace.figures(), Reasons: map[string]int{},
	}
	f.ReuseOfBound = ratio(f.CacheReuse, f.CacheReuseBound)
	for code, n := range t.reasons {
		f.Reasons[string(code)] = n
	}
	return f
}

// ranTwice returns the number of attempts that engines accepted more than once.
func (e *experiment) ranTwice() int {
	twice := 0
	for _, engine := range e.bed.Engines() {
		for _, n := range engine.Executions() {
			if n > 1 {
				twice++
			}
		}
	}
	return twice
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
