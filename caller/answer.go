package caller

import (
	"context"
	"encoding/json"
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

// answer writes an answer to the caller as it comes: as server-sent events
// where the request asked for a stream, else as one body once it is whole.
type answer struct {
	c      *app.RequestContext
	stream bool
	writer network.ExtWriter
	line   []byte
	status int
	body   []byte
	// begun is called once, when the answer's head arrives.
	begun func()
}

// Head implements wire.Sink.
func (a *answer) Head(h wire.Head) error {
	a.status = h.Status
	a.begun()
	for _, field := range h.Header {
		a.c.Response.Header.Add(field.Name, field.Value)
	}
	if !a.streams() {
		return nil
	}
	a.c.SetStatusCode(h.Status)
	a.c.Response.Header.Set("Content-Type", "text/event-stream")
	a.c.Response.Header.Set("Cache-Control", "no-store")
	a.writer = resp.NewChunkedBodyWriter(&a.c.Response, a.c.GetWriter())
	a.c.Response.HijackWriter(a.writer)
	return nil
}

func (a *answer) streams() bool {
	return a.stream && a.status == 200
}

// Event implements wire.Sink.
func (a *answer) Event(seq uint64, data []byte) error {
	if !a.streams() {
		a.body = append(a.body, data...)
		return nil
	}
	a.line = append(a.line[:0], "id: "...)
	a.line = strconv.AppendUint(a.line, seq, 10)
	a.line = append(a.line, "\ndata: "...)
	a.line = append(a.line, data...)
	a.line = append(a.line, "\n\n"...)
	_, err := a.writer.Write(a.line)
	return err
}

// Flush implements wire.Sink.
func (a *answer) Flush() error {
	if a.writer == nil {
		return nil
	}
	return a.writer.Flush()
}

// handle serves what read makes of a call, or refuses the call as not run.
func (f *Face) handle(read func(*app.RequestContext) (*entry.Request, *refusal)) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		f.inFlight.Add(1)
		defer f.inFlight.Add(-1)
		c.Response.Header.Set(HeaderRequest, string(entry.NewRequestID()))
		req, bad := read(c)
		if bad != nil {
			f.notRun(c, bad.code, bad.detail)
			return
		}
		f.serve(ctx, c, req)
	}
}

// serve runs a request and ends its answer.
func (f *Face) serve(ctx context.Context, c *app.RequestContext, req *entry.Request) {
	arrived := time.Now()
	out := &answer{c: c, stream: req.Stream, begun: func() {
		f.cfg.Metrics.FirstByteSeconds.WithLabelValues(string(req.Service)).Observe(time.Since(arrived).Seconds())
	}}
	result := f.cfg.Server.Do(ctx, req, out)
	defer f.logEnd(req, result, arrived)
	switch {
	case out.writer != nil:
		f.endStream(out, result)
	case result.Whole():
		c.Response.Header.Set(HeaderOutcome, string(outcome.Completed))
		if req.Kind == fleet.KindEngine {
			c.Response.Header.SetContentType("application/json")
		}
		c.Response.SetStatusCode(out.status)
		c.Response.SetBodyRaw(out.body)
	default:
		f.refuse(c, result.Reason, result.Outcome.Word(), "", result.RetryAfter)
	}
}

// logEnd logs how a request ended.
func (f *Face) logEnd(req *entry.Request, result entry.Result, arrived time.Time) {
	endEvent(result).Log(f.cfg.Log).Str("request", string(req.ID)).Str("service", string(req.Service)).
		Str("account", string(req.Account)).Str("target", string(result.Target)).Str("reason", string(result.Reason)).
		Dur("retry_after", result.RetryAfter).Int("attempts", result.Attempts).Dur("whole", time.Since(arrived)).Send()
}

func endEvent(result entry.Result) event.Event {
	switch {
	case result.Whole():
		return event.RequestServed
	case result.Started:
		return event.AnswerCut
	case result.Outcome == outcome.NotDispatched:
		return event.RequestNotRun
	default:
		return event.RequestUnknown
	}
}

// endStream ends a stream with [DONE] only if it is whole.
func (f *Face) endStream(out *answer, result entry.Result) {
	last := "data: [DONE]\n\n"
	if !result.Whole() {
		code := result.Reason
		if code == reason.None {
			code = reason.StreamBroken
		}
		f.cfg.Metrics.Refused(code)
		body, _ := json.Marshal(errorOf(code, result.Outcome.Word(), ""))
		last = "event: error\ndata: " + string(body) + "\n\n"
	}
	out.writer.Write([]byte(last))
	out.writer.Flush()
	out.writer.Finalize()
}
