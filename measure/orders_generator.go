package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keyjournal"
	"ragwortpond.example/ragwortpond/measure/testbed"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/router/orders"
	"ragwortpond.example/ragwortpond/sleep"
	"ragwortpond.example/ragwortpond/standin"
)

const (
	ordersService     fleet.ServiceName = "pedidos"
	ordersPath                          = "/pedidos"
	duplicateInterval                   = 10
	maxSends                            = 6
	sendBackoff                         = 150 * time.Millisecond
	writeIdleTime                       = 700 * time.Millisecond
	writePollInterval                   = 20 * time.Millisecond
)

// orderGenerator sends orders and records the outcomes that their callers receive.
type orderGenerator struct {
	testbed    *testbed.Testbed
	client     *testbed.Client
	beginTimes *beginTimes
	accounts   []fleet.AccountName
	rng        *rand.Rand

	mu       sync.Mutex
	killed   map[int]bool
	sequence uint64
	outcomes map[string]*callerOutcomes
}

// callerOutcomes counts the outcomes that the caller of one order received over
// all sends. noAnswer counts errors and answers without an outcome.
type callerOutcomes struct {
	completed, notRun, unknown, noAnswer int
}

func newOrderGenerator(b *testbed.Testbed, seed uint64, beginTimes *beginTimes) *orderGenerator {
	g := &orderGenerator{
		testbed: b, client: b.NewClient(), beginTimes: beginTimes, rng: rand.New(rand.NewPCG(seed, seed)),
		killed: map[int]bool{}, outcomes: map[string]*callerOutcomes{},
	}
	for name := range b.Snapshot().Accounts {
		g.accounts = append(g.accounts, name)
	}
	slices.Sort(g.accounts)
	return g
}

// runPhase sends orders at a constant rate for the given length and waits until
// all of them have ended.
func (g *orderGenerator) runPhase(ctx context.Context, name string, rate int, length time.Duration) OrdersPhase {
	g.beginTimes.takeQuantiles()
	refusedBefore, grantedBefore := g.refusedWrites(), g.grantedWrites()
	start := time.Now()
	count := max(1, int(length.Seconds()*float64(rate)))
	phase := OrdersPhase{Name: name, OrdersPerSecond: rate, Orders: count}
	keys := make([]string, count)
	var wg sync.WaitGroup
	for i := range count {
		due := start.Add(time.Duration(i) * length / time.Duration(count))
		if sleep.For(ctx, time.Until(due)) != nil {
			break
		}
		o := g.newOrder()
		keys[i] = o.key
		wg.Go(func() { g.send(ctx, o) })
	}
	wg.Wait()
	elapsed := max(length, g.waitForWrites(ctx).Sub(start))
	phase.WritesPerSecond = float64(g.grantedWrites()-grantedBefore) / elapsed.Seconds()
	phase.WritesPerOrder = float64(g.grantedWrites()-grantedBefore) / float64(count)
	phase.RefusedWrites = g.refusedWrites() - refusedBefore
	phase.AddedP50MS, phase.AddedP99MS = g.beginTimes.takeQuantiles()
	g.addOutcomes(&phase, keys)
	return phase
}

// waitForWrites waits until the platform has granted no write for writeIdleTime,
// which means that all results are recorded, or until ordersSettleTimeout. It
// returns the approximate time of the last write.
func (g *orderGenerator) waitForWrites(ctx context.Context) time.Time {
	deadline := time.Now().Add(ordersSettleTimeout)
	lastWrites, lastChange := g.grantedWrites(), time.Now()
	for time.Now().Before(deadline) && time.Since(lastChange) < writeIdleTime && sleep.For(ctx, writePollInterval) == nil {
		if writes := g.grantedWrites(); writes != lastWrites {
			lastWrites, lastChange = writes, time.Now()
		}
	}
	return lastChange
}

type order struct {
	key       string
	account   fleet.AccountName
	router    int
	duplicate bool
}

func (g *orderGenerator) newOrder() order {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	key := uuidV7(time.Now(), g.sequence)
	g.outcomes[key] = &callerOutcomes{}
	return order{
		key: key, account: g.accounts[g.rng.IntN(len(g.accounts))],
		router: g.rng.IntN(len(g.testbed.Routers())), duplicate: g.sequence%duplicateInterval == 0,
	}
}

// uuidV7 returns a version 7 UUID, the recommended form of idempotency keys.
func uuidV7(at time.Time, sequence uint64) string {
	ms := uint64(at.UnixMilli())
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, sequence)
}

