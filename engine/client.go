package engine

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/httpconn"
	"ragwortpond.example/ragwortpond/reason"
)

// Header fields between routers and engines.
const (
	// HeaderAttempt carries the attempt's ID; every response echoes it.
	HeaderAttempt = "Ragwort-Attempt"
	// HeaderChatKey carries the chat key in decimal.
	HeaderChatKey = "Ragwort-Chat-Key"
	// HeaderPriority carries the priority in decimal; higher values go first.
	HeaderPriority = "Ragwort-Priority"
	// HeaderCachedTokens carries the number of prompt tokens that were in the
	// engine's cache.
	HeaderCachedTokens = "Ragwort-Cached-Tokens"
	// HeaderRefused is "true" if the engine refused the request and did not run
	// it.
	HeaderRefused = "Ragwort-Refused"
	// HeaderLeaving is "true" if the engine refused the request because it is
	// leaving.
	HeaderLeaving = "Ragwort-Leaving"
)

// Defaults of ClientConfig. Sizes are in bytes.
const (
	DefaultDialTimeout      = time.Second
	DefaultControlTimeout   = 5 * time.Second
	DefaultMaxResponseBytes = 4 << 20
	DefaultMaxEventBytes    = 1 << 20
	DefaultMaxKVBytes       = 64 << 20
)

// ClientConfig configures a client. Zero values select the defaults.
type ClientConfig struct {
	// DialTimeout bounds the setup of a connection.
	DialTimeout time.Duration
	// ControlTimeout bounds every call except Chat, Resume, Export and Import.
	ControlTimeout time.Duration
	// MaxResponseBytes bounds the body of a response that is not streamed.
	MaxResponseBytes int
	// MaxEventBytes bounds one server-sent event.
	MaxEventBytes int
	// MaxKVBytes bounds an exported KV cache.
	MaxKVBytes int
	// OnProbe is called for each successful call of Load, CacheEvents and State
	// with the size of the request's header plus that of the response's body. It
	// may be nil.
	OnProbe func(bytes int)
	// OnDiscard is called for every response or event that is discarded. It may
	// be nil.
	OnDiscard func(reason.Code)
}

type client struct {
	config ClientConfig
}

// NewClient returns a client that calls engines over HTTP. It opens a new
// connection for each call.
func NewClient(c ClientConfig) Client {
	c.DialTimeout = durationOrDefault(c.DialTimeout, DefaultDialTimeout)
	c.ControlTimeout = durationOrDefault(c.ControlTimeout, DefaultControlTimeout)
	c.MaxResponseBytes = intOrDefault(c.MaxResponseBytes, DefaultMaxResponseBytes)
	c.MaxEventBytes = intOrDefault(c.MaxEventBytes, DefaultMaxEventBytes)
	c.MaxKVBytes = intOrDefault(c.MaxKVBytes, DefaultMaxKVBytes)
	if c.OnProbe == nil {
		c.OnProbe = func(int) {}
	}
	if c.OnDiscard == nil {
		c.OnDiscard = func(reason.Code) {}
	}
	return &client{config: c}
}

func durationOrDefault(v, fallback time.Duration) time.Duration {
	if v <= 0 {
		return fallback
	}
	return v
}

func intOrDefault(v, fallback int) int {
	if v <= 0 {
		return fallback
	}
	return v
}

func newRequest(method, addr, path string) *protocol.Request {
	return protocol.NewRequest(method, "http://"+addr+path, nil)
}

// Chat implements Client.
func (c *client) Chat(ctx context.Context, addr string, r Request) (Response, error) {
	out := newRequest("POST", addr, "/v1/chat/completions")
	out.Header.SetContentTypeBytes([]byte("application/json"))
	out.Header.Set(HeaderAttempt, string(r.Attempt))
	out.Header.Set(HeaderChatKey, strconv.FormatUint(uint64(r.Chat), 10))
	out.Header.Set(HeaderPriority, strconv.Itoa(r.Priority))
	out.SetBody(r.Body)
	return c.open(ctx, addr, out, r.Attempt, 0)
}

// Resume implements Client.
func (c *client) Resume(ctx context.Context, addr string, attempt fleet.AttemptID, from uint64) (Response, error) {
	path := "/v1/streams/" + string(attempt) + "?from=" + strconv.FormatUint(from, 10)
	out := newRequest("GET", addr, path)
	out.Header.Set(HeaderAttempt, string(attempt))
	return c.open(ctx, addr, out, attempt, from)
}

// open sends a request and returns the response to the given attempt, whose
// first event is event number from.
func (c *client) open(ctx context.Context, addr string, out *protocol.Request, attempt fleet.AttemptID, from uint64) (Response, error) {
	x, err := httpconn.Start(ctx, addr, c.config.DialTimeout, out)
	if err != nil {
		return nil, wrapConnError(err)
	}
	if err := c.checkHeader(x, attempt); err != nil {
		x.Close()
		return nil, err
	}
	return newResponse(x, from, c.config), nil
}

// checkHeader returns an error unless the header of a response accepts the
// attempt. It checks the attempt's ID first, because the refusal of another
// attempt says nothing about this one.
func (c *client) checkHeader(x *httpconn.Exchange, attempt fleet.AttemptID) error {
	if got := x.Header(HeaderAttempt); got != string(attempt) {
		c.config.OnDiscard(reason.AnswerMismatch)
		return fmt.Errorf("%w: got %q", ErrMismatch, got)
	}
	if x.Status() == 404 && x.Header(HeaderRefused) == "true" {
		return ErrNoStream
	}
	return refusalError(x)
}

// refusalError returns an error if the engine refused the request, or else nil.
func refusalError(x *httpconn.Exchange) error {
	if x.Header(HeaderRefused) != "true" {
		return nil
	}
	if x.Header(HeaderLeaving) == "true" {
		return ErrLeaving
	}
	return fmt.Errorf("%w: status %d", ErrRefused, x.Status())
}

// wrapConnError wraps an error of package httpconn in the matching error of
// this package.
func wrapConnError(err error) error {
	switch {
	case errors.Is(err, httpconn.ErrNotSent):
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	case errors.Is(err, httpconn.ErrTruncated):
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	default:
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
}
