package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/measure/testbed"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/sleep"
)

const (
	chatCallers     = 96
	orderCallers    = 6
	chatsPerCaller  = 4
	turnsPerChat    = 6
	maxAnswerTokens = 24
	promptWords     = 300
	maxChatPause    = 600 * time.Millisecond
	orderInterval   = 250 * time.Millisecond
)

// errNoService is returned for settings that lack an engine service, a plain
// service or a client account.
var errNoService = errors.New("demo: the settings need an engine service, a plain service and a client account")

// workload runs the callers of the demo and counts their results.
type workload struct {
	testbed        *testbed.Testbed
	client         *testbed.Client
	seed           uint64
	engine         fleet.ServiceName
	plain          fleet.ServiceName
	accounts       []fleet.AccountName
	reusableTokens atomic.Int64

	mu             sync.Mutex
	progressWriter io.Writer
	counts         Figures
}

func newWorkload(b *testbed.Testbed, seed uint64, progressWriter io.Writer) (*workload, error) {
	w := &workload{testbed: b, client: b.NewClient(), seed: seed, progressWriter: progressWriter}
	snapshot := b.Snapshot()
	for name, s := range snapshot.Services {
		if s.Kind == fleet.KindEngine {
			w.engine = name
		} else {
			w.plain = name
		}
	}
	for name := range snapshot.Accounts {
		w.accounts = append(w.accounts, name)
	}
	slices.Sort(w.accounts)
	if w.engine == "" || w.plain == "" || len(w.accounts) == 0 {
		return nil, errNoService
	}
	return w, nil
}

func (w *workload) start(ctx context.Context, wg *sync.WaitGroup) {
	for i := range chatCallers {
		wg.Go(func() { w.runChats(ctx, i) })
	}
	for i := range orderCallers {
		wg.Go(func() { w.runOrders(ctx, i) })
	}
}

// runChats continues several chats in random order, with pauses, through random
// routers. A request in flight when ctx ends is completed.
func (w *workload) runChats(ctx context.Context, caller int) {
	rng := rand.New(rand.NewPCG(w.seed, uint64(caller)))
	active := make([]*testbed.Chat, chatsPerCaller)
	for n := 0; ctx.Err() == nil; n++ {
		slot := rng.IntN(chatsPerCaller)
		if active[slot] == nil || len(active[slot].Messages) >= 2*turnsPerChat {
			active[slot] = w.newChat(caller, n)
		}
		w.sendTurn(rng, active[slot], n)
		_ = sleep.For(ctx, time.Duration(rng.Int64N(int64(maxChatPause))))
	}
}

func (w *workload) newChat(caller, n int) *testbed.Chat {
	return &testbed.Chat{
		ID: fmt.Sprintf("chat-%d-%d", caller, n), Service: w.engine,
		Account: w.accounts[caller%len(w.accounts)],
	}
}

func (w *workload) sendTurn(rng *rand.Rand, chat *testbed.Chat, n int) {
	text := fmt.Sprintf("turn %d of %s", n, chat.ID)
	if len(chat.Messages) == 0 {
		text += strings.Repeat(" sheet", promptWords)
	}
	for _, m := range chat.Messages {
		w.reusableTokens.Add(int64(len(strings.Fields(m.Content))))
	}
	answer, err := w.client.SendMessage(context.Background(), w.randomRouter(rng), chat, text, maxAnswerTokens)
	w.count(answer, err)
}

func (w *workload) runOrders(ctx context.Context, caller int) {
	rng := rand.New(rand.NewPCG(w.seed, uint64(chatCallers+caller)))
	account := w.accounts[caller%len(w.accounts)]
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("order-%d-%d", caller, n)
		answer, err := w.client.Call(context.Background(), w.randomRouter(rng), account, w.plain,
			http.MethodPost, w.orderPath(), key, []byte(`{"drums":1}`))
		w.count(answer, err)
		_ = sleep.For(ctx, orderInterval)
	}
}

// orderPath returns a path of the plain service whose calls are not repeatable, or
// "/" if the settings have none.
func (w *workload) orderPath() string {
	return orderPath(w.testbed.Snapshot(), w.plain)
}

func orderPath(s *settings.Snapshot, service fleet.ServiceName) string {
	for _, r := range s.Rules {
		if r.Service == service && !r.Repeatable {
			return r.PathPrefix
		}
	}
	return "/"
}

func (w *workload) randomRouter(rng *rand.Rand) *testbed.RunningRouter {
	members := w.testbed.Routers()
	return members[rng.IntN(len(members))]
}

func (w *workload) count(a testbed.Answer, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.Requests++
	switch {
	case err == nil && a.Correct:
		w.counts.CorrectAnswers++
	case err == nil && a.Refused():
		w.counts.Refused++
	default:
		w.counts.Lost++
		fmt.Fprintf(w.progressWriter, "lost: status %d, outcome %s, reason %s, complete %t, error %v\n", a.Status, a.Outcome, a.Reason, a.Complete, err)
	}
}

func (w *workload) copyCounts(f *Figures) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f.Requests, f.CorrectAnswers = w.counts.Requests, w.counts.CorrectAnswers
	f.Refused, f.Lost = w.counts.Refused, w.counts.Lost
}

func (w *workload) summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d requests, %d correct", w.counts.Requests, w.counts.CorrectAnswers)
}
