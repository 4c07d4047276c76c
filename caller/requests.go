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

// Requests tells what became of a request with an idempotency key;
// *orders.Server implements it.
type Requests interface {
	Find(ctx context.Context, account fleet.AccountName, key string) (orders.Status, reason.Code)
}

// requestBody is the answer of GET /v1/requests/{key}.
type requestBody struct {
	Key    string       `json:"key"`
	State  orders.State `json:"state"`
	Answer *answerBody  `json:"answer,omitempty"`
}

// answerBody is a recorded answer: the body as text, or in base 64 where it is
// not UTF-8.
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

func (f *Face) request(ctx context.Context, c *app.RequestContext) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	_, account, bad := f.admit(c)
	if bad != nil {
		f.notRun(c, bad.code, bad.detail)
		return
	}
	key := c.Param("key")
	status, code := f.cfg.Requests.Find(ctx, account, key)
	if code != reason.None {
		f.refuse(c, code, outcome.Unknown, "", 0)
		return
	}
	body, _ := json.Marshal(requestBody{Key: key, State: status.State, Answer: answerOf(status.Answer)})
	c.Response.Header.Set(HeaderOutcome, string(status.Outcome()))
	c.Data(200, "application/json", body)
}

func answerOf(a *keyjournal.Answer) *answerBody {
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

// checkKey bounds an idempotency key.
func checkKey(key string) *refusal {
	if len(key) > orders.MaxKeyBytes {
		return &refusal{reason.MalformedBody, fmt.Sprintf("%s: at most %d bytes.", HeaderKey, orders.MaxKeyBytes)}
	}
	return nil
}
