package caller

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/router/entry"
	"ragwortpond.example/ragwortpond/settings"
)

// refusal is an error that carries a reason and a detail for the caller.
type refusal struct {
	code   reason.Code
	detail string
}

func (r *refusal) Error() string {
	return string(r.code) + ": " + r.detail
}

// admit checks what all requests have in common: the router takes requests and
// the key is known.
func (f *Face) admit(c *app.RequestContext) (*settings.Snapshot, fleet.AccountName, *refusal) {
	if f.refusing.Load() {
		return nil, "", &refusal{code: reason.Draining}
	}
	snapshot := f.cfg.Snapshot()
	if snapshot == nil || !f.cfg.Ready() {
		return nil, "", &refusal{code: reason.NotReady}
	}
	key := bearer(c)
	account, ok := f.index.find(snapshot, key)
	if key == "" || !ok {
		return nil, "", &refusal{code: reason.Unauthenticated}
	}
	return snapshot, account, nil
}

// readBody reads a body of at most limit bytes.
func readBody(c *app.RequestContext, limit int) ([]byte, *refusal) {
	if c.Request.Header.ContentLength() > limit {
		return nil, tooLarge(limit)
	}
	if !c.Request.IsBodyStream() {
		return c.Request.Body(), nil
	}
	body, err := io.ReadAll(io.LimitReader(c.RequestBodyStream(), int64(limit)+1))
	if err != nil {
		return nil, &refusal{reason.MalformedBody, "The body could not be read."}
	}
	if len(body) > limit {
		return nil, tooLarge(limit)
	}
	return body, nil
}

func tooLarge(limit int) *refusal {
	return &refusal{reason.BodyTooLarge, fmt.Sprintf("The limit is %d bytes.", limit)}
}

var errDeadline = errors.New("not a positive number of milliseconds")

// deadline returns when the request has to be over.
func deadline(c *app.RequestContext, v *settings.Values) (time.Time, *refusal) {
	limit := v.Limits.DeadlineMS.Duration()
	if raw := string(c.GetHeader(HeaderDeadline)); raw != "" {
		ms, err := strconv.ParseInt(raw, 10, 32)
		if err != nil || ms <= 0 {
			return time.Time{}, &refusal{reason.MalformedBody, HeaderDeadline + ": " + errDeadline.Error() + "."}
		}
		limit = time.Duration(ms) * time.Millisecond
	}
	if limit <= 0 {
		return time.Time{}, nil
	}
	return time.Now().Add(limit), nil
}

func (f *Face) base(c *app.RequestContext, account fleet.AccountName, s settings.Service, v *settings.Values) (*entry.Request, *refusal) {
	due, bad := deadline(c, v)
	if bad != nil {
		return nil, bad
	}
	key := string(c.GetHeader(HeaderKey))
	if bad := checkKey(key); bad != nil {
		return nil, bad
	}
	req := &entry.Request{
		ID: requestID(c), Account: account, Service: s.Name, Kind: s.Kind, Values: v, Deadline: due,
		IdempotencyKey: key,
	}
	return req, nil
}

// requestID is the id that the answer names the request by.
func requestID(c *app.RequestContext) fleet.RequestID {
	return fleet.RequestID(c.Response.Header.Peek(HeaderRequest))
}
