// Package plain is the client of plain services.
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
	// ErrNotSent means that no byte of the call left for the service.
	ErrNotSent = errors.New("plain: not sent")
	// ErrBroken means that the connection broke after the call was sent.
	ErrBroken = errors.New("plain: connection broken")
	// ErrMismatch means that the answer carries another attempt's id.
	ErrMismatch = errors.New("plain: answer of another attempt")
	// ErrTruncated means that the answer is shorter than its stated length.
	ErrTruncated = errors.New("plain: truncated")
	// ErrTooLarge means that the answer is over the limit of the client.
	ErrTooLarge = errors.New("plain: answer too large")
)

// Field is one HTTP header field.
type Field struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Call is one call of a plain service.
type Call struct {
	Attempt fleet.AttemptID
	Method  string
	// Path starts with a slash and includes the query.
	Path   string
	Header []Field
	Body   []byte
	// IdempotencyKey is passed on where the caller gave one.
	IdempotencyKey string
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header []Field
	Body   []byte
}

// Client speaks to plain services by address. Implementations are safe for
// concurrent use.
type Client interface {
	Do(ctx context.Context, addr string, call Call) (Answer, error)
}
