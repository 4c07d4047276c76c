package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cloudwego/hertz/pkg/protocol"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/httpconn"
)

// Cancel implements Client.
func (c *client) Cancel(ctx context.Context, addr string, attempt fleet.AttemptID) error {
	out := newRequest("DELETE", addr, "/v1/streams/"+string(attempt))
	_, err := c.control(ctx, addr, out)
	return err
}

// Load implements Client.
func (c *client) Load(ctx context.Context, addr string) (Load, error) {
	var l Load
	err := c.get(ctx, addr, "/v1/load", &l)
	return l, err
}

// CacheEvents implements Client.
func (c *client) CacheEvents(ctx context.Context, addr string, from uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.get(ctx, addr, "/v1/cache/events?from="+strconv.FormatUint(from, 10), &events)
	return events, err
}

// State implements Client.
func (c *client) State(ctx context.Context, addr string) (State, error) {
	var s State
	err := c.get(ctx, addr, "/v1/state", &s)
	return s, err
}

// Order implements Client.
func (c *client) Order(ctx context.Context, addr string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	out := newRequest("POST", addr, "/v1/orders")
	out.SetBody(body)
	_, err = c.control(ctx, addr, out)
	return err
}

// Export implements Client.
func (c *client) Export(ctx context.Context, addr string, chat fleet.ChatKey) ([]byte, error) {
	out := newRequest("GET", addr, cachePath(chat))
	return c.exchange(ctx, addr, out, c.config.MaxKVBytes)
}

// Import implements Client.
func (c *client) Import(ctx context.Context, addr string, chat fleet.ChatKey, kv []byte) error {
	out := newRequest("PUT", addr, cachePath(chat))
	out.SetBody(kv)
	_, err := c.exchange(ctx, addr, out, c.config.MaxResponseBytes)
	return err
}

func cachePath(chat fleet.ChatKey) string {
	return "/v1/cache/" + strconv.FormatUint(uint64(chat), 10)
}

// get performs a control call and decodes the JSON response into result.
func (c *client) get(ctx context.Context, addr, path string, result any) error {
	out := newRequest("GET", addr, path)
	body, err := c.control(ctx, addr, out)
	if err != nil {
		return err
	}
	c.config.OnProbe(len(out.Header.Header()) + len(body))
	if err := json.Unmarshal(body, result); err != nil {
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return nil
}

// control performs a call that ControlTimeout bounds and returns the response's
// body.
func (c *client) control(ctx context.Context, addr string, out *protocol.Request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.ControlTimeout)
	defer cancel()
	return c.exchange(ctx, addr, out, c.config.MaxResponseBytes)
}

// exchange performs a call and returns the response's body, of at most limit
// bytes.
func (c *client) exchange(ctx context.Context, addr string, out *protocol.Request, limit int) ([]byte, error) {
	x, err := httpconn.Start(ctx, addr, c.config.DialTimeout, out)
	if err != nil {
		return nil, wrapConnError(err)
	}
	body, err := x.ReadAll(limit)
	if err != nil {
		return nil, wrapConnError(err)
	}
	return body, statusError(x)
}

// statusError returns the error that the status of a response stands for, or
// nil.
func statusError(x *httpconn.Exchange) error {
	switch x.Status() {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNoStream
	case http.StatusConflict:
		return ErrStaleFence
	default:
		return fmt.Errorf("%w: status %d", ErrRefused, x.Status())
	}
}
