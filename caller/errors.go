package caller

import (
	"context"
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
)

// Names of headers in the HTTP API for callers.
const (
	HeaderRequestID      = "Ragwort-Request"
	HeaderOutcome        = "Ragwort-Outcome"
	HeaderReason         = "Ragwort-Reason"
	HeaderContext        = "Ragwort-Context"
	HeaderChat           = "Ragwort-Chat"
	HeaderDeadline       = "Ragwort-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"

	headerLastEvent  = "Last-Event-ID"
	headerRetryAfter = "Retry-After"
)

const defaultRetryAfter = time.Second

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Type    string `json:"type"`
	Outcome string `json:"outcome"`
}

func newErrorBody(code reason.Code, word outcome.Label, detail string) errorBody {
	info := reason.Describe(code)
	message := info.Text
	if detail != "" {
		message += " " + detail
	}
	kind := "server_error"
	if info.Status < 500 {
		kind = "invalid_request_error"
	}
	return errorBody{Error: errorFields{Code: string(code), Message: message, Type: kind, Outcome: string(word)}}
}

// writeError answers a request that got no response from a target.
func (f *HTTPServer) writeError(c *app.RequestContext, code reason.Code, word outcome.Label, detail string, after time.Duration) {
	info := reason.Describe(code)
	f.cfg.Metrics.CountRefusal(code)
	body, _ := json.Marshal(newErrorBody(code, word, detail))
	c.Response.Header.Set(HeaderOutcome, string(word))
	c.Response.Header.Set(HeaderReason, string(code))
	if info.Retriable {
		c.Response.Header.Set(headerRetryAfter, formatRetryAfter(after))
	}
	c.Data(info.Status, "application/json", body)
}

// formatRetryAfter rounds up to whole seconds, the unit of the Retry-After
// header.
func formatRetryAfter(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

func (f *HTTPServer) writeNotRun(c *app.RequestContext, code reason.Code, detail string) {
	event.RequestNotRun.Log(f.cfg.Log).Str("request", string(requestID(c))).Str("reason", string(code)).
		Str("detail", detail).Int("attempts", 0).Send()
	f.writeError(c, code, outcome.NotRun, detail, 0)
}

func (f *HTTPServer) handleUnknownPath(_ context.Context, c *app.RequestContext) {
	f.writeNotRun(c, reason.UnknownPath, "")
}
