package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/measure/bed"
)

const (
	quietTokens = 40
	quietAnswer = 12
	warmAtOnce  = 16
)

// warm gives every quiet chat some turns and then learns, from one further turn
// of each alone, which engine answers it.
func (w *withdrawalRun) warm(ctx context.Context) {
	rng := rand.New(rand.NewPCG(w.seed, 0xc4a7))
	for i := range withdrawalChats {
		w.chats = append(w.chats, &quietChat{chat: &bed.Chat{
			ID: fmt.Sprint("quiet-", i), Account: quietAccount, Service: chatService,
		}})
	}
	texts := make([][]string, len(w.chats))
	for i := range texts {
		for range withdrawalTurns {
			texts[i] = append(texts[i], words(rng, quietTokens))
		}
	}
	var wait sync.WaitGroup
	for worker := range warmAtOnce {
		wait.Go(func() {
			for i := worker; i < len(w.chats); i += warmAtOnce {
				for turn := range withdrawalTurns {
					w.say(ctx, i, texts[i][turn])
				}
			}
		})
	}
	wait.Wait()
	for i := range w.chats {
		before := w.executed()
		w.say(ctx, i, words(rng, quietTokens))
		w.chats[i].at = grown(before, w.executed())
	}
}

// say sends a quiet chat's next message through a router of its own.
func (w *withdrawalRun) say(ctx context.Context, i int, text string) {
	members := running(w.bed)
	w.tally.requests.Add(1)
	chat := w.chats[i].chat
	// Half of the chats go without the context token.
	if i%2 == 0 {
		chat.Context = ""
	}
	answer, err := w.client.Say(ctx, members[i%len(members)], chat, text, quietAnswer)
	switch {
	case err == nil && answer.Right:
		w.tally.whole.Add(1)
	case err == nil && answer.Refused():
		w.tally.refused.Add(1)
	default:
		w.tally.lost.Add(1)
	}
}

func (w *withdrawalRun) executed() map[fleet.TargetID]int {
	counts := map[fleet.TargetID]int{}
	for _, e := range w.bed.Engines() {
		counts[e.ID()] = e.Stats().Executed
	}
	return counts
}

func grown(before, after map[fleet.TargetID]int) fleet.TargetID {
	for id, n := range after {
		if n > before[id] {
			return id
		}
	}
	return ""
}

// returnOf lets the chats of the engines return once and gives the share of
// their prompt tokens that was found in a cache, and the share that an engine
// had read or written before.
func (w *withdrawalRun) returnOf(ctx context.Context, ids []fleet.TargetID) (reuse, bound float64) {
	rng := rand.New(rand.NewPCG(w.seed, 0x4e7))
	prompts, cached := w.bed.CacheTokens()
	w.figures.Chats = 0
	held := 0
	for i, c := range w.chats {
		if slices.Contains(ids, c.at) {
			w.figures.Chats++
			held += heldTokens(c.chat.Messages)
			w.say(ctx, i, words(rng, quietTokens))
		}
	}
	nowPrompts, nowCached := w.bed.CacheTokens()
	asked := float64(nowPrompts - prompts)
	return ratio(float64(nowCached-cached), asked), ratio(float64(held), asked)
}
