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
	"ragwortpond.example/ragwortpond/measure/bed"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/router/orders"
	"ragwortpond.example/ragwortpond/sleep"
	"ragwortpond.example/ragwortpond/standin"
)

const (
	orderService   fleet.ServiceName = "pedidos"
	orderPath                        = "/pedidos"
	repeatEvery                      = 10
	maxSendings                      = 6
	sendingBackoff                   = 150 * time.Millisecond
	writesSettled                    = 700 * time.Millisecond
	writesPoll                       = 20 * time.Millisecond
)

// orderLoad sends orders and remembers what their callers were told.
type orderLoad struct {
	bed      *bed.Bed
	client   *bed.Client
	times    *beginTimes
	accounts []fleet.AccountName
	random   *rand.Rand

	mu     sync.Mutex
	gone   map[int]bool
	number uint64
	told   map[string]*told
}

// told is what the caller of one order was told over all its sendings.
type told struct {
	completed, notRun, unknown, silent int
}

func newOrderLoad(b *bed.Bed, seed uint64, times *beginTimes) *orderLoad {
	l := &orderLoad{
		bed: b, client: b.NewClient(), times: times, random: rand.New(rand.NewPCG(seed, seed)),
		gone: map[int]bool{}, told: map[string]*told{},
	}
	for name := range b.Snapshot().Accounts {
		l.accounts = append(l.accounts, name)
	}
	slices.Sort(l.accounts)
	return l
}

// phase sends orders at a constant rate and waits for their ends.
func (l *orderLoad) phase(ctx context.Context, name string, rate int, length time.Duration) OrdersPhase {
	l.times.take()
	refused, granted := l.refusedWrites(), l.grantedWrites()
	start := time.Now()
	count := max(1, int(length.Seconds()*float64(rate)))
	phase := OrdersPhase{Name: name, OrdersPerSecond: rate, Orders: count}
	keys := make([]string, count)
	var wait sync.WaitGroup
	for i := range count {
		due := start.Add(time.Duration(i) * length / time.Duration(count))
		if sleep.For(ctx, time.Until(due)) != nil {
			break
		}
		o := l.newOrder()
		keys[i] = o.key
		wait.Go(func() { l.send(ctx, o) })
	}
	wait.Wait()
	busy := max(length, l.settle(ctx).Sub(start))
	phase.WritesPerSecond = float64(l.grantedWrites()-granted) / busy.Seconds()
	phase.WritesPerOrder = float64(l.grantedWrites()-granted) / float64(count)
	phase.RefusedWrites = l.refusedWrites() - refused
	phase.AddedP50MS, phase.AddedP99MS = l.times.take()
	l.countTold(&phase, keys)
	return phase
}

// settle waits until results are recorded, when there was no write for some
// time, and returns about when the last write was.
func (l *orderLoad) settle(ctx context.Context) time.Time {
	deadline := time.Now().Add(ordersDrain)
	last, at := l.grantedWrites(), time.Now()
	for time.Now().Before(deadline) && time.Since(at) < writesSettled && sleep.For(ctx, writesPoll) == nil {
		if now := l.grantedWrites(); now != last {
			last, at = now, time.Now()
		}
	}
	return at
}

type newOrder struct {
	key     string
	account fleet.AccountName
	router  int
	repeat  bool
}

func (l *orderLoad) newOrder() newOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	key := timedKey(time.Now(), l.number)
	l.told[key] = &told{}
	return newOrder{
		key: key, account: l.accounts[l.random.IntN(len(l.accounts))],
		router: l.random.IntN(len(l.bed.Members())), repeat: l.number%repeatEvery == 0,
	}
}

// timedKey is a version 7 UUID: what callers are advised to use as key.
func timedKey(at time.Time, number uint64) string {
	ms := uint64(at.UnixMilli())
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, number)
}

