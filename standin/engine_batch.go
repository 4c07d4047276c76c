package standin

import (
	"sort"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// sweepInterval is the number of steps between two checks for runs without a reader.
const sweepInterval = 16

// run is one attempt in an engine. Its fields are guarded by the engine's
// mutex.
type run struct {
	id       fleet.AttemptID
	chat     fleet.ChatKey
	priority int
	sequence int
	messages []Message
	// tokens is the complete answer; the first generated of them are available
	// to readers.
	tokens       []string
	generated    int
	finishReason string
	promptTokens int
	cachedTokens int
	prefillLeft  int
	done         bool
	cancelled    bool
	// readers is the number of connections that read the run; unreadSince is
	// when the last one ended.
	readers     int
	unreadSince time.Time
	endedAt     time.Time
	// changed is closed and replaced at each change of the run.
	changed chan struct{}
}

// advance notifies the goroutines that wait on changed.
func (r *run) advance() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// batchLoop runs batch steps until the engine stops. Each step generates one
// token for every running request, and takes longer the more requests run.
func (e *Engine) batchLoop() {
	defer close(e.loopDone)
	for e.awaitAudible() {
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

// step runs one batch step and returns its duration, or zero if no request runs.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.steps++; e.steps%sweepInterval == 0 {
		e.cancelAbandoned(now)
	}
	e.admit()
	if len(e.running) == 0 {
		return 0
	}
	length := e.stepLength(len(e.running))
	budget := max(1, int(float64(e.config.PrefillPerSecond)*length.Seconds()))
	unfinished := e.running[:0]
	for _, r := range e.running {
		budget = r.compute(budget)
		if r.generated < len(r.tokens) || r.prefillLeft > 0 {
			unfinished = append(unfinished, r)
			continue
		}
		e.finish(r, now)
	}
	clear(e.running[len(unfinished):])
	e.running = unfinished
	return length
}

func (e *Engine) stepLength(running int) time.Duration {
	base := time.Second / time.Duration(e.config.TokensPerSecond)
	return base + time.Duration(float64(base)*e.config.LoadSlope*float64(running-1))
}

// compute processes prompt tokens within budget, or generates one token if the
// prompt has been processed. It returns the remaining budget.
func (r *run) compute(budget int) int {
	if r.prefillLeft > 0 {
		spent := min(budget, r.prefillLeft)
		r.prefillLeft -= spent
		return budget - spent
	}
	if r.generated < len(r.tokens) {
		r.generated++
		r.advance()
	}
	return budget
}

// admit moves waiting requests to free slots, highest priority first and oldest
// first within a priority.
func (e *Engine) admit() {
	if len(e.waiting) == 0 {
		return
	}
	sort.SliceStable(e.waiting, func(i, j int) bool {
		a, b := e.waiting[i], e.waiting[j]
		if a.priority != b.priority {
			return a.priority > b.priority
		}
		return a.sequence < b.sequence
	})
	for len(e.waiting) > 0 && len(e.running) < e.config.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(r)
	}
}

func (e *Engine) start(r *run) {
	chain := hashChain(r.messages)
	r.cachedTokens = e.cache.lookup(chain)
	r.prefillLeft = r.promptTokens - r.cachedTokens
	e.stats.PromptTokens += r.promptTokens
	e.stats.CachedTokens += r.cachedTokens
	e.cache.store(r.chat, chain)
	e.running = append(e.running, r)
	r.advance()
}

func (e *Engine) finish(r *run, now time.Time) {
	r.done = true
	r.endedAt = now
	e.cache.store(r.chat, hashChain(withAnswer(r.messages, r.tokens)))
	e.stats.Completed++
	r.advance()
}

// withAnswer returns messages with the generated tokens added as an assistant
// message, or appended to it if it is the last message.
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

// cancelAbandoned cancels runs that had no reader for AbandonAfter, and deletes
// runs that ended more than ResumeWindow ago.
func (e *Engine) cancelAbandoned(now time.Time) {
	for id, r := range e.runs {
		if r.done || r.cancelled {
			if now.Sub(r.endedAt) > e.config.ResumeWindow {
				delete(e.runs, id)
			}
			continue
		}
		if r.readers == 0 && now.Sub(r.unreadSince) > e.config.AbandonAfter {
			e.cancelRun(r, now)
		}
	}
}

// cancelRun ends a run before its answer is complete; it does nothing if the run
// has ended.
func (e *Engine) cancelRun(r *run, now time.Time) {
	if r.done || r.cancelled {
		return
	}
	r.cancelled = true
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
