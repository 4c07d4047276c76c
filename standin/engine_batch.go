package standin

import (
	"sort"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// sweepSteps is the number of steps between looks for runs without a reader.
const sweepSteps = 16

// run is one attempt in an engine. Its fields are guarded by the engine's
// mutex.
type run struct {
	id       fleet.AttemptID
	chat     fleet.ChatKey
	priority int
	order    int
	messages []Message
	// tokens are all that will be generated; made of them are ready.
	tokens  []string
	made    int
	stop    string
	prompt  int
	cached  int
	prefill int
	done    bool
	dropped bool
	// readers is the number of connections that read the run.
	readers    int
	unreadFrom time.Time
	endedAt    time.Time
	// changed is closed and replaced when the run advances.
	changed chan struct{}
}

func (r *run) advance() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// batchLoop advances all running requests together, one token a step; a step
// takes longer the more requests run.
func (e *Engine) batchLoop() {
	defer close(e.loopDone)
	for {
		wait := e.step()
		if wait == 0 {
			select {
			case <-e.wake:
			case <-e.stop:
				return
			}
			continue
		}
		select {
		case <-time.After(wait):
		case <-e.stop:
			return
		}
	}
}

// step does one step and returns its length, zero when nothing runs.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.steps++; e.steps%sweepSteps == 0 {
		e.dropUnread(now)
	}
	e.admit()
	if len(e.running) == 0 {
		return 0
	}
	length := e.stepLength(len(e.running))
	budget := max(1, int(float64(e.config.PrefillPerSecond)*length.Seconds()))
	still := e.running[:0]
	for _, r := range e.running {
		budget = r.compute(budget)
		if r.made < len(r.tokens) || r.prefill > 0 {
			still = append(still, r)
			continue
		}
		e.finish(r, now)
	}
	clear(e.running[len(still):])
	e.running = still
	return length
}

func (e *Engine) stepLength(running int) time.Duration {
	base := time.Second / time.Duration(e.config.TokensPerSecond)
	return base + time.Duration(float64(base)*e.config.LoadSlope*float64(running-1))
}

// compute spends prefill budget or makes one token; it returns what is left.
func (r *run) compute(budget int) int {
	if r.prefill > 0 {
		spent := min(budget, r.prefill)
		r.prefill -= spent
		return budget - spent
	}
	if r.made < len(r.tokens) {
		r.made++
		r.advance()
	}
	return budget
}

// admit moves waiting requests to free slots, by priority and then by age.
func (e *Engine) admit() {
	if len(e.waiting) == 0 {
		return
	}
	sort.SliceStable(e.waiting, func(i, j int) bool {
		a, b := e.waiting[i], e.waiting[j]
		if a.priority != b.priority {
			return a.priority > b.priority
		}
		return a.order < b.order
	})
	for len(e.waiting) > 0 && len(e.running) < e.config.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(r)
	}
}

func (e *Engine) start(r *run) {
	chain := chainOf(r.messages)
	r.cached = e.cache.lookup(chain)
	r.prefill = r.prompt - r.cached
	e.stats.PromptTokens += r.prompt
	e.stats.CachedTokens += r.cached
	e.cache.store(r.chat, chain)
	e.running = append(e.running, r)
	r.advance()
}

func (e *Engine) finish(r *run, now time.Time) {
	r.done = true
	r.endedAt = now
	e.cache.store(r.chat, chainOf(withAnswer(r.messages, r.tokens)))
	e.stats.Completed++
	r.advance()
}

// withAnswer appends the generated tokens to the chat.
func withAnswer(messages []Message, tokens []string) []Message {
	text := ""
	for _, t := range tokens {
		text += t
	}
	out := append([]Message(nil), messages...)
	if n := len(out); n > 0 && out[n-1].Role == "assistant" {
		out[n-1].Content += text
		return out
	}
	return append(out, Message{Role: "assistant", Content: text})
}

// dropUnread ends runs that nobody has read for a while and forgets old ones.
func (e *Engine) dropUnread(now time.Time) {
	for id, r := range e.runs {
		if r.done || r.dropped {
			if now.Sub(r.endedAt) > e.config.ResumeWindow {
				delete(e.runs, id)
			}
			continue
		}
		if r.readers == 0 && now.Sub(r.unreadFrom) > e.config.AbandonAfter {
			e.drop(r, now)
		}
	}
}

// drop ends a run before its time.
func (e *Engine) drop(r *run, now time.Time) {
	if r.done || r.dropped {
		return
	}
	r.dropped = true
	r.endedAt = now
	e.running = without(e.running, r)
	e.waiting = without(e.waiting, r)
	e.stats.Cancelled++
	r.advance()
}

func without(runs []*run, r *run) []*run {
	kept := make([]*run, 0, len(runs))
	for _, other := range runs {
		if other != r {
			kept = append(kept, other)
		}
	}
	return kept
}
