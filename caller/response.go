package caller

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/router/entry"
	"ragwortpond.example/ragwortpond/router/wire"
)

// responseWriter writes a response to the caller as it arrives: as server-sent
// events if the request asked for a stream, otherwise as one body after the
// last event.
type responseWriter struct {
	c      *app.RequestContext
	stream bool
	writer network.ExtWriter
	line   []byte
	status int
	body   []byte
	// onHead is called once, when the response head arrives.
	onHead func()
}

// Head implements wire.Sink.
func (w *responseWriter) Head(h wire.Head) error {
	w.status = h.Status
	w.onHead()
	for _, field := range h.Header {
		w.c.Response.Header.Add(field.Name, field.Value)
	}
	if !w.isStreaming() {
		return nil
	}
	w.c.SetStatusCode(h.Status)
	w.c.Response.Header.Set("Content-Type", "text/event-stream")
	w.c.Response.Header.Set("Cache-Control", "no-store")
	w.writer = resp.NewChunkedBodyWriter(&w.c.Response, w.c.GetWriter())
	w.c.Response.HijackWriter(w.writer)
	return nil
}

func (w *responseWriter) isStreaming() bool {
	return w.stream && w.status == 200
}

// Event implements wire.Sink.
func (w *responseWriter) Event(seq uint64, data []byte) error {
	if !w.isStreaming() {
		w.body = append(w.body, data...)
		return nil
	}
	w.line = append(w.line[:0], "id: "...)
	w.line = strconv.AppendUint(w.line, seq, 10)
	w.line = append(w.line, "\ndata: "...)
	w.line = append(w.line, data...)
	w.line = append(w.line, "\n\n"...)
	_, err := w.writer.Write(w.line)
	return err
}

// Flush implements wire.Sink.
func (w *responseWriter) Flush() error {
	if w.writer == nil {
		return nil
	}
	return w.writer.Flush()
}

// handle returns a handler that serves the request parsed by parse. If parse
// fails, the handler reports that the request was not run.
func (f *HTTPServer) handle(parse func(*app.RequestContext) (*entry.Request, *requestError)) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		f.inFlight.Add(1)
		c.Response.Header.Set(HeaderRequestID, string(entry.NewRequestID()))
		if req, reqErr := parse(c); reqErr != nil {
			f.writeNotRun(c, reqErr.code, reqErr.detail)
		} else {
			f.serve(ctx, c, req)
		}
		if c.Response.GetHijackWriter() != nil {
			// The stream has been written to its end.
			f.inFlight.Add(-1)
			return
		}
		f.announceClose(c)
		c.Response.HijackWriter(&bodyWriter{c: c, written: func() { f.inFlight.Add(-1) }})
	}
}

// bodyWriter writes a response in one piece after its handler has returned, and
// calls written once the caller has taken it or its connection failed.
type bodyWriter struct {
	c       *app.RequestContext
	written func()
	started bool
	err     error
}

// errBodyOnly means that a handler wrote to a response after it was complete.
var errBodyOnly = errors.New("caller: response is already complete")

// Write implements network.ExtWriter.
func (w *bodyWriter) Write([]byte) (int, error) {
	return 0, errBodyOnly
}

// Flush implements network.ExtWriter.
func (w *bodyWriter) Flush() error {
	return w.c.GetWriter().Flush()
}

// Finalize implements network.ExtWriter.
func (w *bodyWriter) Finalize() error {
	if w.started {
		return w.err
	}
	w.started = true
	defer w.written()
	w.err = resp.Write(&w.c.Response, w.c.GetWriter())
	if w.err == nil {
		w.err = w.Flush()
	}
	return w.err
}

// serve runs a request and finishes the response.
func (f *HTTPServer) serve(ctx context.Context, c *app.RequestContext, req *entry.Request) {
	arrived := time.Now()
	out := &responseWriter{c: c, stream: req.Stream, onHead: func() {
		f.announceClose(c)
		f.cfg.Metrics.FirstByteSeconds.WithLabelValues(string(req.Service)).Observe(time.Since(arrived).Seconds())
	}}
	result := f.cfg.Server.Do(ctx, req, out)
	defer f.logResult(req, result, arrived)
	switch {
	case out.writer != nil:
		f.finishStream(out, result)
	case result.Complete():
		c.Response.Header.Set(HeaderOutcome, string(outcome.Completed))
		if req.Kind == fleet.KindEngine {
			c.Response.Header.SetContentType("application/json")
		}
		c.Response.SetStatusCode(out.status)
		c.Response.SetBodyRaw(out.body)
	default:
		f.writeError(c, result.Reason, result.Outcome.Label(), "", result.RetryAfter)
	}
}

// logResult logs the outcome of a request.
func (f *HTTPServer) logResult(req *entry.Request, result entry.Result, arrived time.Time) {
	resultEvent(result).Log(f.cfg.Log).Str("request", string(req.ID)).Str("service", string(req.Service)).
		Str("account", string(req.Account)).Str("target", string(result.Target)).Str("reason", string(result.Reason)).
		Dur("retry_after", result.RetryAfter).Int("attempts", result.Attempts).Dur("whole", time.Since(arrived)).Send()
}

func resultEvent(result entry.Result) event.Event {
	switch {
	case result.Complete():
		return event.RequestServed
	case result.HeadSent:
		return event.AnswerAborted
	case result.Outcome == outcome.NotDispatched:
		return event.RequestNotRun
	default:
		return event.RequestUnknown
	}
}

// finishStream ends a stream with [DONE] if the response is complete, otherwise
// with an error event.
func (f *HTTPServer) finishStream(out *responseWriter, result entry.Result) {
	last := "data: [DONE]\n\n"
	if !result.Complete() {
		code := result.Reason
		if code == reason.None {
			code = reason.StreamBroken
		}
		f.cfg.Metrics.CountRefusal(code)
		body, _ := json.Marshal(newErrorBody(code, result.Outcome.Label(), ""))
		last = "event: error\ndata: " + string(body) + "\n\n"
	}
	out.writer.Write([]byte(last))
	out.writer.Flush()
	out.writer.Finalize()
}
