package plain

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/httpconn"
	"ragwortpond.example/ragwortpond/reason"
)

// Header fields between routers and plain services.
const (
	// HeaderAttempt carries the attempt's ID; every response echoes it.
	HeaderAttempt = "Ragwort-Attempt"
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRefused is "true" if the service refused the call and did not run it.
	HeaderRefused = "Ragwort-Refused"
)

// Defaults of ClientConfig.
const (
	DefaultDialTimeout      = time.Second
	DefaultMaxResponseBytes = 4 << 20
)

// ClientConfig configures a client. Zero values select the defaults.
type ClientConfig struct {
	// DialTimeout bounds the setup of a connection.
	DialTimeout time.Duration
	// MaxResponseBytes bounds the body of a response, in bytes.
	MaxResponseBytes int
	// OnDiscard is called for every response that is discarded because it belongs
	// to another attempt or is truncated. It may be nil.
	OnDiscard func(reason.Code)
}

type client struct {
	config ClientConfig
}

// NewClient returns a client that calls plain services over HTTP. It sends every
// call at most once and opens a new connection for each call.
func NewClient(c ClientConfig) Client {
	if c.DialTimeout <= 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.MaxResponseBytes <= 0 {
		c.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if c.OnDiscard == nil {
		c.OnDiscard = func(reason.Code) {}
	}
	return &client{config: c}
}

// Do implements Client.
func (c *client) Do(ctx context.Context, addr string, call Call) (Response, error) {
	x, err := httpconn.Start(ctx, addr, c.config.DialTimeout, newRequest(addr, call))
	if err != nil {
		return Response{}, wrapConnError(err)
	}
	defer x.Close()
	if got := fleet.AttemptID(x.Header(HeaderAttempt)); got != call.Attempt {
		c.config.OnDiscard(reason.AnswerMismatch)
		return Response{}, fmt.Errorf("%w: got %q", ErrMismatch, got)
	}
	if x.Header(HeaderRefused) == "true" {
		return Response{}, fmt.Errorf("%w: status %d", ErrRefused, x.Status())
	}
	body, err := x.ReadAll(c.config.MaxResponseBytes)
	if err != nil {
		c.countDiscarded(err)
		return Response{}, wrapConnError(err)
	}
	return Response{Status: x.Status(), Header: headerFields(x), Body: body}, nil
}

func (c *client) countDiscarded(err error) {
	if errors.Is(err, httpconn.ErrTruncated) {
		c.config.OnDiscard(reason.AnswerTruncated)
	}
}

func newRequest(addr string, call Call) *protocol.Request {
	out := protocol.NewRequest(call.Method, "http://"+addr+call.Path, nil)
	out.URI().DisablePathNormalizing = true
	for _, f := range call.Header {
		if !hopByHop[strings.ToLower(f.Name)] {
			out.Header.Add(f.Name, f.Value)
		}
	}
	out.Header.Set(HeaderAttempt, string(call.Attempt))
	if call.IdempotencyKey != "" {
		out.Header.Set(HeaderIdempotencyKey, call.IdempotencyKey)
	}
	out.SetBody(call.Body)
	return out
}

// hopByHop holds the header fields that are not forwarded, in lower case: the
// hop-by-hop fields, and content-length and host, which are set for each
// message.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true,
	"te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true, "host": true,
}

func headerFields(x *httpconn.Exchange) []Field {
	var out []Field
	x.VisitHeader(func(name, value string) {
		if !hopByHop[strings.ToLower(name)] {
			out = append(out, Field{Name: name, Value: value})
		}
	})
	return out
}

// wrapConnError wraps an error of package httpconn in the matching error of this
// package.
func wrapConnError(err error) error {
	for _, pair := range []struct{ from, to error }{
		{httpconn.ErrNotSent, ErrNotSent},
		{httpconn.ErrTooLarge, ErrTooLarge},
		{httpconn.ErrTruncated, ErrTruncated},
	} {
		if errors.Is(err, pair.from) {
			return fmt.Errorf("%w: %w", pair.to, err)
		}
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}
