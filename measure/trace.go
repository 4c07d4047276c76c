package measure

import (
	"context"
	"encoding/json"
	"strings"
	"sync"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/standin"
)

// contextTrace follows at which engine each chat had its last answer, and says
// why context had to be read again. It is safe for concurrent use.
type contextTrace struct {
	mu   sync.Mutex
	last map[fleet.ChatKey]string
	gone map[string]bool
	lost lostFigures
}

// lostFigures are the tokens of context that were read again, as shares of all
// context of returning chats.
type lostFigures struct {
	// Gone is context on engines that left or crashed.
	Gone float64 `json:"reread_gone"`
	// Moved is context on a live engine other than the one that got the chat.
	Moved float64 `json:"reread_moved"`
	// Evicted is context that the engine no longer held.
	Evicted float64 `json:"reread_evicted"`
	context float64
}

func newContextTrace() *contextTrace {
	return &contextTrace{last: map[fleet.ChatKey]string{}, gone: map[string]bool{}}
}

// wrap returns a client whose chats are traced.
func (t *contextTrace) wrap(c engine.Client) engine.Client {
	return &tracedClient{Client: c, trace: t}
}

// leaveOut marks the engine at an address as gone.
func (t *contextTrace) leaveOut(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gone[addr] = true
}

// figures returns the shares so far.
func (t *contextTrace) figures() lostFigures {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.lost
	f.Gone, f.Moved, f.Evicted = ratio(f.Gone, f.context), ratio(f.Moved, f.context), ratio(f.Evicted, f.context)
	return f
}

type tracedClient struct {
	engine.Client
	trace *contextTrace
}

// Chat implements engine.Client.
func (c *tracedClient) Chat(ctx context.Context, addr string, req engine.Request) (engine.Answer, error) {
	answer, err := c.Client.Chat(ctx, addr, req)
	if err == nil {
		c.trace.note(addr, req, answer.CachedTokens())
	}
	return answer, err
}

// note counts one answer whose head has come.
func (t *contextTrace) note(addr string, req engine.Request, cached int) {
	held := contextTokens(req.Body)
	t.mu.Lock()
	defer t.mu.Unlock()
	before, returning := t.last[req.Chat]
	t.last[req.Chat] = addr
	if !returning {
		return
	}
	t.lost.context += held
	missing := max(0, held-float64(cached))
	switch {
	case t.gone[before]:
		t.lost.Gone += missing
	case before != addr:
		t.lost.Moved += missing
	default:
		t.lost.Evicted += missing
	}
}

// contextTokens counts the tokens of all messages but the last.
func contextTokens(body []byte) float64 {
	var chat struct {
		Messages []standin.Message `json:"messages"`
	}
	if json.Unmarshal(body, &chat) != nil || len(chat.Messages) == 0 {
		return 0
	}
	tokens := 0
	for _, m := range chat.Messages[:len(chat.Messages)-1] {
		tokens += len(strings.Fields(m.Content)) + 1
	}
	return float64(tokens)
}
