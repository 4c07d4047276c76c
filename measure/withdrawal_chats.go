package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/measure/testbed"
)

const (
	quietMessageTokens = 40
	quietAnswerTokens  = 12
	warmUpWorkers      = 16
)

// warmUp sends some turns of every quiet chat, then one more turn of each chat
// alone to find out which engine answers it.
func (w *withdrawalRun) warmUp(ctx context.Context) {
	rng := rand.New(rand.NewPCG(w.seed, 0xc4a7))
	for i := range withdrawalChats {
		w.chats = append(w.chats, &quietChat{chat: &testbed.Chat{
			ID: fmt.Sprint("quiet-", i), Account: quietAccount, Service: chatService,
		}})
	}
	texts := make([][]string, len(w.chats))
	for i := range texts {
		for range withdrawalTurns {
			texts[i] = append(texts[i], randomWords(rng, quietMessageTokens))
		}
	}
	var wg sync.WaitGroup
	for worker := range warmUpWorkers {
		wg.Go(func() {
			for i := worker; i < len(w.chats); i += warmUpWorkers {
				for turn := range withdrawalTurns {
					w.sendMessage(ctx, i, texts[i][turn])
				}
			}
		})
	}
	wg.Wait()
	for i := range w.chats {
		before := w.executions()
		w.sendMessage(ctx, i, randomWords(rng, quietMessageTokens))
		w.chats[i].engine = engineWithNewExecution(before, w.executions())
	}
}

// sendMessage sends a quiet chat's next message through a router that is fixed for
// the chat while the set of running routers does not change.
func (w *withdrawalRun) sendMessage(ctx context.Context, i int, text string) {
	members := runningRouters(w.testbed)
	w.stats.requests.Add(1)
	chat := w.chats[i].chat
	// Half of the chats do not send the context token.
	if i%2 == 0 {
		chat.Context = ""
	}
	answer, err := w.client.SendMessage(ctx, members[i%len(members)], chat, text, quietAnswerTokens)
	switch {
	case err == nil && answer.Correct:
		w.stats.correct.Add(1)
	case err == nil && answer.Refused():
		w.stats.refused.Add(1)
	default:
		w.stats.lost.Add(1)
	}
}

func (w *withdrawalRun) executions() map[fleet.TargetID]int {
	counts := map[fleet.TargetID]int{}
	for _, e := range w.testbed.Engines() {
		counts[e.ID()] = e.Stats().Executed
	}
	return counts
}

func engineWithNewExecution(before, after map[fleet.TargetID]int) fleet.TargetID {
	for id, n := range after {
		if n > before[id] {
			return id
		}
	}
	return ""
}

// continueChats sends one more turn of each chat of the given engines. It returns
// the share of their prompt tokens that was found in a cache, and the share that an
// engine had processed or generated before.
func (w *withdrawalRun) continueChats(ctx context.Context, ids []fleet.TargetID) (reuse, bound float64) {
	rng := rand.New(rand.NewPCG(w.seed, 0x4e7))
	promptsBefore, cachedBefore := w.testbed.CacheTokens()
	w.figures.ChatsOnEngines = 0
	priorTokens := 0
	for i, c := range w.chats {
		if slices.Contains(ids, c.engine) {
			w.figures.ChatsOnEngines++
			priorTokens += chatTokens(c.chat.Messages)
			w.sendMessage(ctx, i, randomWords(rng, quietMessageTokens))
		}
	}
	promptsAfter, cachedAfter := w.testbed.CacheTokens()
	promptTokens := float64(promptsAfter - promptsBefore)
	return ratio(float64(cachedAfter-cachedBefore), promptTokens), ratio(float64(priorTokens), promptTokens)
}
