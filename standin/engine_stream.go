package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
)

// flaws are the faults drawn for one answer.
type flaws struct {
	doubled, truncated, broken bool
}

// answer sends the answer of an accepted run with the faults drawn for it.
func (e *Engine) answer(c *app.RequestContext, r *run, body chatBody, f EngineFaults) {
	defer e.unreadBy(r, f.NoResume)
	wait := f.Delay
	if e.dice.hit(f.LateRate) {
		wait += f.LateBy
	}
	e.pause(wait)
	if e.dice.hit(f.LostRate) {
		_ = c.GetConn().Close()
		return
	}
	if e.dice.hit(f.CrossedRate) {
		c.Header(engine.HeaderAttempt, strings.Repeat("0", 32))
	}
	flaw := flaws{e.dice.hit(f.DoubledRate), e.dice.hit(f.TruncatedRate), e.dice.hit(f.BrokenRate)}
	e.awaitStart(r)
	c.Header(engine.HeaderCachedTokens, strconv.Itoa(e.cachedOf(r)))
	if body.Stream {
		e.stream(c, r, 0, flaw)
		return
	}
	e.whole(c, r, body.Model, flaw)
}

func (e *Engine) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-e.stop:
	}
}

// unreadBy notes that a connection no longer reads the run.
func (e *Engine) unreadBy(r *run, forget bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.readers--
	r.unreadFrom = time.Now()
	if forget && !r.done {
		e.drop(r, r.unreadFrom)
		delete(e.runs, r.id)
	}
}

func (e *Engine) cachedOf(r *run) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.cached
}

// awaitStart waits until the run has left the queue and has its first token.
func (e *Engine) awaitStart(r *run) {
	for {
		made, over, changed := e.progress(r)
		if made > 0 || over {
			return
		}
		select {
		case <-changed:
		case <-e.stop:
			return
		}
	}
}

// progress returns the tokens made, whether the run is over, and a channel that
// is closed at the next change.
func (e *Engine) progress(r *run) (int, bool, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.made, r.done || r.dropped, r.changed
}

// stream sends events from number from: one a token, one with the reason of
// the end, and the end marker.
func (e *Engine) stream(c *app.RequestContext, r *run, from int, flaw flaws) {
	c.Header("Content-Type", "text/event-stream")
	w := resp.NewChunkedBodyWriter(&c.Response, c.GetWriter())
	c.Response.HijackWriter(w)
	send := func(seq int, data string) bool {
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", seq, data)
		if flaw.doubled {
			text += text
		}
		_, err := w.Write([]byte(text))
		return err == nil && w.Flush() == nil
	}
	half := len(r.tokens) / 2
	for seq := from; seq < len(r.tokens); seq++ {
		if !e.awaitToken(r, seq) {
			return
		}
		if seq >= half && flaw.truncated {
			return
		}
		if seq >= half && flaw.broken || !send(seq, chunk(r, r.tokens[seq], "")) {
			_ = c.GetConn().Close()
			return
		}
	}
	if !e.awaitEnd(r) {
		return
	}
	if from <= len(r.tokens) {
		send(len(r.tokens), chunk(r, "", r.stop))
	}
	send(len(r.tokens)+1, "[DONE]")
}

// awaitToken waits until token seq is made; false when it never will be.
func (e *Engine) awaitToken(r *run, seq int) bool {
	for {
		made, over, changed := e.progress(r)
		if made > seq {
			return true
		}
		if over || !e.await(changed) {
			return false
		}
	}
}

// awaitEnd waits until the run is over; false when it was dropped.
func (e *Engine) awaitEnd(r *run) bool {
	for {
		made, over, changed := e.progress(r)
		if over {
			return made == len(r.tokens)
		}
		if !e.await(changed) {
			return false
		}
	}
}

func (e *Engine) await(changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-e.stop:
		return false
	}
}

func chunk(r *run, text, finish string) string {
	delta := map[string]string{}
	if text != "" {
		delta["content"] = text
	}
	choice := map[string]any{"index": 0, "delta": delta, "finish_reason": nil}
	if finish != "" {
		choice["finish_reason"] = finish
	}
	b, _ := json.Marshal(map[string]any{
		"id": "chatcmpl-" + string(r.id), "object": "chat.completion.chunk", "choices": []any{choice},
	})
	return string(b)
}

// whole sends the answer as one JSON body.
func (e *Engine) whole(c *app.RequestContext, r *run, model string, flaw flaws) {
	if !e.awaitEnd(r) {
		_ = c.GetConn().Close()
		return
	}
	text := strings.Join(r.tokens, "")
	b, _ := json.Marshal(map[string]any{
		"id": "chatcmpl-" + string(r.id), "object": "chat.completion", "model": model,
		"choices": []any{map[string]any{
			"index": 0, "message": Message{Role: "assistant", Content: text}, "finish_reason": r.stop,
		}},
		"usage": map[string]int{
			"prompt_tokens": r.prompt, "completion_tokens": len(r.tokens), "total_tokens": r.prompt + len(r.tokens),
		},
	})
	if flaw.truncated || flaw.broken {
		sendShort(c, b)
		return
	}
	c.Data(http.StatusOK, "application/json", b)
}

// sendShort states the whole length of body, sends half and closes.
func sendShort(c *app.RequestContext, body []byte) {
	conn := c.GetConn()
	attempt := c.Response.Header.Get(engine.HeaderAttempt)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n\r\n", len(body), engine.HeaderAttempt, attempt)
	_, _ = conn.Write([]byte(head))
	_, _ = conn.Write(body[:len(body)/2])
	_ = conn.Close()
}

func (e *Engine) serveResume(_ context.Context, c *app.RequestContext) {
	id := fleet.AttemptID(c.Param("attempt"))
	c.Header(engine.HeaderAttempt, string(id))
	from, err := strconv.Atoi(c.Query("from"))
	r := e.readAgain(id)
	if r == nil || err != nil || from < 0 {
		c.Header(engine.HeaderRefused, "true")
		c.SetStatusCode(http.StatusNotFound)
		return
	}
	defer e.unreadBy(r, false)
	e.stream(c, r, from, flaws{})
}

func (e *Engine) readAgain(id fleet.AttemptID) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.runs[id]
	if !ok || r.dropped {
		return nil
	}
	r.readers++
	return r
}
