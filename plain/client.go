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
	// HeaderAttempt carries the attempt's id; every answer echoes it.
	HeaderAttempt = "Ragwort-Attempt"
	// HeaderIdempotencyKey passes the caller's key on.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRefused is "true" on a refusal: the call was not run.
	HeaderRefused = "Ragwort-Refused"
)

// Defaults of ClientConfig.
const (
	DefaultDialTimeout = time.Second
	DefaultAnswerBytes = 4 << 20
)

// ClientConfig configures a client; zero values take the defaults.
type ClientConfig struct {
	// DialTimeout bounds the set-up of a connection.
	DialTimeout time.Duration
	// AnswerBytes bounds an answer.
	AnswerBytes int
	// Discarded is called for every answer that is thrown away; nil means that
	// nobody counts.
	Discarded func(reason.Code)
}

type client struct {
	config ClientConfig
}

// NewClient returns a client of plain services over HTTP. It sends every call
// at most once and holds no connection between calls.
func NewClient(c ClientConfig) Client {
	if c.DialTimeout <= 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.AnswerBytes <= 0 {
		c.AnswerBytes = DefaultAnswerBytes
	}
	if c.Discarded == nil {
		c.Discarded = func(reason.Code) {}
	}
	return &client{config: c}
}

// Do implements Client.
func (c *client) Do(ctx context.Context, addr string, call Call) (Answer, error) {
	x, err := httpconn.Start(ctx, addr, c.config.DialTimeout, request(addr, call))
	if err != nil {
		return Answer{}, classify(err)
	}
	defer x.Close()
	if got := fleet.AttemptID(x.Header(HeaderAttempt)); got != call.Attempt {
		c.config.Discarded(reason.AnswerMismatch)
		return Answer{}, fmt.Errorf("%w: got %q", ErrMismatch, got)
	}
	if x.Header(HeaderRefused) == "true" {
		return Answer{}, fmt.Errorf("%w: status %d", ErrRefused, x.Status())
	}
	body, err := x.ReadAll(c.config.AnswerBytes)
	if err != nil {
		c.count(err)
		return Answer{}, classify(err)
	}
	return Answer{Status: x.Status(), Header: fields(x), Body: body}, nil
}

func (c *client) count(err error) {
	if errors.Is(err, httpconn.ErrTruncated) {
		c.config.Discarded(reason.AnswerTruncated)
	}
}

func request(addr string, call Call) *protocol.Request {
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

// hopByHop names the fields that end at each connection, in lower case.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true,
	"te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true, "host": true,
}

func fields(x *httpconn.Exchange) []Field {
	var out []Field
	x.VisitHeader(func(name, value string) {
		if !hopByHop[strings.ToLower(name)] {
			out = append(out, Field{Name: name, Value: value})
		}
	})
	return out
}

// classify maps the errors of a connection to those of the package.
func classify(err error) error {
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