// send sends an order as a careful caller does: after the outcome not-run or no
// answer it sends the order again with the same key to another router. Every tenth
// order is also sent twice concurrently.
func (g *orderGenerator) send(ctx context.Context, o order) {
	var duplicate sync.WaitGroup
	if o.duplicate {
		duplicate.Go(func() { g.sendOnce(ctx, o, o.router+1) })
	}
	for attempt := range maxSends {
		if g.sendOnce(ctx, o, o.router+attempt) || sleep.For(ctx, sendBackoff<<attempt) != nil {
			break
		}
	}
	duplicate.Wait()
}

// sendOnce sends an order to a router that was not killed and records the outcome.
// It reports whether the outcome is final, so that the caller does not retry.
func (g *orderGenerator) sendOnce(ctx context.Context, o order, router int) bool {
	members := g.testbed.Routers()
	for g.isKilled(router % len(members)) {
		router++
	}
	answer, err := g.client.Call(ctx, members[router%len(members)], o.account, ordersService, "POST", ordersPath, o.key, []byte(o.key))
	g.mu.Lock()
	defer g.mu.Unlock()
	outcomes := g.outcomes[o.key]
	switch {
	case err != nil || answer.Outcome == "":
		outcomes.noAnswer++
		return false
	case answer.Outcome == outcome.Completed:
		outcomes.completed++
		return true
	case answer.Outcome == outcome.NotRun:
		outcomes.notRun++
		return false
	default:
		outcomes.unknown++
		return true
	}
}

func (g *orderGenerator) isKilled(router int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.killed[router]
}

// killRouter kills a router and excludes it from further sends.
func (g *orderGenerator) killRouter(router int) {
	g.mu.Lock()
	g.killed[router] = true
	g.mu.Unlock()
	g.testbed.Routers()[router].Kill()
}

func (g *orderGenerator) addOutcomes(phase *OrdersPhase, keys []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, key := range keys {
		outcomes := g.outcomes[key]
		if outcomes == nil {
			continue
		}
		phase.NotRunSends += outcomes.notRun
		switch {
		case outcomes.completed > 0:
			phase.Completed++
		case outcomes.unknown > 0 || outcomes.noAnswer > 0:
			phase.Unknown++
		default:
			phase.NotRun++
		}
	}
}

// countViolations compares the outcomes that callers received with the executions
// of the services.
func (g *orderGenerator) countViolations() (duplicates, falseNotRun, lost int) {
	executions := map[string]int{}
	for _, s := range g.testbed.Services() {
		for key, n := range s.Executions() {
			executions[key] += n
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, outcomes := range g.outcomes {
		n := executions[key]
		if n > 1 {
			duplicates++
		}
		answered := outcomes.completed + outcomes.unknown + outcomes.notRun
		if outcomes.notRun > 0 && outcomes.completed+outcomes.unknown+outcomes.noAnswer == 0 && n > 0 {
			falseNotRun++
		}
		if outcomes.completed > 0 && n == 0 || answered == 0 {
			lost++
		}
	}
	return duplicates, falseNotRun, lost
}

func (g *orderGenerator) grantedWrites() uint64 {
	granted := g.testbed.Platform.Granted()
	return granted[standin.VerbPut] + granted[standin.VerbDelete]
}

func (g *orderGenerator) refusedWrites() uint64 {
	received := g.testbed.Platform.Counts()
	return received[standin.VerbPut] + received[standin.VerbDelete] - g.grantedWrites()
}

// timedJournal measures how long the journal takes to grant each intent.
type timedJournal struct {
	orders.Journal
	beginTimes *beginTimes
}

// Begin implements orders.Journal.
func (j *timedJournal) Begin(ctx context.Context, intent keyjournal.Intent) (keyjournal.Grant, error) {
	start := time.Now()
	grant, err := j.Journal.Begin(ctx, intent)
	if err == nil {
		j.beginTimes.add(time.Since(start))
	}
	return grant, err
}

// beginTimes collects the durations of granted intents. It is safe for concurrent
// use.
type beginTimes struct {
	mu        sync.Mutex
	durations []time.Duration
}

func (b *beginTimes) add(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.durations = append(b.durations, d)
}

// takeQuantiles returns the median and the 99th percentile in milliseconds and
// discards the collected durations.
func (b *beginTimes) takeQuantiles() (p50, p99 float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.durations) == 0 {
		return 0, 0
	}
	slices.Sort(b.durations)
	atQuantile := func(q float64) float64 {
		d := b.durations[min(len(b.durations)-1, int(q*float64(len(b.durations))))]
		return float64(d.Microseconds()) / 1000
	}
	p50, p99 = atQuantile(0.5), atQuantile(0.99)
	b.durations = nil
	return p50, p99
}
