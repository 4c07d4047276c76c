package keyjournal

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// State is the recorded state of a request.
type State uint8

// The states. StateIntent covers a request that may be dispatched, is running,
// or whose router stopped before it recorded the result.
const (
	StateIntent State = iota + 1
	StateCompleted
	StateUnknown
)

// String returns the state's name, used in logs and as a metric label.
func (s State) String() string {
	switch s {
	case StateIntent:
		return "intent"
	case StateCompleted:
		return "completed"
	case StateUnknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// Owner is the process that may dispatch a record's request.
type Owner struct {
	Router fleet.RouterID `cbor:"1,keyasint"`
	// BootID is random for each start of the process.
	BootID uint64 `cbor:"2,keyasint"`
}

// HeaderField is one header field of a recorded response.
type HeaderField struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Response is a target's complete response.
type Response struct {
	Status int           `cbor:"1,keyasint"`
	Header []HeaderField `cbor:"2,keyasint,omitempty"`
	Body   []byte        `cbor:"3,keyasint,omitempty"`
	// BodyOmitted means that the body was not recorded because it was too large,
	// or that neither the header fields nor the body are recorded because the
	// cell had no room.
	BodyOmitted bool `cbor:"4,keyasint,omitempty"`
}

// size returns the approximate encoded size in bytes.
func (a *Response) size() int {
	if a == nil {
		return 0
	}
	total := len(a.Body) + answerOverheadBytes
	for _, f := range a.Header {
		total += len(f.Name) + len(f.Value) + fieldOverheadBytes
	}
	return total
}

// Result is the result of a request: StateCompleted with its Response, or
// StateUnknown.
type Result struct {
	State    State     `cbor:"1,keyasint"`
	Response *Response `cbor:"2,keyasint,omitempty"`
}

// Record is the entry of one idempotency key in the journal.
type Record struct {
	Hash        KeyHash     `cbor:"1,keyasint"`
	Fingerprint Fingerprint `cbor:"2,keyasint"`
	Nonce       Nonce       `cbor:"3,keyasint"`
	Owner       Owner       `cbor:"4,keyasint"`
	State       State       `cbor:"5,keyasint"`
	// ExpiresMS is the Unix time in milliseconds at which the record expires;
	// zero in a timed cell, where the key's timestamp determines it.
	ExpiresMS int64     `cbor:"6,keyasint,omitempty"`
	Response  *Response `cbor:"7,keyasint,omitempty"`
	// Cell is the cell in which the record was found; it is not stored.
	Cell Cell `cbor:"-"`
}

// size returns an upper estimate of the encoded size in bytes.
func (r *Record) size() int {
	return recordOverheadBytes + len(r.Owner.Router) + r.Response.size()
}

func (r *Record) expired(now time.Time) bool {
	return r.ExpiresMS != 0 && now.UnixMilli() >= r.ExpiresMS
}

// Tombstone marks a key without a timestamp as expired.
type Tombstone struct {
	_ struct{} `cbor:",toarray"`
	// Hash is the first eight bytes of the key's hash.
	Hash uint64
	// UntilMS is the Unix time in milliseconds until which the tombstone is kept.
	UntilMS int64
}
