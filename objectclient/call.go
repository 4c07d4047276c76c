package objectclient

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/common/config"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/protocol"

	"ragwortpond.example/ragwortpond/objectapi"
)

// statusErrors maps HTTP statuses to the errors of the object API.
var statusErrors = map[int]error{
	404: objectapi.ErrNotFound,
	409: objectapi.ErrConflict,
	410: objectapi.ErrCompacted,
	413: objectapi.ErrTooLarge,
	429: objectapi.ErrRateLimited,
	503: objectapi.ErrUnavailable,
}

// response is the part of an HTTP response that calls use.
type response struct {
	status  int
	version uint64
	body    []byte
}

// errIncompleteResponse means that a response has neither a length nor chunks, or that its connection failed within it.
var errIncompleteResponse = errors.New("incomplete response")

type callResult struct {
	response response
	err      error
}

func requestTimeout(d time.Duration) config.RequestOption {
	return config.WithRequestTimeout(d)
}

// send sends a request in a separate goroutine, so that it can return as soon
// as the context ends. A status other than 200 is returned as an error of the
// object API or as a statusCodeError.
func (c *Client) send(ctx context.Context, request *protocol.Request) (response, error) {
	if err := ctx.Err(); err != nil {
		return response{}, notSentError{err}
	}
	done := make(chan callResult, 1)
	go func() { done <- c.exchange(request) }()
	select {
	case result := <-done:
		return result.response, result.err
	case <-ctx.Done():
		return response{}, ctx.Err()
	}
}

func (c *Client) exchange(request *protocol.Request) callResult {
	raw := &protocol.Response{}
	if err := c.http.Do(context.Background(), request, raw); err != nil {
		return callResult{err: err}
	}
	// hertz takes any error for the end of a body without a length or chunks.
	if addr, ok := raw.LocalAddr().(connAddr); ok && addr.conn.failed.Load() {
		return callResult{err: errIncompleteResponse}
	}
	r := response{status: raw.StatusCode(), body: append([]byte(nil), raw.Body()...)}
	if r.status != 200 {
		return callResult{err: statusError(r.status)}
	}
	if text := raw.Header.Get(objectapi.VersionHeader); text != "" {
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return callResult{err: fmt.Errorf("%s: %w", objectapi.VersionHeader, err)}
		}
		r.version = version
	}
	return callResult{response: r}
}

func statusError(status int) error {
	if err, ok := statusErrors[status]; ok {
		return err
	}
	return statusCodeError(status)
}

// statusCodeError is an HTTP status that the object API does not define.
type statusCodeError int

func (e statusCodeError) Error() string {
	return "status " + strconv.Itoa(int(e))
}

// notSentError wraps an error that occurred before the first byte was sent.
type notSentError struct {
	cause error
}

func (e notSentError) Error() string {
	return "not sent: " + e.cause.Error()
}

func (e notSentError) Unwrap() error {
	return e.cause
}

// classifyReadError wraps the error of a read in objectapi.ErrUnavailable,
// unless it is an error of the object API or of the context.
func classifyReadError(verb string, err error) error {
	if err == nil {
		return nil
	}
	if isAPIError(err) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("%s: %w", verb, err)
	}
	return fmt.Errorf("%s: %w: %w", verb, objectapi.ErrUnavailable, err)
}

// classifyWriteError classifies the error of a write. An error of the object
// API stays as it is. Any other error is objectapi.ErrUnavailable if nothing
// was sent, and otherwise objectapi.ErrResultUnknown, because the write may have
// taken effect.
func classifyWriteError(verb string, err error) error {
	if err == nil {
		return nil
	}
	if isAPIError(err) {
		return fmt.Errorf("%s: %w", verb, err)
	}
	if isNotSent(err) {
		return fmt.Errorf("%s: %w: %w", verb, objectapi.ErrUnavailable, err)
	}
	return fmt.Errorf("%s: %w: %w", verb, objectapi.ErrResultUnknown, err)
}

// isAPIError reports whether the platform responded with an error of the object
// API.
func isAPIError(err error) bool {
	for _, apiErr := range statusErrors {
		if errors.Is(err, apiErr) {
			return true
		}
	}
	return false
}

// isNotSent reports whether the call failed before the first byte was sent.
func isNotSent(err error) bool {
	var notSent notSentError
	return errors.As(err, &notSent) || errors.Is(err, hertzerrors.ErrNoFreeConns)
}

// resultLabel returns the value of the metric label for a call's result.
func resultLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, objectapi.ErrNotFound):
		return "not-found"
	case errors.Is(err, objectapi.ErrConflict):
		return "conflict"
	case errors.Is(err, objectapi.ErrResultUnknown):
		return "unknown"
	case errors.Is(err, objectapi.ErrRateLimited):
		return "rate-limited"
	case errors.Is(err, objectapi.ErrTooLarge):
		return "too-large"
	case errors.Is(err, objectapi.ErrCompacted):
		return "compacted"
	case errors.Is(err, objectapi.ErrUnavailable):
		return "unavailable"
	default:
		return "cancelled"
	}
}
