package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"unicode/utf8"

	"github.com/cloudwego/hertz/pkg/app"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keyjournal"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/router/orders"
)

// RequestLookup looks up the state of a request by its idempotency key.
// *orders.Server implements it.
type RequestLookup interface {
	Lookup(ctx context.Context, account fleet.AccountName, key string) (orders.Status, reason.Code)
}

// requestBody is the response body of GET /v1/requests/{key}.
type requestBody struct {
	Key    string       `json:"key"`
	State  orders.State `json:"state"`
	Answer *answerBody  `json:"answer,omitempty"`
}

// answerBody is a recorded response. The body is text, or base64 if it is not
// valid UTF-8.
type answerBody struct {
	Status      int          `json:"status"`
	Header      []headerBody `json:"header,omitempty"`
	Body        string       `json:"body,omitempty"`
	BodyBase64  []byte       `json:"body_base64,omitempty"`
	BodyOmitted bool         `json:"body_omitted,omitempty"`
}

type headerBody struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

func (f *HTTPServer) handleRequestStatus(ctx context.Context, c *app.RequestContext) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	_, account, reqErr := f.admit(c)
	if reqErr != nil {
		f.writeNotRun(c, reqErr.code, reqErr.detail)
		return
	}
	key := c.Param("key")
	status, code := f.cfg.RequestLookup.Lookup(ctx, account, key)
	if code != reason.None {
		f.writeError(c, code, outcome.Unknown, "", 0)
		return
	}
	body, _ := json.Marshal(requestBody{Key: key, State: status.State, Answer: newAnswerBody(status.Answer)})
	c.Response.Header.Set(HeaderOutcome, string(status.Outcome()))
	c.Data(200, "application/json", body)
}

func newAnswerBody(a *keyjournal.Response) *answerBody {
	if a == nil {
		return nil
	}
	body := &answerBody{Status: a.Status, BodyOmitted: a.BodyOmitted}
	for _, f := range a.Header {
		body.Header = append(body.Header, headerBody{Name: f.Name, Value: f.Value})
	}
	if utf8.Valid(a.Body) {
		body.Body = string(a.Body)
	} else {
		body.BodyBase64 = a.Body
	}
	return body
}

// validateIdempotencyKey checks the length of an idempotency key.
func validateIdempotencyKey(key string) *requestError {
	if len(key) > orders.MaxKeyBytes {
		return &requestError{reason.MalformedBody, fmt.Sprintf("%s: at most %d bytes.", HeaderIdempotencyKey, orders.MaxKeyBytes)}
	}
	return nil
}
