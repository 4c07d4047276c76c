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

// requestError is an error with a reason code and a detail text for the caller.
type requestError struct {
	code   reason.Code
	detail string
}

func (r *requestError) Error() string {
	return string(r.code) + ": " + r.detail
}

// admit applies the checks common to all requests: the router accepts requests
// and the key belongs to a client account.
func (f *HTTPServer) admit(c *app.RequestContext) (*settings.Snapshot, fleet.AccountName, *requestError) {
	if f.rejectNew.Load() {
		return nil, "", &requestError{code: reason.Draining}
	}
	snapshot := f.cfg.Snapshot()
	if snapshot == nil || !f.cfg.Ready() {
		return nil, "", &requestError{code: reason.NotReady}
	}
	key := bearerToken(c)
	account, ok := f.index.lookup(snapshot, key)
	if key == "" || !ok {
		return nil, "", &requestError{code: reason.Unauthenticated}
	}
	return snapshot, account, nil
}

// readBody returns the request body or, if it is longer than limit bytes, an
// error.
func readBody(c *app.RequestContext, limit int) ([]byte, *requestError) {
	if c.Request.Header.ContentLength() > limit {
		return nil, bodyTooLarge(limit)
	}
	if !c.Request.IsBodyStream() {
		return c.Request.Body(), nil
	}
	body, err := io.ReadAll(io.LimitReader(c.RequestBodyStream(), int64(limit)+1))
	if err != nil {
		return nil, &requestError{reason.MalformedBody, "The body could not be read."}
	}
	if len(body) > limit {
		return nil, bodyTooLarge(limit)
	}
	return body, nil
}

func bodyTooLarge(limit int) *requestError {
	return &requestError{reason.BodyTooLarge, fmt.Sprintf("The limit is %d bytes.", limit)}
}

var errInvalidDeadline = errors.New("not a positive number of milliseconds")

// parseDeadline returns the time by which the request must end, or zero for no
// deadline. The request header overrides the configured limit.
func parseDeadline(c *app.RequestContext, v *settings.Values) (time.Time, *requestError) {
	limit := v.Limits.DeadlineMS.Duration()
	if raw := string(c.GetHeader(HeaderDeadline)); raw != "" {
		ms, err := strconv.ParseInt(raw, 10, 32)
		if err != nil || ms <= 0 {
			return time.Time{}, &requestError{reason.MalformedBody, HeaderDeadline + ": " + errInvalidDeadline.Error() + "."}
		}
		limit = time.Duration(ms) * time.Millisecond
	}
	if limit <= 0 {
		return time.Time{}, nil
	}
	return time.Now().Add(limit), nil
}

func (f *HTTPServer) newRequest(c *app.RequestContext, account fleet.AccountName, s settings.Service, v *settings.Values) (*entry.Request, *requestError) {
	deadline, reqErr := parseDeadline(c, v)
	if reqErr != nil {
		return nil, reqErr
	}
	key := string(c.GetHeader(HeaderIdempotencyKey))
	if reqErr := validateIdempotencyKey(key); reqErr != nil {
		return nil, reqErr
	}
	req := &entry.Request{
		ID: requestID(c), Account: account, Service: s.Name, Kind: s.Kind, Values: v, Deadline: deadline,
		IdempotencyKey: key,
	}
	return req, nil
}

// requestID returns the ID that the response header gives for the request.
func requestID(c *app.RequestContext) fleet.RequestID {
	return fleet.RequestID(c.Response.Header.Peek(HeaderRequestID))
}
