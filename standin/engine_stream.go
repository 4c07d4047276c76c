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

// answerFaults are the faults selected for one answer.
type answerFaults struct {
	duplicated, truncated, broken bool
}

// answer sends the answer of an accepted run with the faults selected from f.
func (e *Engine) answer(c *app.RequestContext, r *run, body chatBody, f EngineFaults) {
	defer e.releaseReader(r, f.NoResume)
	wait := f.Delay
	if e.faultSampler.sample(f.DelayRate) {
		wait += f.ExtraDelay
	}
	e.pause(wait)
	if e.faultSampler.sample(f.LostRate) {
		_ = c.GetConn().Close()
		return
	}
	if e.faultSampler.sample(f.WrongAttemptRate) {
		c.Header(engine.HeaderAttempt, strings.Repeat("0", 32))
	}
	faults := answerFaults{e.faultSampler.sample(f.DuplicateRate), e.faultSampler.sample(f.TruncatedRate), e.faultSampler.sample(f.BrokenRate)}
	e.awaitStart(r)
	c.Header(engine.HeaderCachedTokens, strconv.Itoa(e.runCachedTokens(r)))
	if body.Stream {
		e.stream(c, r, 0, faults)
		return
	}
	e.sendBody(c, r, body.Model, faults)
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

// releaseReader records that a connection no longer reads the run. With discard,
// an unfinished run is cancelled and deleted, so that it cannot be resumed.
func (e *Engine) releaseReader(r *run, discard bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.readers--
	r.unreadSince = time.Now()
	if discard && !r.done {
		e.cancelRun(r, r.unreadSince)
		delete(e.runs, r.id)
	}
}

func (e *Engine) runCachedTokens(r *run) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.cachedTokens
}

// awaitStart waits until the run has generated its first token, has ended, or the
// engine stops.
func (e *Engine) awaitStart(r *run) {
	for {
		generated, ended, changed := e.progress(r)
		if generated > 0 || ended {
			return
		}
		select {
		case <-changed:
		case <-e.stop:
			return
		}
	}
}

// progress returns the number of generated tokens, whether the run has ended, and
// a channel that is closed at the next change.
func (e *Engine) progress(r *run) (int, bool, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.generated, r.done || r.cancelled, r.changed
}

// stream sends the events with sequence numbers of at least from: one for each
// token, one with the finish reason, and the end marker.
func (e *Engine) stream(c *app.RequestContext, r *run, from int, faults answerFaults) {
	c.Header("Content-Type", "text/event-stream")
	w := resp.NewChunkedBodyWriter(&c.Response, c.GetWriter())
	c.Response.HijackWriter(w)
	send := func(seq int, data string) bool {
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", seq, data)
		if faults.duplicated {
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
		if seq >= half && faults.truncated {
			return
		}
		if seq >= half && faults.broken || !send(seq, chunk(r, r.tokens[seq], "")) {
			_ = c.GetConn().Close()
			return
		}
	}
	if !e.awaitEnd(r) {
		return
	}
	if from <= len(r.tokens) {
		send(len(r.tokens), chunk(r, "", r.finishReason))
	}
	send(len(r.tokens)+1, "[DONE]")
}

// awaitToken waits until token seq is generated. It returns false if the run ended
// without it or the engine stops.
func (e *Engine) awaitToken(r *run, seq int) bool {
	for {
		generated, ended, changed := e.progress(r)
		if generated > seq {
			return true
		}
		if ended || !e.waitChange(changed) {
			return false
		}
	}
}

// awaitEnd waits until the run has ended. It returns false if the run was
// cancelled or the engine stops.
func (e *Engine) awaitEnd(r *run) bool {
	for {
		generated, ended, changed := e.progress(r)
		if ended {
			return generated == len(r.tokens)
		}
		if !e.waitChange(changed) {
			return false
		}
	}
}

func (e *Engine) waitChange(changed <-chan struct{}) bool {
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

// sendBody sends the answer as one JSON body.
func (e *Engine) sendBody(c *app.RequestContext, r *run, model string, faults answerFaults) {
	if !e.awaitEnd(r) {
		_ = c.GetConn().Close()
		return
	}
	text := strings.Join(r.tokens, "")
	b, _ := json.Marshal(map[string]any{
		"id": "chatcmpl-" + string(r.id), "object": "chat.completion", "model": model,
		"choices": []any{map[string]any{
			"index": 0, "message": Message{Role: "assistant", Content: text}, "finish_reason": r.finishReason,
		}},
		"usage": map[string]int{
			"prompt_tokens": r.promptTokens, "completion_tokens": len(r.tokens), "total_tokens": r.promptTokens + len(r.tokens),
		},
	})
	if faults.truncated || faults.broken {
		sendTruncated(c, b)
		return
	}
	c.Data(http.StatusOK, "application/json", b)
}

// sendTruncated sends a Content-Length of the whole body, half of the body, and
// closes the connection.
func sendTruncated(c *app.RequestContext, body []byte) {
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
	r := e.addReader(id)
	if r == nil || err != nil || from < 0 {
		c.Header(engine.HeaderRefused, "true")
		c.SetStatusCode(http.StatusNotFound)
		return
	}
	defer e.releaseReader(r, false)
	e.stream(c, r, from, answerFaults{})
}

// addReader returns the run of an attempt and counts a further reader of it, or
// returns nil if there is none or it was cancelled.
func (e *Engine) addReader(id fleet.AttemptID) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.runs[id]
	if !ok || r.cancelled {
		return nil
	}
	r.readers++
	return r
}
