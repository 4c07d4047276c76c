// Package keyjournal remembers which non-repeatable requests may have run. A
// request with an idempotency key is dispatched only after its intent is in
// place in the platform's object API, so that no repeat of it, on any router,
// is dispatched a second time.
//
// The records are spread over cells, each one object of the API. Every change
// of a cell is a write on the condition of the version that was read; that
// condition alone keeps two routers from both recording the same key. A
// preferred writer for each shard only gathers many changes into one write.
//
// A record names the router that owns it, the only one that ever dispatches its
// request. No other router takes a record over: while the owner is not known to
// have finished, the request's result is running or unknown, and it is never
// run again.
//
// Cell, Layout and Pace are deterministic: they do no I/O and are given the
// time. Log carries them out.
package keyjournal

import (
	"errors"
	"fmt"

	"ragwortpond.example/ragwortpond/fleet"
)

// Kind is the kind of the journal's objects in the object API.
const Kind = "journal"

// Errors of the journal. Callers test them with errors.Is.
var (
	// ErrUnavailable means that the intent could not be seen in place. The
	// request must be refused as not run.
	ErrUnavailable = errors.New("journal: unavailable")
	// ErrFull means that the key's cell has no room. It wraps ErrUnavailable.
	ErrFull = fmt.Errorf("%w: cell full", ErrUnavailable)
	// ErrKeyReused means that the key was used with another request.
	ErrKeyReused = errors.New("journal: key used with another request")
	// ErrExpired means that the key is older than its retention.
	ErrExpired = errors.New("journal: key expired")
	// ErrAhead means that the key carries a time that lies too far ahead.
	ErrAhead = errors.New("journal: key's time lies ahead")
	// ErrNotFound means that no request with the key is known.
	ErrNotFound = errors.New("journal: no such key")
	// ErrExists means that the key has a record; *ExistsError carries it.
	ErrExists = errors.New("journal: key has a record")
)

// ExistsError is the refusal of an intent whose key has a record already.
type ExistsError struct {
	Record Record
}

// Error implements error.
func (e *ExistsError) Error() string {
	return ErrExists.Error() + ": " + e.Record.State.String()
}

// Is makes errors.Is(err, ErrExists) true.
func (e *ExistsError) Is(target error) bool {
	return target == ErrExists
}

// Intent asks for leave to run one request.
type Intent struct {
	Account fleet.AccountName
	// Key is the caller's idempotency key.
	Key string
	// Fingerprint identifies the request's content.
	Fingerprint Fingerprint
	// Replaces is the nonce of a record whose owner said that it did not and
	// will not run; zero for none.
	Replaces Nonce
}

// Grant is leave to run one request once.
type Grant struct {
	Cell  Cell
	Hash  KeyHash
	Nonce Nonce
}
