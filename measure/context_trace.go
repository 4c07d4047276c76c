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

// contextTrace records which engine answered each chat last, and classifies the
// reasons why context tokens had to be processed again. It is safe for concurrent
// use.
type contextTrace struct {
	mu       sync.Mutex
	lastAddr map[fleet.ChatKey]string
	departed map[string]bool
	reread   rereadFigures
}

// rereadFigures holds the context tokens that were processed again, by reason, as
// shares of all context tokens of returning chats.
type rereadFigures struct {
	// Departed counts context that was held by an engine that left or crashed.
	Departed float64 `json:"reread_gone"`
	// Moved counts context held by a live engine other than the one that received
	// the chat.
	Moved float64 `json:"reread_moved"`
	// Evicted counts context that the same engine had removed from its cache.
	Evicted       float64 `json:"reread_evicted"`
	contextTokens float64
}

func newContextTrace() *contextTrace {
	return &contextTrace{lastAddr: map[fleet.ChatKey]string{}, departed: map[string]bool{}}
}

// wrap returns a client that records each answered chat request in the trace.
func (t *contextTrace) wrap(c engine.Client) engine.Client {
	return &tracedClient{Client: c, trace: t}
}

// markDeparted marks the engine at an address as having left or crashed.
func (t *contextTrace) markDeparted(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.departed[addr] = true
}

// figures returns the shares of the requests recorded so far.
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
func (c *tracedClient) Chat(ctx context.Context, addr string, req engine.Request) (engine.Response, error) {
	answer, err := c.Client.Chat(ctx, addr, req)
	if err == nil {
		c.trace.record(addr, req, answer.CachedTokens())
	}
	return answer, err
}

// record counts one request whose response header has arrived. The first request
// of a chat only sets the chat's engine.
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

// contextTokens returns the number of tokens of all messages but the last, and 0
// if the body cannot be parsed.
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
