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
	mu       sync.Mutex
	lastAddr map[fleet.ChatKey]string
	departed map[string]bool
	reread   rereadFigures
}

// lostFigures are the tokens of context that were read again, as shares of all
// context of returning chats.
type rereadFigures struct {
	// Gone is context on engines that left or crashed.
	Departed float64 `json:"reread_gone"`
	// Moved is context on a live engine other than the one that got the chat.
	Moved float64 `json:"reread_moved"`
	// Evicted is context that the engine no longer held.
	Evicted       float64 `json:"reread_evicted"`
	contextTokens float64
}

func newContextTrace() *contextTrace {
	return &contextTrace{lastAddr: map[fleet.ChatKey]string{}, departed: map[string]bool{}}
}

// wrap returns a client whose chats are traced.
func (t *contextTrace) wrap(c engine.Client) engine.Client {
	return &tracedClient{Client: c, trace: t}
}

// leaveOut marks the engine at an address as gone.
func (t *contextTrace) markDeparted(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.departed[addr] = true
}

// figures returns the shares so far.
func (t *contextTrace) figures() rereadFigures {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.reread
	f.Departed, f.Moved, f.Evicted = ratio(f.Departed, f.contextTokens), ratio(f.Moved, f.contextTokens), ratio(f.Evicted, f.contextTokens)
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
		c.trace.record(addr, req, answer.CachedTokens())
	}
	return answer, err
}

// note counts one answer whose head has come.
func (t *contextTrace) record(addr string, req engine.Request, cached int) {
	tokens := contextTokens(req.Body)
	t.mu.Lock()
	defer t.mu.Unlock()
	previous, returning := t.lastAddr[req.Chat]
	t.lastAddr[req.Chat] = addr
	if !returning {
		return
	}
	t.reread.contextTokens += tokens
	missing := max(0, tokens-float64(cached))
	switch {
	case t.departed[previous]:
		t.reread.Departed += missing
	case previous != addr:
		t.reread.Moved += missing
	default:
		t.reread.Evicted += missing
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