// send sends an order as a careful caller does: with the same key again while
// it is told not-run or nothing, on another router. Some are sent twice at once.
func (l *orderLoad) send(ctx context.Context, o newOrder) {
	var twin sync.WaitGroup
	if o.repeat {
		twin.Go(func() { l.sendOnce(ctx, o, o.router+1) })
	}
	for sending := range maxSendings {
		if l.sendOnce(ctx, o, o.router+sending) || sleep.For(ctx, sendingBackoff<<sending) != nil {
			break
		}
	}
	twin.Wait()
}

// sendOnce reports whether the caller has an answer that ends the matter.
func (l *orderLoad) sendOnce(ctx context.Context, o newOrder, router int) bool {
	members := l.bed.Members()
	for l.isGone(router % len(members)) {
		router++
	}
	answer, err := l.client.Call(ctx, members[router%len(members)], o.account, orderService, "POST", orderPath, o.key, []byte(o.key))
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.told[o.key]
	switch {
	case err != nil || answer.Outcome == "":
		t.silent++
		return false
	case answer.Outcome == outcome.Completed:
		t.completed++
		return true
	case answer.Outcome == outcome.NotRun:
		t.notRun++
		return false
	default:
		t.unknown++
		return true
	}
}

func (l *orderLoad) isGone(router int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gone[router]
}

// end ends a router at once.
func (l *orderLoad) end(router int) {
	l.mu.Lock()
	l.gone[router] = true
	l.mu.Unlock()
	l.bed.Members()[router].Kill()
}

func (l *orderLoad) countTold(phase *OrdersPhase, keys []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, key := range keys {
		t := l.told[key]
		if t == nil {
			continue
		}
		phase.NotRunSendings += t.notRun
		switch {
		case t.completed > 0:
			phase.Completed++
		case t.unknown > 0 || t.silent > 0:
			phase.Unknown++
		default:
			phase.NotRun++
		}
	}
}

// judge compares what callers were told with what the services ran.
func (l *orderLoad) judge() (ranTwice, falseNotRun, lost int) {
	ran := map[string]int{}
	for _, s := range l.bed.Services() {
		for key, n := range s.Executions() {
			ran[key] += n
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, t := range l.told {
		n := ran[key]
		if n > 1 {
			ranTwice++
		}
		told := t.completed + t.unknown + t.notRun
		if t.notRun > 0 && t.completed+t.unknown+t.silent == 0 && n > 0 {
			falseNotRun++
		}
		if t.completed > 0 && n == 0 || told == 0 {
			lost++
		}
	}
	return ranTwice, falseNotRun, lost
}

func (l *orderLoad) grantedWrites() uint64 {
	granted := l.bed.Platform.Granted()
	return granted[standin.VerbPut] + granted[standin.VerbDelete]
}

func (l *orderLoad) refusedWrites() uint64 {
	received := l.bed.Platform.Counts()
	return received[standin.VerbPut] + received[standin.VerbDelete] - l.grantedWrites()
}

// timedJournal notes how long each intent takes.
type timedJournal struct {
	orders.Journal
	times *beginTimes
}

// Begin implements orders.Journal.
func (j *timedJournal) Begin(ctx context.Context, intent keyjournal.Intent) (keyjournal.Grant, error) {
	start := time.Now()
	grant, err := j.Journal.Begin(ctx, intent)
	if err == nil {
		j.times.add(time.Since(start))
	}
	return grant, err
}

// beginTimes collects the times of granted intents.
type beginTimes struct {
	mu    sync.Mutex
	times []time.Duration
}

func (b *beginTimes) add(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.times = append(b.times, d)
}

// take returns the median and the 99th percentile in milliseconds and starts
// anew.
func (b *beginTimes) take() (p50, p99 float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.times) == 0 {
		return 0, 0
	}
	slices.Sort(b.times)
	at := func(q float64) float64 {
		d := b.times[min(len(b.times)-1, int(q*float64(len(b.times))))]
		return float64(d.Microseconds()) / 1000
	}
	p50, p99 = at(0.5), at(0.99)
	b.times = nil
	return p50, p99
}
