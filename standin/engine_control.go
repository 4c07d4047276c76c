package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
)

// maxCacheEvents is the maximum number of cache events kept for readers; the older
// half is discarded when it is exceeded.
const maxCacheEvents = 4096

type timedEvent struct {
	engine.CacheEvent
	at time.Time
}

// recordCacheEvent appends a cache event. With the rate CacheEventGapRate the
// event is lost, which leaves a gap in the sequence numbers.
func (e *Engine) recordCacheEvent(chat fleet.ChatKey, stored bool, tokens int) {
	e.eventSeq++
	if e.faultSampler.sample(e.faults.CacheEventGapRate) {
		return
	}
	event := engine.CacheEvent{Seq: e.eventSeq, Chat: chat, Stored: stored, Tokens: tokens}
	e.events = append(e.events, timedEvent{event, time.Now()})
	if len(e.events) > maxCacheEvents {
		e.events = append([]timedEvent(nil), e.events[len(e.events)-maxCacheEvents/2:]...)
	}
}

func (e *Engine) serveEvents(_ context.Context, c *app.RequestContext) {
	from, _ := strconv.ParseUint(c.Query("from"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	visibleUntil := time.Now().Add(-e.faults.CacheEventDelay)
	out := []engine.CacheEvent{}
	for _, t := range e.events {
		if t.Seq > from && !t.at.After(visibleUntil) {
			out = append(out, t.CacheEvent)
		}
	}
	c.JSON(http.StatusOK, out)
}

// kvBlock is the part of an exported KV cache that belongs to one message.
type kvBlock struct {
	Hash   uint64 `json:"hash"`
	Tokens int    `json:"tokens"`
	KV     []byte `json:"kv"`
}

func chatParam(c *app.RequestContext) fleet.ChatKey {
	chat, _ := strconv.ParseUint(c.Param("chat"), 10, 64)
	return fleet.ChatKey(chat)
}

func (e *Engine) serveExport(_ context.Context, c *app.RequestContext) {
	e.mu.Lock()
	defer e.mu.Unlock()
	links := e.cache.cachedPrefix(chatParam(c))
	if len(links) == 0 {
		c.SetStatusCode(http.StatusNotFound)
		return
	}
	blocks := make([]kvBlock, 0, len(links))
	for _, l := range links {
		blocks = append(blocks, kvBlock{l.hash, l.tokens, make([]byte, l.tokens*e.config.KVBytesPerToken)})
	}
	e.stats.Exports++
	c.JSON(http.StatusOK, blocks)
}

func (e *Engine) serveImport(_ context.Context, c *app.RequestContext) {
	var blocks []kvBlock
	if err := json.Unmarshal(c.Request.Body(), &blocks); err != nil {
		c.SetStatusCode(http.StatusBadRequest)
		return
	}
	links := make([]link, 0, len(blocks))
	for _, b := range blocks {
		links = append(links, link{b.Hash, b.Tokens})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.store(chatParam(c), links)
	e.stats.Imports++
	c.SetStatusCode(http.StatusNoContent)
}

func (e *Engine) serveState(_ context.Context, c *app.RequestContext) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state
	s.Leaving = e.leaving
	c.JSON(http.StatusOK, s)
}

func (e *Engine) serveOrder(_ context.Context, c *app.RequestContext) {
	var o engine.Order
	if err := json.Unmarshal(c.Request.Body(), &o); err != nil {
		c.SetStatusCode(http.StatusBadRequest)
		return
	}
	e.pause(e.config.OrderTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFencing && o.Fence < e.state.Fence {
		c.SetStatusCode(http.StatusConflict)
		return
	}
	e.apply(o)
	c.SetStatusCode(http.StatusNoContent)
}

func (e *Engine) apply(o engine.Order) {
	switch o.Kind {
	case engine.LoadModel:
		e.state.Model = o.Value
	case engine.LoadAdapter:
		e.state.Adapter = o.Value
	case engine.LoadVersion:
		e.state.Version = o.Value
	case engine.ChangeRole:
		e.state.Role = o.Value
	}
	e.state.Fence = max(e.state.Fence, o.Fence)
}
