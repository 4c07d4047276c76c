package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
)

func (e *Engine) register(h *server.Hertz) {
	h.Use(e.holdWhileSilent)
	h.POST("/v1/chat/completions", e.serveChat)
	h.GET("/v1/streams/:attempt", e.serveResume)
	h.DELETE("/v1/streams/:attempt", e.serveCancel)
	h.GET("/v1/load", e.serveLoad)
	h.GET("/v1/cache/events", e.serveEvents)
	h.GET("/v1/cache/:chat", e.serveExport)
	h.PUT("/v1/cache/:chat", e.serveImport)
	h.POST("/v1/orders", e.serveOrder)
	h.GET("/v1/state", e.serveState)
}

// chatBody is the part of an OpenAI chat request that an engine reads.
type chatBody struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

func (e *Engine) serveChat(_ context.Context, c *app.RequestContext) {
	var body chatBody
	attempt := fleet.AttemptID(c.GetHeader(engine.HeaderAttempt))
	c.Header(engine.HeaderAttempt, string(attempt))
	if err := json.Unmarshal(c.Request.Body(), &body); err != nil || len(body.Messages) == 0 {
		c.JSON(http.StatusBadRequest, map[string]any{"error": map[string]string{"message": "bad body"}})
		return
	}
	f := e.currentFaults()
	r, refusal := e.accept(c, attempt, body, f)
	if r == nil {
		refuse(c, refusal)
		return
	}
	e.answer(c, r, body, f)
}

func (e *Engine) currentFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

type refusalKind int

const (
	refusedFull refusalKind = iota
	refusedLeaving
	refusedAgain
)

func refuse(c *app.RequestContext, kind refusalKind) {
	c.Header(engine.HeaderRefused, "true")
	if kind == refusedLeaving {
		c.Header(engine.HeaderLeaving, "true")
	}
	c.JSON(http.StatusServiceUnavailable, map[string]any{"error": map[string]string{"message": "refused"}})
}

// accept adds a request to the queue. If the request is refused, the run is nil
// and the kind of refusal is returned.
func (e *Engine) accept(c *app.RequestContext, id fleet.AttemptID, body chatBody, f EngineFaults) (*run, refusalKind) {
	chat, _ := strconv.ParseUint(string(c.GetHeader(engine.HeaderChatKey)), 10, 64)
	priority, _ := strconv.Atoi(string(c.GetHeader(engine.HeaderPriority)))
	refusedByFault := e.faultSampler.sample(f.RefuseRate)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		e.stats.Refused++
		return nil, refusedLeaving
	}
	if refusedByFault || len(e.waiting) >= e.config.Queue {
		e.stats.Refused++
		return nil, refusedFull
	}
	r := e.newRun(id, fleet.ChatKey(chat), priority, body)
	e.runs[id] = r
	e.attempts[id]++
	e.waiting = append(e.waiting, r)
	e.stats.Executed++
	e.stats.LastAccepted = time.Now()
	e.stats.Peak = max(e.stats.Peak, len(e.running)+len(e.waiting))
	if f.CrashAfter > 0 && e.stats.Executed >= f.CrashAfter {
		go e.Kill()
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return r, 0
}

func (e *Engine) newRun(id fleet.AttemptID, chat fleet.ChatKey, priority int, body chatBody) *run {
	tokens := Answer(body.Messages, body.MaxTokens)
	e.sequence++
	r := &run{
		id: id, chat: chat, priority: priority, sequence: e.sequence, messages: body.Messages,
		tokens: tokens, finishReason: "length", readers: 1, changed: make(chan struct{}),
	}
	for _, l := range hashChain(body.Messages) {
		r.promptTokens += l.tokens
	}
	answerLength := len(tokens)
	if n := len(body.Messages); body.Messages[n-1].Role == "assistant" {
		answerLength += countTokens(body.Messages[n-1].Content)
	}
	if isComplete(body.Messages, answerLength) {
		r.finishReason = "stop"
	}
	return r
}

func (e *Engine) serveCancel(_ context.Context, c *app.RequestContext) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.runs[fleet.AttemptID(c.Param("attempt"))]
	if !ok {
		c.SetStatusCode(http.StatusNotFound)
		return
	}
	e.cancelRun(r, time.Now())
	c.SetStatusCode(http.StatusNoContent)
}

func (e *Engine) serveLoad(_ context.Context, c *app.RequestContext) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.lastLoad.At) >= e.faults.LoadReportDelay {
		e.lastLoad = e.loadNow(now)
	}
	c.JSON(http.StatusOK, e.lastLoad)
}

func (e *Engine) loadNow(now time.Time) engine.Load {
	l := engine.Load{Running: len(e.running), Waiting: len(e.waiting), CachedTokens: e.cache.tokens, At: now}
	for _, runs := range [][]*run{e.running, e.waiting} {
		for _, r := range runs {
			l.PendingTokens += r.prefillLeft + len(r.tokens) - r.generated
		}
	}
	return l
}
