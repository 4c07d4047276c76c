// Package plain implements a client for plain services, which are services that
// are not model engines.
package plain

import (
	"context"
	"errors"

	"ragwortpond.example/ragwortpond/fleet"
)

// Errors of a call. Callers test them with errors.Is.
var (
	// ErrRefused means that the service refused the call before running it.
	ErrRefused = errors.New("plain: refused")
	// ErrNotSent means that no byte of the call was sent.
	ErrNotSent = errors.New("plain: not sent")
	// ErrBroken means that the connection failed, or the context ended, after the
	// client began to send the call.
	ErrBroken = errors.New("plain: connection broken")
	// ErrMismatch means that the response carries the ID of another attempt.
	ErrMismatch = errors.New("plain: response to another attempt")
	// ErrTruncated means that the response ended early, or does not say where its
	// body ends.
	ErrTruncated = errors.New("plain: truncated response")
	// ErrTooLarge means that the response is over the limit of the client.
	ErrTooLarge = errors.New("plain: response too large")
)

// Field is one HTTP header field.
type Field struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Call is a call to a plain service.
type Call struct {
	Attempt fleet.AttemptID
	Method  string
	// Path starts with a slash and includes the query.
	Path   string
	Header []Field
	Body   []byte
	// IdempotencyKey is the caller's idempotency key, or "" if there is none. It
	// is forwarded to the service.
	IdempotencyKey string
}

// Response is a complete response.
type Response struct {
	Status int
	Header []Field
	Body   []byte
}

// Client calls plain services by their address, host:port. Implementations must
// be safe for concurrent use.
type Client interface {
	// Do sends a call and returns the complete response. Errors wrap those of the
	// package.
	Do(ctx context.Context, addr string, call Call) (Response, error)
}
