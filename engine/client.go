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
	// HeaderAttempt carries the attempt's id; every answer echoes it.
	HeaderAttempt = "Ragwort-Attempt"
	// HeaderChatKey carries the chat key in decimal.
	HeaderChatKey = "Ragwort-Chat-Key"
	// HeaderPriority carries the priority in decimal; higher goes first.
	HeaderPriority = "Ragwort-Priority"
	// HeaderCachedTokens tells how many prompt tokens were in the cache.
	HeaderCachedTokens = "Ragwort-Cached-Tokens"
	// HeaderRefused is "true" on a refusal: the request was not run.
	HeaderRefused = "Ragwort-Refused"
	// HeaderLeaving is "true" on a refusal by a target that is leaving.
	HeaderLeaving = "Ragwort-Leaving"
)

// Defaults of ClientConfig.
const (
	DefaultDialTimeout    = time.Second
	DefaultControlTimeout = 5 * time.Second
	DefaultAnswerBytes    = 4 << 20
	DefaultEventBytes     = 1 << 20
	DefaultKVBytes        = 64 << 20
)

// ClientConfig configures a client; zero values take the defaults.
type ClientConfig struct {
	// DialTimeout bounds the set-up of a connection.
	DialTimeout time.Duration
	// ControlTimeout bounds every call but Chat, Resume, Export and Import.
	ControlTimeout time.Duration
	// AnswerBytes bounds an answer that is not streamed.
	AnswerBytes int
	// EventBytes bounds one server-sent event.
	EventBytes int
	// KVBytes bounds an exported KV cache.
	KVBytes int
	// Probed is called with the bytes of each load report and each page of
	// cache events, question and answer; nil means that nobody counts.
	Probed func(bytes int)
	// Discarded is called for every part of an answer that is thrown away;
	// nil means that nobody counts.
	Discarded func(reason.Code)
}

type client struct {
	config ClientConfig
}

// NewClient returns a client of engines over HTTP. It holds no connection
// between calls.
func NewClient(c ClientConfig) Client {
	c.DialTimeout = orDuration(c.DialTimeout, DefaultDialTimeout)
	c.ControlTimeout = orDuration(c.ControlTimeout, DefaultControlTimeout)
	c.AnswerBytes = orInt(c.AnswerBytes, DefaultAnswerBytes)
	c.EventBytes = orInt(c.EventBytes, DefaultEventBytes)
	c.KVBytes = orInt(c.KVBytes, DefaultKVBytes)
	if c.Probed == nil {
		c.Probed = func(int) {}
	}
	if c.Discarded == nil {
		c.Discarded = func(reason.Code) {}
	}
	return &client{config: c}
}

func orDuration(v, otherwise time.Duration) time.Duration {
	if v <= 0 {
		return otherwise
	}
	return v
}

func orInt(v, otherwise int) int {
	if v <= 0 {
		return otherwise
	}
	return v
}

func newRequest(method, addr, path string) *protocol.Request {
	return protocol.NewRequest(method, "http://"+addr+path, nil)
}

// Chat implements Client.
func (c *client) Chat(ctx context.Context, addr string, r Request) (Answer, error) {
	out := newRequest("POST", addr, "/v1/chat/completions")
	out.Header.SetContentTypeBytes([]byte("application/json"))
	out.Header.Set(HeaderAttempt, string(r.Attempt))
	out.Header.Set(HeaderChatKey, strconv.FormatUint(uint64(r.Chat), 10))
	out.Header.Set(HeaderPriority, strconv.Itoa(r.Priority))
	out.SetBody(r.Body)
	return c.open(ctx, addr, out, r.Attempt, 0)
}

// Resume implements Client.
func (c *client) Resume(ctx context.Context, addr string, attempt fleet.AttemptID, from uint64) (Answer, error) {
	path := "/v1/streams/" + string(attempt) + "?from=" + strconv.FormatUint(from, 10)
	out := newRequest("GET", addr, path)
	out.Header.Set(HeaderAttempt, string(attempt))
	return c.open(ctx, addr, out, attempt, from)
}

func (c *client) open(ctx context.Context, addr string, out *protocol.Request, attempt fleet.AttemptID, from uint64) (Answer, error) {
	x, err := httpconn.Start(ctx, addr, c.config.DialTimeout, out)
	if err != nil {
		return nil, classify(err)
	}
	if err := c.checkHead(x, attempt); err != nil {
		x.Close()
		return nil, err
	}
	return newAnswer(x, from, c.config), nil
}

// checkHead accepts a head of this attempt only: a refusal of another attempt
// says nothing about this one.
func (c *client) checkHead(x *httpconn.Exchange, attempt fleet.AttemptID) error {
	if got := x.Header(HeaderAttempt); got != string(attempt) {
		c.config.Discarded(reason.AnswerMismatch)
		return fmt.Errorf("%w: got %q", ErrMismatch, got)
	}
	if x.Status() == 404 && x.Header(HeaderRefused) == "true" {
		return ErrNoStream
	}
	return refusal(x)
}

func refusal(x *httpconn.Exchange) error {
	if x.Header(HeaderRefused) != "true" {
		return nil
	}
	if x.Header(HeaderLeaving) == "true" {
		return ErrLeaving
	}
	return fmt.Errorf("%w: status %d", ErrRefused, x.Status())
}

// classify maps the errors of a connection to those of the package.
func classify(err error) error {
	switch {
	case errors.Is(err, httpconn.ErrNotSent):
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	case errors.Is(err, httpconn.ErrTruncated):
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	default:
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
}
