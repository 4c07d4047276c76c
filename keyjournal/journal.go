// Package keyjournal records which non-repeatable requests may have run. A
// request with an idempotency key is dispatched only after its intent is stored
// in the platform's object API, so that no repeat of it, on any router, is
// dispatched a second time.
//
// The records are partitioned into cells, each one object of the API. Every
// change of a cell is a conditional write on the version that was read; that
// condition alone prevents two routers from both recording the same key. The
// preferred writer of a shard only batches many changes into one write.
//
// A record names the router that owns it, the only one that ever dispatches its
// request. No other router takes over a record. Until the owner reports or
// records the end, the request counts as running, or as unknown if the owner is
// gone or cannot be reached. It is run again only under a new intent, after the
// owner reported or recorded that it was not run.
//
// Content, Layout and RateLimiter are deterministic: they do no I/O, and the
// time is passed in. Journal does the I/O.
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
	// ErrUnavailable means that the intent could not be confirmed as stored; the
	// request must be refused as not run. From Lookup it means that the record
	// could not be read.
	ErrUnavailable = errors.New("journal: unavailable")
	// ErrFull means that the key's cell has no room. It wraps ErrUnavailable.
	ErrFull = fmt.Errorf("%w: cell full", ErrUnavailable)
	// ErrKeyReused means that the key was used for a different request.
	ErrKeyReused = errors.New("journal: key already used for a different request")
	// ErrExpired means that the key is older than its retention.
	ErrExpired = errors.New("journal: key expired")
	// ErrKeyTimeAhead means that the key's timestamp is more than MaxKeyAhead in the
	// future.
	ErrKeyTimeAhead = errors.New("journal: key timestamp too far in the future")
	// ErrNotFound means that no request with the key is recorded.
	ErrNotFound = errors.New("journal: no record of key")
	// ErrExists means that the key already has a record; *ExistsError carries it.
	ErrExists = errors.New("journal: key already has a record")
)

// ExistsError is returned for an intent whose key already has a record.
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

// Intent describes a request that a router intends to run once.
type Intent struct {
	Account fleet.AccountName
	// Key is the caller's idempotency key.
	Key string
	// Fingerprint identifies the request's content.
	Fingerprint Fingerprint
	// Replaces is the nonce of a record that this intent replaces, because its
	// owner reported that its request was not and will not be run; zero for
	// none.
	Replaces Nonce
}

// Grant is the permission to run one request once.
type Grant struct {
	Cell  Cell
	Hash  KeyHash
	Nonce Nonce
}
