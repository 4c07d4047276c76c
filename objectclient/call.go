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

// HTTP statuses of the API's errors.
var statusErrors = map[int]error{
	404: objectapi.ErrNotFound,
	409: objectapi.ErrConflict,
	410: objectapi.ErrCompacted,
	413: objectapi.ErrTooLarge,
	429: objectapi.ErrRateLimited,
	503: objectapi.ErrUnavailable,
}

// answer is the part of an HTTP answer that calls use.
type answer struct {
	status  int
	version uint64
	body    []byte
}

type callResult struct {
	answer answer
	err    error
}

func requestTimeout(d time.Duration) config.RequestOption {
	return config.WithRequestTimeout(d)
}

// send runs a request on a goroutine of its own, so that it can be abandoned
// when the context ends. An error status is one of the package's errors.
func (c *Client) send(ctx context.Context, request *protocol.Request) (answer, error) {
	if err := ctx.Err(); err != nil {
		return answer{}, errNotSent{err}
	}
	done := make(chan callResult, 1)
	go func() { done <- c.exchange(request) }()
	select {
	case result := <-done:
		return result.answer, result.err
	case <-ctx.Done():
		return answer{}, ctx.Err()
	}
}

func (c *Client) exchange(request *protocol.Request) callResult {
	response := &protocol.Response{}
	if err := c.http.Do(context.Background(), request, response); err != nil {
		return callResult{err: err}
	}
	a := answer{status: response.StatusCode(), body: append([]byte(nil), response.Body()...)}
	if a.status != 200 {
		return callResult{err: statusError(a.status)}
	}
	if text := response.Header.Get(objectapi.VersionHeader); text != "" {
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return callResult{err: fmt.Errorf("%s: %w", objectapi.VersionHeader, err)}
		}
		a.version = version
	}
	return callResult{answer: a}
}

func statusError(status int) error {
	if err, ok := statusErrors[status]; ok {
		return err
	}
	return errStatus(status)
}

// errStatus is an HTTP status that the API does not define.
type errStatus int

func (e errStatus) Error() string {
	return "status " + strconv.Itoa(int(e))
}

// errNotSent wraps an error that came before the first byte was sent.
type errNotSent struct {
	cause error
}

func (e errNotSent) Error() string {
	return "not sent: " + e.cause.Error()
}

func (e errNotSent) Unwrap() error {
	return e.cause
}

// readError classifies the error of a read: whatever is not one of the
// package's errors or the context's is objectapi.ErrUnavailable.
func readError(verb string, err error) error {
	if err == nil {
		return nil
	}
	if definite(err) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("%s: %w", verb, err)
	}
	return fmt.Errorf("%s: %w: %w", verb, objectapi.ErrUnavailable, err)
}

// writeError classifies the error of a write: without a definite answer it is
// objectapi.ErrUnknown, unless nothing was sent.
func writeError(verb string, err error) error {
	if err == nil {
		return nil
	}
	if definite(err) {
		return fmt.Errorf("%s: %w", verb, err)
	}
	if unsent(err) {
		return fmt.Errorf("%s: %w: %w", verb, objectapi.ErrUnavailable, err)
	}
	return fmt.Errorf("%s: %w: %w", verb, objectapi.ErrUnknown, err)
}

func definite(err error) bool {
	for _, known := range statusErrors {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

func unsent(err error) bool {
	var notSent errNotSent
	return errors.As(err, &notSent) || errors.Is(err, hertzerrors.ErrNoFreeConns)
}

// resultLabel is the metric label of a call's result.
func resultLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, objectapi.ErrNotFound):
		return "not-found"
	case errors.Is(err, objectapi.ErrConflict):
		return "conflict"
	case errors.Is(err, objectapi.ErrUnknown):
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
